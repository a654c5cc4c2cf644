// Package uplink shares the outgoing bandwidth of an instance's network link between long
// answers and everything else.
//
// # Load
//
// Servers that send long answers over a narrow link: the link is full before the server is,
// each packet waits behind the answers that were written before, and short answers, control
// messages and probes miss their deadlines.
//
// # Use
//
// A request of a class whose answers are usually long is admitted only if its answer is
// expected to be delivered in time. Long answers leave one after the other, each in parts
// at the pace of the link, so that no queue builds up in the network and the first of them
// is not delayed by later ones:
//
//	t, refused := u.Admit(now, uplink.Request{Class: "plans", Target: target, Deadline: deadline})
//	if refused != nil {
//		refuse(refused.RetryAfter)
//	}
//	u.End(now, t, bytes)
//	s := u.Reserve(now, bytes)
//	for sent < bytes {
//		wait(s.Wait(now, sent))
//	}
package uplink

import (
	"slices"
	"time"
)

// LongAnswer is the mean size in bytes from which the answers of a class are long.
const LongAnswer = 32 << 10

const (
	// messageOverhead is the size in bytes of an answer without its body: the head and the
	// packets that open and close connections.
	messageOverhead = 600
	// smoothing is the weight of the newest value in the moving averages.
	smoothing = 0.1
	// maxClasses bounds the number of classes whose sizes are tracked.
	maxClasses = 256
	// maxTime bounds the time that an answer is expected to take.
	maxTime = 24 * time.Hour
	// burst is for how long a part may be sent ahead of its time. It is the queue that
	// builds up on the link.
	burst = 20 * time.Millisecond
	// retryAnswers is the number of long answers after which a refused request is offered
	// again at the earliest. All nodes wait for the same link, and the offers take some of
	// its bandwidth.
	retryAnswers = 6
	// marginDeviations is the number of mean deviations of the estimate by which an answer must
	// be expected before its target. About one in twenty answers is later than that.
	marginDeviations = 2
	// maxBacklog is the time for which the link is reserved at most when a short message is
	// counted. Short messages leave at once, so that a longer backlog only shows that their
	// sizes were overestimated.
	maxBacklog = 5 * time.Second
	// lateDivisor is the part of the time until its deadline in which a late answer must be
	// expected to arrive.
	lateDivisor = 2
	// An idle link admits a request each relearnPeriod although its answer is expected to take
	// too long, because no size would be learned otherwise. Its size has relearnWeight.
	relearnPeriod = 1 * time.Second
	relearnWeight = 0.5
)

// Request describes a request whose answer will be sent over the link.
type Request struct {
	// Class names requests with answers of similar sizes.
	Class string
	// RunTime is the expected time until the answer is ready.
	RunTime time.Duration
	// Target is when the target latency ends, and Deadline when the caller stops waiting.
	Target, Deadline time.Time
	// AllowLate admits a request whose answer would be late even on an idle link, unless the
	// link is busy for long. A request that is late only because the link is busy is refused
	// in any case, since its answer would make others late.
	AllowLate bool
	// MustFinish is set if a running request waits for the answer, so that it only needs to
	// arrive by the deadline.
	MustFinish bool
}

// Refused is the outcome of a request that is not admitted.
type Refused struct {
	// RetryAfter is the expected time until a request like it is admitted.
	RetryAfter time.Duration
}

// Ticket is an admitted request. End must be called with it once.
type Ticket struct {
	class string
	// expected is the expected size of the answer in bytes, or 0 if it is not long.
	expected float64
	// leaves is when it was expected to have been sent.
	leaves time.Time
	// relearns is set if the answer shows whether the expected size is still true.
	relearns bool
}

// Uplink holds what was reserved of a link. Use New to create one. It is not safe for
// concurrent use.
type Uplink struct {
	bytesPerSecond float64
	// free is when the link will have sent all reserved bytes.
	free time.Time
	// expected is the sum of the expected sizes of the answers of admitted requests.
	expected float64
	// sizes holds the moving average of the size of answers, by class.
	sizes map[string]float64
	// lateness is the moving average of the time by which long answers were sent later than
	// expected, and deviation that of the distance from it. Sizes and running times vary, and
	// the short answers that arrive meanwhile are sent before.
	lateness, deviation time.Duration
	// slots holds the slots of long answers that have not ended.
	slots []*Slot
	// relearned is when a request was admitted for the size of its answer.
	relearned time.Time
}

// New returns an uplink that sends a number of bytes per second, which must be positive.
func New(bytesPerSecond float64) *Uplink {
	return &Uplink{bytesPerSecond: bytesPerSecond, sizes: make(map[string]float64)}
}

// Admit admits a request unless its answers are long and this one is expected to arrive too
// late.
func (u *Uplink) Admit(now time.Time, r Request) (Ticket, *Refused) {
	size := u.sizes[r.Class]
	if size < LongAnswer {
		return Ticket{class: r.Class}, nil
	}
	// The answers that are expected leave before this one, which is ready last.
	sent := u.freeAt(now).Add(u.timeFor(u.expected))
	busy := sent.Sub(now)
	isLinkFree := false
	if ready := now.Add(r.RunTime); ready.After(sent) {
		sent, isLinkFree = ready, true
	}
	// The link to the caller may be as narrow.
	transfer := 2 * u.timeFor(size)
	arrives := sent.Add(transfer)
	limit, isTarget := r.limit(now, transfer)
	if isTarget {
		limit = limit.Add(-u.margin(busy))
	}
	// The link refuses nothing for its running time alone, which is the gate's to judge: a
	// running time is only learned from runs.
	isSlowServer := isLinkFree && !isTarget && !now.Add(transfer).After(limit)
	if arrives.After(limit) && !isSlowServer {
		if u.mayRelearn(now, r) && now.Add(transfer).After(limit) {
			u.relearned = now
			u.expected += size
			return Ticket{class: r.Class, expected: size, relearns: true}, nil
		}
		return Ticket{}, &Refused{RetryAfter: max(retryAnswers*u.timeFor(size), arrives.Sub(limit))}
	}
	u.expected += size
	return Ticket{class: r.Class, expected: size, leaves: sent.Add(u.timeFor(size))}, nil
}

// limit returns when the answer must have arrived, and whether that is the target. The answer
// takes the transfer time on idle links.
func (r Request) limit(now time.Time, transfer time.Duration) (limit time.Time, isTarget bool) {
	switch {
	case r.MustFinish:
		return r.Deadline, false
	case r.AllowLate && now.Add(r.RunTime+transfer).After(r.Target):
		return now.Add(r.Deadline.Sub(now) / lateDivisor), false
	}
	return r.Target, true
}

// margin returns the time before its target at which an answer must be expected to arrive
// on a link that is busy for a time. An idle link needs none, since a refusal would leave it
// idle.
func (u *Uplink) margin(busy time.Duration) time.Duration {
	return min(max(u.lateness+marginDeviations*u.deviation, 0), busy)
}

// mayRelearn reports whether a request may be admitted for the size of its answer: the link
// is idle, and no other node is asked after this one.
func (u *Uplink) mayRelearn(now time.Time, r Request) bool {
	isIdle := u.expected == 0 && !u.free.After(now)
	return isIdle && (r.AllowLate || r.MustFinish) && now.Sub(u.relearned) >= relearnPeriod
}

// End ends an admitted request whose answer has a number of bytes, or 0 if there is none.
func (u *Uplink) End(now time.Time, t Ticket, bytes int) {
	u.expected -= t.expected
	if u.expected < LongAnswer/2 {
		// No answer is expected: the rest is the error of the sums.
		u.expected = 0
	}
	if bytes == 0 {
		return
	}
	if !t.leaves.IsZero() {
		late := u.freeAt(now).Add(u.timeFor(float64(bytes))).Sub(t.leaves)
		u.deviation += time.Duration(smoothing * float64((late-u.lateness).Abs()-u.deviation))
		u.lateness += time.Duration(smoothing * float64(late-u.lateness))
	}
	mean, ok := u.sizes[t.class]
	switch {
	case ok && t.relearns:
		u.sizes[t.class] = mean + relearnWeight*(float64(bytes)-mean)
	case ok:
		u.sizes[t.class] = mean + smoothing*(float64(bytes)-mean)
	case len(u.sizes) < maxClasses:
		u.sizes[t.class] = float64(bytes)
	}
}

// Slot is the time for which the link is reserved for an answer.
type Slot struct {
	start, end     time.Time
	bytesPerSecond float64
}

// Reserve reserves the link for an answer with a body of a size in bytes, after all that was
// reserved before.
func (u *Uplink) Reserve(now time.Time, bytes int) *Slot {
	s := &Slot{start: u.freeAt(now), bytesPerSecond: u.bytesPerSecond}
	if bytes < LongAnswer && s.start.Sub(now) > maxBacklog {
		s.end = s.start
		return s
	}
	s.end = s.start.Add(u.timeFor(float64(bytes + messageOverhead)))
	u.free = s.end
	if bytes >= LongAnswer {
		u.slots = slices.DeleteFunc(u.slots, func(other *Slot) bool { return !other.end.After(now) })
		u.slots = append(u.slots, s)
	}
	return s
}

// Release ends a slot after a number of bytes was sent, and returns true if time is left of
// it, because the receiver has gone. The answers behind it move up by that time.
func (u *Uplink) Release(now time.Time, s *Slot, sent int) bool {
	end := s.start.Add(timeFor(float64(sent+messageOverhead), s.bytesPerSecond))
	if end.Before(now) {
		end = now
	}
	unused := s.end.Sub(end)
	if unused <= 0 {
		return false
	}
	for _, other := range u.slots {
		if !other.start.Before(s.end) {
			other.start, other.end = other.start.Add(-unused), other.end.Add(-unused)
		}
	}
	s.end = end
	u.free = u.free.Add(-unused)
	return true
}

// TryReserve reserves the link for a message that is only of use within a time. It returns
// false if the link cannot send it by then.
func (u *Uplink) TryReserve(now time.Time, bytes int, within time.Duration) (*Slot, bool) {
	if u.freeAt(now).Sub(now)+u.timeFor(float64(bytes)) > within {
		return nil, false
	}
	return u.Reserve(now, bytes), true
}

// Wait returns the time until the next part of the answer may be sent, of which a number of
// bytes has been sent. It becomes shorter when a slot before this one is released.
func (s *Slot) Wait(now time.Time, sent int) time.Duration {
	at := s.start.Add(timeFor(float64(sent), s.bytesPerSecond))
	return max(0, at.Sub(now)-burst)
}

// Relays reports whether the answer of another node, of a size in bytes, would be sent on in
// time for the request.
func (u *Uplink) Relays(now time.Time, r Request, bytes int) bool {
	if bytes < LongAnswer {
		return true
	}
	transfer := u.timeFor(float64(bytes))
	sent := u.freeAt(now).Add(u.timeFor(u.expected))
	if received := now.Add(r.RunTime + transfer); received.After(sent) {
		sent = received
	}
	limit, _ := r.limit(now, 2*transfer)
	return !sent.Add(transfer).After(limit)
}

// Backlog returns the time until the link has sent all reserved bytes.
func (u *Uplink) Backlog(now time.Time) time.Duration { return u.freeAt(now).Sub(now) }

// freeAt returns when the link has sent all reserved bytes: now if it has.
func (u *Uplink) freeAt(now time.Time) time.Time {
	if u.free.Before(now) {
		return now
	}
	return u.free
}

func (u *Uplink) timeFor(bytes float64) time.Duration { return timeFor(bytes, u.bytesPerSecond) }

func timeFor(bytes, bytesPerSecond float64) time.Duration {
	return time.Duration(min(bytes/bytesPerSecond*float64(time.Second), float64(maxTime)))
}
