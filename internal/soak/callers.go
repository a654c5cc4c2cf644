package soak

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"lavenderdeal/platform/platformtest"
)

const (
	// host is the host name in all routes.
	host = "depot.example"
	// callerDeadline is the time limit that callers send in the header of a request.
	// callerTimeout is how long they wait, which is longer, so that a response at the
	// deadline still arrives.
	callerDeadline = 900 * time.Millisecond
	callerTimeout  = 1500 * time.Millisecond
	// callInterval is the mean pause of a caller between a response and its next request.
	callInterval = 25 * time.Millisecond
	// callersPerInstance is the number of callers of each node. Each has its own
	// keep-alive connections.
	callersPerInstance = 2
)

// services are the names of the two services. Each caller sends requests to both.
var services = []string{"availability", "bookings"}

// call is one request and the result that its caller saw.
type call struct {
	id, uri string
	// atMostOnce is true for an order, a POST request that must not run twice.
	atMostOnce bool
	// as is the key that the request has, and the account to which it belongs.
	as credential
	// instance is the instance whose node received the request.
	instance *instance
	sent     time.Time
	ended    time.Time
	// status is 0 when no response arrived.
	status int
	// signed is true if a backend server created the response.
	signed bool
	// complete is true if the body is the whole response of the backend server.
	complete bool
	err      error
}

// callLog records all requests of a run. It is safe for concurrent use.
type callLog struct {
	mu   sync.Mutex
	byID map[string]*call
	// count is the number of requests, from which the next id is formed.
	count int
	// hasAccounts is set if requests have keys of client accounts.
	hasAccounts bool
}

func newCallLog() *callLog { return &callLog{byID: make(map[string]*call)} }

func (l *callLog) add(inst *instance, uri string, atMostOnce bool, as credential) *call {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.count++
	c := &call{id: fmt.Sprintf("q%d", l.count), uri: uri, atMostOnce: atMostOnce, as: as, instance: inst, sent: time.Now()}
	l.byID[c.id] = c
	return c
}

// send sends one request to the node of an instance and records its result: an order if
// atMostOnce is set, otherwise a GET request.
func (l *callLog) send(ctx context.Context, client *http.Client, inst *instance, uri string, atMostOnce bool) *call {
	return l.sendAs(ctx, client, inst, uri, atMostOnce, steadyCaller)
}

// sendAs is like send, with a key.
func (l *callLog) sendAs(ctx context.Context, client *http.Client, inst *instance, uri string, atMostOnce bool, as credential) *call {
	c := l.add(inst, uri, atMostOnce, as)
	method, body := http.MethodGet, io.Reader(nil)
	if atMostOnce {
		method, body = http.MethodPost, strings.NewReader("order "+c.id)
	}
	ctx, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+inst.caller.String()+uri, body)
	if err != nil {
		c.err = err
		return c
	}
	r.Host = host
	// Without GetBody, the HTTP transport cannot resend an order by itself.
	r.GetBody = nil
	platformtest.SetCallerHeaders(r, c.id, callerDeadline)
	if l.hasAccounts {
		maps.Copy(r.Header, platformtest.KeyHeader(as.key))
		platformtest.ForgeAccount(r.Header, "forged")
	}
	response, err := client.Do(r)
	if err == nil {
		var received []byte
		received, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		c.status, c.signed = response.StatusCode, platformtest.IsSigned(response)
		c.complete = err == nil && string(received) == "ran "+uri
	}
	c.err, c.ended = err, time.Now()
	return c
}

// runCallers sends the requests of all callers until ctx is done.
func (l *callLog) runCallers(ctx context.Context, f *fleet, seed uint64) error {
	var group errgroup.Group
	for i, inst := range f.instances {
		for j := range callersPerInstance {
			random := rand.New(rand.NewPCG(seed, uint64(i*callersPerInstance+j)))
			group.Go(func() error {
				client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
				defer client.CloseIdleConnections()
				for ctx.Err() == nil {
					uri, atMostOnce := fmt.Sprintf("/stock/%d", random.IntN(1000)), false
					if random.IntN(2) == 0 {
						uri, atMostOnce = fmt.Sprintf("/booking/%d", random.IntN(1000)), true
					}
					// The last request is not canceled when ctx is done, so that its result is
					// recorded.
					l.send(context.WithoutCancel(ctx), client, inst, uri, atMostOnce)
					select {
					case <-ctx.Done():
					case <-time.After(callInterval/2 + time.Duration(random.Int64N(int64(callInterval)))):
					}
				}
				return nil
			})
		}
	}
	return group.Wait()
}
