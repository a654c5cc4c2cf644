// Package load generates calls to a fleet and verifies the answers.
//
// # Open loop
//
// The times at which calls are due do not depend on the answers. Latency counts
// from the time at which a call was due, also if it was sent late, so that it
// includes the stalls of the system.
//
//	report := load.Run(ctx, load.Plan{
//		Targets:  targets,
//		Duration: 10 * time.Second,
//		Classes:  []load.Class{{Name: "dawn", Key: key, Service: "availability", Method: "GET", Rate: 200}},
//	})
//	fmt.Println(report.Classes["dawn"].Quantile(99))
//
// # Guarantees
//
// Every call carries an id that the stand-in backend servers record. [Check]
// compares the verdicts that callers got with the recorded executions.
package load

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"

	"lavenderdeal/internal/httpclient"
)

const (
	// maxOutstanding is the limit on the open calls of one run.
	maxOutstanding    = 4096
	highestMicros     = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
	// maxResends is the limit on the retries of a keyed call.
	maxResends  = 2
	resendPause = 50 * time.Millisecond
)

// Plan describes the calls of one run.
type Plan struct {
	// Targets are the caller addresses of nodes. Each call takes one at random.
	Targets  []netip.AddrPort
	Classes  []Class
	Duration time.Duration
	Seed     uint64
	// Client sends the calls. If nil, Run creates one.
	Client *httpclient.Client
}

// Class describes calls of one kind.
type Class struct {
	Name string
	// Customer and Priority label the rows of the report.
	Customer, Priority string
	Key                string
	Service            string
	Method             string
	Path               string
	// Rate is in calls per second.
	Rate float64
	// Work is the run time of the call at the stand-in server.
	Work time.Duration
	// Timeout is the timeout that is sent with the call, or 0 for none.
	Timeout time.Duration
	// BodyBytes is the size of the request body.
	BodyBytes int
	// Keyed calls carry an Idempotency-Key and are retried while their outcome is
	// unknown.
	Keyed bool
	// Crash makes the stand-in server crash while it runs the call.
	Crash bool
	// Direct calls go directly to backend servers instead of nodes.
	Direct bool
}

// Report holds the results of one run.
type Report struct {
	Classes map[string]*ClassReport
	Calls   []Call
	// Duration is the time during which calls were due.
	Duration time.Duration
}

// ClassReport holds the results of one class.
type ClassReport struct {
	Class Class
	// Verdicts counts calls by their last verdict.
	Verdicts map[string]int
	// Rules counts refusals by rule.
	Rules map[string]int
	// Sent counts calls. A retried call counts once.
	Sent int
	// InTime counts calls that were answered by a server within the timeout.
	InTime int

	micros *hdrhistogram.Histogram
}

// Call is one call with all of its attempts.
type Call struct {
	ID    string
	Class string
	// Due is the time at which the call was due, from the start of the run.
	Due time.Duration
	// Latency is the time from Due to the last answer.
	Latency  time.Duration
	Attempts []Attempt
}

// Run sends the calls of a plan, waits for all answers and returns the results.
func Run(ctx context.Context, plan Plan) *Report {
	client := plan.Client
	if client == nil {
		client = httpclient.New("load")
		defer client.Close()
	}
	report := &Report{Duration: plan.Duration, Classes: make(map[string]*ClassReport, len(plan.Classes))}
	var mu sync.Mutex
	start := time.Now()
	limit := make(chan struct{}, maxOutstanding)
	var schedules, calls errgroup.Group
	for i, class := range plan.Classes {
		classReport := newClassReport(class)
		report.Classes[class.Name] = classReport
		random := rand.New(rand.NewPCG(plan.Seed, uint64(i)))
		schedules.Go(func() error {
			for due := range arrivals(ctx, start, plan.Duration, class.Rate, random) {
				target := random.IntN(len(plan.Targets))
				id := callID(plan.Seed, random.Uint64())
				limit <- struct{}{}
				calls.Go(func() error {
					defer func() { <-limit }()
					// When ctx is canceled, calls that were sent still finish.
					call := sender{client: client, targets: plan.Targets, class: class}.send(context.WithoutCancel(ctx), id, target)
					call.Due, call.Latency = due, time.Since(start)-due
					mu.Lock()
					defer mu.Unlock()
					classReport.add(call)
					report.Calls = append(report.Calls, call)
					return nil
				})
			}
			return nil
		})
	}
	_ = schedules.Wait()
	_ = calls.Wait()
	return report
}

// arrivals yields the times at which calls are due, each at that time. The gaps
// are exponentially distributed, as with many independent callers.
func arrivals(ctx context.Context, start time.Time, duration time.Duration, rate float64, random *rand.Rand) func(func(time.Duration) bool) {
	return func(yield func(time.Duration) bool) {
		if rate <= 0 {
			return
		}
		due := time.Duration(0)
		for {
			due += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
			if due > duration {
				return
			}
			if pause := due - time.Since(start); pause > 0 {
				select {
				case <-time.After(pause):
				case <-ctx.Done():
					return
				}
			}
			if ctx.Err() != nil || !yield(due) {
				return
			}
		}
	}
}

func newClassReport(class Class) *ClassReport {
	return &ClassReport{
		Class:    class,
		Verdicts: make(map[string]int),
		Rules:    make(map[string]int),
		micros:   hdrhistogram.New(1, highestMicros, significantDigits),
	}
}

func (c *ClassReport) add(call Call) {
	c.Sent++
	last := call.Attempts[len(call.Attempts)-1]
	c.Verdicts[last.Verdict]++
	if last.Rule != "" {
		c.Rules[last.Rule]++
	}
	if !last.ok() {
		return
	}
	_ = c.micros.RecordValue(min(call.Latency.Microseconds(), highestMicros))
	if c.Class.Timeout == 0 || call.Latency <= c.Class.Timeout {
		c.InTime++
	}
}

// Quantile returns a percentile of the latency of answered calls.
func (c *ClassReport) Quantile(percent float64) time.Duration {
	return time.Duration(c.micros.ValueAtQuantile(percent)) * time.Microsecond
}

// InTimeShare returns InTime as a fraction of Sent, or 0 if no call was sent.
func (c *ClassReport) InTimeShare() float64 {
	if c.Sent == 0 {
		return 0
	}
	return float64(c.InTime) / float64(c.Sent)
}
