package trafficsplit_test

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"

	"lavenderdeal/core/routes"
	"lavenderdeal/core/trafficsplit"
)

func ExampleSplitter() {
	r := &routes.Route{Name: "r", Services: []routes.WeightedService{{Service: "old", Weight: 3}, {Service: "new", Weight: 1}}}
	var s trafficsplit.Splitter
	for range 4 {
		fmt.Print(s.Next(r), " ")
	}
	// Output: old old new old
}

// TestShare checks that after any number of requests each service is within as many
// requests of its share as the route has services.
func TestShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(0, 100), 1, 4).Draw(t, "weights")
		weights[0]++
		total := 0
		r := &routes.Route{Name: "r"}
		for i, w := range weights {
			r.Services = append(r.Services, routes.WeightedService{Service: fmt.Sprint(i), Weight: w})
			total += w
		}
		var s trafficsplit.Splitter
		got := make(map[string]int)
		n := rapid.IntRange(1, 300).Draw(t, "requests")
		for range n {
			got[s.Next(r)]++
		}
		for i, w := range weights {
			want := float64(n) * float64(w) / float64(total)
			if math.Abs(float64(got[fmt.Sprint(i)])-want) > float64(len(weights)) {
				t.Fatalf("service %d of weights %v got %d of %d requests", i, weights, got[fmt.Sprint(i)], n)
			}
		}
	})
}

// TestNewWeights checks that new weights of a route take effect at once. Otherwise a service
// whose weight was set to 0 would still get requests.
func TestNewWeights(t *testing.T) {
	r := &routes.Route{Name: "r", Services: []routes.WeightedService{{Service: "a", Weight: 1}, {Service: "b", Weight: 1}}}
	var s trafficsplit.Splitter
	s.Next(r)
	moved := &routes.Route{Name: "r", Services: []routes.WeightedService{{Service: "a", Weight: 0}, {Service: "b", Weight: 1}}}
	for range 10 {
		if got := s.Next(moved); got != "b" {
			t.Fatalf("got a request for service %s, which has no weight", got)
		}
	}
}
