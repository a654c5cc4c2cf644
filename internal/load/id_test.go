package load_test

import (
	"context"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"lavenderdeal/internal/load"
	"lavenderdeal/internal/standin/testserver"
)

// Guards against two calls with one ID, of which a node runs only one. Runs at once with
// the same seed make the same calls at the same times.
func TestRunsAtOnceShareNoID(t *testing.T) {
	server := testserver.Start(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	reports := make([]*load.Report, 4)
	var group errgroup.Group
	for i := range reports {
		group.Go(func() error {
			reports[i] = load.Run(context.Background(), load.Plan{
				Seed: 1, Duration: 500 * time.Millisecond, Targets: []netip.AddrPort{server.Addr()},
				Classes: []load.Class{{Name: "book", Method: http.MethodPost, Path: "/", Rate: 400, Timeout: time.Second}},
			})
			return nil
		})
	}
	_ = group.Wait()
	seen := make(map[string]bool)
	for _, r := range reports {
		for _, c := range r.Calls {
			if seen[c.ID] {
				t.Fatalf("two calls have the ID %s", c.ID)
			}
			seen[c.ID] = true
		}
	}
	if len(seen) < 100 {
		t.Fatalf("%d calls were made, want at least 100", len(seen))
	}
}
