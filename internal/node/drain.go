package node

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"lavenderdeal/internal/wait"
	"lavenderdeal/schema/messages"
)

const (
	// quietPeriod is the time without a call from another node after which a
	// stopping node stops accepting calls.
	quietPeriod = 500 * time.Millisecond
	// quietPollInterval is the time between two checks for a quietPeriod.
	quietPollInterval = 20 * time.Millisecond
	// maxQuietWait is the maximum time to wait for a quietPeriod without calls. The
	// node then stops accepting calls even if other nodes still send some.
	maxQuietWait = 10 * time.Second
	// leaveTimeout bounds the hand-over of records and the change of the roster of
	// homes, also when the platform is unavailable.
	leaveTimeout = 5 * time.Second
	// remainingTimeout bounds the hand-over of answers that arrived after the node
	// left the roster of homes.
	remainingTimeout = 2 * time.Second
)

// Stop leaves the fleet without cutting off calls:
//
//  1. It announces that the node is leaving and makes callers open their next
//     connection to another node.
//  2. It hands the records of idempotency keys over to their next homes.
//  3. It waits until cfg.Drain.Announce has passed since step 1, and until other
//     nodes have stopped sending calls.
//  4. It finishes the accepted calls, those from other nodes first, since they may
//     make nested calls through this node.
//  5. It hands over the answers that arrived meanwhile, and closes.
//
// If ctx ends, or cfg.Drain.Finish passes after the wait for cfg.Drain.Announce, Stop
// cuts off the calls that still run and returns an error.
func (n *Node) Stop(ctx context.Context) error {
	n.members.SetState(messages.MemberStateLeaving)
	n.ingress.SetLeaving()
	announced := time.Now()
	if err := n.leaveHomes(ctx); err != nil {
		n.metrics.Add("homeLeaveFailed", 1)
		n.log.WithError(err).Warn("failed to leave the roster of homes of idempotency keys")
	}
	wait.For(ctx, n.cfg.Drain.Announce.Std()-time.Since(announced))
	ctx, cancel := context.WithTimeout(ctx, n.cfg.Drain.Finish.Std())
	defer cancel()
	n.waitForQuietPeers(ctx)
	err := errors.CombineErrors(n.callServer.Shutdown(ctx), n.callerServer.Shutdown(ctx))
	remainingCtx, cancelRemaining := context.WithTimeout(context.WithoutCancel(ctx), remainingTimeout)
	defer cancelRemaining()
	n.homes.HandOverRemaining(remainingCtx)
	n.close()
	return errors.Wrap(err, "calls were cut off")
}

// leaveHomes hands over the records and leaves the roster of homes within leaveTimeout.
func (n *Node) leaveHomes(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	return n.homes.Leave(ctx)
}

// waitForQuietPeers waits until no other node has sent a call for quietPeriod.
func (n *Node) waitForQuietPeers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, maxQuietWait)
	defer cancel()
	for ctx.Err() == nil && time.Since(n.runner.LastPeerCall()) < quietPeriod {
		wait.For(ctx, quietPollInterval)
	}
}
