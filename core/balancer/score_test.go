package balancer

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// algorithm is a load-balancing algorithm under simulation.
type algorithm struct {
	name string
	// sample is the number of random servers that are compared, or 0 for all.
	sample int
	score  func(l *load, now time.Time, callers int) float64
}

var (
	twoChoicesAlgorithm = algorithm{"two choices, own calls and reported load", 2, func(l *load, now time.Time, _ int) float64 {
		return float64(l.outstanding) + l.decayed(now)
	}}
	// adoptedAlgorithm is the one that Picker uses.
	adoptedAlgorithm = algorithm{"8 servers, scaled score, callers estimated", sampleSize, estimatedScore}
)

// algorithms returns the algorithms that BenchmarkScores compares.
func algorithms() []algorithm {
	return []algorithm{
		{"random", 1, func(*load, time.Time, int) float64 { return 0 }},
		{"two choices, own calls", 2, func(l *load, _ time.Time, _ int) float64 { return float64(l.outstanding) }},
		twoChoicesAlgorithm,
		{"two choices, scaled score", 2, scaledScore},
		{"all servers, scaled score", 0, scaledScore},
		{"4 servers, scaled score", 4, scaledScore},
		{"8 servers, scaled score", 8, scaledScore},
		{"two choices, scaled score, callers estimated", 2, estimatedScore},
		adoptedAlgorithm,
		{"8 servers, own calls and reported load", 8, func(l *load, now time.Time, _ int) float64 {
			return float64(l.outstanding) + l.decayed(now)
		}},
	}
}

// scaledScore is the larger of the reported load plus the calls sent since, and the
// own outstanding calls times the true number of callers.
func scaledScore(l *load, now time.Time, callers int) float64 {
	return max(l.decayed(now)+float64(l.sentSince), float64(l.outstanding*callers))
}

// estimatedScore is scaledScore with the estimated number of callers.
func estimatedScore(l *load, now time.Time, _ int) float64 { return l.calls(now) }

type fleetSim struct {
	callers, servers, slots int
	// utilization is the offered load as a share of the capacity.
	utilization float64
	// slow is the number of servers that take twice the time.
	slow int
}

type simStep struct {
	at             time.Time
	kind           int
	caller, server int
	startedAt      time.Time
}

// The steps of a call: a caller sends it, a server receives it, the server ends it, and
// the caller receives the answer.
const (
	stepArrival = iota
	stepReceived
	stepEnded
	stepAnswered
)

type simSteps []simStep

func (h simSteps) Len() int           { return len(h) }
func (h simSteps) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h simSteps) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *simSteps) Push(x any)        { *h = append(*h, x.(simStep)) }
func (h *simSteps) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// run simulates the fleet and returns the mean and 99th percentile latency of calls.
func (f fleetSim) run(a algorithm) (mean, p99 time.Duration) {
	const (
		work         = 10 * time.Millisecond
		networkDelay = 500 * time.Microsecond
		calls        = 60_000
	)
	r := rand.New(rand.NewPCG(3, 4))
	loads := make([][]load, f.callers)
	for i := range loads {
		loads[i] = make([]load, f.servers)
		callers := &callerCount{}
		for j := range loads[i] {
			loads[i][j].callers = callers
		}
	}
	running := make([]int, f.servers)
	waiting := make([][]simStep, f.servers)
	rate := f.utilization * float64(f.servers*f.slots-f.slow*f.slots/2) / work.Seconds()
	var steps simSteps
	var took []time.Duration
	now := begin
	start := func(s simStep) {
		running[s.server]++
		d := r.ExpFloat64() * float64(work)
		if s.server < f.slow {
			d *= 2
		}
		s.at, s.kind = now.Add(time.Duration(d)), stepEnded
		heap.Push(&steps, s)
	}
	heap.Push(&steps, simStep{at: now})
	for len(took) < calls {
		s := heap.Pop(&steps).(simStep)
		now = s.at
		switch s.kind {
		case stepArrival:
			caller := r.IntN(f.callers)
			server := f.choose(a, loads[caller], now, r)
			loads[caller][server].outstanding++
			loads[caller][server].sentSince++
			heap.Push(&steps, simStep{at: now.Add(networkDelay), kind: stepReceived, caller: caller, server: server, startedAt: now})
			heap.Push(&steps, simStep{at: now.Add(time.Duration(r.ExpFloat64() / rate * float64(time.Second)))})
		case stepReceived:
			if running[s.server] < f.slots {
				start(s)
			} else {
				waiting[s.server] = append(waiting[s.server], s)
			}
		case stepEnded:
			running[s.server]--
			if queue := waiting[s.server]; len(queue) > 0 {
				waiting[s.server] = queue[1:]
				start(queue[0])
			}
			s.at, s.kind = now.Add(networkDelay), stepAnswered
			heap.Push(&steps, s)
		case stepAnswered:
			l := &loads[s.caller][s.server]
			l.outstanding--
			l.report(now, running[s.server]+len(waiting[s.server]))
			took = append(took, now.Sub(s.startedAt))
		}
	}
	took = took[calls/10:]
	sum := time.Duration(0)
	for _, d := range took {
		sum += d
	}
	slices.Sort(took)
	return sum / time.Duration(len(took)), took[len(took)*99/100]
}

// choose returns the index of the server with the lowest score in a random sample.
func (f fleetSim) choose(a algorithm, loads []load, now time.Time, r *rand.Rand) int {
	sample := a.sample
	if sample == 0 {
		sample = len(loads)
	}
	sample = min(sample, len(loads))
	offset := r.IntN(len(loads))
	best := -1
	lowest := 0.0
	for i := range sample {
		server := (offset + i) % len(loads)
		if a.sample == 2 {
			server = r.IntN(len(loads))
		}
		if s := a.score(&loads[server], now, f.callers); best < 0 || s < lowest {
			best, lowest = server, s
		}
	}
	return best
}

var fleetSims = []struct {
	name string
	sim  fleetSim
}{
	{"4 callers, 6 servers, 70%", fleetSim{4, 6, 18, 0.7, 0}},
	{"14 callers, 6 servers, 90%", fleetSim{14, 6, 18, 0.9, 0}},
	{"14 callers, 6 servers, 90%, 2 slow", fleetSim{14, 6, 18, 0.9, 2}},
	{"100 callers, 20 servers, 90%", fleetSim{100, 20, 12, 0.9, 0}},
	{"100 callers, 20 servers, 90%, 5 slow", fleetSim{100, 20, 12, 0.9, 5}},
}

// BenchmarkScores prints the mean and 99th percentile latency in milliseconds for
// each algorithm.
//
//	go test ./core/balancer -run '^$' -bench Scores -benchtime 1x -v
func BenchmarkScores(b *testing.B) {
	for b.Loop() {
		for _, f := range fleetSims {
			for _, a := range algorithms() {
				mean, p99 := f.sim.run(a)
				b.Logf("| %s | %s | %.1f | %.1f |", f.name, a.name, mean.Seconds()*1e3, p99.Seconds()*1e3)
			}
		}
	}
}
