// Package hop is what nodes say to each other beside a request that one forwards
// to another over HTTP.
//
// One header field on the request says how the server's node should treat it,
// and one on the answer says what became of it and how loaded the server is:
//
//	hop.WriteCall(header, call)
//	call, err := hop.ReadCall(header)
//
// Both are short lists of values: requests cross availability zones, and each
// byte there has its price.
package hop

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"lavenderdeal/core/pick"
)

const (
	headerCall   = "Lavenderdeal-Call"
	headerResult = "Lavenderdeal-Result"
	callFields   = 7
	resultFields = 10

	flagInner   = 'i'
	flagPatient = 'p'
	flagOnce    = 'o'
)

// Call is what the server's node needs to know beside the request.
type Call struct {
	// Origin is the service beside whose node the request began.
	Origin string
	// Instance is the start of the backend server that the request is for.
	Instance string
	// Class names requests with similar running times.
	Class string
	Rank  int
	// Inner says that another request waits for this one in a slot.
	Inner bool
	// AllowLate says that the request may wait although it will be late.
	AllowLate bool
	// AtMostOnce says that the request must not run twice.
	AtMostOnce bool
	// Target is the time left until the answer loses worth, and TimeLeft the time
	// that the caller still waits.
	Target, TimeLeft time.Duration
}

// Verdict says what became of a request.
type Verdict byte

// The verdicts.
const (
	// Ran says that the answer is the backend server's.
	Ran Verdict = 'r'
	// NotRun says that the request has not run and never will.
	NotRun Verdict = 'n'
	// Unknown says that the request may have run.
	Unknown Verdict = 'u'
)

// Result is what became of a request at the server's node.
type Result struct {
	Verdict Verdict
	// Rule names what refused or ended the request.
	Rule string
	// ReachedServer says that the backend server was handed the request.
	ReachedServer bool
	// RetryAfter is when room is expected.
	RetryAfter time.Duration
	// Waited is the time in the queue.
	Waited time.Duration
	Load   pick.Load
}

// WriteCall puts the call into a request's header.
func WriteCall(h http.Header, c Call) {
	var flags []byte
	if c.Inner {
		flags = append(flags, flagInner)
	}
	if c.AllowLate {
		flags = append(flags, flagPatient)
	}
	if c.AtMostOnce {
		flags = append(flags, flagOnce)
	}
	h[headerCall] = []string{strings.Join([]string{
		c.Origin, c.Instance, c.Class, strconv.Itoa(c.Rank), string(flags),
		strconv.FormatInt(c.Target.Milliseconds(), 10), strconv.FormatInt(c.TimeLeft.Milliseconds(), 10),
	}, ";")}
}

// ReadCall takes the call out of a request's header.
func ReadCall(h http.Header) (Call, error) {
	f := strings.Split(h.Get(headerCall), ";")
	if len(f) != callFields {
		return Call{}, errors.Newf("%s has %d values", headerCall, len(f))
	}
	delete(h, headerCall)
	c := Call{Origin: f[0], Instance: f[1], Class: f[2]}
	rank, err := strconv.Atoi(f[3])
	if err != nil {
		return Call{}, errors.Wrap(err, headerCall)
	}
	c.Rank = rank
	for _, flag := range f[4] {
		switch flag {
		case flagInner:
			c.Inner = true
		case flagPatient:
			c.AllowLate = true
		case flagOnce:
			c.AtMostOnce = true
		}
	}
	if c.Target, err = milliseconds(f[5]); err != nil {
		return Call{}, err
	}
	c.TimeLeft, err = milliseconds(f[6])
	return c, err
}

// WriteResult puts the result into an answer's header.
func WriteResult(h http.Header, r Result) {
	arrived := "0"
	if r.ReachedServer {
		arrived = "1"
	}
	h[headerResult] = []string{strings.Join([]string{
		string(r.Verdict), r.Rule, arrived,
		strconv.Itoa(r.Load.Running), strconv.Itoa(r.Load.Queued), strconv.Itoa(r.Load.Limit),
		strconv.Itoa(int(r.Load.FailureRate * 1000)),
		strconv.FormatInt(r.Load.RunTime.Milliseconds(), 10),
		strconv.FormatInt(r.RetryAfter.Milliseconds(), 10),
		strconv.FormatInt(r.Waited.Milliseconds(), 10),
	}, ";")}
}

// ReadResult takes the result out of an answer's header.
func ReadResult(h http.Header) (Result, error) {
	f := strings.Split(h.Get(headerResult), ";")
	if len(f) != resultFields || len(f[0]) != 1 {
		return Result{}, errors.Newf("%s has %d values", headerResult, len(f))
	}
	delete(h, headerResult)
	r := Result{Verdict: Verdict(f[0][0]), Rule: f[1], ReachedServer: f[2] == "1"}
	if r.Verdict != Ran && r.Verdict != NotRun && r.Verdict != Unknown {
		return Result{}, errors.Newf("%s has the unknown verdict %q", headerResult, f[0])
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

// IsCall says whether a request was forwarded by a node.
func IsCall(h http.Header) bool { return len(h[headerCall]) > 0 }

// StripHeaders removes what only nodes may say from a caller's header.
func StripHeaders(h http.Header) {
	delete(h, headerCall)
	delete(h, headerResult)
}

func milliseconds(text string) (time.Duration, error) {
	n, err := strconv.ParseInt(text, 10, 32)
	return time.Duration(n) * time.Millisecond, errors.Wrap(err, headerCall)
}
