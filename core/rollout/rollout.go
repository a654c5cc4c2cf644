// Package rollout decides on an order to move the requests of a service to servers of
// another version: how many requests these get on trial, whether the version is good, and
// when the servers of the old version get none.
//
// # Plan
//
// A [Plan] is asked about once a second with what is known, and returns the next step:
//
//	p := rollout.New(rollout.Order{Target: "v2", Duration: time.Minute}, 0.07)
//	step := p.Next(rollout.Facts{Age: age, Old: old, New: ready, Total: all, Recent: last})
//
// # Evidence
//
// Both versions are compared side by side, by class and in the same windows: since the
// order, and in the last seconds for faults that begin late. Few answers prove no fault; a
// version that has no more than these at the end is good if they are more likely of a good
// version than of a bad one. If one server alone is worse, it is left out, and the
// other ones are judged.
//
// # Load
//
// The requests on trial go to few servers at a time, so that each of them has as many as a
// server of the old version. If the share does not suffice for one server, they go there in
// bursts. With a service that gets few requests, the slack is used beside the share, until
// there are answers enough. If no server of the old version is left, all servers on trial get what the share
// allows.
package rollout

import (
	"fmt"
	"slices"
	"time"
)

const (
	// fewRuns is the number of answers of the new version from which it is taken for good
	// unless a fault is proven. Below it, the answers must speak for it.
	fewRuns = 60
	// minSlots is the part of the old servers' slots that the new ones must have.
	minSlots = 0.6
	// maxWeight bounds the part of the requests that a burst takes, or a trial beyond its share.
	maxWeight = 0.34
	// The slack is used if less than wantedRuns answers are to be expected. What the service
	// gets is known after rateTime.
	wantedRuns = 40
	rateTime   = 3 * time.Second
	// burst is how long the servers on trial have as much load as others if the share does
	// not suffice for that all the time.
	burst = 1500 * time.Millisecond
	// rotation is the time after which other servers are on trial.
	rotation = 4 * time.Second
	// The last part of the time, at most maxCutOver and a third, is for moving the requests
	// off the old servers. Until then the version is judged.
	maxCutOver      = 6 * time.Second
	cutOverFraction = 3
	// writeTime is the end of that part, in which the verdict must be written.
	writeTime = 1 * time.Second
	// inForceTime is how long a plan may know no server of another version before the version
	// counts as in force. A node that has just started learns of the servers one by one.
	inForceTime = 2 * time.Second
	// unknownTime is how long a service may be missing from the configuration.
	unknownTime = 5 * time.Second
	// minOthersRuns is the number of answers of the other servers from which few failures of
	// theirs tell that a server is not alone with its fault.
	minOthersRuns = 30
)

// The reasons of verdicts, besides the faults.
const (
	ReasonInForce   = "every server has this version"
	ReasonGood      = "no worse than the old version"
	ReasonNoServer  = "no server has this version"
	ReasonFew       = "too few answers to judge the version"
	ReasonNoSlots   = "too few servers have this version"
	ReasonNoService = "the service is not in the configuration"
	ReasonDeadline  = "the time of the order has passed"
)

// Phase is how far an order is.
type Phase uint8

// The phases. Completed and RolledBack are final.
const (
	// Trial means that the new version gets a small share.
	Trial Phase = iota
	// CutOver means that the new version gets all requests, and the old servers end those
	// that they run.
	CutOver
	Completed
	RolledBack
)

// IsFinal reports whether the phase is a verdict.
func (p Phase) IsFinal() bool { return p == Completed || p == RolledBack }

// Order is what the operators ask for.
type Order struct {
	// Target is the version of the servers' software.
	Target   string
	Duration time.Duration
}

// Server is a server that takes requests.
type Server struct {
	// Node is the node beside it.
	Node  string
	Slots int
	// Reports is set if the node has answered with its evidence. Others are not on trial.
	Reports bool
}

// Window is the evidence of one span of time.
type Window struct {
	// Old is that of the old version, and New that of the new one by node.
	Old Tallies
	New map[string]Tallies
}

// Facts are what is known when a step is decided.
type Facts struct {
	// Age is the time since the order was first seen.
	Age time.Duration
	// Old and New are the servers by version, in a fixed order.
	Old, New []Server
	// Requests is the number of requests since the order, whether they ran or not, at the
	// nodes that have answered.
	Requests int
	// Total is the evidence since the order, and Recent that of the last seconds.
	Total, Recent Window
	// OldIdle is set if all nodes beside old servers refuse requests and run none.
	OldIdle bool
	// CanWrite is set if the store answers.
	CanWrite bool
	// IsUnknown is set if the configuration lacks the service.
	IsUnknown bool
	// HadOld is set if a server of another version was known since the order, also before the
	// plan was made.
	HadOld bool
}

// Step is what the nodes do until the next one.
type Step struct {
	Phase Phase
	// Weight is the part of each node's requests that is for Servers, nodes beside new
	// servers. Limit is the part of all requests since the order that it must not exceed.
	// They matter only on trial.
	Weight, Limit float64
	Servers       []string
	// Reason says why a final phase was reached.
	Reason string
}

// Plan decides on one order. It is not safe for concurrent use.
type Plan struct {
	order Order
	share float64
	slack float64
	step  Step
	// sawOld is set once a server of another version was known.
	sawOld bool
	// hasNew is set once a server had the version, at the age newAt.
	hasNew bool
	newAt  time.Duration
	// hasLooked is set once Next was called, at first at the age firstLook.
	hasLooked bool
	firstLook time.Duration
	// suspect is a node whose server alone is worse than the others, or empty.
	suspect string
	// hasFew is set if the cut-over began with fewer than fewRuns answers.
	hasFew bool
}

// Option configures a Plan.
type Option func(*Plan)

// WithSlack sets the number of requests that the new version may get beyond its share where
// the share would give too few answers. The default is 0.
func WithSlack(n float64) Option { return func(p *Plan) { p.slack = n } }

// New returns the plan for an order that was just seen. The share is the part of the
// requests that the new version gets on trial at most.
func New(o Order, share float64, opts ...Option) *Plan {
	p := &Plan{order: o, share: share}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Resume returns the plan for an order on which another node has decided before.
func Resume(o Order, share float64, phase Phase, opts ...Option) *Plan {
	p := New(o, share, opts...)
	p.step, p.sawOld = Step{Phase: phase}, phase == CutOver
	return p
}

// Next returns the next step. RolledBack stays. Completed does not bind before the store holds
// it, so it is judged anew until the caller asks no more.
func (p *Plan) Next(f Facts) Step {
	if p.step.Phase.IsFinal() {
		return p.step
	}
	if !p.hasLooked {
		p.hasLooked, p.firstLook = true, f.Age
	}
	p.sawOld = p.sawOld || f.HadOld || len(f.Old) > 0
	if !p.hasNew && len(f.New) > 0 {
		p.hasNew, p.newAt = true, f.Age
	}
	if found := p.judge(f); found.kind != "" {
		return p.end(RolledBack, found.String())
	}
	if p.step.Phase == CutOver {
		return p.nextCutOver(f)
	}
	end := p.order.Duration - writeTime
	switch {
	case f.IsUnknown && f.Age >= min(unknownTime, end):
		return p.end(RolledBack, ReasonNoService)
	case !p.sawOld && len(f.New) > 0 && f.Age >= min(p.firstLook+inForceTime, end):
		if f.CanWrite {
			return p.end(Completed, ReasonInForce)
		}
	case f.Age >= p.order.Duration-p.cutOverTime():
		reason := p.missing(f)
		if reason == "" && f.CanWrite && f.Age < end {
			p.step, p.hasFew = Step{Phase: CutOver}, p.runs(f) < fewRuns
			return p.step
		}
		if f.Age >= end {
			if reason == "" {
				reason = ReasonDeadline
			}
			return p.end(RolledBack, reason)
		}
	}
	p.step = p.trial(f)
	return p.step
}

// nextCutOver ends the cut-over once the old servers are idle or the time is over.
func (p *Plan) nextCutOver(f Facts) Step {
	isOver := f.Age >= p.order.Duration-writeTime
	// A node that has just started may not know the servers of one of the versions.
	isNewHere := f.Age < p.firstLook+inForceTime
	isIdle := f.OldIdle && (len(f.Old) > 0 || !isNewHere)
	if p.hasFew && p.runs(f) < fewRuns {
		// The old servers are still there, and each further answer counts.
		isIdle = false
	}
	switch {
	case len(f.New) == 0 && len(f.Old) > 0 && !isNewHere:
		return p.end(RolledBack, ReasonNoServer)
	case f.CanWrite && (isIdle || isOver):
		return p.end(Completed, ReasonGood)
	}
	return p.step
}

func (p *Plan) end(phase Phase, reason string) Step {
	s := Step{Phase: phase, Reason: reason}
	if phase == RolledBack {
		p.step = s
	}
	return s
}

// Suspect returns the node whose server alone is worse than the others, or an empty string.
func (p *Plan) Suspect() string { return p.suspect }

// cutOverTime returns the last part of the time.
func (p *Plan) cutOverTime() time.Duration {
	return min(maxCutOver, p.order.Duration/cutOverFraction)
}

// missing returns why the version cannot be taken for good, or an empty reason.
func (p *Plan) missing(f Facts) string {
	switch {
	case len(f.New) == 0:
		return ReasonNoServer
	case p.runs(f) < fewRuns && !speakFor(f.Total.Old, p.answers(f.Total)):
		return ReasonFew
	case float64(slots(f.New)) < minSlots*float64(slots(f.Old)):
		return ReasonNoSlots
	}
	return ""
}

// answers returns the evidence of the new version in a window, without that of the suspect.
func (p *Plan) answers(w Window) Tallies {
	sum := make(Tallies)
	for node, t := range w.New {
		if node != p.suspect {
			sum.Merge(t)
		}
	}
	return sum
}

// runs returns the number of answers of the new version since the order.
func (p *Plan) runs(f Facts) int { return p.answers(f.Total).Runs() }

func slots(servers []Server) int {
	n := 0
	for _, s := range servers {
		n += s.Slots
	}
	return n
}

// trial returns the servers on trial and the part of the requests that they get.
func (p *Plan) trial(f Facts) Step {
	candidates := slices.DeleteFunc(slices.Clone(f.New), func(s Server) bool { return s.Node == p.suspect || !s.Reports })
	if len(candidates) == 0 {
		return Step{Phase: Trial}
	}
	limit := p.limit(f)
	if p.sawOld && len(f.Old) == 0 {
		// No other server takes requests. The senders keep the share all the same.
		s := Step{Phase: Trial, Weight: 1, Limit: limit}
		for _, c := range candidates {
			s.Servers = append(s.Servers, c.Node)
		}
		return s
	}
	// A server has this part of the requests.
	each := min(maxWeight, 1/float64(max(1, len(f.Old))))
	count := min(len(candidates), max(1, int(limit/each)))
	s := Step{Phase: Trial, Weight: each * float64(count), Limit: limit}
	if s.Weight > limit {
		period := time.Duration(float64(burst) * s.Weight / limit)
		if (f.Age-p.newAt)%period >= burst {
			s.Weight = 0
		}
	}
	first := int(f.Age/rotation) * count
	for i := range count {
		s.Servers = append(s.Servers, candidates[(first+i)%len(candidates)].Node)
	}
	return s
}

// limit returns the part of all requests since the order that the version may have got until
// now. At any time this is at most the share of them and the slack.
func (p *Plan) limit(f Facts) float64 {
	total := float64(f.Requests)
	if f.Age < rateTime || total == 0 || p.runs(f) >= wantedRuns {
		return p.share
	}
	timeLeft := p.order.Duration - p.cutOverTime() - p.newAt
	if p.share*total/f.Age.Seconds()*timeLeft.Seconds() >= wantedRuns {
		return p.share
	}
	return max(p.share, min(maxWeight, p.share+p.slack/total))
}

// judge returns the fault of the new version, or the zero value.
func (p *Plan) judge(f Facts) fault {
	if f.Recent.Old.Runs() < minOldRuns {
		// The old servers get no requests any more.
		f.Recent.Old = f.Total.Old
	}
	for _, w := range []Window{f.Total, f.Recent} {
		found := compare(w.Old, p.answers(w))
		if found.kind == "" {
			continue
		}
		if node := p.outlier(f, w); node != "" && found.bad < manyFaults {
			p.suspect = node
			continue
		}
		return found
	}
	return fault{}
}

// outlier returns the node whose server alone has faults, as far as is known, or an empty
// string. Only one server is left out: if the others turn out to have the fault too, it is
// that of the version.
func (p *Plan) outlier(f Facts, w Window) string {
	if p.suspect != "" || len(f.New) < 2 {
		return ""
	}
	for node, t := range w.New {
		others := make(Tallies)
		for other, o := range w.New {
			if other != node {
				others.Merge(o)
			}
		}
		if compare(w.Old, t).kind != "" && compare(w.Old, others).kind == "" && !isLikeFaulty(others, t) {
			return node
		}
	}
	return ""
}

// isLikeFaulty reports whether the others fail too, though too seldom for a proof.
func isLikeFaulty(others, faulty Tallies) bool {
	rate := float64(faulty.Failed()) / float64(faulty.Runs())
	return others.Runs() >= minOthersRuns && float64(others.Failed()) > rate*float64(others.Runs())/4
}

// String describes the fault for operators.
func (f fault) String() string {
	where := ""
	if f.class != "" {
		where = fmt.Sprintf(" of %s", f.class)
	}
	return fmt.Sprintf("%s%s: %d of %d, old version %d of %d", f.kind, where, f.bad, f.runs, f.oldBad, f.oldRuns)
}
