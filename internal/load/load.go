// Package load sends calls at a chosen rate and checks what comes back.
//
// # Open loop
//
// Calls are due at times that do not depend on the answers. A call that is sent
// late counts from when it was due, so a system that stalls shows it.
//
//	report := load.Run(ctx, load.Plan{
//		Targets:  targets,
//		Duration: 10 * time.Second,
//		Classes:  []load.Class{{Name: "dawn", Key: key, Service: "availability", Method: "GET", Rate: 200}},
//	})
//	fmt.Println(report.Classes["dawn"].Quantile(99))
//
// # Promises
//
// Every call carries an id that the stand-in backend servers record. [Check]
// compares what callers were told with what ran.
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
	// maxOutstanding bounds the calls of one run that are open at once.
	maxOutstanding = 4096
	highestMicros  = int64(10 * time.Minute / time.Microsecond)
	digits         = 3
	// maxResends bounds how often a keyed call is sent again.
	maxResends  = 2
	resendPause = 50 * time.Millisecond
)

// Plan is what is sent.
type Plan struct {
	// Targets are the caller addresses of nodes, taken in turn at random.
	Targets  []netip.AddrPort
	Classes  []Class
	Duration time.Duration
	Seed     uint64
	// Client sends the calls; nil takes a new one.
	Client *httpclient.Client
}

// Class is one kind of call.
type Class struct {
	Name string
	// Customer and Priority name the rows of the report.
	Customer, Priority string
	Key                string
	Service            string
	Method             string
	Path               string
	// Rate is in calls a second.
	Rate float64
	// Work is how long the stand-in server works on the call.
	Work time.Duration
	// Timeout is what the caller tells the node, 0 for nothing.
	Timeout time.Duration
	// BodyBytes is the length of the request body.
	BodyBytes int
	// Keyed calls carry an Idempotency-Key and are sent again while the outcome
	// is not known.
	Keyed bool
	// Crash makes the stand-in server end while it works on the call.
	Crash bool
	// Direct calls go to backend servers without a node in between.
	Direct bool
}

// Report is what came back.
type Report struct {
	Classes map[string]*ClassReport
	Calls   []Call
	// Duration is the time in which calls were due.
	Duration time.Duration
}

// ClassReport is what came back for one class.
type ClassReport struct {
	Class Class
	// Verdicts counts calls by their last verdict.
	Verdicts map[string]int
	// Rules counts refusals by rule.
	Rules map[string]int
	// Sent counts calls, each once however often it was sent again.
	Sent int
	// InTime counts calls that ran and were answered within the timeout.
	InTime int

	micros *hdrhistogram.Histogram
}

// Call is the history of one call.
type Call struct {
	ID    string
	Class string
	// Due is when the call was due, counted from the start of the run.
	Due time.Duration
	// Latency is the time from Due to the last answer.
	Latency time.Duration
	Sends   []Send
}

// Run sends the calls of a plan and waits for all answers.
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
					// A run that ends early lets the calls that were sent finish.
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

// arrivals yields the times at which calls are due, each when it has come. The
// gaps are exponential, as those of many independent callers.
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
		micros:   hdrhistogram.New(1, highestMicros, digits),
	}
}

func (c *ClassReport) add(call Call) {
	c.Sent++
	last := call.Sends[len(call.Sends)-1]
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

// Quantile returns a quantile in percent of the latency of answered calls.
func (c *ClassReport) Quantile(percent float64) time.Duration {
	return time.Duration(c.micros.ValueAtQuantile(percent)) * time.Microsecond
}

// InTimeShare returns the share of calls that ran and were answered in time.
func (c *ClassReport) InTimeShare() float64 {
	if c.Sent == 0 {
		return 0
	}
	return float64(c.InTime) / float64(c.Sent)
}
