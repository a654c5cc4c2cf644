package soak

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"lavenderdeal/platform/platformtest"
)

// check returns the violations of invariants in what callers and servers recorded.
func check(f *fleet, calls *callLog, faults *faultLog) []string {
	var violations []string
	report := func(format string, args ...any) { violations = append(violations, fmt.Sprintf(format, args...)) }
	runs := make(map[string]int)
	for _, inst := range f.instances {
		inst.mu.Lock()
		servers := append([]retiredServer{{server: inst.server}}, inst.retired...)
		inst.mu.Unlock()
		for _, r := range servers {
			for _, run := range r.server.Runs() {
				runs[run.ID]++
				checkRun(calls, inst, r, run, report)
			}
		}
	}
	onlyPlanned := faults.onlyPlanned()
	calls.mu.Lock()
	defer calls.mu.Unlock()
	for _, c := range calls.byID {
		checkCall(onlyPlanned, c, runs[c.id], report)
	}
	return violations
}

func checkRun(calls *callLog, inst *instance, r retiredServer, run platformtest.Run, report func(string, ...any)) {
	calls.mu.Lock()
	c := calls.byID[run.ID]
	calls.mu.Unlock()
	if c == nil || run.URI != c.uri || c.atMostOnce != (run.Method == http.MethodPost) || c.atMostOnce && run.Body != "order "+c.id {
		report("server of %s ran %s %s (id %q), which no caller sent", inst.name, run.Method, run.URI, run.ID)
		return
	}
	if run.Origin != c.instance.service {
		report("%s ran with origin %q, but was sent through a node of %s", run.ID, run.Origin, c.instance.service)
	}
	if !r.acked.IsZero() && run.At.After(r.acked.Add(drainPeriod)) {
		report("%s reached server %s %s after its draining was acknowledged", run.ID, r.server.ID, run.At.Sub(r.acked))
	}
}

func checkCall(onlyPlanned bool, c *call, runs int, report func(string, ...any)) {
	if c.atMostOnce && runs > 1 {
		report("order %s ran %d times", c.id, runs)
	}
	switch c.status {
	case http.StatusOK:
		if !c.signed || !c.complete || runs == 0 {
			report("%s: success with signature %v, complete %v, %d runs", c.id, c.signed, c.complete, runs)
		}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if runs > 0 {
			report("%s was refused with %d as not run, and ran %d times", c.id, c.status, runs)
		}
	case http.StatusNotFound:
		if !strings.HasPrefix(c.uri, "/only-") {
			report("%s: 404 for %s, which all versions allow", c.id, c.uri)
		}
	case 0:
		// The caller's connection broke, at the server or the node, after the request had run.
		if runs > 0 && onlyPlanned && time.Since(c.sent) > callerTimeout {
			report("%s ran and its connection broke with planned work only: %v", c.id, c.err)
		}
	case http.StatusBadGateway, http.StatusGatewayTimeout:
		// Without a run, the status can be due to a proxy whose target has just stopped:
		// the proxy accepts a connection before it dials its target.
		if runs > 0 && onlyPlanned {
			report("%s ran and returned status %d with planned work only", c.id, c.status)
		}
	}
}

// waitServing waits until each node serves its callers. It returns an error when a node
// does not within limit.
func waitServing(f *fleet, calls *callLog, limit time.Duration) error {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	deadline := time.Now().Add(limit)
	for _, inst := range f.instances {
		for {
			first := calls.send(f.t.Context(), client, inst, "/stock/1", false)
			second := calls.send(f.t.Context(), client, inst, "/booking/1", true)
			if first.status == http.StatusOK && second.status == http.StatusOK {
				break
			}
			if time.Now().After(deadline) {
				return errors.Newf("%s still returns status %d and %d (%v, %v) after %s", inst.name, first.status, second.status, first.err, second.err, limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
