package batch

import (
	"cmp"
	"time"

	"bulrushspoke/entry/internal/typical"
)

const (
	// restLeast is the shortest time between an answer and the next read that counts as a rest of the client; a shorter
	// one is the way there and back.
	restLeast = 50 * time.Millisecond
	// rhythmReads is the number of reads from which the rhythm of a client is taken, and rhythmLeast the fewest.
	rhythmReads = 9
	rhythmLeast = 3
	// rhythmMost is the longest rhythm for which results are held: a client that reads less often would get them too late.
	rhythmMost = time.Second
	// listTime is kept free for the write and the way back to the client.
	listTime = 60 * time.Millisecond
	// flushTime bounds how long a read that doesn't ask to wait is kept while held results are listed for it.
	flushTime = 100 * time.Millisecond
)

// allModels stands for the trainers of all models.
const allModels = ""

// rhythms holds how often the trainers of each model read: the time between the begins of two reads of a trainer that
// rested between them. It is safe for concurrent use.
type rhythms struct {
	gaps *typical.Values[time.Duration]
}

func newRhythms() rhythms { return rhythms{gaps: typical.New[time.Duration](rhythmReads, rhythmLeast)} }

func (r rhythms) note(model string, gap time.Duration) {
	r.gaps.Note(model, gap)
	r.gaps.Note(allModels, gap)
}

// of returns how often the trainers of a model read, or all trainers while these are unknown; 0 if all are.
func (r rhythms) of(model string) time.Duration {
	return cmp.Or(r.gaps.Of(model), r.gaps.Of(allModels))
}

// reader is what an owner knows of the client that takes the results of a job in their order, most of its reads waiting
// for new ones.
type reader struct {
	front    int       // first position that it has not been given
	asked    time.Time // begin of its newest read
	answered time.Time // end of that read, zero while it waits
}

// leads reports whether a read from a position is one of that client, which reads every so often. Now and then it goes
// back some positions, or does not wait; such a read may come from anyone, unless it is the one that is due.
func (r *reader) leads(after int, waits bool, every time.Duration, now time.Time) bool {
	if after >= r.front && (waits || r.front > 0) {
		return true
	}
	rest := now.Sub(r.asked)
	return !r.answered.IsZero() && rest > every*4/5 && rest < every*6/5
}

// begin notes that a read of the client begins, and returns the time since the one before if the client has rested in
// between, or else 0.
func (r *reader) begin(now time.Time) time.Duration {
	gap := time.Duration(0)
	if !r.answered.IsZero() && now.Sub(r.answered) >= restLeast {
		gap = now.Sub(r.asked)
	}
	r.asked, r.answered = now, time.Time{}
	return gap
}

// end notes that a read of the client has been answered up to a position.
func (r *reader) end(next int, now time.Time) { r.front, r.answered = max(r.front, next), now }

// hold returns until when results that are ready now wait for others: not so long that they reach the next decision of
// the client any later, which reads every so often, 0 if unknown.
//
// It answers a load in which the results of a step come one after the other, and the client reads a few times a second
// and decides when it would read again: an answer ends its read, it rests until the next one, and what comes meanwhile
// waits for that read and for the rest after it. Held until shortly before the rest would be over, results come in one
// answer, and in one record.
func (r *reader) hold(every time.Duration, now time.Time) time.Time {
	usual := now.Add(gather)
	if every <= 0 || every > rhythmMost || r.asked.IsZero() {
		return usual
	}
	by := r.asked.Add(every - listTime)
	if !r.answered.IsZero() {
		by = by.Add(every)
	}
	if by.Before(usual) {
		return usual
	}
	return by
}
