package mesh_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"lavenderdeal/platform/platformtest"
)

// longRoutes returns the routes with time limits beyond the grace period.
func longRoutes() []platformtest.Route {
	list := routes()
	for i := range list {
		list[i].TimeoutMs, list[i].TargetMs = 10_000, 10_000
	}
	return list
}

// longCall sends a request whose caller waits beyond the grace period.
func longCall(f *fleet, at *member, id string) (answer, error) {
	header := http.Header{"Request-Id": {id}, "Deadline-Ms": {"9000"}}
	return f.callWith(context.Background(), at, http.MethodPost, "/booking/"+id, "", header)
}

// assertRuns fails the test unless the server has run a request the given number of times.
func assertRuns(t *testing.T, s *platformtest.Server, id string, want int) {
	t.Helper()
	n := 0
	for _, run := range s.Runs() {
		if run.ID == id {
			n++
		}
	}
	if n != want {
		t.Fatalf("the server ran %s %d times, want %d", id, n, want)
	}
}

// waitRunning waits until the server runs a request.
func waitRunning(f *fleet, s *platformtest.Server, id string) {
	f.t.Helper()
	f.eventually("the server runs "+id, func() bool {
		for _, run := range s.Runs() {
			if run.ID == id {
				return true
			}
		}
		return false
	})
}

// Guards against a shutdown that closes connections without an answer at the end of the
// grace period. The only slot of the only server is taken, so requests of the stopping
// node wait at another node or, if it is the server's own node, in its queue.
func TestGracePeriodEnds(t *testing.T) {
	const runTime = 6 * time.Second
	start := func(t *testing.T) (f *fleet, near, far *member) {
		f = newFleet(t)
		f.configure(2, longRoutes())
		near, far = f.add("a", "bookings", 1), f.add("b", "availability", 4)
		near.sendHeartbeat(t, "ready")
		far.sendHeartbeat(t, "ready")
		f.waitServed(near, "/stock/1")
		f.waitServed(far, "/stock/1")
		f.eventually("a booking is served", func() bool {
			a, err := longCall(f, far, "first")
			return err == nil && a.status == http.StatusOK
		})
		near.server.SetRunTime(runTime)
		return f, near, far
	}
	// run occupies the slot by a call at one node, sends a request to the node that
	// stops, and returns its answer.
	run := func(t *testing.T, f *fleet, near, stops *member) (a answer, err error) {
		var group errgroup.Group
		group.Go(func() error { _, _ = longCall(f, near, "running"); return nil })
		waitRunning(f, near.server, "running")
		var answered time.Time
		group.Go(func() error { a, err = longCall(f, stops, "waiting"); answered = time.Now(); return nil })
		time.Sleep(100 * time.Millisecond)
		begun := time.Now()
		_ = f.stop(stops)
		_ = group.Wait()
		if took := answered.Sub(begun); took > stops.cfg.Grace.Std() {
			t.Errorf("answered %s after the signal, the grace period is %s", took, stops.cfg.Grace.Std())
		}
		return a, err
	}
	t.Run("a request that waits at another node is refused and does not run", func(t *testing.T) {
		t.Parallel()
		f, near, far := start(t)
		a, err := run(t, f, near, far)
		assertRefusal(t, a, err)
		time.Sleep(runTime / 10)
		assertRuns(t, near.server, "waiting", 0)
	})
	t.Run("a request that waits at the stopping node is refused and does not run", func(t *testing.T) {
		t.Parallel()
		f, near, _ := start(t)
		a, err := run(t, f, near, near)
		assertRefusal(t, a, err)
		assertRuns(t, near.server, "waiting", 0)
	})
	t.Run("a request that the server works on is answered as failed", func(t *testing.T) {
		t.Parallel()
		f, near, far := start(t)
		var group errgroup.Group
		var a answer
		var err error
		group.Go(func() error { a, err = longCall(f, far, "running"); return nil })
		waitRunning(f, near.server, "running")
		if f.stop(far) == nil {
			t.Error("no error although a request was cut off")
		}
		_ = group.Wait()
		assertStatus(t, a, err, http.StatusBadGateway)
		assertRuns(t, near.server, "running", 1)
	})
	t.Run("a request that comes after the signal gets no more time than the grace period", func(t *testing.T) {
		t.Parallel()
		f, near, far := start(t)
		var group errgroup.Group
		group.Go(func() error { _ = f.stop(far); return nil })
		time.Sleep(100 * time.Millisecond)
		group.Go(func() error { _, _ = longCall(f, far, "late"); return nil })
		waitRunning(f, near.server, "late")
		_ = group.Wait()
		for _, run := range near.server.Runs() {
			if run.ID == "late" && (len(run.DeadlineMs) != 4 || run.DeadlineMs > "3000") {
				t.Fatalf("the server got a deadline of %s ms, want between 1000 and 3000", run.DeadlineMs)
			}
		}
	})
	t.Run("a request that comes late in the grace period is not passed on", func(t *testing.T) {
		t.Parallel()
		f, near, far := start(t)
		var group errgroup.Group
		group.Go(func() error { _, _ = longCall(f, far, "running"); return nil })
		waitRunning(f, near.server, "running")
		group.Go(func() error { _ = f.stop(far); return nil })
		time.Sleep(far.cfg.Grace.Std() * 6 / 10)
		a, err := longCall(f, far, "late")
		assertRefusal(t, a, err)
		_ = group.Wait()
		assertRuns(t, near.server, "late", 0)
	})
}
