package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	hostStock   = "jepu9.example"
	hostBooking = "hulo84.example"
	stableTime  = 3 * time.Second
	mostRetries = 3
)

// trinacria adds the machines of a deployment like trinacria-mesh, and writes its configuration.
func trinacria(f *fleet) error {
	for _, x := range []struct {
		zone, service string
		count         int
	}{
		{"catania", "availability", 3}, {"palermo", "availability", 2}, {"agrigento", "availability", 1},
		{"catania", "bookings", 2}, {"palermo", "bookings", 2}, {"agrigento", "bookings", 1},
		{"catania", "fieldwork", 1}, {"palermo", "fieldwork", 1}, {"agrigento", "fieldwork", 1},
	} {
		for range x.count {
			if _, err := f.add(x.zone, x.service, 200*time.Millisecond); err != nil {
				return err
			}
		}
	}
	f.configure(7, nil)
	return nil
}

// configure writes a version of the configuration, with further routes.
func (f *fleet) configure(version int, more [][]any) {
	rows := append([][]any{
		{"r-stock", hostStock, "/stock/", "safe", 1200, 500, 0, "availability", 2, nil},
		{"r-booking", hostBooking, "/booking/", "unsafe", 1500, 600, 1, "bookings", 2, nil},
		{"r-upload", hostStock, "/upload/", "upload", 1500, 1000, 2, "fieldwork", 2, nil},
	}, more...)
	f.store.put("config", "main", map[string]any{
		"version": fmt.Sprintf("%08x", version),
		"routes": map[string]any{
			"columns": []string{"name", "host", names.Prefix, "kind", "timeout_ms", names.Target, "priority", "service", names.Servers, "backends"},
			"rows":    rows,
		},
		"services": map[string]any{
			"columns": []string{"name", "health_path", "max_connections"},
			"rows":    [][]any{{"availability", "/health", 130}, {"bookings", "/health", 130}, {"fieldwork", "/health", 130}},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 64 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

// traffic sends ordinary requests to all machines until the fleet ends.
func traffic(f *fleet) {
	for n, m := range f.machine {
		pool, fresh := newClient(false), newClient(true)
		go func() {
			for k := 0; f.ctx.Err() == nil; k++ {
				go f.send(pool, m, http.MethodGet, hostStock, fmt.Sprintf("/stock/%d", k%50), fmt.Sprintf("s%d-%d", n, k), nil, 1200*time.Millisecond, nil)
				go f.send(fresh, m, http.MethodPost, hostBooking, "/booking/set", fmt.Sprintf("b%d-%d", n, k), fmt.Appendf(nil, "set %d-%d", n, k), 1500*time.Millisecond, nil)
				time.Sleep(200 * time.Millisecond)
			}
		}()
	}
}

// playCrash sends a request that crashes each server that begins to run it: at first from one client
// in each zone, then once a second from one of them. The disruption is a restart of one other node,
// whose server goes on running.
func playCrash(f *fleet, trouble bool) (int, error) {
	if err := trinacria(f); err != nil {
		return failed, err
	}
	for _, m := range f.machine {
		m.server.onRun = func(r *http.Request) bool { return strings.Contains(r.URL.Path, crashPath) }
	}
	if err := f.start(); err != nil {
		return failed, err
	}
	traffic(f)
	// The client that goes on and the node that is restarted are on different machines of one zone.
	var sender, restarted *machine
	first := make(map[string]*machine)
	for _, m := range f.machine {
		switch {
		case m.zone == "agrigento" && m.service == "bookings":
			restarted = m
		case m.zone == "agrigento" && m.service == "availability":
			sender = m
		case m.service == "availability":
			first[m.zone] = m
		}
	}
	fresh := newClient(true)
	began := time.Now()
	done := make(chan error, 1)
	if trouble {
		time.AfterFunc(15*time.Second, func() { done <- restarted.restart() })
	} else {
		done <- nil
	}
	crash := func(m *machine, id string) {
		f.send(fresh, m, http.MethodPost, hostBooking, "/booking/"+crashPath, id, []byte("the same body"), 1500*time.Millisecond, nil)
	}
	for zone, m := range first {
		go crash(m, "c-"+zone)
	}
	for n := 0; time.Since(began) < 70*time.Second; n++ {
		go crash(sender, fmt.Sprintf("c%d", n))
		time.Sleep(time.Second)
	}
	if err := <-done; err != nil {
		return failed, err
	}
	runs := f.runsOf(crashPath)
	crashed, later := make(map[string]bool), 0
	var third time.Time
	for i, r := range runs {
		f.say("crash %d at %.1f s of traffic: request %s at %s", i+1, r.at.Sub(began).Seconds(), r.id, r.server)
		if crashed[r.address()] = true; len(crashed) == mostRetries && third.IsZero() {
			third = r.at
		}
		if !third.IsZero() && r.at.Sub(third) > stableTime {
			later++
		}
	}
	f.say("%d crashes of %d servers; the request reached a server %d times later than %s after it had crashed the third, at most %d are allowed", len(runs), len(crashed), later, stableTime, mostRetries)
	f.say("%d other requests ran on a server as it crashed and got no success", f.lostRuns())
	if later > mostRetries {
		return broken, nil
	}
	return held, nil
}
