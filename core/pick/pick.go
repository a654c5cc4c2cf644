// Package pick chooses the node whose backend server gets a request.
//
// # Picker
//
// A [Picker] keeps, for each node, the load that it reported in its last answer and
// the requests sent since:
//
//	var p pick.Picker
//	choice, ok := p.Pick(now, ready, pick.Request{Zone: "catania", Class: "stock", Random: rand.Float64})
//	p.Sent(choice.Entry)
//	p.Answered(now, choice.Entry, "stock", load)
//
// # Score
//
// The node with the lowest score is picked. The score is the expected number of
// requests relative to the slots, plus penalties for another availability zone, for
// a server that fails requests, and for one that is too slow to answer in time. So a
// request stays in its zone as long as that zone has free slots, and a failing server
// gets only the requests that the others cannot take. Unreachable nodes are excluded
// for a while, unless there is no other. Nodes that have just refused such a request are
// picked only if no other one can be reached.
package pick

import (
	"cmp"
	"slices"
	"time"

	messages "lavenderdeal/schema/roster"
)

const (
	// loadTTL is the age at which a reported load no longer affects the score.
	loadTTL = 1 * time.Second
	// crossZonePenalty is the penalty for another zone. It equals the score of requests
	// in nine tenths of a server's slots, so that a request leaves its zone only when the
	// slots there are in use.
	crossZonePenalty = 0.9
	// averageSmoothing is the weight of the newest value in the averages of a zone, and
	// maxUsualLoad bounds each load.
	averageSmoothing = 0.2
	maxUsualLoad     = 3
	// usualFraction is the part of the average of its zone that is expected of a server
	// without news, and otherZoneFraction that of all zones for a zone without news. Demand
	// often peaks in several zones at once, and a needless transfer between them costs more
	// than a short wait.
	usualFraction     = 0.9
	otherZoneFraction = 0.7
	// refusedTTL is the age at which refusals no longer keep requests from another zone.
	refusedTTL = 500 * time.Millisecond
	// queuedWeight is the weight of a queued request, relative to a running one.
	queuedWeight = 3
	// innerQueuedWeight is that for a request that goes before most queued ones.
	innerQueuedWeight = 1.5
	// latencyPenalty is the penalty for a usual running time equal to the time left,
	// so that faster servers are preferred while they have free slots.
	latencyPenalty = 0.6
	// innerLatencyPenalty is the penalty, in running requests, for a usual running time equal
	// to the average of the class at all servers, for a request that another one waits for:
	// that one holds a slot meanwhile, so that each millisecond counts, however much time is
	// left.
	innerLatencyPenalty = 2.0
	// latencyTTL is the age at which latencyPenalty has decayed to zero.
	latencyTTL = 5 * time.Second
	// crossZonePenaltyPerMiB is added to crossZonePenalty for each MiB of the body and of
	// the usual answer, and smallPenaltyPerMiB for each of the first KiB, up to
	// maxSmallPenalty: a few KiB are worth a short wait, but a long body that is refused is
	// sent again.
	crossZonePenaltyPerMiB = 20.0
	smallPenaltyPerMiB     = 130.0
	maxSmallPenalty        = 1.0
	// failurePenalty is the penalty for a server that fails all requests.
	failurePenalty = 2.0
	// latePenalty is the penalty for a server that is too slow for the target latency.
	latePenalty = 0.8
	// jitter is the maximum random part of the score, so that nodes with the same
	// view do not all pick the same server.
	jitter = 0.08
	// exclusionTime is how long an unreachable or stopping node is excluded unless it
	// is restored.
	exclusionTime = 20 * time.Second
	// minBackoff and maxBackoff bound the time for which an unreachable node stays
	// excluded even if it is restored. The time doubles with each consecutive
	// failure.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 4 * time.Second
	// maxAlternativeScore is the score from which a node is no alternative to a late answer of
	// another one: a body of 5 MiB rather waits than goes to another zone.
	maxAlternativeScore = 100.0
	// minRefusedShare is the share of refusals up to which requests are sent to another
	// zone. Above it they are sent with a lower probability, since each refusal there costs
	// a transfer between zones.
	minRefusedShare = 0.5
	// maxFewSlots is the number of slots up to which a server has few.
	maxFewSlots = 12
	// maxFullTime bounds the time for which a node counts as full after a refusal. A
	// busy server ends a few requests in that time.
	maxFullTime = 25 * time.Millisecond
	// maxClassFullTime is the same for requests with long answers, of which a narrow link
	// carries a few a second for all nodes together.
	maxClassFullTime = 500 * time.Millisecond
	// maxEjectedTime bounds the time for which a node counts as full because its server
	// fails requests.
	maxEjectedTime = 1 * time.Second
	// maxEjectedShare is the largest share of a service's servers that may get no requests
	// because they fail them. Beyond it, what fails is more likely a few requests that all
	// servers break off at, and the servers left could not carry the others.
	maxEjectedShare = 0.5
)

// LargeBodyBytes is the size from which a body is sent only after the receiving node
// has asked for it with 100 Continue. A body of this size takes 19 ms on a link of
// 7 Mbit/s.
const LargeBodyBytes = 16 << 10

// Load is the load that a server reports in an answer.
type Load struct {
	// Running and Queued are the numbers of requests at the server, and Limit is the
	// number of its slots.
	Running, Queued, Limit int
	// FailureRate is the share of its recent requests that the server failed, 0 to 1.
	FailureRate float64
	// RunTime is the usual running time of the request's class, or 0 if unknown.
	RunTime time.Duration
}

// Request describes the request for which a node is picked.
type Request struct {
	// Zone is the availability zone of the node that sends the request.
	Zone string
	// Class names requests with similar running times.
	Class string
	// Inner is set if a request that holds a slot waits for this one.
	Inner bool
	// BodyBytes is the size of the body in bytes.
	BodyBytes int
	// TimeLeft is the time left until the target latency.
	TimeLeft time.Duration
	// Tried holds the ids of nodes that must not be picked.
	Tried []string
	// Failing holds the ids of nodes that refused the request because their servers fail
	// requests. They are picked only if more than maxEjectedShare of the servers do.
	Failing []string
	// Random returns numbers in [0, 1).
	Random func() float64
}

// Picker picks nodes and keeps the state that this needs. The zero value is ready to
// use. It is not safe for concurrent use.
type Picker struct {
	nodes map[string]*node
	// usual holds the usual load of the servers of each group, relative to their slots, and
	// refused the share of the requests that the nodes of a group have refused.
	usual, refused map[group]average
	// runTimes holds the moving average of the reported running times of each class.
	runTimes map[string]time.Duration
	// answerBytes holds that of the sizes of the answers.
	answerBytes map[string]float64
}

// group identifies the servers of a service in an availability zone. The zone is empty for
// those of all zones.
type group struct {
	service, zone string
}

// average is a moving average of recent values.
type average struct {
	value     float64
	updatedAt time.Time
}

// node is the state of one node and its server.
type node struct {
	// epoch and server identify the server that the state belongs to.
	epoch  int
	server string

	// outstanding is the number of unanswered requests that the picker's own node sent.
	outstanding int
	// expected is the estimated number of requests at the server from all nodes.
	expected   int
	load       Load
	reportedAt time.Time
	// runTimes holds the usual running time of each class.
	runTimes map[string]time.Duration

	consecutiveFailures int
	// excludedUntil is when the exclusion of an unreachable node ends, and
	// backoffUntil when it ends if the node is restored.
	excludedUntil, backoffUntil time.Time
	// stoppingUntil is the time until which nothing is sent to the node because its
	// process is stopping.
	stoppingUntil time.Time
	// fullUntil and linkFullUntil are the times until which the node is expected to
	// refuse requests because its server is full, and large bodies because its link
	// is full.
	fullUntil, linkFullUntil time.Time
	// ejectedUntil is the time until which the node is expected to refuse requests because
	// its server fails them.
	ejectedUntil time.Time
	// classFullUntil holds the times until which the node is expected to refuse requests
	// of a class because its link is full of their answers.
	classFullUntil map[string]time.Time
}

// Choice is the node picked for a request.
type Choice struct {
	Entry messages.Entry
	// Full is set if the node is expected to refuse the request because it is full.
	Full bool
	// NoAlternative is set if no other node is expected to accept the request.
	NoAlternative bool
	// Failing is set if the node's server fails requests, but so do so many others that it
	// gets some all the same.
	Failing bool
	// Only is set if no other node is ready, be it full or not, or if Failing is set. Then the
	// node is to run the request even if its server fails requests.
	Only bool
}

// Pick returns the node for a request. It returns false if every node was tried or is
// stopping.
func (p *Picker) Pick(now time.Time, ready []messages.Entry, r Request) (Choice, bool) {
	best, bestScore, bestTier, found, accepting := 0, 0.0, tierOpen, false, 0
	ignoreEjections := p.ejectedShare(now, ready, r) > maxEjectedShare
	// One draw for all nodes, since those of a zone are full together.
	draw := 1 - r.Random()
	for i := range ready {
		e := &ready[i]
		if slices.Contains(r.Tried, e.Node) || p.isStopping(now, e) {
			continue
		}
		s, t := p.score(now, e, r), p.tier(now, e, r)
		if p.isEjected(now, e, r) {
			switch {
			case ignoreEjections:
				s += failurePenalty
			case slices.Contains(r.Failing, e.Node):
				continue
			default:
				t = max(t, tierFull)
			}
		}
		if e.Zone != r.Zone && !r.Inner && p.refusedShare(now, e) > max(draw, minRefusedShare) {
			t = max(t, tierFull)
		}
		if t == tierOpen && s < maxAlternativeScore {
			accepting++
		}
		if !found || t < bestTier || t == bestTier && s < bestScore {
			best, bestScore, bestTier, found = i, s, t, true
		}
	}
	if !found {
		return Choice{}, false
	}
	failing := ignoreEjections && p.isEjected(now, &ready[best], r)
	return Choice{
		Entry:         ready[best],
		Full:          bestTier == tierFull,
		NoAlternative: accepting <= 1,
		Failing:       failing,
		Only:          len(ready) == 1 || failing,
	}, true
}

// ejectedShare returns the share of the servers that get no requests because they fail them,
// of those whose nodes can be reached.
func (p *Picker) ejectedShare(now time.Time, ready []messages.Entry, r Request) float64 {
	ejected, all := 0, 0
	for i := range ready {
		e := &ready[i]
		if p.isStopping(now, e) || p.tier(now, e, r) == tierUnreachable {
			continue
		}
		all++
		if p.isEjected(now, e, r) {
			ejected++
		}
	}
	return float64(ejected) / float64(max(all, 1))
}

// isEjected reports whether a node is expected to refuse the request because its server fails
// requests.
func (p *Picker) isEjected(now time.Time, e *messages.Entry, r Request) bool {
	n := p.nodes[e.Node]
	isKnown := n != nil && n.epoch == e.Epoch && n.server == e.Server
	return isKnown && now.Before(n.ejectedUntil) || slices.Contains(r.Failing, e.Node)
}

// HasFree returns true if a node that is not in tried is expected to accept a request at once: it is
// reachable, and neither has refused one a moment ago nor reported recently that all slots of its
// server are in use.
func (p *Picker) HasFree(now time.Time, ready []messages.Entry, r Request) bool {
	return slices.ContainsFunc(ready, func(e messages.Entry) bool {
		if slices.Contains(r.Tried, e.Node) || p.isStopping(now, &e) {
			return false
		}
		n := p.nodes[e.Node]
		if n == nil || n.epoch != e.Epoch || n.server != e.Server {
			return true
		}
		isFullyUsed := now.Sub(n.reportedAt) < loadTTL && n.expected >= e.Slots
		return !isFullyUsed && !now.Before(n.excludedUntil) && !now.Before(n.ejectedUntil) && !n.isFull(now, r)
	})
}

// isStopping returns true if nothing is sent to the node because its process is stopping.
func (p *Picker) isStopping(now time.Time, e *messages.Entry) bool {
	n := p.nodes[e.Node]
	return n != nil && n.epoch == e.Epoch && now.Before(n.stoppingUntil)
}

// tier is what is expected of a node. A node of a lower tier is picked whatever the scores are:
// no way is too long if all nodes nearby refuse the request.
type tier int

const (
	tierOpen tier = iota
	tierFull
	tierUnreachable
)

// tier returns whether a node is expected to refuse the request, or not to answer.
func (p *Picker) tier(now time.Time, e *messages.Entry, r Request) tier {
	n := p.nodes[e.Node]
	switch {
	case n == nil || n.epoch != e.Epoch || n.server != e.Server:
	case now.Before(n.excludedUntil):
		return tierUnreachable
	case n.isFull(now, r):
		return tierFull
	}
	return tierOpen
}

// score returns the node's score for the request. The lowest score of a tier is picked.
func (p *Picker) score(now time.Time, e *messages.Entry, r Request) float64 {
	s := jitter * r.Random()
	if e.Zone != r.Zone {
		mib := (float64(r.BodyBytes) + p.answerBytes[r.Class]) / (1 << 20)
		s += crossZonePenalty + min(smallPenaltyPerMiB*mib, maxSmallPenalty) + crossZonePenaltyPerMiB*mib
	}
	slots := float64(max(e.Slots, 1))
	n := p.nodes[e.Node]
	if n == nil || n.epoch != e.Epoch || n.server != e.Server {
		return s + loadScore(p.usualLoad(now, e)+1/slots, r.Inner && HasFewSlots(*e))
	}
	if now.Before(n.excludedUntil) {
		s += n.excludedUntil.Sub(now).Seconds()
	}
	freshness := 1 - min(1, float64(now.Sub(n.reportedAt))/float64(loadTTL))
	requests := (1 - freshness) * max(p.usualLoad(now, e)*slots, float64(n.outstanding))
	requests += freshness * float64(max(n.expected, n.outstanding))
	s += loadScore((requests+1)/slots, r.Inner && HasFewSlots(*e)) + failurePenalty*freshness*n.load.FailureRate
	if took := n.runTimes[r.Class]; r.Inner && took > 0 && HasFewSlots(*e) {
		s += innerLatencyPenalty / slots * float64(took) / float64(p.runTimes[r.Class])
	} else if took > r.TimeLeft {
		s += latePenalty * freshness
	} else if r.TimeLeft > 0 {
		age := min(1, float64(now.Sub(n.reportedAt))/float64(latencyTTL))
		s += latencyPenalty * (1 - age) * float64(took) / float64(r.TimeLeft)
	}
	return s
}

// HasFewSlots reports whether a server has so few slots that all of them are often in use
// while another server has a free one. With many slots, old news of the load is good enough.
func HasFewSlots(e messages.Entry) bool { return e.Slots <= maxFewSlots }

// loadScore returns the part of the score for a number of requests relative to the slots.
func loadScore(load float64, inner bool) float64 {
	switch {
	case load <= 1:
		return load
	case inner:
		return 1 + innerQueuedWeight*(load-1)
	}
	return 1 + queuedWeight*(load-1)
}

// usualLoad returns the load that is expected of a server without recent news: a little less
// than that of the servers of its zone or, without news of these, of its service, so that
// there will be news.
func (p *Picker) usualLoad(now time.Time, e *messages.Entry) float64 {
	if !HasFewSlots(*e) {
		return 0
	}
	if a := p.usual[group{service: e.Service, zone: e.Zone}]; now.Sub(a.updatedAt) < loadTTL {
		return usualFraction * a.value
	}
	if a := p.usual[group{service: e.Service}]; now.Sub(a.updatedAt) < loadTTL {
		return otherZoneFraction * a.value
	}
	return 0
}

// refusedShare returns the share of recent requests that the nodes of a zone refused, or 0
// without recent news.
func (p *Picker) refusedShare(now time.Time, e *messages.Entry) float64 {
	if !HasFewSlots(*e) {
		return 0
	}
	a := p.refused[group{service: e.Service, zone: e.Zone}]
	if now.Sub(a.updatedAt) >= refusedTTL {
		return 0
	}
	return a.value
}

// observe adds a reported load to the averages of the server's zone and service.
func (p *Picker) observe(now time.Time, e messages.Entry, l Load) {
	if l.Limit <= 0 {
		return
	}
	if p.usual == nil {
		p.usual = make(map[group]average)
	}
	load := min(float64(max(l.Running, 0)+max(l.Queued, 0))/float64(l.Limit), maxUsualLoad)
	add(p.usual, group{service: e.Service, zone: e.Zone}, now, load)
	add(p.usual, group{service: e.Service}, now, load)
}

// observeRefusal adds to the share of refusals whether a node has refused a request.
func (p *Picker) observeRefusal(now time.Time, e messages.Entry, refused float64) {
	if p.refused == nil {
		p.refused = make(map[group]average)
	}
	add(p.refused, group{service: e.Service, zone: e.Zone}, now, refused)
}

// observeRunTime adds a reported running time to the average of its class.
func (p *Picker) observeRunTime(class string, took time.Duration) {
	if p.runTimes == nil {
		p.runTimes = make(map[string]time.Duration)
	}
	mean := cmp.Or(p.runTimes[class], took)
	p.runTimes[class] = mean + time.Duration(averageSmoothing*float64(took-mean))
}

// add adds a value to the average of a group, which it replaces if that is old.
func add(averages map[group]average, k group, now time.Time, value float64) {
	a := averages[k]
	if now.Sub(a.updatedAt) >= loadTTL {
		a.value = value
	}
	a.value += averageSmoothing * (value - a.value)
	a.updatedAt = now
	averages[k] = a
}

// Sent counts a request that was sent to a node.
func (p *Picker) Sent(e messages.Entry) {
	n := p.stateOf(e)
	n.outstanding++
	n.expected++
}

// Answered ends a request that the node answered and stores the load it reported.
func (p *Picker) Answered(now time.Time, e messages.Entry, class string, l Load) {
	n := p.end(e)
	n.consecutiveFailures, n.excludedUntil, n.fullUntil, n.linkFullUntil = 0, time.Time{}, time.Time{}, time.Time{}
	delete(n.classFullUntil, class)
	n.load, n.reportedAt = l, now
	p.observe(now, e, l)
	n.expected = l.Running + l.Queued
	if l.RunTime > 0 {
		if n.runTimes == nil {
			n.runTimes = make(map[string]time.Duration)
		}
		n.runTimes[class] = l.RunTime
		p.observeRunTime(class, l.RunTime)
	}
}

// Refused records that a node refused a request because it is full. retryAfter is the
// time after which the node expects to have a free slot.
func (p *Picker) Refused(now time.Time, e messages.Entry, retryAfter time.Duration) {
	p.observeRefusal(now, e, 1)
	p.stateOf(e).fullUntil = now.Add(min(retryAfter, maxFullTime))
}

// Accepted records that a node had room for a request.
func (p *Picker) Accepted(now time.Time, e messages.Entry) { p.observeRefusal(now, e, 0) }

// ObserveAnswer records the size of an answer in bytes.
func (p *Picker) ObserveAnswer(class string, bytes int) {
	if p.answerBytes == nil {
		p.answerBytes = make(map[string]float64)
	}
	mean, known := p.answerBytes[class]
	if !known {
		mean = float64(bytes)
	}
	p.answerBytes[class] = mean + averageSmoothing*(float64(bytes)-mean)
}

// Ejected records that a node refused a request because its server fails requests. after is
// the time until the server gets requests again.
func (p *Picker) Ejected(now time.Time, e messages.Entry, after time.Duration) {
	p.stateOf(e).ejectedUntil = now.Add(min(after, maxEjectedTime))
}

// AnswerBytes returns the usual size of the answers of a class in bytes, or 0 if unknown.
func (p *Picker) AnswerBytes(class string) int { return int(p.answerBytes[class]) }

// RefusedLargeBody records that a node refused a large body because its link is full.
// retryAfter is the time after which the node expects to accept one.
func (p *Picker) RefusedLargeBody(now time.Time, e messages.Entry, retryAfter time.Duration) {
	p.stateOf(e).linkFullUntil = now.Add(min(retryAfter, maxFullTime))
}

// RefusedClass records that a node refused a request because its link is full of the long
// answers of the request's class. retryAfter is the time after which the node expects to
// accept one.
func (p *Picker) RefusedClass(now time.Time, e messages.Entry, class string, retryAfter time.Duration) {
	n := p.stateOf(e)
	if n.classFullUntil == nil {
		n.classFullUntil = make(map[string]time.Time)
	}
	n.classFullUntil[class] = now.Add(min(retryAfter, maxClassFullTime))
}

// isFull reports whether the node is expected to refuse the request.
func (n *node) isFull(now time.Time, r Request) bool {
	return now.Before(n.fullUntil) || r.BodyBytes >= LargeBodyBytes && now.Before(n.linkFullUntil) || now.Before(n.classFullUntil[r.Class])
}

// LastAnswer returns when a node last answered a request, or the zero time.
func (p *Picker) LastAnswer(e messages.Entry) time.Time { return p.stateOf(e).reportedAt }

// RunTime returns the usual running time of a class at a node, or 0 if unknown.
func (p *Picker) RunTime(e messages.Entry, class string) time.Duration {
	return p.stateOf(e).runTimes[class]
}

// Abandoned ends a request whose caller no longer waits for the answer. It does not
// affect the node's score otherwise.
func (p *Picker) Abandoned(e messages.Entry) { p.end(e) }

// Failed ends a request that did not reach the node or was not answered. The node is
// excluded until exclusionTime has passed, or until it is restored and its backoff has
// ended.
func (p *Picker) Failed(now time.Time, e messages.Entry) {
	n := p.end(e)
	if now.Before(n.excludedUntil) {
		return
	}
	n.consecutiveFailures++
	n.excludedUntil = now.Add(exclusionTime)
	n.backoffUntil = now.Add(min(maxBackoff, minBackoff<<min(n.consecutiveFailures-1, 8)))
}

// Stopping ends a request that the node refused because its process is stopping.
// Nothing is sent to the node until it is restored, a new process replaces it or
// exclusionTime has passed, because a request that the end of the process interrupts
// may or may not have been executed.
func (p *Picker) Stopping(now time.Time, e messages.Entry) {
	p.end(e).stoppingUntil = now.Add(exclusionTime)
}

// Restore records that a node that failed or was stopping answers again. A node that
// failed stays excluded until its backoff has ended.
func (p *Picker) Restore(e messages.Entry) {
	n := p.stateOf(e)
	n.excludedUntil, n.stoppingUntil = n.backoffUntil, time.Time{}
}

// end removes one outstanding request from the node's state and returns the state.
func (p *Picker) end(e messages.Entry) *node {
	n := p.stateOf(e)
	n.outstanding = max(0, n.outstanding-1)
	n.expected = max(0, n.expected-1)
	return n
}

// stateOf returns the state of a node. It is new if the node's process or server was
// replaced.
func (p *Picker) stateOf(e messages.Entry) *node {
	if p.nodes == nil {
		p.nodes = make(map[string]*node)
	}
	n := p.nodes[e.Node]
	if n == nil || n.epoch != e.Epoch || n.server != e.Server {
		n = &node{epoch: e.Epoch, server: e.Server}
		p.nodes[e.Node] = n
	}
	return n
}
