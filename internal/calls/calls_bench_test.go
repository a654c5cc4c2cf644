package calls_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"lavenderdeal/core/fleet"
	"lavenderdeal/core/plans"
	"lavenderdeal/internal/calls"
	"lavenderdeal/internal/httpserver"
	"lavenderdeal/internal/inforce"
	"lavenderdeal/internal/metrics"
	"lavenderdeal/internal/secret"
	"lavenderdeal/internal/units"
	"lavenderdeal/io/caller"
	"lavenderdeal/io/peercall"
	"lavenderdeal/io/server"
	"lavenderdeal/schema/lists"
	"lavenderdeal/schema/messages"
)

// BenchmarkCall is one call through Entry and Runner of one node to a backend
// server on loopback that answers at once.
func BenchmarkCall(b *testing.B) {
	backend, err := httpserver.Start(netip.MustParseAddrPort("127.0.0.1:0"), http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "2")
		_, _ = w.Write([]byte("ok"))
	}))
	if err != nil {
		b.Fatal(err)
	}
	defer backend.Close()
	entry := newEntry(b, backend.Addr())
	r := httptest.NewRequest(http.MethodGet, "http://bookings/stock", nil).WithContext(context.Background())
	r.Header.Set("Authorization", "Bearer crew-key")
	r.Header.Set(caller.HeaderService, "bookings")
	b.ReportAllocs()
	for b.Loop() {
		w := httptest.NewRecorder()
		entry.ServeHTTP(w, r)
		if w.Code != http.StatusOK {
			b.Fatal(w.Code, w.Body)
		}
	}
}

func newEntry(b *testing.B, backend netip.AddrPort) *calls.Ingress {
	b.Helper()
	version, faults := plans.Build(1, lists.CustomerList{Customers: []lists.Customer{
		{Name: "crew-catania", Plan: "crew", KeyHashes: []string{plans.HashKey("crew-key")}},
	}}, lists.PlanList{
		Services: []lists.Service{{Name: "bookings", Timeout: units.Duration(time.Second)}},
		Plans:    []lists.Plan{{Name: "crew", Uses: []lists.Use{{Service: "bookings", Priority: lists.UsePriorityHigh}}}},
	})
	if len(faults) > 0 {
		b.Fatal(faults)
	}
	var held inforce.Plans
	held.Set(version)
	self := messages.Member{Id: "a", Zone: "catania", Service: "bookings", Slots: 18, State: messages.MemberStateReady}
	var view atomic.Pointer[fleet.View]
	view.Store(fleet.NewView(self, []messages.Member{self}))
	key := secret.New("bench-peer-key-0123456789")
	m := metrics.New()
	client := server.New(backend, 18)
	b.Cleanup(client.Close)
	runner := calls.NewRunner(&held, client, 18, key, m)
	return calls.NewIngress(&held, &view, runner, peercall.New(key), key, m)
}
