package load

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"lavenderdeal/core/verdict"
	"lavenderdeal/internal/httpclient"
	"lavenderdeal/internal/standin/backend"
	"lavenderdeal/io/caller"
)

const (
	// verdictBroken stands for the verdict of an attempt without a complete answer.
	verdictBroken = "broken"
	// callerGrace is added to a call's timeout on the caller's side, so that the
	// caller still gets the answer that reports an exceeded deadline.
	callerGrace = 1 * time.Second
	// defaultTimeout is how long the caller waits if the class has no timeout.
	defaultTimeout = 30 * time.Second
	// maxAnswerBytes is how much of an answer's body is read.
	maxAnswerBytes = 1 << 20
)

// Attempt is one attempt of a call.
type Attempt struct {
	// Status is the HTTP status of the answer, or 0 if there was none.
	Status int
	// Verdict is the verdict in the answer, or "broken" if there was no complete
	// answer.
	Verdict string
	// Rule is the rule in the answer by which a node ended the call, connectionBroke or
	// answerBroke if there was no complete answer, or "".
	Rule string
	// Violation describes a violated guarantee that the caller itself detects, or the
	// error by which the request could not be created. Otherwise it is "".
	Violation string
}

// sender sends the calls of one class.
type sender struct {
	client  *httpclient.Client
	targets []netip.AddrPort
	class   Class
}

// send sends a call to the target with an index in targets. It retries a keyed call
// at the next targets while the outcome is unknown.
func (s sender) send(ctx context.Context, id string, target int) Call {
	call := Call{ID: id, Class: s.class.Name}
	for {
		call.Attempts = append(call.Attempts, s.attempt(ctx, id, s.targets[target%len(s.targets)]))
		last := call.Attempts[len(call.Attempts)-1]
		unknown := last.Verdict == verdictBroken || last.Verdict == (verdict.MayHaveRun{}).String()
		if !s.class.Keyed || !unknown || len(call.Attempts) > maxRetries || ctx.Err() != nil {
			return call
		}
		time.Sleep(retryPause)
		target++
	}
}

// attempt sends a call once and returns the outcome.
func (s sender) attempt(ctx context.Context, id string, to netip.AddrPort) Attempt {
	timeout := defaultTimeout
	if s.class.Timeout > 0 {
		timeout = s.class.Timeout + callerGrace
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r, err := s.request(ctx, id, to)
	if err != nil {
		return Attempt{Verdict: verdictBroken, Violation: err.Error()}
	}
	answer, err := s.client.Do(r)
	if err != nil {
		return Attempt{Verdict: verdictBroken, Rule: "connectionBroke"}
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
	if err != nil {
		return Attempt{Status: answer.StatusCode, Verdict: verdictBroken, Rule: "answerBroke"}
	}
	result := Attempt{
		Status:  answer.StatusCode,
		Verdict: answer.Header.Get(caller.HeaderVerdict),
		Rule:    answer.Header.Get(caller.HeaderRule),
	}
	if s.class.Direct {
		result.Verdict = verdict.Ran{}.String()
	}
	if result.ok() {
		result.Violation = s.checkAnswer(id, string(body))
	}
	return result
}

func (s sender) request(ctx context.Context, id string, to netip.AddrPort) (*http.Request, error) {
	var body io.Reader
	if s.class.BodyBytes > 0 {
		body = bytes.NewReader(make([]byte, s.class.BodyBytes))
	}
	r, err := httpclient.NewRequest(ctx, s.class.Method, "http://"+to.String()+s.class.Path, body)
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+s.class.Key)
	r.Header.Set(caller.HeaderService, s.class.Service)
	r.Header.Set(backend.HeaderCallID, id)
	if s.class.Work > 0 {
		r.Header.Set(backend.HeaderWork, s.class.Work.String())
	}
	if s.class.Crash {
		r.Header.Set(backend.HeaderCrash, "1")
	}
	if s.class.Timeout > 0 {
		r.Header.Set(caller.HeaderTimeout, s.class.Timeout.String())
	}
	if s.class.Keyed {
		r.Header.Set(caller.HeaderIdempotencyKey, id)
	}
	return r, nil
}

// checkAnswer verifies the body of a successful answer, as the stand-in server writes
// it: method, URL, call id and length of the request body. It returns a description of
// the violated guarantee, or "".
func (s sender) checkAnswer(id, body string) string {
	fields := strings.Fields(body)
	if len(fields) != 4 {
		return fmt.Sprintf("call %s: body of the successful answer is %q, want 4 fields", id, body)
	}
	if fields[2] != id {
		return fmt.Sprintf("call %s: got the answer of call %s", id, fields[2])
	}
	if fields[3] != strconv.Itoa(s.class.BodyBytes) {
		return fmt.Sprintf("call %s: the server read %s of %d bytes", id, fields[3], s.class.BodyBytes)
	}
	return ""
}

// ok reports whether the backend server answered.
func (a Attempt) ok() bool {
	return a.Status == http.StatusOK && a.Verdict == (verdict.Ran{}).String()
}

// Answered reports whether the last attempt was answered by a backend server.
func (c Call) Answered() bool { return c.Attempts[len(c.Attempts)-1].ok() }

// callID returns a UUID of version 7 whose timestamp is the current time, which is that
// of the call's first attempt. The other bits are random and do not depend on a seed, so
// that two runs at once with the same seed have no ID in common.
func callID() string {
	millis, random := uint64(time.Now().UnixMilli()), rand.Uint64()
	return fmt.Sprintf("%08x-%04x-7%03x-%04x-%012x",
		millis>>16, millis&0xffff, random&0xfff, 0x8000|(rand.Uint64()&0x3fff), random>>16)
}

// SendAttempt makes one attempt of a call of a class at an address, without retries.
// The id is that of the call.
func SendAttempt(ctx context.Context, class Class, to netip.AddrPort, id string) Attempt {
	client := httpclient.New("load")
	defer client.Close()
	return sender{client: client, class: class}.attempt(ctx, id, to)
}

// RunClosedLoop sends calls of a class to an address for the duration d. Each of the
// workers sends the next call when its last one is finished. RunClosedLoop returns the
// number of calls that a backend server answered.
func RunClosedLoop(ctx context.Context, client *httpclient.Client, class Class, to netip.AddrPort, workers int, d time.Duration) int {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	var answered atomic.Int64
	var group errgroup.Group
	for range workers {
		group.Go(func() error {
			s := sender{client: client, class: class}
			for ctx.Err() == nil {
				if s.attempt(ctx, callID(), to).ok() {
					answered.Add(1)
				}
			}
			return nil
		})
	}
	_ = group.Wait()
	return int(answered.Load())
}
