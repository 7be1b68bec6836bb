package sim

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Series collects durations.
type Series struct {
	values []time.Duration
}

// Add adds one duration.
func (s *Series) Add(d time.Duration) { s.values = append(s.values, d) }

// Len returns the number of durations.
func (s *Series) Len() int { return len(s.values) }

// Quantile returns the value below which the share q of all durations lies, 0 without any.
func (s *Series) Quantile(q float64) time.Duration {
	if len(s.values) == 0 {
		return 0
	}
	v := slices.Clone(s.values)
	slices.Sort(v)
	return v[min(int(math.Ceil(q*float64(len(v))))-1, len(v)-1)]
}

// Max returns the longest duration.
func (s *Series) Max() time.Duration {
	if len(s.values) == 0 {
		return 0
	}
	return slices.Max(s.values)
}

// Lengths draws answer lengths in tokens from a log-normal distribution with the given median, spread (sigma of the
// logarithm) and largest value.
func Lengths(r *rand.Rand, median, sigma float64, most int) int {
	return min(max(int(median*math.Exp(sigma*r.NormFloat64())), 1), most)
}

// Exponential draws the pause to the next arrival of a Poisson process with the given rate a second.
func Exponential(r *rand.Rand, rate float64) time.Duration {
	return time.Duration(r.ExpFloat64() / rate * float64(time.Second))
}
