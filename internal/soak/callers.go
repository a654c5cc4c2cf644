package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"lavenderdeal/platform/platformtest"
)

const (
	host = "depot.example"
	// deadline is what callers say they wait, and patience a little more.
	deadline = 900 * time.Millisecond
	patience = 1500 * time.Millisecond
	// callEvery is the time between two requests of a caller.
	callEvery = 25 * time.Millisecond
	// callersEach is the number of callers beside a node. Each keeps its connections.
	callersEach = 2
)

// services are what the servers run; the callers' routes lead to both.
var services = []string{"availability", "bookings"}

// call is one request and what its caller saw.
type call struct {
	id, uri string
	once    bool
	place   *place
	sent    time.Time
	ended   time.Time
	// status is zero when no answer came.
	status int
	signed bool
	whole  bool
	err    error
}

// ledger holds all requests of a run. It is safe for use by several goroutines at
// once.
type ledger struct {
	mu    sync.Mutex
	calls map[string]*call
	next  int
}

func newLedger() *ledger { return &ledger{calls: make(map[string]*call)} }

func (l *ledger) begin(p *place, uri string, once bool) *call {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next++
	c := &call{id: fmt.Sprintf("q%d", l.next), uri: uri, once: once, place: p, sent: time.Now()}
	l.calls[c.id] = c
	return c
}

// send sends one request and notes what came of it.
func (l *ledger) send(ctx context.Context, client *http.Client, p *place, uri string, once bool) *call {
	c := l.begin(p, uri, once)
	method, body := http.MethodGet, io.Reader(nil)
	if once {
		method, body = http.MethodPost, strings.NewReader("order "+c.id)
	}
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+p.caller.String()+uri, body)
	if err != nil {
		c.err = err
		return c
	}
	r.Host = host
	// Without it the transport would send an order again by itself.
	r.GetBody = nil
	platformtest.SetCallerHeaders(r, c.id, deadline)
	answer, err := client.Do(r)
	if err == nil {
		var got []byte
		got, err = io.ReadAll(answer.Body)
		_ = answer.Body.Close()
		c.status, c.signed = answer.StatusCode, platformtest.IsSigned(answer)
		c.whole = err == nil && string(got) == "ran "+uri
	}
	c.err, c.ended = err, time.Now()
	return c
}

// callAll sends requests of all callers until ctx ends.
func (l *ledger) callAll(ctx context.Context, f *fleet, seed uint64) error {
	var group errgroup.Group
	for i, p := range f.places {
		for j := range callersEach {
			random := rand.New(rand.NewPCG(seed, uint64(i*callersEach+j)))
			group.Go(func() error {
				client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
				defer client.CloseIdleConnections()
				for ctx.Err() == nil {
					uri, once := fmt.Sprintf("/stock/%d", random.IntN(1000)), false
					if random.IntN(2) == 0 {
						uri, once = fmt.Sprintf("/booking/%d", random.IntN(1000)), true
					}
					// The run outlives its callers' last requests.
					l.send(context.WithoutCancel(ctx), client, p, uri, once)
					select {
					case <-ctx.Done():
					case <-time.After(callEvery/2 + time.Duration(random.Int64N(int64(callEvery)))):
					}
				}
				return nil
			})
		}
	}
	return group.Wait()
}
