package soak

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"lavenderdeal/platform/platformtest"
)

// check compares what callers and backend servers recorded and returns a message for each
// violation of an invariant.
func check(f *fleet, calls *callLog, faults *faultLog, revoked *revocations) []string {
	var violations []string
	report := func(format string, args ...any) { violations = append(violations, fmt.Sprintf(format, args...)) }
	runs, firstRuns := make(map[string]int), make(map[string]time.Time)
	for _, inst := range f.instances {
		inst.mu.Lock()
		servers := append([]retiredServer{{server: inst.server}}, inst.retired...)
		inst.mu.Unlock()
		for _, r := range servers {
			for _, run := range r.server.Runs() {
				runs[run.ID]++
				if at, ok := firstRuns[run.ID]; !ok || run.At.Before(at) {
					firstRuns[run.ID] = run.At
				}
				checkRun(calls, inst, r, run, revoked, report)
			}
		}
	}
	onlyPlanned := faults.onlyPlanned()
	calls.mu.Lock()
	defer calls.mu.Unlock()
	for _, c := range calls.byID {
		checkCall(onlyPlanned, c, runs[c.id], report)
	}
	if calls.hasAccounts {
		checkLimits(calls, firstRuns, report)
		checkLogs(f, report)
	}
	return violations
}

// checkRun reports the violations by one request that a backend server ran.
func checkRun(calls *callLog, inst *instance, r retiredServer, run platformtest.Run, revoked *revocations, report func(string, ...any)) {
	calls.mu.Lock()
	c := calls.byID[run.ID]
	calls.mu.Unlock()
	if c == nil || run.URI != c.uri || c.atMostOnce != (run.Method == http.MethodPost) || c.atMostOnce && run.Body != "order "+c.id {
		report("server of %s ran %s %s (id %q), which no caller sent", inst.name, run.Method, run.URI, run.ID)
		return
	}
	if calls.hasAccounts {
		checkAccount(c, run, revoked, report)
	}
	if run.Origin != c.instance.service {
		report("request %s ran with origin %q, but was sent through a node of service %q", run.ID, run.Origin, c.instance.service)
	}
	if !r.acked.IsZero() && run.At.After(r.acked.Add(drainPeriod)) {
		report("request %s reached server %s %s after its draining was acknowledged, which is after its drain period", run.ID, r.server.ID, run.At.Sub(r.acked))
	}
}

// checkCall reports the violations by one call, which servers ran the given number of times.
func checkCall(onlyPlanned bool, c *call, runs int, report func(string, ...any)) {
	if c.atMostOnce && runs > 1 {
		report("order %s ran %d times, want at most once", c.id, runs)
	}
	switch c.status {
	case http.StatusOK:
		if !c.signed || !c.complete || runs == 0 {
			report("request %s: status 200 with signed=%v, complete=%v and %d runs, want a signed and complete response and at least one run", c.id, c.signed, c.complete, runs)
		}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if runs > 0 {
			report("request %s was refused as not run with status %d, but ran %d times", c.id, c.status, runs)
		}
	case http.StatusUnauthorized:
		if c.as == steadyCaller || c.as == flooder || runs > 0 {
			report("request %s of account %q was answered with status 401 and ran %d times", c.id, c.as.account, runs)
		}
	case http.StatusNotFound:
		if !strings.HasPrefix(c.uri, "/only-") {
			report("request %s: status 404 for %s, although every version has a route for it", c.id, c.uri)
		}
	case 0:
		// No response arrived although the request ran. A request that was sent within
		// callerTimeout may still get one.
		if runs > 0 && onlyPlanned && time.Since(c.sent) > callerTimeout {
			report("request %s ran but its caller got no response, with planned work only: %v", c.id, c.err)
		}
	case http.StatusBadGateway, http.StatusGatewayTimeout:
		// Without a run, the status can be due to a proxy whose target has just stopped:
		// the proxy accepts a connection before it dials its target.
		if runs > 0 && onlyPlanned {
			report("request %s ran but returned status %d, with planned work only", c.id, c.status)
		}
	}
}

// waitServing waits until each node has returned status 200 for a request to each of the
// two services. It returns an error when a node has not within limit, which applies to all
// nodes together.
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
				return errors.Newf("%s still returns status %d for /stock/1 and %d for /booking/1 (errors: %v, %v) after %s, want 200 for both", inst.name, first.status, second.status, first.err, second.err, limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
