package fairness

import (
	"math"
	"time"
)

// rateWindow is the time constant of measured rates. It is short against an overload, which lasts for seconds, and long
// against the time between two requests of a service under overload.
const rateWindow = 500 * time.Millisecond

// rate measures events per second; older events count exponentially less.
type rate struct {
	count float64
	at    time.Time
	since time.Time // first event
}

func (r *rate) add(now time.Time) {
	r.count = r.decayed(now) + 1
	r.at = now
	if r.since.IsZero() {
		r.since = now
	}
}

func (r *rate) decayed(now time.Time) float64 {
	return r.count * math.Exp(-max(now.Sub(r.at), 0).Seconds()/rateWindow.Seconds())
}

func (r *rate) perSecond(now time.Time) float64 { return r.decayed(now) / rateWindow.Seconds() }

// minRateAge is the age from which a rate is corrected for the time before the first event.
const minRateAge = 20 * time.Millisecond

// corrected returns the rate as if the events before the first one had been as frequent as those since then.
func (r *rate) corrected(now time.Time) float64 {
	age := max(now.Sub(r.since), minRateAge)
	return r.perSecond(now) / -math.Expm1(-age.Seconds()/rateWindow.Seconds())
}
