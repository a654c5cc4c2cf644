package publish

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"lavenderdeal/core/objectop"
	"lavenderdeal/core/verdict"
	"lavenderdeal/io/platform"
)

const (
	firstPause = 20 * time.Millisecond
	maxPause   = 500 * time.Millisecond
)

// machine is what the machines of core/commit and core/collect have in common.
type machine interface {
	Start() objectop.Action
	Step(event objectop.Event) objectop.Action
	Finished() bool
	Attempt() int
}

// run drives a machine until it has finished or ctx is done.
func (s Store) run(ctx context.Context, m machine) {
	action := m.Start()
	for !m.Finished() {
		if n := m.Attempt(); n > 0 {
			pause(ctx, n)
		}
		// An action that was begun is always reported, so that the machine knows
		// what may have taken effect.
		action = m.Step(s.do(ctx, action))
		if ctx.Err() != nil {
			return
		}
	}
}

func (s Store) do(ctx context.Context, action objectop.Action) objectop.Event {
	switch action := action.(type) {
	case objectop.Read:
		object, err := s.Objects.Get(ctx, action.Key)
		if err == nil {
			return objectop.Found{Value: object.Value, Revision: uint64(object.Revision)}
		}
		if errors.Is(err, platform.ErrNotFound) {
			return objectop.Missing{}
		}
		return failed(err)
	case objectop.Write:
		revision, err := s.Objects.Put(ctx, action.Key, action.Value, platform.Revision(action.IfRevision))
		return written(uint64(revision), err)
	case objectop.Delete:
		err := s.Objects.Delete(ctx, action.Key, platform.Revision(action.IfRevision))
		return written(0, err)
	case objectop.List:
		entries, err := s.Objects.List(ctx, action.Prefix)
		if err != nil {
			return failed(err)
		}
		return listed(entries)
	}
	return objectop.Failed{NotRun: true, Err: errors.Newf("action %T", action)}
}

func written(revision uint64, err error) objectop.Event {
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		return objectop.Written{Revision: revision}
	case errors.As(err, &conflict):
		return objectop.Conflicted{}
	}
	return failed(err)
}

func failed(err error) objectop.Event {
	_, notRun := verdict.Of(err).(verdict.NotRun)
	return objectop.Failed{NotRun: notRun, Err: err}
}

func listed(entries []platform.Entry) objectop.Event {
	rows := make([]objectop.Entry, len(entries))
	for i, e := range entries {
		rows[i] = objectop.Entry{
			Key:      e.Key,
			Revision: uint64(e.Revision),
			Age:      time.Duration(e.AgeSeconds * float64(time.Second)),
		}
	}
	return objectop.Listed{Entries: rows}
}

// pause waits after the n-th failure, longer each time and with full jitter.
func pause(ctx context.Context, n int) {
	longest := min(firstPause<<n, maxPause)
	timer := time.NewTimer(rand.N(longest))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
