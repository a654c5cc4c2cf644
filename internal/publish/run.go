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

// basePause is doubled for each failure, up to maxPause, to get the longest pause
// before the next attempt.
const (
	basePause = 20 * time.Millisecond
	maxPause  = 500 * time.Millisecond
)

// machine is implemented by the state machines of core/commit and core/gc.
type machine interface {
	Start() objectop.Action
	Step(event objectop.Event) objectop.Action
	Finished() bool
	Attempt() int
}

// run performs the actions of a machine until it has finished or ctx is done.
func (s Store) run(ctx context.Context, m machine) {
	action := m.Start()
	for !m.Finished() {
		if n := m.Attempt(); n > 0 {
			pause(ctx, n)
		}
		// The event of a started action is always passed to the machine, also when
		// ctx is done, since the action may have taken effect.
		action = m.Step(s.do(ctx, action))
		if ctx.Err() != nil {
			return
		}
	}
}

// do performs an action of a machine and returns its event.
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
		return failedEvent(err)
	case objectop.Write:
		revision, err := s.Objects.Put(ctx, action.Key, action.Value, platform.Revision(action.IfRevision))
		return writtenEvent(uint64(revision), err)
	case objectop.Delete:
		err := s.Objects.Delete(ctx, action.Key, platform.Revision(action.IfRevision))
		return writtenEvent(0, err)
	case objectop.List:
		entries, err := s.Objects.List(ctx, action.Prefix)
		if err != nil {
			return failedEvent(err)
		}
		return listedEvent(entries)
	}
	return objectop.Failed{NotRun: true, Err: errors.Newf("unexpected action %T", action)}
}

func writtenEvent(revision uint64, err error) objectop.Event {
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		return objectop.Written{Revision: revision}
	case errors.As(err, &conflict):
		return objectop.Conflicted{}
	}
	return failedEvent(err)
}

func failedEvent(err error) objectop.Event {
	_, notRun := verdict.Of(err).(verdict.NotRun)
	return objectop.Failed{NotRun: notRun, Err: err}
}

func listedEvent(entries []platform.Entry) objectop.Event {
	listed := make([]objectop.Entry, len(entries))
	for i, e := range entries {
		listed[i] = objectop.Entry{
			Key:      e.Key,
			Revision: uint64(e.Revision),
			Age:      time.Duration(e.AgeSeconds * float64(time.Second)),
		}
	}
	return objectop.Listed{Entries: listed}
}

// pause waits after the n-th failure, with exponential backoff and full jitter.
func pause(ctx context.Context, n int) {
	limit := min(basePause<<n, maxPause)
	timer := time.NewTimer(rand.N(limit))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
