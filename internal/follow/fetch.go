package follow

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	core "lavenderdeal/core/follow"
	"lavenderdeal/core/relay"
	"lavenderdeal/internal/publish"
	"lavenderdeal/io/peer"
	"lavenderdeal/io/platform"
	"lavenderdeal/schema/messages"
)

const (
	headMethod     = "head"
	chunksMethod   = "chunks"
	announceMethod = "announce"

	headTimeout   = 500 * time.Millisecond
	chunksTimeout = 2 * time.Second
	// childTimeout limits the time for a child in the tree to accept a head.
	childTimeout = 300 * time.Millisecond
	// maxPlatformReads limits the concurrent reads of chunks from the platform.
	maxPlatformReads = 4
)

var errUnknownMember = errors.New("the peer is not in the membership view")

func (l *Loop) fetchHead(ctx context.Context, from core.Source) {
	if from == core.Platform {
		l.readHead(ctx)
		return
	}
	if _, err := l.queryHead(ctx, string(from)); err != nil {
		l.step(core.HeadFailed{From: from})
	}
}

// queryHead requests the head that a peer holds and passes it to the machine unless
// this node has it or a newer one.
func (l *Loop) queryHead(ctx context.Context, id string) (messages.HeldHead, error) {
	to, ok := l.address(id)
	if !ok {
		return messages.HeldHead{}, errUnknownMember
	}
	ctx, cancel := context.WithTimeout(ctx, headTimeout)
	defer cancel()
	l.mu.Lock()
	held := l.machine.Held()
	l.mu.Unlock()
	request := messages.GetHead{From: l.View.Load().Self().Id, Version: held.Version, Hash: held.Hash}
	answer, err := peer.Call[messages.HeldHead](ctx, l.Endpoint, to, headMethod, request)
	if err != nil {
		l.Metrics.Add("headErrors", 1)
		return answer, err
	}
	if len(answer.Head) == 0 {
		l.step(core.HeadFailed{From: core.Source(id)})
		return answer, nil
	}
	raw, err := decompress(answer.Head)
	if err != nil {
		return answer, err
	}
	l.step(core.HeadReceived{From: core.Source(id), Raw: raw})
	return answer, nil
}

func (l *Loop) fetchChunks(ctx context.Context, from core.Source, hashes []string) {
	if from == core.Platform {
		l.fetchFromPlatform(ctx, hashes)
		return
	}
	chunks, retryAfter, err := l.requestChunks(ctx, string(from), hashes)
	if err != nil || retryAfter > 0 {
		l.Metrics.Add("chunkErrors", 1)
		l.step(core.FetchFailed{From: from, RetryAfter: retryAfter})
		return
	}
	l.step(core.ChunksReceived{From: from, Chunks: chunks})
}

// requestChunks requests chunks from a peer. It returns those that the peer has, or the
// time after which to retry if the peer is busy.
func (l *Loop) requestChunks(ctx context.Context, id string, hashes []string) ([][]byte, time.Duration, error) {
	to, ok := l.address(id)
	if !ok {
		return nil, 0, errUnknownMember
	}
	ctx, cancel := context.WithTimeout(ctx, chunksTimeout)
	defer cancel()
	answer, err := peer.Call[messages.Chunks](ctx, l.Endpoint, to, chunksMethod, messages.GetChunks{Hashes: hashes})
	if err != nil {
		return nil, 0, err
	}
	chunks := make([][]byte, 0, len(answer.Chunks))
	for _, c := range answer.Chunks {
		data, err := decompress(c)
		if err != nil {
			return nil, 0, err
		}
		l.Metrics.Add("chunksFromPeers", 1)
		chunks = append(chunks, data)
	}
	return chunks, time.Duration(answer.RetryAfterMillis) * time.Millisecond, nil
}

// fetchFromPlatform reads chunks from the platform, at most at this node's share of
// totalReaderRate. It passes on the chunks that it got even if some reads failed.
func (l *Loop) fetchFromPlatform(ctx context.Context, hashes []string) {
	var mu sync.Mutex
	var chunks [][]byte
	ctx, cancel := context.WithTimeout(ctx, chunksTimeout)
	defer cancel()
	var group errgroup.Group
	group.SetLimit(maxPlatformReads)
	for _, hash := range hashes {
		group.Go(func() error {
			if !l.chunkLimiter.wait(ctx, l.readerCount()) {
				return ctx.Err()
			}
			object, err := l.Platform.Get(ctx, publish.ChunkPrefix+hash)
			if err != nil {
				l.Metrics.Add("platformErrors", 1)
				return err
			}
			l.Metrics.Add("chunksFromPlatform", 1)
			mu.Lock()
			defer mu.Unlock()
			chunks = append(chunks, object.Value)
			return nil
		})
	}
	if err := group.Wait(); err != nil && len(chunks) == 0 {
		l.step(core.FetchFailed{From: core.Platform})
		return
	}
	l.step(core.ChunksReceived{From: core.Platform, Chunks: chunks})
}

// readHead reads the head from the platform once.
func (l *Loop) readHead(ctx context.Context) {
	object, err := l.Platform.Get(ctx, publish.HeadKey)
	switch {
	case errors.Is(err, platform.ErrNotFound):
		l.platformAnswered(0)
		l.step(core.PlatformEmpty{})
		l.step(core.HeadFailed{From: core.Platform})
	case err != nil:
		l.platformFailed(err)
		l.step(core.HeadFailed{From: core.Platform})
	default:
		l.headFromPlatform(object.Value)
	}
}

// announce forwards a head of which this node has all chunks: a reader sends it to the
// whole zone, another node to the nodes that the sender listed.
func (l *Loop) announce(e core.Announce) {
	l.mu.Lock()
	if l.isReader && l.view != nil {
		l.tree.AddTargets(e.Head.Hash, l.zoneOrder(e.Head.Hash))
	}
	ids := l.tree.MarkComplete(e.Head.Hash)
	l.mu.Unlock()
	l.send(ids, e.Head, e.Base)
}

// zoneOrder returns the other live nodes of the zone in the order of the tree. The
// caller holds mu.
func (l *Loop) zoneOrder(hash string) []string {
	self := l.view.Self()
	var ids []string
	for _, m := range l.view.Zone(self.Zone) {
		if m.Id != self.Id && isAlive(m) {
			ids = append(ids, m.Id)
		}
	}
	return relay.Order(hash, ids)
}

// send sends a head to the nodes of a list over a tree: to a few children, each with
// the list of its descendants to forward the head to. If a child fails, this node sends
// the head to the child's descendants itself.
func (l *Loop) send(ids []string, head, base core.Head) {
	if len(ids) == 0 {
		return
	}
	message := core.Announcement(l.View.Load().Self().Id, head, base)
	for _, branch := range relay.Split(ids, relay.Fanout) {
		l.spawn(func(ctx context.Context) {
			if l.sendTo(ctx, branch, message) != nil {
				l.Metrics.Add("announceErrors", 1)
				l.send(branch.Descendants, head, base)
			}
		})
	}
}

func (l *Loop) sendTo(ctx context.Context, branch relay.Branch, message messages.Announce) error {
	to, ok := l.address(branch.Child)
	if !ok {
		return errUnknownMember
	}
	ctx, cancel := context.WithTimeout(ctx, childTimeout)
	defer cancel()
	message.Forward = branch.Descendants
	_, err := peer.Call[messages.Empty](ctx, l.Endpoint, to, announceMethod, message)
	return err
}
