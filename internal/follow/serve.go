package follow

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	core "lavenderdeal/core/follow"
	"lavenderdeal/core/zonestatus"
	"lavenderdeal/io/peer"
	"lavenderdeal/schema/messages"
)

const (
	confirmMethod = "confirm"
	// maxAnswerBytes limits the total size of the compressed chunks of one answer, in
	// bytes. In base64 they still fit in the longest message.
	maxAnswerBytes = 2 << 20
	// busyRetryAfter is the mean time after which a node that was refused chunks
	// should retry.
	busyRetryAfter = 100 * time.Millisecond
)

var errNotRunning = errors.New("this node is not following versions yet")

// Handle registers the handlers of the messages from other nodes.
func (l *Loop) Handle(mux *peer.Mux) {
	peer.Handle(mux, headMethod, l.answerHead)
	peer.Handle(mux, chunksMethod, l.answerChunks)
	peer.Handle(mux, announceMethod, l.acceptAnnouncement)
	peer.Handle(mux, confirmMethod, l.acceptReport)
}

// answerHead returns the number of the version that this node holds, and its head
// unless the requesting node has that head or a newer version.
func (l *Loop) answerHead(_ context.Context, q messages.GetHead) (messages.HeldHead, error) {
	l.mu.Lock()
	held := l.machine.Held()
	answer := messages.HeldHead{
		Version: held.Version, Hash: held.Hash, Head: []byte{},
		Ready: l.readyResult != nil, Platform: l.platform,
	}
	l.mu.Unlock()
	l.step(core.VersionReported{From: core.Source(q.From), Number: q.Version})
	if held.Hash == q.Hash || held.Version < q.Version {
		return answer, nil
	}
	data, err := compress(held.Raw)
	answer.Head = data
	return answer, err
}

// answerChunks returns the requested chunks that this node holds, as many as fit
// in one answer. It refuses the request when maxChunkRequests others are running.
func (l *Loop) answerChunks(_ context.Context, q messages.GetChunks) (messages.Chunks, error) {
	answer := messages.Chunks{Chunks: [][]byte{}}
	defer l.chunkRequests.Add(-1)
	if l.chunkRequests.Add(1) > maxChunkRequests {
		l.Metrics.Add("transfersRefused", 1)
		answer.RetryAfterMillis = int64(1 + rand.N(2*busyRetryAfter)/time.Millisecond)
		return answer, nil
	}
	l.mu.Lock()
	chunks := l.machine.Chunks()
	l.mu.Unlock()
	size := 0
	for _, hash := range q.Hashes {
		data, ok := chunks[hash]
		if !ok {
			continue
		}
		compressed, err := l.compressed.get(hash, data, len(chunks))
		if err != nil {
			return answer, err
		}
		if size += len(compressed); size > maxAnswerBytes && len(answer.Chunks) > 0 {
			break
		}
		answer.Chunks = append(answer.Chunks, compressed)
	}
	return answer, nil
}

// acceptAnnouncement handles the announcement of a head by another node. This node
// forwards the head to the nodes that the announcement lists, once it has all chunks.
func (l *Loop) acceptAnnouncement(_ context.Context, a messages.Announce) (messages.Empty, error) {
	if l.run.Load() == nil {
		return nil, errNotRunning
	}
	l.mu.Lock()
	held := l.machine.Held()
	due := l.tree.AddTargets(a.Hash, a.Forward)
	l.mu.Unlock()
	if a.Hash == held.Hash {
		l.send(due, held, core.Head{})
		return messages.Empty{}, nil
	}
	if raw, ok := core.Patch(held, a); ok {
		l.spawn(func(context.Context) { l.step(core.HeadReceived{From: core.Source(a.From), Raw: raw}) })
		return messages.Empty{}, nil
	}
	l.step(core.VersionReported{From: core.Source(a.From), Number: a.Version})
	return messages.Empty{}, nil
}

// acceptReport records which version a node of the zone has in force.
func (l *Loop) acceptReport(_ context.Context, c messages.Confirm) (messages.Empty, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reports.Report(zonestatus.Report{
		ID: c.From, Sequence: c.Sequence, Number: c.Version, RejectedNumber: c.Rejected, Reasons: slices.Clone(c.Reasons),
	})
	return messages.Empty{}, nil
}
