package backend

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// get sends a GET request with pairs of header names and values to the handler.
func get(t *testing.T, s *Server, path string, header ...string) *httptest.ResponseRecorder {
	t.Helper()
	r := httptest.NewRequest(http.MethodGet, path, http.NoBody)
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	return w
}

func wantStatus(t *testing.T, got, want int) {
	t.Helper()
	if got != want {
		t.Errorf("status %d, want %d", got, want)
	}
}

// TestHealth guards against a health endpoint that does not report draining, or that does
// not let SetHealth override the actual state.
func TestHealth(t *testing.T) {
	s := New("a", 1)
	wantStatus(t, get(t, s, PathHealth).Code, http.StatusOK)
	s.Drain()
	wantStatus(t, get(t, s, PathHealth).Code, http.StatusServiceUnavailable)
	s.SetHealth(HealthAlwaysGood)
	wantStatus(t, get(t, s, PathHealth).Code, http.StatusOK)
	s.SetHealth(HealthAlwaysBad)
	wantStatus(t, get(t, s, PathHealth).Code, http.StatusServiceUnavailable)
}

// TestSlots guards against more running calls than slots, and against calls that are
// neither run nor shed when more arrive at once than may run and wait.
func TestSlots(t *testing.T) {
	const calls = 8
	s := New("a", 2, WithMaxWaiting(2))
	var group errgroup.Group
	for range calls {
		group.Go(func() error {
			get(t, s, "/", HeaderWork, "20ms")
			return nil
		})
	}
	_ = group.Wait()
	if s.Peak() > 2 {
		t.Errorf("%d calls ran at once, want at most 2", s.Peak())
	}
	if s.Total()+s.ShedTotal() != calls {
		t.Errorf("%d ran and %d were shed, want %d in all", s.Total(), s.ShedTotal(), calls)
	}
}

// TestColdStart guards against a cold start that does not slow down the first runs.
func TestColdStart(t *testing.T) {
	s := New("a", 1, WithColdStart(time.Hour, 4))
	if got := s.runTime(time.Second); got < 3*time.Second {
		t.Errorf("a cold run takes %s, want about 4s", got)
	}
}

// TestCrash guards against a crash that still returns a response, after which the server
// does not listen on its address again, or that is not counted.
func TestCrash(t *testing.T) {
	s := New("a", 4)
	p, err := StartProcess(netip.MustParseAddrPort("127.0.0.1:0"), s, time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = p.Close() })
	url := "http://" + p.Addr().String() + "/"
	r, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set(HeaderCrash, "1")
	if response, err := http.DefaultTransport.RoundTrip(r); err == nil {
		response.Body.Close()
		t.Fatalf("status %d, want a broken connection", response.StatusCode)
	}
	deadline := time.Now().Add(10 * time.Second)
	for {
		response, err := http.Get(url)
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			response.Body.Close()
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("the server did not respond again within 10s of its crash")
		}
	}
	if p.Crashes() == 0 {
		t.Error("Crashes() is 0 after a crash, want at least 1")
	}
}
