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

// sendForever carries out what the table sends, each message on its own, so
// that a slow peer holds up no other.
func (l *Loop) sendForever(ctx context.Context) error {
	var group errgroup.Group
	group.SetLimit(maxSends)
	for {
		select {
		case <-ctx.Done():
			return group.Wait()
		case <-l.wakeChannel():
		}
		for _, send := range l.takeWaiting() {
			if !group.TryGo(func() error { l.exchange(ctx, send); return nil }) {
				l.Metrics.Add("memberSendsDropped", 1)
				l.lost(send)
			}
		}
	}
}

func (l *Loop) wakeChannel() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.wake
}

func (l *Loop) takeWaiting() []member.Send {
	l.mu.Lock()
	defer l.mu.Unlock()
	sends := l.waiting
	l.waiting = nil
	return sends
}

func (l *Loop) exchange(ctx context.Context, send member.Send) {
	answer, err := l.call(ctx, send)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		l.Metrics.Add("memberSendErrors", 1)
		l.lost(send)
		return
	}
	l.event(func(t *member.Table, now time.Time) []member.Effect { return t.HandleAnswer(now, send, answer) })
}

func (l *Loop) lost(send member.Send) {
	l.event(func(t *member.Table, now time.Time) []member.Effect { return t.HandleTimeout(now, send) })
}

func (l *Loop) call(ctx context.Context, send member.Send) (member.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, send.Timeout)
	defer cancel()
	switch q := send.Request.(type) {
	case member.Probe:
		a, err := peer.Call[messages.Gossip](ctx, l.Endpoint, send.To, probeMethod, messages.Gossip(q))
		l.heard(a.Version)
		return member.Ack(a), err
	case member.ProbeFor:
		a, err := peer.Call[messages.Reached](ctx, l.Endpoint, send.To, probeForMethod, messages.ProbeFor(q))
		return member.Reached(a), err
	case member.Sync:
		a, err := peer.Call[messages.SyncAnswer](ctx, l.Endpoint, send.To, syncMethod, messages.Sync(q))
		l.heard(a.Version)
		return member.SyncAnswer(a), err
	case member.Join:
		a, err := peer.Call[messages.JoinAnswer](ctx, l.Endpoint, send.To, joinMethod, messages.Join(q))
		l.heard(a.Version)
		return member.JoinAnswer(a), err
	}
	return nil, errors.AssertionFailedf("no method for %T", send.Request)
}

func (l *Loop) heard(version uint64) { l.Plans.ReportVersion(version) }
