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
	for i, w := range r.Results {
		if earlier, ok := j.positions[w.Item]; ok {
			j.reportFault(faultRepeated, "record", j.records, "request", w.Item, "position", known+i, "earlier", earlier,
				"writer", r.Writer, "epoch", r.Epoch)
		}
	}
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
