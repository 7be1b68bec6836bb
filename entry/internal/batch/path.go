package batch

import (
	"time"

	"bulrushspoke/internal/event"
	"bulrushspoke/wire"
)

// timing records how the time of an item was spent.
type timing struct {
	startedAt  time.Time     // start of the first attempt
	generating time.Duration // in attempts that brought events
	empty      time.Duration // in attempts that brought none
	attempts   int
	textDone   time.Time // when the text was complete
	events     int       // number of events of the complete text
	done       time.Time // when the result was known, including its score
}

func (t *timing) addAttempt(began time.Time, took time.Duration, events bool) {
	if t.startedAt.IsZero() {
		t.startedAt = began
	}
	t.attempts++
	if events {
		t.generating += took
	} else {
		t.empty += took
	}
}

// Parts of the time of a step, as spent by its last item.
const (
	partStart   = "start"   // until the first attempt
	partMaking  = "making"  // generation, as if at the rate of the fastest server
	partSlower  = "slower"  // generation, in excess of that
	partEmpty   = "empty"   // attempts that brought no event
	partBetween = "between" // between attempts
	partScore   = "score"   // the reward call
	partList    = "list"    // until the results were stored
)

// logStep logs and records once how the time of a step was spent: when the results that its trainer waits for are
// listed, for the one of them that was known last.
func (j *Job) logStep(listed []wire.JobResult, now time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.stepLogged || !j.stepComplete(unlisted) {
		return
	}
	j.stepLogged = true
	var last *item
	for _, r := range listed {
		if it := j.items[r.Item]; it != nil && (last == nil || it.timing.done.After(last.timing.done)) {
			last = it
		}
	}
	if last == nil || last.timing.startedAt.IsZero() {
		return // generated under another owner
	}
	t := last.timing
	if t.textDone.IsZero() {
		t.textDone = t.done // given up without a complete text
	}
	atFullSpeed := min(time.Duration(t.events)*j.manager.Tracker.MinInterval(), t.generating)
	parts := []struct {
		name string
		time time.Duration
	}{
		{partStart, t.startedAt.Sub(j.startedAt)},
		{partMaking, atFullSpeed},
		{partSlower, t.generating - atFullSpeed},
		{partEmpty, t.empty},
		{partBetween, max(t.textDone.Sub(t.startedAt)-t.generating-t.empty, 0)},
		{partScore, t.done.Sub(t.textDone)},
		{partList, now.Sub(t.done)},
	}
	fields := []any{
		"job", j.spec.ID, "step", j.spec.Step, "model", j.spec.Model, "groups", j.spec.Groups, "carried", len(j.carried), "request", last.ID,
		"events", t.events, "attempts", t.attempts, "moves", last.moves, "ms", now.Sub(j.startedAt).Milliseconds(),
	}
	for _, part := range parts {
		fields = append(fields, part.name, part.time.Milliseconds())
		j.manager.Steps.Record(j.spec.Model, part.name, part.time.Seconds())
	}
	event.StepCompleted.Log(j.manager.Logger, fields...)
}
