package batch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"time"

	"bulrushspoke/internal/event"
	"bulrushspoke/internal/store"
	"bulrushspoke/wire"
)

const (
	// logCheckInterval is the shortest time between two reads of the log of a job on behalf of its clients.
	logCheckInterval = time.Second
	// lateRecordTime is how long a former owner's records may appear in the log: it learns of its loss within maxStateAge,
	// and a write that got no answer takes effect within six seconds.
	lateRecordTime = maxStateAge + 6*time.Second
)

func recordName(n int) string { return fmt.Sprintf("%06d", n) }

// readLog reads the log of a job. Records that the log lacks are written to the store before they are returned, since a
// late write could put others in their place after they have been shown to clients.
func (m *Manager) readLog(ctx context.Context, id string) ([]wire.JobRecord, error) {
	for range maxUpdateAttempts {
		records, skipped, err := m.listRecords(ctx, id)
		if err != nil || len(skipped) == 0 {
			return records, err
		}
		err = m.restoreRecords(ctx, id, records, skipped)
		var conflict *store.ConflictError
		if !errors.As(err, &conflict) {
			return records, err
		}
	}
	return nil, fmt.Errorf("batch: log of job %s changes while it is read", id)
}

// listRecords returns the records of a job, with substitutes for those that are missing, and the numbers of these.
func (m *Manager) listRecords(ctx context.Context, id string) (records []wire.JobRecord, skipped []int, err error) {
	list, _, err := m.Store.List(ctx, KindRecords+id)
	var absent *store.NotFoundError
	if err != nil && !errors.As(err, &absent) {
		return nil, nil, err
	}
	for _, r := range list {
		var rec wire.JobRecord
		if err := json.Unmarshal(r.Spec, &rec); err != nil {
			return nil, nil, fmt.Errorf("batch: record %s of job %s: %w", r.Name, id, err)
		}
		n, err := strconv.Atoi(r.Name)
		if err != nil {
			return nil, nil, fmt.Errorf("batch: log of job %s: %w", id, err)
		}
		if n > len(records) {
			m.LogFaults.Add(1, faultMissing)
			event.LogInconsistent.Log(m.Logger, "job", id, "cause", faultMissing, "record", len(records), "next", n,
				"first", rec.First, "known", countResults(records))
		}
		if n < len(records) || n > 0 && len(records) == 0 {
			return nil, nil, fmt.Errorf("batch: record %d of job %s is missing", len(records), id)
		}
		for len(records) < n {
			skipped = append(skipped, len(records))
			records = append(records, skippedRecord(records, rec))
		}
		records = append(records, rec)
	}
	return records, skipped, nil
}

// skippedRecord returns what stands in place of a record that the log lacks, given the records before it, of which there
// is at least one, and the next one after it.
//
// Earlier versions could apply a record of their own twice, which moved the results after it and skipped a number. Clients
// have read these positions, so that record is repeated. A gap that it does not explain is filled with earlier results, so
// that the results after it keep their positions and the job can be read.
func skippedRecord(before []wire.JobRecord, next wire.JobRecord) wire.JobRecord {
	last := before[len(before)-1]
	known := countResults(before)
	r := wire.JobRecord{Writer: last.Writer, Epoch: last.Epoch, First: known, Results: []wire.JobResult{}}
	gap := next.First - known
	if gap <= 0 {
		return r
	}
	fits := func(b wire.JobRecord) bool { return len(b.Results) == gap }
	for _, matches := range []func(wire.JobRecord) bool{
		func(b wire.JobRecord) bool { return fits(b) && b.Writer == next.Writer }, fits,
	} {
		for _, b := range slices.Backward(before) {
			if matches(b) {
				r.Results = b.Results
				return r
			}
		}
	}
	for _, b := range before {
		r.Results = append(r.Results, b.Results...)
	}
	for known > 0 && len(r.Results) < gap {
		r.Results = append(r.Results, r.Results[len(r.Results)-known])
	}
	r.Results = r.Results[:min(gap, len(r.Results))]
	return r
}

// restoreRecords creates records that the log lacks. It returns a *store.ConflictError if another writer was faster.
func (m *Manager) restoreRecords(ctx context.Context, id string, records []wire.JobRecord, skipped []int) error {
	for _, n := range skipped {
		value, err := json.Marshal(records[n])
		if err != nil {
			return err
		}
		if _, err := m.Store.Create(ctx, KindRecords+id, recordName(n), value); err != nil {
			return err
		}
		event.RecordRestored.Log(m.Logger, "job", id, "record", n, "first", records[n].First, "results", len(records[n].Results))
	}
	return nil
}

// applyRecord adds the results of record n in the store, and returns false if it has been applied before: the write of a
// record and a read of the log may both bring it, in either order. The caller holds mu or has the only reference.
func (j *Job) applyRecord(n int, r wire.JobRecord) bool {
	if n < j.records {
		return false
	}
	j.reportInconsistent(r)
	j.records++
	for _, w := range r.Results {
		if _, ok := j.positions[w.Item]; !ok {
			j.positions[w.Item] = len(j.results)
		}
		j.results = append(j.results, fromResult(w))
		if it := j.items[w.Item]; it != nil {
			it.done, it.listed = true, true
			it.data = nil
		}
	}
	j.ready = slices.DeleteFunc(j.ready, func(r readyResult) bool { return j.items[r.Item].listed })
	return true
}

// refreshDue reports whether the log of a job should be read again that has stopped or had another owner lately, and notes
// the time if so.
func (j *Job) refreshDue(now time.Time) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	takenOver := j.epoch > 1 && now.Sub(j.startedAt) < lateRecordTime
	if !j.stopped && !takenOver || now.Sub(j.refreshedAt) < logCheckInterval {
		return false
	}
	j.refreshedAt = now
	return true
}

// lacks reports whether there are no results from a position on, although some are still to come.
func (j *Job) lacks(after int) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return after >= len(j.results) && !j.isLast(after)
}

// isLast reports whether a client that holds the positions before after holds the results of all items; the caller holds
// mu.
func (j *Job) isLast(after int) bool {
	repeated := len(j.results) - len(j.positions) // positions that hold an item for a second time
	return after >= j.total+repeated
}

// behind reports whether a client holds positions that are unknown to this entry, and the log has not been read within
// logCheckInterval.
func (j *Job) behind(after int, now time.Time) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return after > len(j.results) && now.Sub(j.checkedAt) >= logCheckInterval
}

// applyNewRecords adds the records that this entry has not seen, given the whole log, and returns them. They may be what
// readers wait for, or complete a group that is listed next.
func (j *Job) applyNewRecords(records []wire.JobRecord) []wire.JobRecord {
	j.mu.Lock()
	defer j.mu.Unlock()
	first := min(j.records, len(records))
	for n := first; n < len(records); n++ {
		j.logApplied(n, records[n], fromRead)
		j.applyRecord(n, records[n])
	}
	if first < len(records) {
		j.notifyReaders()
		notify(j.listWake)
	}
	return records[first:]
}
