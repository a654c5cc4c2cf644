package fence_test

import (
	"testing"
	"time"

	"lavenderdeal/core/fence"
	"lavenderdeal/core/home"
	"lavenderdeal/schema/objects"
)

func threeHomes() *home.Roster {
	return home.Initial("bookings", []objects.HomeEntry{{Id: "a"}, {Id: "b"}, {Id: "c"}})
}

func newFence(id string) *fence.Fence {
	f := fence.New(id)
	f.Adopt(threeHomes())
	f.RecordPlatformRead(start, 1)
	return f
}

func assertConfirmed(t *testing.T, f *fence.Fence, now time.Time, want bool) {
	t.Helper()
	if got := f.Confirmed(now); got != want {
		t.Fatalf("confirmed at +%v: got %v, want %v", now.Sub(start), got, want)
	}
}

// Guards against a home that still runs calls after its confirmations expired or its
// peers prepared a change, and against one that never runs them again after the change
// was given up.
func TestConfirmation(t *testing.T) {
	late := start.Add(2 * fence.ConfirmationTTL)
	t.Run("ends without platform and peers", func(t *testing.T) {
		f := newFence("a")
		assertConfirmed(t, f, start.Add(fence.ConfirmationTTL-1), true)
		assertConfirmed(t, f, start.Add(fence.ConfirmationTTL), false)
	})
	t.Run("goes on with more than half of the homes", func(t *testing.T) {
		f := newFence("a")
		f.RecordAnswer(late, "b", newFence("b").State(late))
		assertConfirmed(t, f, late.Add(fence.ConfirmationTTL-1), true)
		assertConfirmed(t, f, late.Add(fence.ConfirmationTTL), false)
	})
	t.Run("is not given by a home that prepared the next epoch", func(t *testing.T) {
		f, b := newFence("a"), newFence("b")
		if !b.Prepare(late, 2) {
			t.Fatal("Prepare(2): got false, want true")
		}
		f.RecordAnswer(late, "b", b.State(late))
		assertConfirmed(t, f, late, false)
	})
	t.Run("is not given to itself after it prepared the next epoch", func(t *testing.T) {
		f := newFence("a")
		f.Prepare(late, 2)
		f.RecordAnswer(late, "b", newFence("b").State(late))
		assertConfirmed(t, f, late, false)
	})
	t.Run("is given again once the platform shows that the change was given up", func(t *testing.T) {
		b := newFence("b")
		b.Prepare(late, 2)
		b.RecordPlatformRead(late.Add(fence.WriteTimeout), 1)
		if got := b.State(late).Prepared; got != 2 {
			t.Fatalf("prepared epoch is %d while its write may still take effect, want 2", got)
		}
		b.RecordPlatformRead(late.Add(fence.WriteTimeout+1), 1)
		if got := b.State(late).Prepared; got != 0 {
			t.Fatalf("prepared epoch is %d, want 0", got)
		}
	})
	t.Run("of an epoch that is known already is refused", func(t *testing.T) {
		if newFence("a").Prepare(late, 1) {
			t.Fatal("Prepare(1) at epoch 1: got true, want false")
		}
	})
}
