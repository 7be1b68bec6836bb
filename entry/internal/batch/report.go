package batch

import (
	"bulrushspoke/internal/event"
	"bulrushspoke/wire"
)

// How a record that this process has not written was learnt.
const (
	fromConflict = "conflict" // a write found it in its place
	fromRead     = "read"     // the log was read for a client
)

// Kinds of inconsistencies in the log of a job.
const (
	faultMissing  = "missing record"
	faultPosition = "position"      // a record names another first position than the one that it gets here
	faultRepeated = "repeated item" // a record lists an item that an earlier position holds
)

// logApplied logs a record that this process has not written and is about to apply.
func (j *Job) logApplied(n int, r wire.JobRecord, from string) {
	event.RecordApplied.Log(j.manager.Logger, "job", j.spec.ID, "record", n, "first", r.First, "results", len(r.Results),
		"writer", r.Writer, "epoch", r.Epoch, "from", from)
}

// reportInconsistent reports what in the next record contradicts the results so far; the caller holds mu or has the only
// reference.
func (j *Job) reportInconsistent(r wire.JobRecord) {
	known := len(j.results)
	if r.First != known {
		j.reportFault(faultPosition, "record", j.records, "first", r.First, "known", known, "writer", r.Writer,
			"epoch", r.Epoch)
	}
	listed := j.listedAt(r)
	for i, w := range r.Results {
		if earlier, ok := listed[w.Item]; ok {
			j.reportFault(faultRepeated, "record", j.records, "request", w.Item, "position", known+i, "earlier", earlier,
				"writer", r.Writer, "epoch", r.Epoch)
		}
	}
}

// listedAt returns the first positions of the items of a record that stand in the results so far; the caller holds mu or
// has the only reference. The items of a job that was loaded after its end are unknown.
func (j *Job) listedAt(r wire.JobRecord) map[string]int {
	sought := make(map[string]bool)
	for _, w := range r.Results {
		if it := j.items[w.Item]; it == nil || it.listed {
			sought[w.Item] = true
		}
	}
	positions := make(map[string]int)
	for at := 0; at < len(j.results) && len(sought) > 0; at++ {
		if id := j.results[at].Item; sought[id] {
			positions[id] = at
			delete(sought, id)
		}
	}
	return positions
}

func (j *Job) reportFault(kind string, fields ...any) {
	j.manager.LogFaults.Add(1, kind)
	event.LogInconsistent.Log(j.manager.Logger, append([]any{"job", j.spec.ID, "cause", kind}, fields...)...)
}

func countResults(records []wire.JobRecord) int {
	n := 0
	for _, r := range records {
		n += len(r.Results)
	}
	return n
}
