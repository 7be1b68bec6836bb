package batch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"

	"bulrushspoke/internal/event"
	"bulrushspoke/internal/store"
	"bulrushspoke/wire"
)

func recordName(n int) string { return fmt.Sprintf("%06d", n) }

// readLog reads the log of a job. It first restores the records that the log lacks in the store, since a late write could
// put others in their place after they have been shown to clients.
func (m *Manager) readLog(ctx context.Context, id string) ([]wire.JobRecord, error) {
	var records []wire.JobRecord
	var skipped []int
	list, _, err := m.Store.List(ctx, KindRecords+id)
	var absent *store.NotFoundError
	if err != nil && !errors.As(err, &absent) {
		return nil, err
	}
	for _, r := range list {
		var rec wire.JobRecord
		if err := json.Unmarshal(r.Spec, &rec); err != nil {
			return nil, fmt.Errorf("batch: record %s of job %s: %w", r.Name, id, err)
		}
		n, err := strconv.Atoi(r.Name)
		if err != nil {
			return nil, fmt.Errorf("batch: log of job %s: %w", id, err)
		}
		if n > len(records) {
			m.LogFaults.Add(1, faultMissing)
			event.LogInconsistent.Log(m.Logger, "job", id, "cause", faultMissing, "record", len(records), "next", n,
				"first", rec.First, "known", countResults(records))
		}
		for len(records) < n {
			skipped = append(skipped, len(records))
			records = append(records, skippedRecord(records, rec.First))
		}
		records = append(records, rec)
	}
	return records, m.writeSkipped(ctx, id, records, skipped)
}

// skippedRecord returns what stands in place of a record that the log lacks, given the records before it and the first
// position of the next one.
//
// Earlier versions could apply a record twice, which moved the results after it and skipped a number. Clients have read
// these positions, so the record before is repeated if that fills them.
func skippedRecord(before []wire.JobRecord, next int) wire.JobRecord {
	r := wire.JobRecord{First: countResults(before), Results: []wire.JobResult{}}
	if len(before) == 0 {
		return r
	}
	last := before[len(before)-1]
	r.Writer = last.Writer
	if next-r.First == len(last.Results) {
		r.Results = last.Results
	}
	return r
}

// writeSkipped creates the records of a log that were skipped, so that no writer that has read the log up to there takes
// their place.
func (m *Manager) writeSkipped(ctx context.Context, id string, records []wire.JobRecord, skipped []int) error {
	for _, n := range skipped {
		value, err := json.Marshal(records[n])
		if err != nil {
			return err
		}
		if _, err := m.Store.Create(ctx, KindRecords+id, recordName(n), value); err != nil {
			return err // also if another writer was faster: the log is read again then
		}
	}
	return nil
}
