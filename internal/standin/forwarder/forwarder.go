// Package forwarder is a stand-in for a node that decides nothing: it sends each
// call on and the answer back. Measurements compare nodes with it, to tell what
// the nodes cost from what one more connection costs.
package forwarder

import (
	"io"
	"net/http"
	"net/netip"

	"lavenderdeal/internal/httpclient"
	"lavenderdeal/internal/httprelay"
)

// Forwarder sends every call to one address.
type Forwarder struct {
	to     netip.AddrPort
	client *httpclient.Client
}

// New returns a forwarder to an address.
func New(to netip.AddrPort) *Forwarder {
	return &Forwarder{to: to, client: httpclient.New("forwarder")}
}

// ServeHTTP sends a call on.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	request, err := httpclient.NewRequest(r.Context(), r.Method, "http://"+f.to.String()+r.URL.RequestURI(), r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	httprelay.CopyHeader(request.Header, r.Header)
	request.ContentLength = r.ContentLength
	answer, err := f.client.Do(request)
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	defer answer.Body.Close()
	httprelay.CopyHeader(w.Header(), answer.Header)
	w.WriteHeader(answer.StatusCode)
	_, _ = io.Copy(w, answer.Body)
}
