package calls

import (
	"io"
	"net/http"
	"sync"
	"time"

	"lavenderdeal/core/limit"
	"lavenderdeal/core/plans"
	"lavenderdeal/core/verdict"
	"lavenderdeal/schema/messages"
)

// limitsOf returns the customer's limits on calls to the service. The zero value
// means no limits.
func limitsOf(d plans.Decision) limit.Limits {
	if allowed, ok := d.(plans.Allowed); ok {
		return limit.Limits{CallsPerSecond: allowed.CallsPerSecond, Concurrent: allowed.Concurrent}
	}
	return limit.Limits{}
}

// acquireLimit counts a call against this server's share of its customer's limits,
// or refuses it when the share is used up.
func (r *Runner) acquireLimit(call messages.Call, l limit.Limits) error {
	if l == (limit.Limits{}) {
		return nil
	}
	servers := 1
	if r.view != nil {
		servers = len(r.view.Load().Servers(call.Service))
	}
	r.mu.Lock()
	refused, ok := r.limits.Take(time.Now(), call.Customer, l, servers)
	r.mu.Unlock()
	if ok {
		return nil
	}
	return verdict.RefuseFor(refused.Rule, "customer "+call.Customer+" has used this server's share of its limit", refused.RetryAfter)
}

// releaseLimit releases the call's use of the limits when the body of the answer is
// closed, or immediately when the call failed.
func (r *Runner) releaseLimit(call messages.Call, l limit.Limits, answer *http.Response, err error) (*http.Response, error) {
	if l == (limit.Limits{}) {
		return answer, err
	}
	release := func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.limits.Release(call.Customer)
	}
	if err != nil {
		release()
		return nil, err
	}
	answer.Body = &limitBody{ReadCloser: answer.Body, release: sync.OnceFunc(release)}
	return answer, nil
}

// limitBody releases a call's use of its customer's limits when it is closed.
type limitBody struct {
	io.ReadCloser
	release func()
}

func (b *limitBody) Close() error {
	defer b.release()
	return b.ReadCloser.Close()
}
