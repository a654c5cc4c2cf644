// Package forwarder provides a minimal HTTP proxy that forwards every call and its response.
// Benchmarks use it as a baseline, to separate the cost of a node, which is also a proxy,
// from the cost of an additional connection.
package forwarder

import (
	"io"
	"net/http"
	"net/netip"

	"lavenderdeal/internal/httpclient"
	"lavenderdeal/internal/httprelay"
)

// Forwarder is an HTTP handler that forwards every call to one address.
type Forwarder struct {
	target netip.AddrPort
	client *httpclient.Client
}

// New returns a Forwarder that sends calls to the target address.
func New(target netip.AddrPort) *Forwarder {
	return &Forwarder{target: target, client: httpclient.New("forwarder")}
}

// ServeHTTP forwards a call and its response. It responds with status 502 if it gets no
// response from the target.
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
