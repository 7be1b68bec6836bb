package batch

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"bulrushspoke/internal/event"
	"bulrushspoke/internal/job"
	"bulrushspoke/internal/sleep"
	"bulrushspoke/internal/store"
	"bulrushspoke/internal/supervise"
	"bulrushspoke/wire"
)

const (
	// gather is how long results wait for others before they are listed, so that one write holds several; far below the
	// half second between two reads of a trainer.
	gather = 60 * time.Millisecond
	// retryList is the pause after a write that got no answer.
	retryList = 150 * time.Millisecond
	// maxRecord bounds the text in one record in bytes; the store holds 1 MB.
	maxRecord = 700 << 10
)

// lister writes the results of a job to its log.
type lister struct {
	job  *Job
	held time.Duration // how long the results of the next record have waited for others
}

// run lists results until ctx ends. A trainer uses whole groups only, so results wait until their group is whole.
func (l *lister) run(ctx context.Context) {
	for {
		select {
		case <-l.job.listing:
		case <-ctx.Done():
			return
		}
		if len(l.job.listable()) == 0 {
			continue
		}
		l.gather(ctx)
		for ctx.Err() == nil {
			batch := l.job.listable()
			if len(batch) == 0 {
				break
			}
			if !l.write(ctx, batch) {
				return
			}
		}
	}
}

// gather waits for more results, unless those that there are complete what the trainer waits for, or are asked for.
func (l *lister) gather(ctx context.Context) {
	now := time.Now()
	t := time.NewTimer(l.job.gathers(now).Sub(now))
	defer t.Stop()
	defer func() { l.held = time.Since(now) }()
	for {
		if l.job.urgent() {
			return
		}
		select {
		case <-l.job.listing:
		case <-t.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// urgent reports whether results are to be listed at once.
func (j *Job) urgent() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.flushing {
		j.flushing = false
		return true
	}
	return j.whole(undone) && !j.whole(unlisted)
}

// gathers returns until when results that are ready now wait for others. Results that are due are not held.
func (j *Job) gathers(now time.Time) time.Time {
	every := j.manager.rhythms.of(j.spec.Model)
	j.mu.Lock()
	by := j.reader.hold(every, now)
	j.mu.Unlock()
	if j.due(now, by.Add(listTime)) {
		return now.Add(gather)
	}
	return by
}

// due reports whether the results of the job are due between two times.
func (j *Job) due(from, to time.Time) bool {
	c := j.manager.Catalog.Config()
	if c == nil {
		return false
	}
	r, ok := c.Match(j.host, j.path)
	if !ok || r.Due <= 0 {
		return false
	}
	at := j.submitted.Add(r.Due)
	return !at.Before(from) && at.Before(to)
}

// listable returns the results of whole groups that are to be listed next.
func (j *Job) listable() []job.Result {
	j.mu.Lock()
	defer j.mu.Unlock()
	open := make(map[string]bool)
	for _, it := range j.items {
		if !it.done {
			open[it.Group] = true
		}
	}
	var l []job.Result
	size := 0
	for _, r := range j.ready {
		if open[j.items[r.Item].Group] {
			continue
		}
		size += len(r.Text)
		if len(l) > 0 && size > maxRecord {
			break
		}
		l = append(l, r)
	}
	return l
}

// write lists one batch of results and returns false once the job runs elsewhere.
func (l *lister) write(ctx context.Context, batch []job.Result) bool {
	j := l.job
	began := time.Now()
	j.mu.Lock()
	n, first := j.records, len(j.results)
	j.mu.Unlock()
	rec := wire.JobRecord{Writer: j.manager.Self.Inc, First: first, Results: make([]wire.JobResult, 0, len(batch))}
	for _, r := range batch {
		rec.Results = append(rec.Results, toResult(r))
	}
	value, err := json.Marshal(rec)
	if err != nil {
		event.RequestFailed.Log(j.manager.Logger, "job", j.spec.ID, "cause", err.Error())
		return false
	}
	for ctx.Err() == nil {
		held, err := l.create(ctx, n, value, rec)
		if err != nil {
			sleep.For(ctx, retryList)
			continue
		}
		j.mu.Lock()
		j.adopt(held)
		j.signal()
		total := len(j.results)
		j.mu.Unlock()
		event.ResultsListed.Log(j.manager.Logger, "job", j.spec.ID, "record", n, "results", len(held.Results),
			"total", total, "held", l.held.Milliseconds(), "every", j.manager.rhythms.of(j.spec.Model).Milliseconds(),
			"ms", time.Since(began).Milliseconds())
		l.held = 0
		j.account(batch, time.Now())
		if held.Writer != j.manager.Self.Inc {
			go supervise.Guard(j.manager.Logger, "lost job", func() { j.manager.lost(j) })
			return false
		}
		return true
	}
	return false
}

// create writes record n and returns what stands there. After a lost answer an earlier attempt of ours may hold it.
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
	if json.Unmarshal(conflict.Winner().Value, &held) == nil && held.Writer != "" {
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
