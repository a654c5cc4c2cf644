package membership

import (
	"context"
	"time"

	"lavenderdeal/core/member"
	"lavenderdeal/schema/messages"
)

// probe, sync and join pass the requests of peers to the table and return its
// answers.

func (l *Loop) probe(_ context.Context, q messages.Gossip) (messages.Gossip, error) {
	l.reportVersion(q.Version)
	answer, err := serve[member.Ack](l, member.Probe(q))
	return messages.Gossip(answer), err
}

func (l *Loop) sync(_ context.Context, q messages.Sync) (messages.SyncAnswer, error) {
	l.reportVersion(q.Version)
	answer, err := serve[member.SyncAnswer](l, member.Sync(q))
	return messages.SyncAnswer(answer), err
}

func (l *Loop) join(_ context.Context, q messages.Join) (messages.JoinAnswer, error) {
	l.reportVersion(q.Version)
	answer, err := serve[member.JoinAnswer](l, member.Join(q))
	return messages.JoinAnswer(answer), err
}

// probeFor probes a member on behalf of a peer that got no ack from it.
func (l *Loop) probeFor(ctx context.Context, q messages.ProbeFor) (messages.Reached, error) {
	l.reportVersion(q.Version)
	var send *member.Send
	l.event(func(t *member.Table, now time.Time) []member.Effect {
		s := t.Relay(now, member.ProbeFor(q))
		send = &s
		return nil
	})
	if send == nil {
		return messages.Reached{}, errNotStarted
	}
	answer, err := l.call(ctx, *send)
	if err != nil {
		// A target that doesn't answer is a valid result of the request, not an
		// error.
		return messages.Reached{}, nil
	}
	l.event(func(t *member.Table, now time.Time) []member.Effect { return t.HandleAnswer(now, *send, answer) })
	ack, ok := answer.(member.Ack)
	return messages.Reached{Reached: ok && ack.From == q.Target}, nil
}

// serve passes a request to the table and returns its answer of type A, or
// errNotStarted before Start.
func serve[A member.Answer](l *Loop, request member.Request) (A, error) {
	var answer A
	ok := false
	l.event(func(t *member.Table, now time.Time) []member.Effect {
		served, effects := t.Serve(now, request)
		answer, ok = served.(A)
		return effects
	})
	if !ok {
		return answer, errNotStarted
	}
	return answer, nil
}
