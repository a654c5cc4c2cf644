package node

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"lavenderdeal/internal/wait"
	"lavenderdeal/schema/messages"
)

const (
	// quiet is how long no other node must have sent a call before the node
	// stops accepting them.
	quiet     = 500 * time.Millisecond
	quietPoll = 20 * time.Millisecond
	// quietLimit is when the node stops accepting calls though some still come.
	quietLimit = 10 * time.Second
	// leaveLimit bounds the hand-over of records, also while the platform is out.
	leaveLimit = 5 * time.Second
	// lateLimit bounds the hand-over of answers that came after the node left.
	lateLimit = 2 * time.Second
)

// Stop leaves the fleet without cutting off a call:
//
//  1. It announces that the node leaves, and tells callers to open their next
//     connection elsewhere.
//  2. It hands the records of idempotency keys over to their next homes.
//  3. It waits for the announced time, and until other nodes have stopped
//     sending calls.
//  4. It finishes the calls that were accepted, those of other nodes first: they
//     may call on through this node.
//  5. It hands over the answers that came meanwhile, and closes.
//
// When ctx ends first, what still runs is cut off and the error says so.
func (n *Node) Stop(ctx context.Context) error {
	n.members.SetState(messages.MemberStateLeaving)
	n.entry.SetLeaving()
	announced := time.Now()
	if err := n.leaveHomes(ctx); err != nil {
		n.metrics.Add("homeLeaveFailed", 1)
		n.log.WithError(err).Warn("the records of idempotency keys were not handed over")
	}
	wait.For(ctx, n.cfg.Drain.Announce.Std()-time.Since(announced))
	ctx, cancel := context.WithTimeout(ctx, n.cfg.Drain.Finish.Std())
	defer cancel()
	n.waitQuiet(ctx)
	err := errors.CombineErrors(n.callServer.Shutdown(ctx), n.callerServer.Shutdown(ctx))
	late, cancelLate := context.WithTimeout(context.WithoutCancel(ctx), lateLimit)
	defer cancelLate()
	n.homes.HandOverRemaining(late)
	n.close()
	return errors.Wrap(err, "calls were cut off")
}

func (n *Node) leaveHomes(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, leaveLimit)
	defer cancel()
	return n.homes.Leave(ctx)
}

// waitQuiet waits until no other node has sent a call for a while.
func (n *Node) waitQuiet(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, quietLimit)
	defer cancel()
	for ctx.Err() == nil && time.Since(n.runner.LastPeerCall()) < quiet {
		wait.For(ctx, quietPoll)
	}
}
