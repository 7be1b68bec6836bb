package place

import (
	"slices"
	"time"
)

const (
	// validFor is how long the current interval of a server is valid without a new event.
	validFor = 3 * time.Second
	// averagingTime is the time constant of the current interval. It covers four events of a typical engine, so that the
	// first slow event shows and a single late one is soon forgotten.
	averagingTime = 150 * time.Millisecond
	// baselineStep limits the relative change of the baseline by one event, and baselineInitialStep that by each of the
	// first baselineInitialUpdates events. Servers differ permanently; a transient slowdown must not move the baseline.
	baselineStep           = 0.02
	baselineInitialStep    = 0.15
	baselineInitialUpdates = 20
	// lagCheckInterval is the time between two checks whether this process lags, less than the time between two events.
	lagCheckInterval = 20 * time.Millisecond
	// minComparedServers is how many servers must have a recent interval before they are compared with each other.
	minComparedServers = 3
	// slowFactor is the ratio to the median, or to the server's own baseline, from which a server counts as slow.
	slowFactor = 1.4
	// expectedSlowdown is how long a slowdown is expected to last in addition to the time that it has lasted already:
	// most interference from other work on the hardware ends within a second, some goes on for many.
	expectedSlowdown = 500 * time.Millisecond
	// stallTimeoutFactor times the median interval is how long an engine may emit no event before other servers with room
	// are preferred, at least minStallTimeout and at most the caller's limit.
	stallTimeoutFactor = 12
	minStallTimeout    = 600 * time.Millisecond
)

// intervals holds the time between two events of an engine, as observed on the streams of this process.
type intervals struct {
	current         time.Duration // average over averagingTime; 0 if none was observed
	baseline        time.Duration // approximate median of all observations
	updated         time.Time     // of current and baseline
	baselineUpdates int           // number of updates of baseline
	slowSince       time.Time     // when current reached slowFactor times the baseline; zero if it is below
}

// observe records the time between two events of one stream.
func (i *intervals) observe(gap time.Duration, now time.Time) {
	if i.baseline == 0 {
		i.baseline = gap
	}
	if i.current == 0 || now.Sub(i.updated) > validFor {
		i.current, i.updated = gap, now
		return
	}
	since := now.Sub(i.updated)
	i.current += time.Duration(float64(gap-i.current) * float64(since) / float64(since+averagingTime))
	i.updated = now
	// Events of an engine's concurrent streams arrive together and count once.
	if since > i.baseline/4 {
		i.adaptBaseline(gap)
	}
	switch {
	case float64(i.current) < slowFactor*float64(i.baseline):
		i.slowSince = time.Time{}
	case i.slowSince.IsZero():
		i.slowSince = now
	}
}

// adaptBaseline moves the baseline towards an observed time between two events.
func (i *intervals) adaptBaseline(gap time.Duration) {
	limit := baselineStep
	if i.baselineUpdates < baselineInitialUpdates {
		limit = baselineInitialStep
	}
	i.baselineUpdates++
	bound := time.Duration(limit * float64(i.baseline))
	i.baseline += min(max(gap-i.baseline, -bound), bound)
}

// valid reports whether there is a current interval that is recent enough to use.
func (i *intervals) valid(now time.Time) bool { return i.current > 0 && now.Sub(i.updated) <= validFor }

// exceeds reports whether a valid current interval is above a limit; 0 sets no limit.
func (i *intervals) exceeds(limit time.Duration, now time.Time) bool {
	return i.valid(now) && limit > 0 && i.current > limit
}

// expectedLoss estimates the time that work loses to the present slowdown. A single late event is not a slowdown.
func (i *intervals) expectedLoss(now time.Time) time.Duration {
	if i.slowSince.IsZero() || !i.valid(now) || now.Sub(i.slowSince) < i.baseline {
		return 0
	}
	return slowdownLoss(i.baseline, i.current, i.updated.Sub(i.slowSince))
}

// decayedLoss estimates the same for an engine of which this process has no recent event: the slowdown observed last
// is assumed to fade within twice expectedSlowdown.
func (i *intervals) decayedLoss(now time.Time) time.Duration {
	left := 1 - float64(now.Sub(i.updated))/float64(2*expectedSlowdown)
	if i.slowSince.IsZero() || left <= 0 {
		return 0
	}
	return time.Duration(left * float64(slowdownLoss(i.baseline, i.current, i.updated.Sub(i.slowSince))))
}

// slowdownLoss returns the time that work loses to a slowdown from the baseline to the current interval, which has
// lasted for the elapsed time.
func slowdownLoss(baseline, current, elapsed time.Duration) time.Duration {
	return time.Duration((1 - float64(baseline)/float64(current)) * float64(expectedSlowdown+elapsed))
}

// ObserveInterval records the time between two events that a server sent on one stream.
func (t *Tracker) ObserveInterval(id string, gap time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.state[id]; s != nil {
		s.intervals.observe(gap, now)
	}
}

// Slowed reports whether an engine emits events much slower than its baseline.
func (t *Tracker) Slowed(id string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state[id]
	return s != nil && s.intervals.expectedLoss(now) > 0 && !t.lagging(now)
}

// lagging reports whether most engines seem slowed at once. In that case it is this process that is slow and receives
// their events late.
func (t *Tracker) lagging(now time.Time) bool {
	if now.Sub(t.lagCheckedAt) < lagCheckInterval {
		return t.wasLagging
	}
	active, slowed := 0, 0
	for _, s := range t.state {
		if now.Sub(s.intervals.updated) >= remoteIntervalTTL {
			continue
		}
		active++
		if s.intervals.expectedLoss(now) > 0 {
			slowed++
		}
	}
	t.lagCheckedAt, t.wasLagging = now, active >= minComparedServers && 2*slowed > active
	return t.wasLagging
}

// MinInterval returns the lowest baseline interval of all engines, 0 if none is known.
func (t *Tracker) MinInterval() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	var least time.Duration
	for _, s := range t.state {
		if b := s.intervals.baseline; b > 0 && (least == 0 || b < least) {
			least = b
		}
	}
	return least
}

// StallTimeout returns how long an engine may emit no event before other servers with room are preferred, at most limit.
func (t *Tracker) StallTimeout(limit time.Duration, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return min(max(stallTimeoutFactor*t.median(now), minStallTimeout), limit)
}

// slowThreshold returns the interval above which a server counts as slow at present, 0 if too few servers have one.
func (t *Tracker) slowThreshold(now time.Time) time.Duration {
	return time.Duration(slowFactor * float64(t.median(now)))
}

// median returns the median of the current intervals of all servers, 0 if too few have one.
func (t *Tracker) median(now time.Time) time.Duration {
	var values []time.Duration
	for _, o := range t.state {
		if o.intervals.valid(now) {
			values = append(values, o.intervals.current)
		}
	}
	if len(values) < minComparedServers {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// initialEstimate returns the time assumed for a server that has not answered yet: for an engine the mean baseline of
// the others, if there are any.
func (t *Tracker) initialEstimate(engine bool) time.Duration {
	if !engine {
		return defaultServiceTime
	}
	var sum time.Duration
	n := 0
	for _, o := range t.state {
		if o.intervals.baseline > 0 {
			sum += o.intervals.baseline
			n++
		}
	}
	if n == 0 {
		return defaultServiceTime
	}
	return sum / time.Duration(n)
}
