// Package load generates calls to a fleet, measures their latency and verifies the
// answers.
//
// # Open loop
//
// [Run] sends calls at times that do not depend on the answers. Latency counts from
// the time at which a call was due, also if it was sent late, so that it includes
// the time during which a stalled system delays the calls.
//
//	report := load.Run(ctx, load.Plan{
//		Targets:  targets,
//		Duration: 10 * time.Second,
//		Classes:  []load.Class{{Name: "dawn", Key: key, Service: "availability", Method: "GET", Rate: 200}},
//	})
//	fmt.Println(report.Classes["dawn"].Percentile(99))
//
// # Guarantees
//
// Every call carries an id, under which the stand-in backend servers count the runs
// of the call. Every answer has a verdict on whether the call ran. [Check] compares
// the verdicts with the counts.
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
	// maxOutstanding is the largest number of calls of one run that wait for an answer
	// at the same time.
	maxOutstanding = 4096
	// maxLatencyMicros is the longest latency that is recorded; longer ones count as
	// this one.
	maxLatencyMicros = int64(10 * time.Minute / time.Microsecond)
	// significantDigits is the precision of the latency histogram.
	significantDigits = 3
	// maxRetries is the limit on the retries of a keyed call.
	maxRetries = 2
	retryPause = 50 * time.Millisecond
)

// Plan describes the calls of one run.
type Plan struct {
	// Targets are the caller addresses of nodes. Each call takes one at random.
	Targets []netip.AddrPort
	Classes []Class
	// Duration is the time during which calls are due.
	Duration time.Duration
	// Seed is the seed of the arrival times, targets and call ids.
	Seed uint64
	// Client sends the calls. If nil, Run creates one.
	Client *httpclient.Client
}

// Class describes calls of one kind.
type Class struct {
	Name string
	// Customer and Priority label the rows of the report.
	Customer, Priority string
	// Key is the API key of the customer.
	Key string
	// Service is the name of the called service.
	Service string
	// Method and Path are those of the HTTP request.
	Method string
	Path   string
	// Rate is in calls per second.
	Rate float64
	// Work is the run time of the call at the stand-in server, or 0 for none.
	Work time.Duration
	// Timeout is the timeout that is sent with the call, or 0 to send none.
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
	// Classes holds the results of each class by its name.
	Classes map[string]*ClassReport
	// Calls holds all calls in the order in which they ended.
	Calls []Call
	// Duration is the time during which calls were due.
	Duration time.Duration
}

// ClassReport holds the results of one class.
type ClassReport struct {
	Class Class
	// Verdicts counts calls by the verdict of their last attempt.
	Verdicts map[string]int
	// Rules counts calls by the rule that ended their last attempt, if there is one.
	Rules map[string]int
	// Sent counts calls. A retried call counts once.
	Sent int
	// InTime counts calls that a server answered within the timeout, or at all if the
	// class has no timeout.
	InTime int

	// micros holds the latencies of answered calls in microseconds.
	micros *hdrhistogram.Histogram
}

// Call is one call with all of its attempts.
type Call struct {
	// ID is sent with every attempt.
	ID string
	// Class is the name of the class.
	Class string
	// Due is the time at which the call was due, from the start of the run.
	Due time.Duration
	// Latency is the time from Due to the last answer.
	Latency  time.Duration
	Attempts []Attempt
}

// Run sends the calls of a plan, waits for all answers and returns the results. When
// ctx is done, it sends no further calls but still waits for the answers.
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
				id := callID()
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

// arrivals yields the times at which calls are due, counted from start, each when it
// has come. The rate is in calls per second. The gaps are exponentially distributed, as
// with many independent callers.
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
		micros:   hdrhistogram.New(1, maxLatencyMicros, significantDigits),
	}
}

// add counts a finished call.
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
	_ = c.micros.RecordValue(min(call.Latency.Microseconds(), maxLatencyMicros))
	if c.Class.Timeout == 0 || call.Latency <= c.Class.Timeout {
		c.InTime++
	}
}

// Percentile returns a percentile, from 0 to 100, of the latency of answered calls. It
// returns 0 if no call was answered.
func (c *ClassReport) Percentile(percent float64) time.Duration {
	return time.Duration(c.micros.ValueAtQuantile(percent)) * time.Microsecond
}

// InTimeShare returns InTime as a fraction of Sent, or 0 if no call was sent.
func (c *ClassReport) InTimeShare() float64 {
	if c.Sent == 0 {
		return 0
	}
	return float64(c.InTime) / float64(c.Sent)
}
