package sim

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Series is a sample of durations.
type Series struct {
	values []time.Duration
}

// Add adds one duration.
func (s *Series) Add(d time.Duration) { s.values = append(s.values, d) }

// Len returns the number of durations.
func (s *Series) Len() int { return len(s.values) }

// Quantile returns the smallest duration that at least the share q of all durations does not exceed, 0 if there are
// none.
func (s *Series) Quantile(q float64) time.Duration {
	if len(s.values) == 0 {
		return 0
	}
	v := slices.Clone(s.values)
	slices.Sort(v)
	return v[min(int(math.Ceil(q*float64(len(v))))-1, len(v)-1)]
}

// Max returns the longest duration, 0 if there are none.
func (s *Series) Max() time.Duration {
	if len(s.values) == 0 {
		return 0
	}
	return slices.Max(s.values)
}

// RandomLength draws a response length in tokens from a log-normal distribution with the given median and sigma
// (standard deviation of the logarithm), clamped to 1 to limit.
func RandomLength(r *rand.Rand, median, sigma float64, limit int) int {
	return min(max(int(median*math.Exp(sigma*r.NormFloat64())), 1), limit)
}

// ExponentialDelay draws the time to the next arrival of a Poisson process with the given rate per second.
func ExponentialDelay(r *rand.Rand, rate float64) time.Duration {
	return time.Duration(r.ExpFloat64() / rate * float64(time.Second))
}
