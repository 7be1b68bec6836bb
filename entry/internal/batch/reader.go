package batch

import (
	"cmp"
	"time"

	"bulrushspoke/entry/internal/medians"
)

const (
	// minRest is the shortest time between a response and the next read that counts as a pause of the client; a shorter
	// one is network round-trip time.
	minRest = 50 * time.Millisecond
	// maxReads is the number of recent reads from which the read interval of a client is estimated, and minReads the
	// fewest.
	maxReads = 9
	minReads = 3
	// maxHoldInterval is the longest read interval for which results are held back: clients that read less often would
	// get them too late.
	maxHoldInterval = time.Second
	// listLatency is the time reserved for the write and the response to the client.
	listLatency = 60 * time.Millisecond
	// flushTimeout bounds how long a read without a wait is delayed while held results are listed for it.
	flushTimeout = 100 * time.Millisecond
)

// allModels is the key of the read intervals of the trainers of all models.
const allModels = ""

// readerKey returns the key of the read intervals of the trainers that submit such jobs: those of one model, in each
// workspace. One workspace must not determine how long results of another are held back.
func (j *Job) readerKey() string { return scopedID(j.workspace, j.spec.Model) }

// intervals holds the time between the starts of two consecutive reads of a trainer that paused in between, by model.
// It is safe for concurrent use.
type intervals struct {
	gaps *medians.Values[time.Duration]
}

func newIntervals() intervals { return intervals{gaps: medians.New[time.Duration](maxReads, minReads)} }

func (r intervals) record(model string, gap time.Duration) {
	r.gaps.Add(model, gap)
	r.gaps.Add(allModels, gap)
}

// typical returns the usual read interval of the trainers of a model, or that of all trainers while it is unknown; 0 if
// both are.
func (r intervals) typical(model string) time.Duration {
	return cmp.Or(r.gaps.Median(model), r.gaps.Median(allModels))
}

// reader tracks the client that reads the results of a job in order, mostly with reads that wait for new results.
type reader struct {
	next       int       // first position that it has not received
	readAt     time.Time // start of its last read
	answeredAt time.Time // end of that read; zero while it is waiting
}

// matches reports whether a read from position after comes from the tracked client, which reads once per interval. That
// client occasionally reads from an earlier position or without a wait; such a read is taken for another client's,
// unless it comes when the next read of the tracked client is due.
func (r *reader) matches(after int, waits bool, interval time.Duration, now time.Time) bool {
	if after >= r.next && (waits || r.next > 0) {
		return true
	}
	rest := now.Sub(r.readAt)
	return !r.answeredAt.IsZero() && rest > interval*4/5 && rest < interval*6/5
}

// begin notes the start of a read of the tracked client, and returns the time since the start of the one before if the
// client has paused in between, or 0 otherwise.
func (r *reader) begin(now time.Time) time.Duration {
	gap := time.Duration(0)
	if !r.answeredAt.IsZero() && now.Sub(r.answeredAt) >= minRest {
		gap = now.Sub(r.readAt)
	}
	r.readAt, r.answeredAt = now, time.Time{}
	return gap
}

// end notes that a read of the tracked client has been answered up to position next.
func (r *reader) end(next int, now time.Time) { r.next, r.answeredAt = max(r.next, next), now }

// holdUntil returns until when results that are ready now wait for others, without delaying the next decision of the
// client, which reads once per interval (0 if unknown).
//
// A client reads a few times a second and decides when its next read is due, while the results of a step arrive one
// after the other. A response ends its read, and results that arrive afterwards wait for the next read and for the
// pause after it. If they are held until shortly before the pause would end, they are sent in one response and stored
// in one record.
func (r *reader) holdUntil(interval time.Duration, now time.Time) time.Time {
	earliest := now.Add(gatherDelay)
	if interval <= 0 || interval > maxHoldInterval || r.readAt.IsZero() {
		return earliest
	}
	until := r.readAt.Add(interval - listLatency)
	if !r.answeredAt.IsZero() {
		until = until.Add(interval)
	}
	if until.Before(earliest) {
		return earliest
	}
	return until
}
