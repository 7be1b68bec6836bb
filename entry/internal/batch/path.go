package batch

import (
	"time"

	"bulrushspoke/internal/event"
	"bulrushspoke/internal/job"
)

// path is where the time of an item went.
type path struct {
	begun    time.Time     // first attempt
	making   time.Duration // attempts that brought events
	empty    time.Duration // attempts that brought none
	attempts int
	whole    time.Time // the text was whole
	events   int       // in the whole text
	done     time.Time // the result was known, its score included
}

// attempt adds an attempt.
func (p *path) attempt(began time.Time, took time.Duration, events bool) {
	if p.begun.IsZero() {
		p.begun = began
	}
	p.attempts++
	if events {
		p.making += took
	} else {
		p.empty += took
	}
}

// Parts of the time of a step, by its last item.
const (
	partStart   = "start"   // until its first attempt began
	partMaking  = "making"  // events were made, at the pace of the fastest server
	partSlower  = "slower"  // events were made, beyond that
	partEmpty   = "empty"   // attempts that brought no event
	partBetween = "between" // between two attempts
	partScore   = "score"   // the reward call
	partList    = "list"    // until the store had the results
)

// account tells once where the time of a step went: when the results that its trainer waits for are listed, by the one
// that was known last.
func (j *Job) account(listed []job.Result, now time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.accounted || !j.whole(unlisted) {
		return
	}
	j.accounted = true
	var last *item
	for _, r := range listed {
		if it := j.items[r.Item]; it != nil && (last == nil || it.path.done.After(last.path.done)) {
			last = it
		}
	}
	if last == nil || last.path.begun.IsZero() {
		return // made elsewhere
	}
	p := last.path
	if p.whole.IsZero() {
		p.whole = p.done // given up
	}
	making := min(time.Duration(p.events)*j.manager.Tracker.Fastest(), p.making)
	parts := []struct {
		name string
		time time.Duration
	}{
		{partStart, p.begun.Sub(j.began)},
		{partMaking, making},
		{partSlower, p.making - making},
		{partEmpty, p.empty},
		{partBetween, max(p.whole.Sub(p.begun)-p.making-p.empty, 0)},
		{partScore, p.done.Sub(p.whole)},
		{partList, now.Sub(p.done)},
	}
	fields := []any{
		"job", j.spec.ID, "step", j.spec.Step, "model", j.spec.Model, "groups", j.spec.Groups, "carried", len(j.carried), "request", last.ID,
		"events", p.events, "attempts", p.attempts, "moves", last.moves, "ms", now.Sub(j.began).Milliseconds(),
	}
	for _, part := range parts {
		fields = append(fields, part.name, part.time.Milliseconds())
		j.manager.Steps.Record(j.spec.Model, part.name, part.time.Seconds())
	}
	event.StepWhole.Log(j.manager.Logger, fields...)
}
