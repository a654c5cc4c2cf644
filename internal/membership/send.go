package membership

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"lavenderdeal/core/member"
	"lavenderdeal/io/peer"
	"lavenderdeal/schema/messages"
)

var errNotStarted = errors.New("the node has not started")

// runSender sends the messages of the table, each in its own goroutine, so that
// a slow peer doesn't delay messages to others. A message that exceeds maxSends is
// dropped and counts as unanswered.
func (l *Loop) runSender(ctx context.Context) error {
	var group errgroup.Group
	group.SetLimit(maxSends)
	for {
		select {
		case <-ctx.Done():
			return group.Wait()
		case <-l.wakeChannel():
		}
		for _, send := range l.takePending() {
			if !group.TryGo(func() error { l.sendOne(ctx, send); return nil }) {
				l.Metrics.Add("memberSendsDropped", 1)
				l.sendFailed(send)
			}
		}
	}
}

func (l *Loop) wakeChannel() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.wake
}

func (l *Loop) takePending() []member.Send {
	l.mu.Lock()
	defer l.mu.Unlock()
	sends := l.pending
	l.pending = nil
	return sends
}

// sendOne sends a message and passes its answer, or the lack of one, to the table.
func (l *Loop) sendOne(ctx context.Context, send member.Send) {
	answer, err := l.call(ctx, send)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		l.Metrics.Add("memberSendErrors", 1)
		l.sendFailed(send)
		return
	}
	l.event(func(t *member.Table, now time.Time) []member.Effect { return t.HandleAnswer(now, send, answer) })
}

func (l *Loop) sendFailed(send member.Send) {
	l.event(func(t *member.Table, now time.Time) []member.Effect { return t.HandleTimeout(now, send) })
}

// call sends a message as a request of its type and returns the answer.
func (l *Loop) call(ctx context.Context, send member.Send) (member.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, send.Timeout)
	defer cancel()
	switch q := send.Request.(type) {
	case member.Probe:
		a, err := peer.Call[messages.Gossip](ctx, l.Endpoint, send.To, probeMethod, messages.Gossip(q))
		l.reportVersion(a.Version)
		return member.Ack(a), err
	case member.ProbeFor:
		a, err := peer.Call[messages.Reached](ctx, l.Endpoint, send.To, probeForMethod, messages.ProbeFor(q))
		return member.Reached(a), err
	case member.Sync:
		a, err := peer.Call[messages.SyncAnswer](ctx, l.Endpoint, send.To, syncMethod, messages.Sync(q))
		l.reportVersion(a.Version)
		return member.SyncAnswer(a), err
	case member.Join:
		a, err := peer.Call[messages.JoinAnswer](ctx, l.Endpoint, send.To, joinMethod, messages.Join(q))
		l.reportVersion(a.Version)
		return member.JoinAnswer(a), err
	}
	return nil, errors.AssertionFailedf("no method for %T", send.Request)
}

// reportVersion records that a peer has the version, which may be newer than the own
// one.
func (l *Loop) reportVersion(version uint64) { l.Plans.ReportVersion(version) }
