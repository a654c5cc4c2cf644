package httpserver_test

import (
	"io"
	"net/http"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"lavenderdeal/internal/httpserver"
)

// TestSignalCutsOffNothing guards against rest's own signal handling: after SIGTERM
// rest would close its listeners and end the process 5.5 s later, while a request
// still runs.
func TestSignalCutsOffNothing(t *testing.T) {
	running := make(chan struct{})
	finish := make(chan struct{})
	s, err := httpserver.Start(netip.MustParseAddrPort("127.0.0.1:0"), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			close(running)
			<-finish
		}
		_, _ = io.WriteString(w, "ok")
	}))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	var group errgroup.Group
	group.Go(func() error { return get(s.Addr(), "/long") })
	<-running
	if err := syscall.Kill(syscall.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	// Longer than the 5.5 s after which rest would end the process.
	until := time.Now().Add(7 * time.Second)
	for time.Now().Before(until) {
		if err := get(s.Addr(), "/"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(50 * time.Millisecond)
	}
	close(finish)
	if err := group.Wait(); err != nil {
		t.Fatal(err)
	}
}

func get(addr netip.AddrPort, path string) error {
	resp, err := http.Get("http://" + addr.String() + path)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	return err
}
