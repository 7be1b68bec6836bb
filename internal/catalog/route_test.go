package catalog

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against services of a split route that come first more or less often than their weights say, that get requests with
// weight 0 or that are missing or listed twice, and against a panic if the sum of the weights overflows.
func TestOrderFollowsWeights(t *testing.T) {
	const draws = 10_000
	for _, c := range []struct {
		name   string
		shares []Share
		all    int                // services in each order
		first  map[string]float64 // fraction of the orders that begin with a service
	}{
		{name: "one", shares: []Share{{"a", 0}}, all: 1, first: map[string]float64{"a": 1}},
		{name: "weights", shares: []Share{{"a", 10}, {"b", 60}, {"c", 30}}, all: 3, first: map[string]float64{"a": 0.1, "b": 0.6, "c": 0.3}},
		{name: "zero", shares: []Share{{"a", 0}, {"b", 1}, {"c", 1}}, all: 2, first: map[string]float64{"b": 0.5, "c": 0.5}},
		{name: "zeros", shares: []Share{{"a", 0}, {"b", 0}}, all: 1, first: map[string]float64{"a": 1}},
		{name: "twice", shares: []Share{{"a", 1}, {"b", 1}, {"a", 2}}, all: 2, first: map[string]float64{"a": 0.75, "b": 0.25}},
		{name: "huge", shares: []Share{{"a", math.MaxInt}, {"b", math.MaxInt}}, all: 2, first: map[string]float64{"a": 0.5, "b": 0.5}},
	} {
		r := Route{Shares: c.shares}
		random := rand.New(rand.NewPCG(1, 2))
		first := make(map[string]int)
		for range draws {
			order := r.Order(random.IntN)
			seen := make(map[string]bool)
			for _, name := range order {
				seen[name] = true
			}
			if len(order) != c.all || len(seen) != c.all {
				t.Fatalf("%s: order %v, want %d services", c.name, order, c.all)
			}
			first[order[0]]++
		}
		got := make(map[string]float64)
		for name, n := range first {
			got[name] = float64(n) / draws
		}
		if diff := cmp.Diff(c.first, got, cmp.Comparer(func(a, b float64) bool { return math.Abs(a-b) < 0.02 })); diff != "" {
			t.Errorf("%s: first services (-want +got):\n%s", c.name, diff)
		}
	}
}
