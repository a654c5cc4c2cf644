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
	t.Run("a call decided under a newer version waits for it and makes it wanted", func(t *testing.T) {
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
			t.Fatal("nobody was told that a newer version is wanted")
		}
		if held.Newest() != 3 {
			t.Errorf("newest is %d, want 3", held.Newest())
		}
		held.Set(version(t, 3))
		if err := group.Wait(); err != nil {
			t.Fatal(err)
		}
	})
	t.Run("the wait is bounded", func(t *testing.T) {
		var held inforce.Plans
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		if _, err := held.AtLeast(ctx, 1); err == nil {
			t.Fatal("a version is in force that was never set")
		}
	})
	t.Run("an older version that is heard of is not wanted", func(t *testing.T) {
		var held inforce.Plans
		held.Set(version(t, 5))
		held.ReportVersion(4)
		select {
		case <-held.Outdated():
			t.Fatal("an older version is wanted")
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
