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

// limitShare returns the total worth of the answers as a fraction of the limit.
func limitShare(r simulator.Result) float64 { return r.Worth / r.Limit }

// TestMechanisms guards against changes, for instance of a constant, by which nodes
// waste slots under load, or by which admission or the matching of retries no longer
// helps. Under each load, the result must be at least 0.85 of the limit, and lower by
// minGain without the mechanism.
func TestMechanisms(t *testing.T) {
	for _, c := range []struct {
		pattern string
		without simulator.Mechanism
		minGain float64
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
				t.Errorf("reached %.2f of the limit, want 0.85 to 1.01", limitShare(all))
			}
			if limitShare(all)-limitShare(less) < c.minGain {
				t.Errorf("reached %.2f of the limit with all mechanisms, which is too close to the %.2f without %s", limitShare(all), limitShare(less), c.without)
			}
		})
	}
}

// TestCounts guards against callers that are counted twice or not at all when their
// attempts are refused and retried, and against a burst of the least urgent kind that
// delays the most urgent one.
func TestCounts(t *testing.T) {
	r := simulator.Simulate(simulator.Sites()["coni"], pattern(t, "burstOfLeastUrgent"))
	for _, k := range r.Kinds {
		if k.InTime+k.Late+k.Refused != k.Callers {
			t.Errorf("in time, late and refused do not add up to the callers: %+v", k)
		}
	}
	if urgent := r.Kinds[0]; urgent.InTime < urgent.Callers*99/100 {
		t.Errorf("less than 99 %% of the most urgent callers were answered in time in a burst of the least urgent kind: %+v", urgent)
	}
}

// TestSeed guards against results that depend on something other than the seed, such
// as the clock or the order of a map, and against a seed that has no effect.
func TestSeed(t *testing.T) {
	site, p := simulator.Sites()["trinidad"], pattern(t, "usual")
	if !reflect.DeepEqual(simulator.Simulate(site, p), simulator.Simulate(site, p)) {
		t.Error("two simulations with the same seed differ")
	}
	if reflect.DeepEqual(simulator.Simulate(site, p), simulator.Simulate(site, p, simulator.WithSeed(2))) {
		t.Error("simulations with different seeds are equal")
	}
}
