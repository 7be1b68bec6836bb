// Package truetime estimates the true time of day from the clocks of several processes.
//
// # Usage
//
//	e := truetime.New(wall, boot)
//	e.Sample("entry-2", reading, askedAt, answeredAt)
//	t := e.At(boot)
//
// It is designed for some tens of processes, a few of whose wall clocks are wrong by seconds or jump while the process runs.
// Times are readings of a clock that runs steadily and counts suspensions, such as CLOCK_BOOTTIME, as durations since an
// arbitrary start; the wall clock is read only once, at the start. The estimate is the median of the processes' clocks, so
// that it is right while most processes were started with a right clock. All types are safe for use by one goroutine at a
// time.
package truetime

import (
	"slices"
	"time"
)

const (
	// goodRoundTrip is the round trip time of a sample up to which its error, at most half of the round trip time, does not
	// matter.
	goodRoundTrip = 5 * time.Millisecond
	// maxSamples is the number of samples of a process after which no better one is expected: it is in another region.
	maxSamples = 5
	// sampleLifetime is the time after which a sample is replaced by a worse one, since clocks drift by up to 50 µs a second.
	sampleLifetime = 10 * time.Minute
	// forgetAfter is the time after which a process without new samples no longer counts.
	forgetAfter = 15 * time.Minute
)

// Estimator estimates the difference between the time of day and the steady clock of its process.
type Estimator struct {
	own     time.Duration // time of day minus steady clock, from the reading of the wall clock at the start
	started time.Duration
	others  map[string]sample
}

// sample is what is known about the clock of another process.
type sample struct {
	offset    time.Duration // its reading minus the steady clock of this process
	roundTrip time.Duration
	takenAt   time.Duration
	newestAt  time.Duration // time of the newest sample, used or not
	number    int           // of samples so far
}

// New returns an Estimator for a process that reads the wall clock at wall and its steady clock at boot.
func New(wall time.Time, boot time.Duration) *Estimator {
	return &Estimator{own: time.Duration(wall.UnixNano()) - boot, started: boot, others: make(map[string]sample)}
}

// Reading returns the process's own clock in time since 1970. It does not depend on other processes, so that the estimates
// of several processes cannot drift together.
func (e *Estimator) Reading(boot time.Duration) time.Duration { return e.own + boot }

// Sample records the reading of another process, which was asked for and received at the given times. Of the recent samples
// of a process, the one with the shortest round trip counts.
func (e *Estimator) Sample(name string, reading, askedAt, receivedAt time.Duration) {
	n := sample{
		offset: reading - askedAt - (receivedAt-askedAt)/2, roundTrip: receivedAt - askedAt, takenAt: receivedAt, newestAt: receivedAt,
		number: 1,
	}
	old, known := e.others[name]
	n.number += old.number
	if known && old.roundTrip < n.roundTrip && receivedAt-old.takenAt < sampleLifetime && !contradict(old, n) {
		old.newestAt, old.number = receivedAt, n.number
		n = old
	}
	e.others[name] = n
}

// contradict reports whether two samples cannot be from the same clock: their offsets differ by more than their errors. The
// other process has then been restarted with another reading of its wall clock.
func contradict(a, b sample) bool {
	return (a.offset - b.offset).Abs() > (a.roundTrip+b.roundTrip)/2+goodRoundTrip
}

// Wanted reports whether another sample of a process would improve the estimate.
func (e *Estimator) Wanted(name string, now time.Duration) bool {
	s, known := e.others[name]
	return !known || s.roundTrip > goodRoundTrip && s.number < maxSamples || now-s.takenAt >= sampleLifetime
}

// Samples returns the number of other processes whose clocks are known.
func (e *Estimator) Samples() int { return len(e.others) }

// Offset returns the estimated time of day, since 1970, minus the steady clock.
func (e *Estimator) Offset(now time.Duration) time.Duration {
	all := []time.Duration{e.own}
	for name, s := range e.others {
		if now-s.newestAt > forgetAfter {
			delete(e.others, name)
			continue
		}
		all = append(all, s.offset)
	}
	slices.Sort(all)
	if n := len(all); n%2 == 0 {
		return all[n/2-1] + (all[n/2]-all[n/2-1])/2
	}
	return all[len(all)/2]
}
