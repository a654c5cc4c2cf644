// Package hop encodes the headers that the nodes of lavenderdeal/internal/mesh add to a
// request that one node forwards to another over HTTP, and to its answer. The nodes of
// lavenderdeal/internal/node use lavenderdeal/io/peercall instead.
//
// The request has one header field with its parameters for the node of the backend
// server. The answer has one with the outcome of the request and the load of the server:
//
//	hop.WriteCall(header, call)
//	call, err := hop.ReadCall(header)
//
// A node that misses an answer asks for the state of the request with a [Question].
//
// All are lists of short values separated by semicolons, since traffic between
// availability zones is billed by the byte.
package hop

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"lavenderdeal/core/pick"
)

const (
	headerCall   = "Lavenderdeal-Call"
	headerResult = "Lavenderdeal-Result"
	callFields   = 8
	resultFields = 10

	// The flags of a call on the wire.
	flagInner      = 'i'
	flagAllowLate  = 'p'
	flagAtMostOnce = 'o'
	flagOnlyFree   = 'f'
	flagOnlyNode   = 'l'
	flagRepeated   = 'r'
)

// Call holds the parameters of a forwarded request for the server's node.
type Call struct {
	// Origin is the service of the node that received the request first.
	Origin string
	// Instance identifies the process of the backend server that the request is for.
	// It changes when the server restarts.
	Instance string
	// Class is the name of a group of requests with similar running times.
	Class string
	// Rank is the priority of the request, where 0 is the most urgent one.
	Rank int
	// Inner is set if another request that holds a slot waits for this one.
	Inner bool
	// AllowLate is set if the request may be queued although it will miss its target.
	AllowLate bool
	// OnlyFree is set if the request must not be queued at all.
	OnlyFree bool
	// OnlyNode is set if no other node is beside a server of the service, or if most of these
	// servers fail requests, so that this one is to run the request even if it does.
	OnlyNode bool
	// AtMostOnce is set if the request must not run twice.
	AtMostOnce bool
	// Repeated is set if the request may have reached a server before, or is a call of a run
	// of such a request.
	Repeated bool
	// Account is the name of the caller's account, or empty if there is none.
	Account string
	// Target is the time left until the target latency, after which the answer loses
	// value. TimeLeft is how much longer the caller waits.
	Target, TimeLeft time.Duration
}

// Verdict is the outcome of a request.
type Verdict byte

// The verdicts.
const (
	// Ran means that the backend server ran the request and answered it.
	Ran Verdict = 'r'
	// NotRun means that the request has not run and never will.
	NotRun Verdict = 'n'
	// Unknown means that the request may have run.
	Unknown Verdict = 'u'
)

// Result is the outcome of a request at the server's node.
type Result struct {
	Verdict Verdict
	// Rule is the name of the rule that refused or ended the request.
	Rule string
	// ReachedServer is set if the request was sent to the backend server.
	ReachedServer bool
	// RetryAfter is the time after which free capacity is expected.
	RetryAfter time.Duration
	// Waited is the time that the request spent in the queue.
	Waited time.Duration
	Load   pick.Load
}

// WriteCall encodes the call into a request's header.
func WriteCall(h http.Header, c Call) {
	var flags []byte
	if c.Inner {
		flags = append(flags, flagInner)
	}
	if c.AllowLate {
		flags = append(flags, flagAllowLate)
	}
	if c.AtMostOnce {
		flags = append(flags, flagAtMostOnce)
	}
	if c.OnlyFree {
		flags = append(flags, flagOnlyFree)
	}
	if c.OnlyNode {
		flags = append(flags, flagOnlyNode)
	}
	if c.Repeated {
		flags = append(flags, flagRepeated)
	}
	f := []string{
		escape(c.Origin), escape(c.Instance), escape(c.Class), strconv.Itoa(c.Rank), string(flags),
		strconv.FormatInt(c.Target.Milliseconds(), 10), strconv.FormatInt(c.TimeLeft.Milliseconds(), 10),
	}
	if c.Account != "" {
		f = append(f, escape(c.Account))
	}
	h[headerCall] = []string{strings.Join(f, ";")}
}

// escape escapes the separator in a value, and the escape character itself.
func escape(text string) string {
	if !strings.ContainsAny(text, "%;") {
		return text
	}
	return strings.NewReplacer("%", "%25", ";", "%3B").Replace(text)
}

// ReadCall decodes the call and removes it from a request's header. Unknown flags are
// ignored.
func ReadCall(h http.Header) (Call, error) {
	f := strings.Split(h.Get(headerCall), ";")
	if len(f) == callFields-1 {
		// The account is left out if there is none.
		f = append(f, "")
	}
	if len(f) != callFields {
		return Call{}, errors.Newf("%s has %d values", headerCall, len(f))
	}
	delete(h, headerCall)
	c := Call{}
	for i, to := range map[int]*string{0: &c.Origin, 1: &c.Instance, 2: &c.Class, 7: &c.Account} {
		text, err := url.PathUnescape(f[i])
		if err != nil {
			return Call{}, errors.Wrap(err, headerCall)
		}
		*to = text
	}
	rank, err := strconv.Atoi(f[3])
	if err != nil {
		return Call{}, errors.Wrap(err, headerCall)
	}
	c.Rank = rank
	for _, flag := range f[4] {
		switch flag {
		case flagInner:
			c.Inner = true
		case flagAllowLate:
			c.AllowLate = true
		case flagAtMostOnce:
			c.AtMostOnce = true
		case flagOnlyFree:
			c.OnlyFree = true
		case flagOnlyNode:
			c.OnlyNode = true
		case flagRepeated:
			c.Repeated = true
		}
	}
	if c.Target, err = milliseconds(f[5]); err != nil {
		return Call{}, err
	}
	c.TimeLeft, err = milliseconds(f[6])
	return c, err
}

// WriteResult encodes the result into an answer's header.
func WriteResult(h http.Header, r Result) {
	reached := "0"
	if r.ReachedServer {
		reached = "1"
	}
	h[headerResult] = []string{strings.Join([]string{
		string(r.Verdict), r.Rule, reached,
		strconv.Itoa(r.Load.Running), strconv.Itoa(r.Load.Queued), strconv.Itoa(r.Load.Limit),
		strconv.Itoa(int(r.Load.FailureRate * 1000)),
		strconv.FormatInt(r.Load.RunTime.Milliseconds(), 10),
		strconv.FormatInt(r.RetryAfter.Milliseconds(), 10),
		strconv.FormatInt(r.Waited.Milliseconds(), 10),
	}, ";")}
}

// ReadResult decodes the result and removes it from an answer's header.
func ReadResult(h http.Header) (Result, error) {
	f := strings.Split(h.Get(headerResult), ";")
	if len(f) != resultFields || len(f[0]) != 1 {
		return Result{}, errors.Newf("%s has %d values, or a verdict that is not one byte", headerResult, len(f))
	}
	delete(h, headerResult)
	r := Result{Verdict: Verdict(f[0][0]), Rule: f[1], ReachedServer: f[2] == "1"}
	if r.Verdict != Ran && r.Verdict != NotRun && r.Verdict != Unknown {
		return Result{}, errors.Newf("%s has the verdict %q, want r, n or u", headerResult, f[0])
	}
	var numbers [7]int
	for i := range numbers {
		n, err := strconv.Atoi(f[3+i])
		if err != nil {
			return Result{}, errors.Wrap(err, headerResult)
		}
		numbers[i] = n
	}
	r.Load = pick.Load{
		Running: numbers[0], Queued: numbers[1], Limit: numbers[2],
		FailureRate: float64(numbers[3]) / 1000,
		RunTime:     time.Duration(numbers[4]) * time.Millisecond,
	}
	r.RetryAfter = time.Duration(numbers[5]) * time.Millisecond
	r.Waited = time.Duration(numbers[6]) * time.Millisecond
	return r, nil
}

// IsCall returns true if a request's header contains a call, which means that a node
// forwarded the request.
func IsCall(h http.Header) bool { return len(h[headerCall]) > 0 }

// IsResult returns true if an answer's header contains a result.
func IsResult(h http.Header) bool { return len(h[headerResult]) > 0 }

// StripHeaders removes the fields that only nodes may send from a caller's header.
func StripHeaders(h http.Header) {
	delete(h, headerCall)
	delete(h, headerResult)
	delete(h, headerQuestion)
	delete(h, headerState)
}

func milliseconds(text string) (time.Duration, error) {
	n, err := strconv.ParseInt(text, 10, 32)
	return time.Duration(n) * time.Millisecond, errors.Wrap(err, headerCall)
}
