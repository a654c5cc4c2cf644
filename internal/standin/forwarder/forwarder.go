// Package forwarder provides a minimal HTTP proxy that forwards every call and its response.
// Measurements use it as a baseline, to separate the cost of a node from the cost of an
// additional connection.
package forwarder

import (
	"io"
	"net/http"
	"net/netip"

	"lavenderdeal/internal/httpclient"
	"lavenderdeal/internal/httprelay"
)

// Forwarder is a handler that forwards every call to one address.
type Forwarder struct {
	target netip.AddrPort
	client *httpclient.Client
}

// New returns a Forwarder that sends calls to an address.
func New(target netip.AddrPort) *Forwarder {
	return &Forwarder{target: target, client: httpclient.New("forwarder")}
}

// ServeHTTP forwards a call. It responds with 502 when the call fails.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	request, err := httpclient.NewRequest(r.Context(), r.Method, "http://"+f.target.String()+r.URL.RequestURI(), r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	httprelay.CopyHeader(request.Header, r.Header)
	request.ContentLength = r.ContentLength
	response, err := f.client.Do(request)
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	defer response.Body.Close()
	httprelay.CopyHeader(w.Header(), response.Header)
	w.WriteHeader(response.StatusCode)
	_, _ = io.Copy(w, response.Body)
}
