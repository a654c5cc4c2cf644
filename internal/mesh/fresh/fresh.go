// Package fresh keeps known on a node how recent its version of the configuration is, while
// it is in touch with the store or with nodes that are.
//
// The nodes that watch the store for a zone read it about once a second. The others ask one
// of them, or any other node, and read the store themselves only if that fails for long:
//
//	k := fresh.New(bound, members, versions, log)
//	k.Handle(&mux)
//	group.Go(func() error { return k.Run(ctx, endpoint) })
//	if !k.Allows() {
//		refuse("keysNotCurrent")
//	}
package fresh

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"

	"lavenderdeal/core/freshness"
	"lavenderdeal/internal/awake"
	"lavenderdeal/internal/jsonlog"
	"lavenderdeal/internal/mesh/members"
	"lavenderdeal/internal/mesh/versions"
	"lavenderdeal/internal/wait"
	"lavenderdeal/io/peer"
	messages "lavenderdeal/schema/fresh"
	"lavenderdeal/schema/roster"
)

const (
	// tick is the mean time between checks.
	tick = 300 * time.Millisecond
	// askTimeout bounds a question to another node, and readTimeout a read of the store.
	askTimeout  = 300 * time.Millisecond
	readTimeout = 500 * time.Millisecond
	// readInterval is the least time between two reads of a node that does not watch the
	// store.
	readInterval = 1 * time.Second

	methodAsk = "freshAsk"
)

// Keeper knows how recent the node's version is. It is safe for concurrent use. Lock order:
// mu is the only lock; it is never held during a call.
type Keeper struct {
	members  *members.Members
	versions *versions.Follower
	log      *jsonlog.Log

	mu    sync.Mutex
	fence *freshness.Fence
	// closed is set while API keys are refused.
	closed bool
}

// New returns a keeper for a node that must refuse a key within a time after the version that
// took it away was acknowledged.
func New(bound time.Duration, m *members.Members, v *versions.Follower, l *jsonlog.Log) *Keeper {
	return &Keeper{members: m, versions: v, log: l, fence: freshness.New(bound)}
}

// Allows reports whether API keys may be accepted by the version that is in force after the
// call.
func (k *Keeper) Allows() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	now, inForce := awake.Now(), k.versions.Version()
	allowed := k.fence.Allows(now, inForce)
	if allowed == k.closed {
		k.closed = !allowed
		age, known := k.fence.Age(now, inForce)
		k.log.WriteLimited("keysAccepted", log.Fields{"on": allowed, "known": known, "ageMs": age.Milliseconds(), "inForce": inForce})
	}
	return allowed
}

// Age returns the time since the version in force was known to be the newest, or a negative
// time if that is not known.
func (k *Keeper) Age() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	age, ok := k.fence.Age(awake.Now(), k.versions.Version())
	if !ok {
		return -time.Second
	}
	return age
}

// Handle registers the handler for messages of other nodes.
func (k *Keeper) Handle(mux *peer.Mux) {
	peer.Handle(mux, methodAsk, func(context.Context, messages.Question) (messages.Answer, error) {
		k.mu.Lock()
		defer k.mu.Unlock()
		inForce := k.versions.Version()
		age, ok := k.fence.Age(awake.Now(), inForce)
		return messages.Answer{Version: int(inForce), Known: ok, AgeMs: int((age + time.Millisecond - 1) / time.Millisecond)}, nil
	})
}

// Run keeps the version known to be recent until ctx ends, if it has client accounts. It
// always returns nil.
func (k *Keeper) Run(ctx context.Context, endpoint *peer.Endpoint) error {
	var lastRead time.Time
	for turn := 0; wait.For(ctx, tick/2+rand.N(tick)); turn++ {
		table := k.versions.Table()
		if table == nil || table.Accounts() == nil || !k.should((*freshness.Fence).ShouldAsk) {
			turn = -1
			continue
		}
		watching := k.versions.IsWatching()
		others := k.members.Sources()
		if len(others) > 0 {
			// The first question goes to a node that reads the store for this zone.
			i := 0
			if turn > 0 {
				i = rand.N(len(others))
			}
			k.ask(ctx, endpoint, others[i])
		}
		mayRead := watching && k.should((*freshness.Fence).ShouldAsk) || k.should((*freshness.Fence).ShouldRead) && awake.Now().Sub(lastRead) > readInterval
		if mayRead && ctx.Err() == nil {
			lastRead = awake.Now()
			k.read(ctx)
		}
	}
	return nil
}

func (k *Keeper) should(check func(*freshness.Fence, time.Time, uint64) bool) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return check(k.fence, awake.Now(), k.versions.Version())
}

// ask asks another node.
func (k *Keeper) ask(ctx context.Context, endpoint *peer.Endpoint, e roster.Entry) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	asked := awake.Now()
	a, err := peer.Call[messages.Answer](ctx, endpoint, e.Peer, methodAsk, messages.Question{Version: int(k.versions.Version())})
	if err != nil {
		k.log.WriteLimited("freshnessNotTold", log.Fields{"peer": e.Node, "error": err})
		return
	}
	if !a.Known || a.AgeMs < 0 || a.Version <= 0 {
		return
	}
	k.Record(uint64(a.Version), asked.Add(-time.Duration(a.AgeMs)*time.Millisecond))
}

// read reads the store.
func (k *Keeper) read(ctx context.Context) {
	started := awake.Now()
	if version, proven := k.versions.Prove(ctx, readTimeout); proven {
		k.Record(version, started)
	}
}

// Record records that a version was the newest at a time of package awake.
func (k *Keeper) Record(version uint64, at time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.fence.Record(version, at, k.versions.Version())
}
