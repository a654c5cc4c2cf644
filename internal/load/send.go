package load

import (
	"bytes"
	"context"
	"fmt"
	"io"
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
	verdictBroken = "broken"
	// callerGrace is how much longer than its own timeout a caller waits for the
	// answer that the deadline has passed.
	callerGrace    = 1 * time.Second
	defaultTimeout = 30 * time.Second
	maxAnswer      = 1 << 20
)

// Send is one sending of a call.
type Send struct {
	Status int
	// Verdict is what the node said, or "broken" when the connection broke.
	Verdict string
	Rule    string
	// Fault is a broken promise that the caller itself sees, or "".
	Fault string
}

type sender struct {
	client  *httpclient.Client
	targets []netip.AddrPort
	class   Class
}

// send sends a call, and sends a keyed call again through other nodes while its
// outcome is not known.
func (s sender) send(ctx context.Context, id string, target int) Call {
	call := Call{ID: id, Class: s.class.Name}
	for {
		call.Sends = append(call.Sends, s.once(ctx, id, s.targets[target%len(s.targets)]))
		last := call.Sends[len(call.Sends)-1]
		unknown := last.Verdict == verdictBroken || last.Verdict == (verdict.MayHaveRun{}).String()
		if !s.class.Keyed || !unknown || len(call.Sends) > maxResends || ctx.Err() != nil {
			return call
		}
		time.Sleep(resendPause)
		target++
	}
}

func (s sender) once(ctx context.Context, id string, to netip.AddrPort) Send {
	timeout := defaultTimeout
	if s.class.Timeout > 0 {
		timeout = s.class.Timeout + callerGrace
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r, err := s.request(ctx, id, to)
	if err != nil {
		return Send{Verdict: verdictBroken, Fault: err.Error()}
	}
	answer, err := s.client.Do(r)
	if err != nil {
		return Send{Verdict: verdictBroken, Rule: "connectionBroke"}
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswer))
	if err != nil {
		return Send{Status: answer.StatusCode, Verdict: verdictBroken, Rule: "answerBroke"}
	}
	send := Send{
		Status:  answer.StatusCode,
		Verdict: answer.Header.Get(caller.HeaderVerdict),
		Rule:    answer.Header.Get(caller.HeaderRule),
	}
	if s.class.Direct {
		send.Verdict = verdict.Ran{}.String()
	}
	if send.ok() {
		send.Fault = s.checkAnswer(id, string(body))
	}
	return send
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
		r.Header.Set(caller.HeaderIdempotent, id)
	}
	return r, nil
}

// checkAnswer says what is wrong with an answer that looks whole, or "".
func (s sender) checkAnswer(id, body string) string {
	fields := strings.Fields(body)
	if len(fields) != 4 {
		return fmt.Sprintf("call %s: an answer that looks whole is %q", id, body)
	}
	if fields[2] != id {
		return fmt.Sprintf("call %s: got the answer of call %s", id, fields[2])
	}
	if fields[3] != strconv.Itoa(s.class.BodyBytes) {
		return fmt.Sprintf("call %s: the server read %s of %d bytes", id, fields[3], s.class.BodyBytes)
	}
	return ""
}

// ok says whether the backend server answered.
func (s Send) ok() bool {
	return s.Status == http.StatusOK && s.Verdict == (verdict.Ran{}).String()
}

// Answered says whether the backend server answered the call in the end.
func (c Call) Answered() bool { return c.Sends[len(c.Sends)-1].ok() }

// callID returns an id in the form of a UUID of version 7, whose time says when
// the call was first sent.
func callID(seed, random uint64) string {
	millis := uint64(time.Now().UnixMilli())
	return fmt.Sprintf("%08x-%04x-7%03x-%04x-%012x",
		millis>>16, millis&0xffff, random&0xfff, 0x8000|(seed&0x3fff), random>>16)
}

// SendOnce sends one call of a class once.
func SendOnce(ctx context.Context, class Class, to netip.AddrPort, id string) Send {
	client := httpclient.New("load")
	defer client.Close()
	return sender{client: client, class: class}.once(ctx, id, to)
}

// Closed sends calls of a class as fast as a number of workers get answers, and
// returns how many were answered.
func Closed(ctx context.Context, client *httpclient.Client, class Class, to netip.AddrPort, workers int, d time.Duration) int {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	var answered atomic.Int64
	var group errgroup.Group
	for w := range workers {
		group.Go(func() error {
			s := sender{client: client, class: class}
			for n := uint64(0); ctx.Err() == nil; n++ {
				if s.once(ctx, callID(uint64(w), n), to).ok() {
					answered.Add(1)
				}
			}
			return nil
		})
	}
	_ = group.Wait()
	return int(answered.Load())
}
