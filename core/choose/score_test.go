package choose

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// rule is a way to choose among the servers of a simulation.
type rule struct {
	name string
	// looks is how many random servers are compared, or 0 for all.
	looks int
	score func(l *load, now time.Time, callers int) float64
}

var (
	plainRule = rule{"two choices, own calls and reported load", 2, func(l *load, now time.Time, _ int) float64 {
		return float64(l.outstanding) + l.faded(now)
	}}
	adoptedRule = rule{"8 servers, paper's score, callers estimated", compared, estimatedScore}
)

func rules() []rule {
	return []rule{
		{"random", 1, func(*load, time.Time, int) float64 { return 0 }},
		{"two choices, own calls", 2, func(l *load, _ time.Time, _ int) float64 { return float64(l.outstanding) }},
		plainRule,
		{"two choices, paper's score", 2, paperScore},
		{"all servers, paper's score", 0, paperScore},
		{"4 servers, paper's score", 4, paperScore},
		{"8 servers, paper's score", 8, paperScore},
		{"two choices, paper's score, callers estimated", 2, estimatedScore},
		adoptedRule,
		{"8 servers, own calls and reported load", 8, func(l *load, now time.Time, _ int) float64 {
			return float64(l.outstanding) + l.faded(now)
		}},
	}
}

// paperScore is the larger of the reported load, with the own sends since then,
// and the own outstanding calls scaled by the number of callers.
func paperScore(l *load, now time.Time, callers int) float64 {
	return max(l.faded(now)+float64(l.sent), float64(l.outstanding*callers))
}

func estimatedScore(l *load, now time.Time, _ int) float64 { return l.calls(now) }

type fleetSim struct {
	callers, servers, slots int
	// utilization is the offered load as a share of the capacity.
	utilization float64
	// slow servers take twice the time.
	slow int
}

type simStep struct {
	at             time.Time
	kind           int
	caller, server int
	begun          time.Time
}

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

// run returns the mean and the 99th percentile of the time of a call.
func (f fleetSim) run(choice rule) (mean, p99 time.Duration) {
	const (
		work  = 10 * time.Millisecond
		hop   = 500 * time.Microsecond
		calls = 60_000
	)
	r := rand.New(rand.NewPCG(3, 4))
	known := make([][]load, f.callers)
	for i := range known {
		known[i] = make([]load, f.servers)
		callers := &callerCount{}
		for j := range known[i] {
			known[i][j].callers = callers
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
			server := f.choose(choice, known[caller], now, r)
			known[caller][server].outstanding++
			known[caller][server].sent++
			heap.Push(&steps, simStep{at: now.Add(hop), kind: stepReceived, caller: caller, server: server, begun: now})
			heap.Push(&steps, simStep{at: now.Add(time.Duration(r.ExpFloat64() / rate * float64(time.Second)))})
		case stepReceived:
			if running[s.server] < f.slots {
				start(s)
			} else {
				waiting[s.server] = append(waiting[s.server], s)
			}
		case stepEnded:
			running[s.server]--
			if line := waiting[s.server]; len(line) > 0 {
				waiting[s.server] = line[1:]
				start(line[0])
			}
			s.at, s.kind = now.Add(hop), stepAnswered
			heap.Push(&steps, s)
		case stepAnswered:
			l := &known[s.caller][s.server]
			l.outstanding--
			l.report(now, running[s.server]+len(waiting[s.server]))
			took = append(took, now.Sub(s.begun))
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

func (f fleetSim) choose(choice rule, known []load, now time.Time, r *rand.Rand) int {
	looks := choice.looks
	if looks == 0 {
		looks = len(known)
	}
	looks = min(looks, len(known))
	offset := r.IntN(len(known))
	best := -1
	lowest := 0.0
	for i := range looks {
		server := (offset + i) % len(known)
		if choice.looks == 2 {
			server = r.IntN(len(known))
		}
		if s := choice.score(&known[server], now, f.callers); best < 0 || s < lowest {
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

// BenchmarkScores prints the time of a call by each rule of choice.
//
//	go test ./core/choose -run '^$' -bench Scores -benchtime 1x -v
func BenchmarkScores(b *testing.B) {
	for b.Loop() {
		for _, f := range fleetSims {
			for _, choice := range rules() {
				mean, p99 := f.sim.run(choice)
				b.Logf("| %s | %s | %.1f | %.1f |", f.name, choice.name, mean.Seconds()*1e3, p99.Seconds()*1e3)
			}
		}
	}
}
