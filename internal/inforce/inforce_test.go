package inforce_test

import (
	"context"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"lavenderdeal/core/plans"
	"lavenderdeal/internal/inforce"
	"lavenderdeal/schema/lists"
)

const testTimeout = 10 * time.Second

func version(t *testing.T, number uint64) *plans.Version {
	t.Helper()
	v, faults := plans.Build(number, lists.CustomerList{}, lists.PlanList{})
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	return v
}

// TestPlans guards against a node that returns to an older version, and against a
// call that is authorized under an older version than the one it names, or that waits
// for that version without the node being told to fetch it.
func TestPlans(t *testing.T) {
	t.Run("only a newer version is put in force", func(t *testing.T) {
		var held inforce.Plans
		assertSet(t, &held, version(t, 5), true)
		assertSet(t, &held, version(t, 4), false)
		assertSet(t, &held, version(t, 5), false)
		assertSet(t, &held, version(t, 6), true)
		if held.Number() != 6 {
			t.Errorf("version %d is in force, want 6", held.Number())
		}
	})
	t.Run("a call decided under a newer version waits for it and signals that the node is outdated", func(t *testing.T) {
		var held inforce.Plans
		held.Set(version(t, 1))
		ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
		defer cancel()
		var group errgroup.Group
		group.Go(func() error {
			_, err := held.AtLeast(ctx, 3)
			return err
		})
		select {
		case <-held.Outdated():
		case <-ctx.Done():
			t.Fatal("no signal that the version in force is outdated")
		}
		if held.Newest() != 3 {
			t.Errorf("newest is %d, want 3", held.Newest())
		}
		held.Set(version(t, 3))
		if err := group.Wait(); err != nil {
			t.Fatal(err)
		}
	})
	t.Run("the wait ends with the context", func(t *testing.T) {
		var held inforce.Plans
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		if _, err := held.AtLeast(ctx, 1); err == nil {
			t.Fatal("no error, want that of the context, since no version was set")
		}
	})
	t.Run("a report of an older version gives no signal", func(t *testing.T) {
		var held inforce.Plans
		held.Set(version(t, 5))
		held.ReportVersion(4)
		select {
		case <-held.Outdated():
			t.Fatal("the report of an older version signals that the node is outdated")
		default:
		}
	})
}

func assertSet(t *testing.T, held *inforce.Plans, v *plans.Version, want bool) {
	t.Helper()
	if got := held.Set(v); got != want {
		t.Fatalf("Set of version %d: got %v, want %v", v.Number(), got, want)
	}
}
