// Package testserver serves handlers, such as the stand-ins, for the length of a
// test:
//
//	store := objectapi.New()
//	addr := testserver.Start(t, store).Addr()
package testserver

import (
	"net/http"
	"net/netip"
	"testing"

	"lavenderdeal/internal/httpserver"
)

// Loopback is any free port of the loopback address.
var Loopback = netip.MustParseAddrPort("127.0.0.1:0")

// Start serves a handler on loopback until the test ends.
func Start(t testing.TB, handler http.Handler) *httpserver.Server {
	t.Helper()
	s, err := httpserver.Start(Loopback, handler)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s
}
