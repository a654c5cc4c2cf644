package simulator_test

import (
	"fmt"
	"reflect"
	"testing"

	"lavenderdeal/internal/simulator"
)

func pattern(t testing.TB, name string) simulator.Pattern {
	t.Helper()
	for _, p := range simulator.Patterns() {
		if p.Name == name {
			return p
		}
	}
	t.Fatalf("no pattern %q", name)
	return simulator.Pattern{}
}

func ExampleSimulate() {
	site := simulator.Sites()["coni"]
	r := simulator.Simulate(site, simulator.Patterns()[0])
	fmt.Println(r.Kinds[0].Name, r.Kinds[0].InTime == r.Kinds[0].Callers)
	// Output: stock true
}

// limitShare returns the worth reached, as a share of the limit.
func limitShare(r simulator.Result) float64 { return r.Worth / r.Limit }

// TestMechanisms checks that at least 0.85 of the limit is reached, and that each
// mechanism improves the result under the load that it is meant for.
func TestMechanisms(t *testing.T) {
	for _, c := range []struct {
		pattern string
		without simulator.Mechanism
		earns   float64
	}{
		{"overload", simulator.Admission, 0.3},
		{"overload", simulator.RetryMatching, 0.15},
		{"serversGone", simulator.RetryMatching, 0.1},
		{"burst", simulator.RetryMatching, 0.1},
	} {
		t.Run(c.pattern+" without "+string(c.without), func(t *testing.T) {
			site, p := simulator.Sites()["trinidad"], pattern(t, c.pattern)
			all, less := simulator.Simulate(site, p), simulator.Simulate(site, p, simulator.Without(c.without))
			if limitShare(all) < 0.85 || limitShare(all) > 1.01 {
				t.Errorf("%.2f of the limit", limitShare(all))
			}
			if limitShare(all)-limitShare(less) < c.earns {
				t.Errorf("%.2f of the limit with all, %.2f without %s", limitShare(all), limitShare(less), c.without)
			}
		})
	}
}

// TestCounts checks that every caller is counted once, and that a burst of the
// least urgent kind does not delay the most urgent one.
func TestCounts(t *testing.T) {
	r := simulator.Simulate(simulator.Sites()["coni"], pattern(t, "burstOfLeastUrgent"))
	for _, k := range r.Kinds {
		if k.InTime+k.Late+k.Refused != k.Callers {
			t.Errorf("%+v", k)
		}
	}
	if urgent := r.Kinds[0]; urgent.InTime < urgent.Callers*99/100 {
		t.Errorf("the most urgent kind in a burst of the least urgent: %+v", urgent)
	}
}

func TestSeed(t *testing.T) {
	site, p := simulator.Sites()["trinidad"], pattern(t, "usual")
	if !reflect.DeepEqual(simulator.Simulate(site, p), simulator.Simulate(site, p)) {
		t.Error("two simulations with the same seed differ")
	}
	if reflect.DeepEqual(simulator.Simulate(site, p), simulator.Simulate(site, p, simulator.WithSeed(2))) {
		t.Error("simulations with different seeds are equal")
	}
}
