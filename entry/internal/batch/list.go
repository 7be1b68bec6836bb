package batch

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"bulrushspoke/internal/event"
	"bulrushspoke/internal/job"
	"bulrushspoke/internal/jsonenc"
	"bulrushspoke/internal/sleep"
	"bulrushspoke/internal/store"
	"bulrushspoke/internal/supervise"
	"bulrushspoke/wire"
)

const (
	// gatherDelay is how long results wait for others before they are listed, so that one write holds several of them.
	// It is far below the half second between two reads of a trainer.
	gatherDelay = 60 * time.Millisecond
	// listRetryDelay is the pause after a write that got no answer.
	listRetryDelay = 150 * time.Millisecond
	// maxRecordBytes bounds the encoded results in one record, unless the store accepts smaller objects only.
	maxRecordBytes = 700 << 10
	// resultOverhead is the encoded size of a result beside its texts and versions, in bytes.
	resultOverhead = 96
	// versionBytes is the encoded size of a version number, in bytes.
	versionBytes = 12
)

// lister writes the results of a job to its log.
type lister struct {
	job  *Job
	held time.Duration // how long the results of the next record have waited for others
}

// run lists results until ctx ends. Trainers use complete groups only, so the texts of a group are listed once all of its
// items are done.
func (l *lister) run(ctx context.Context) {
	for {
		select {
		case <-l.job.listWake:
		case <-ctx.Done():
			return
		}
		if !l.job.hasListable() {
			continue
		}
		l.waitForMore(ctx)
		for ctx.Err() == nil {
			n, record := l.job.nextRecord()
			if len(record.Results) == 0 {
				break
			}
			if !l.write(ctx, n, record) {
				return
			}
		}
	}
}

// waitForMore waits for more results to share the next write, unless the current ones are urgent.
func (l *lister) waitForMore(ctx context.Context) {
	now := time.Now()
	t := time.NewTimer(l.job.holdUntil(now).Sub(now))
	defer t.Stop()
	defer func() { l.held = time.Since(now) }()
	for {
		if l.job.urgent() {
			return
		}
		select {
		case <-l.job.listWake:
		case <-t.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// urgent reports whether results are to be listed at once: a client waits for them, or they complete the step.
func (j *Job) urgent() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.flushRequested {
		j.flushRequested = false
		return true
	}
	return j.stepComplete(notDone) && !j.stepComplete(unlisted)
}

// holdUntil returns until when results that are ready now wait for others. Results are not held beyond the time at
// which the job is due.
func (j *Job) holdUntil(now time.Time) time.Time {
	interval := j.manager.readIntervals.typical(j.readerKey())
	j.mu.Lock()
	until := j.reader.holdUntil(interval, now)
	j.mu.Unlock()
	if j.dueBetween(now, until.Add(listLatency)) {
		return now.Add(gatherDelay)
	}
	return until
}

// dueBetween reports whether the job is due between two times.
func (j *Job) dueBetween(from, to time.Time) bool {
	c := j.manager.Catalog.Config()
	if c == nil {
		return false
	}
	r, ok := c.Match(j.host, j.path)
	if !ok || r.DueAfter <= 0 {
		return false
	}
	at := j.submitted.Add(r.DueAfter)
	return !at.Before(from) && at.Before(to)
}

// hasListable reports whether there are results to be listed.
func (j *Job) hasListable() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.listable()) > 0
}

// nextRecord returns the number and the content of the record to be written next, without results if there are none to
// list. Both follow from the same records, so that the new one cannot repeat an item of those before it.
func (j *Job) nextRecord() (int, wire.JobRecord) {
	j.mu.Lock()
	defer j.mu.Unlock()
	results := j.listable()
	r := wire.JobRecord{Writer: j.manager.Self.Inc, Epoch: j.epoch, First: len(j.results), Results: make([]wire.JobResult, 0, len(results))}
	for _, result := range results {
		r.Results = append(r.Results, toResult(result))
	}
	return j.records, r
}

// listable returns the results to be listed next, which are those of complete groups and of items that were given up; the
// caller holds mu. Only the log tells another owner that an item must not run again.
func (j *Job) listable() []job.Result {
	open := make(map[string]bool)
	for _, it := range j.items {
		if !it.done {
			open[it.Group] = true
		}
	}
	var l []job.Result
	size := 0
	for _, r := range j.ready {
		if open[j.items[r.Item].Group] && r.State != job.Terminated {
			continue
		}
		size += r.size
		if len(l) > 0 && size > j.recordLimit {
			break
		}
		l = append(l, r.Result)
	}
	return l
}

// readyResult is a result to be listed.
type readyResult struct {
	job.Result
	size int // upper bound of its encoded size in bytes
}

func newReadyResult(r job.Result) readyResult {
	size := jsonenc.StringSize(r.Item) + jsonenc.StringSize(r.Text) + jsonenc.StringSize(r.Score)
	return readyResult{Result: r, size: size + resultOverhead + versionBytes*len(r.Versions)}
}

// recordRefused has a record that is too large for the store written in smaller ones. A single result that is too large can't
// be listed, so its item runs again until ctx ends, and its text is cut off before it gets as long.
func (j *Job) recordRefused(ctx context.Context, rec wire.JobRecord, size int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.recordLimit = min(j.recordLimit, size/2)
	event.RecordRefused.Log(j.manager.Logger, "job", j.spec.ID, "results", len(rec.Results), "bytes", size, "limit", j.recordLimit)
	if len(rec.Results) != 1 || rec.Results[0].Void {
		return
	}
	it := j.items[rec.Results[0].Item]
	j.ready = slices.DeleteFunc(j.ready, func(r readyResult) bool { return r.Item == it.ID })
	it.done, it.textDone, it.data, it.versions, it.ending = false, false, nil, nil, ending{}
	notify(j.wake)
	if j.finished {
		j.finished = false
		go supervise.Guard(j.manager.Logger, "job", func() { j.run(ctx) })
	}
}

// write writes record n of the log, and applies it or what the store has in its place. It returns false if the job has
// another owner.
func (l *lister) write(ctx context.Context, n int, rec wire.JobRecord) bool {
	j := l.job
	began := time.Now()
	value, err := jsonenc.Marshal(rec)
	if err != nil {
		event.RequestFailed.Log(j.manager.Logger, "job", j.spec.ID, "cause", err.Error())
		return false
	}
	for ctx.Err() == nil {
		held, err := l.create(ctx, n, value, rec)
		var large *store.TooLargeError
		if errors.As(err, &large) {
			j.recordRefused(ctx, rec, len(value))
			sleep.For(ctx, listRetryDelay)
			return true
		}
		if err != nil {
			sleep.For(ctx, listRetryDelay)
			continue
		}
		j.mu.Lock()
		if j.applyRecord(n, held) && !j.wrote(held) {
			j.logApplied(n, held, fromConflict)
		}
		j.notifyReaders()
		total := len(j.results)
		j.mu.Unlock()
		event.ResultsListed.Log(j.manager.Logger, "job", j.spec.ID, "record", n, "first", held.First,
			"writer", held.Writer, "epoch", held.Epoch, "results", len(held.Results), "total", total,
			"held", l.held.Milliseconds(), "every", j.manager.readIntervals.typical(j.readerKey()).Milliseconds(), "ms", time.Since(began).Milliseconds())
		l.held = 0
		j.logStep(held.Results, time.Now())
		if j.lostTo(held) {
			go supervise.Guard(j.manager.Logger, "lost job", func() { j.manager.dropLost(j) })
			return false
		}
		return true
	}
	return false
}

// create writes record n and returns the content of the record in the store. After a write that got no answer the
// record may hold the results of an earlier attempt of this entry.
func (l *lister) create(ctx context.Context, n int, value []byte, rec wire.JobRecord) (wire.JobRecord, error) {
	kind := KindRecords + l.job.spec.ID
	_, err := l.job.manager.Store.Create(ctx, kind, recordName(n), value)
	if err == nil {
		return rec, nil
	}
	var conflict *store.ConflictError
	if !errors.As(err, &conflict) {
		return rec, err
	}
	var held wire.JobRecord
	if json.Unmarshal(conflict.Current().Value, &held) == nil && held.Writer != "" {
		return held, nil
	}
	r, err := l.job.manager.Store.Get(ctx, kind, recordName(n))
	if err != nil {
		return rec, err
	}
	if err := json.Unmarshal(r.Spec, &held); err != nil {
		return rec, err
	}
	return held, nil
}
