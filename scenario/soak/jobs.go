package main

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"bulrushspoke/internal/job"
)

// batch is a job as its trainer submitted it.
type batch struct {
	job.Job
	accepted time.Time // zero before the first 202
	refused  bool      // every attempt was answered by a refusal
	ended    time.Time // acknowledgement of its end
	ending   bool      // its end was asked for
	listed   []job.Result
	place    map[string]int // position of each listed item
}

// item is what servers have done for an item, in whatever job.
type item struct {
	path     string
	body     string
	jobs     []*batch
	failures int
	finished bool
}

// submits notes a job that is about to be submitted.
func (l *ledger) submits(j job.Job) *batch {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := &batch{Job: j, place: map[string]int{}}
	l.batches[j.ID] = b
	for _, it := range j.Items {
		known := l.items[it.ID]
		if known == nil {
			known = &item{path: it.Path, body: string(it.Body)}
			l.items[it.ID] = known
		}
		known.jobs = append(known.jobs, b)
	}
	l.counts["jobs"]++
	return b
}

// began notes that an engine begins to run an item.
func (l *ledger) began(id, server, path, body string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.late(id, server, l.calmAll(now.Add(-drainLag-contact), now), now)
	l.counts["runs"]++
	it := l.items[id]
	if it == nil || it.path != path || it.body != body {
		l.breaks("UNASKED", "an engine runs item %q as %s %q", id, path, body)
		return
	}
	open := slices.ContainsFunc(it.jobs, func(b *batch) bool { return b.ended.IsZero() || now.Sub(b.ended) < cancelLag })
	if !open && l.calmAll(now.Add(-contact), now) {
		l.breaks("UNASKED", "item %s reaches an engine although its jobs ended long ago", id)
	}
}

// calmAll reports whether all entries were undisturbed; the caller holds mu.
func (l *ledger) calmAll(from, to time.Time) bool {
	for e := range l.disturbed {
		if l.disturbedIn(e, from, to, true) {
			return false
		}
	}
	return true
}

// failed, finished and made note what an engine has done for an item.
func (l *ledger) failed(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if it := l.items[id]; it != nil {
		it.failures++
	}
}

func (l *ledger) finished(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if it := l.items[id]; it != nil {
		it.finished = true
	}
}

func (l *ledger) made(data string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events[data] = true
}

// accepted notes a 202, refused that every attempt to submit a job was refused.
func (l *ledger) accepted(b *batch, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b.accepted.IsZero() {
		b.accepted = now
	}
	l.counts["accepted"]++
}

func (l *ledger) refused(b *batch) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b.refused = true
	l.counts["refused"]++
}

// ending notes that the end of a job is about to be asked for, ended that it was acknowledged.
func (l *ledger) ending(b *batch) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b.ending = true
}

func (l *ledger) ended(b *batch, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b.ended = now
}

// absent judges a 404 for a job that was accepted.
func (l *ledger) absent(b *batch, entry int, asked time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !b.accepted.IsZero() && asked.Sub(b.accepted) > settle && l.inTouch(entry, asked, time.Now()) {
		l.breaks("LOST", "entry %d answers 404 for job %s, accepted %s before", entry, b.ID, asked.Sub(b.accepted))
	}
}

// body judges the body of an item, nil for a 404.
func (l *ledger) body(b *batch, id string, got []byte, entry int, asked time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	it := l.items[id]
	_, listed := b.place[id]
	switch {
	case got != nil && string(got) != it.body:
		l.breaks("MIXED", "the body of item %s comes back as %q", id, got)
	case got == nil && !listed && !it.finished && !b.ending && it.failures < itemAttempts &&
		asked.Sub(b.accepted) > settle && l.inTouch(entry, asked, time.Now()):
		l.breaks("LOST", "entry %d has no body of item %s of job %s", entry, id, b.ID)
	}
}

// page judges a part of a job's results.
func (l *ledger) page(b *batch, after int, p job.Page) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts["pages"]++
	if p.Total != len(b.Items) || p.Next != after+len(p.Results) {
		l.breaks("MIXED", "a page of job %s from %d with %d results says total %d, next %d", b.ID, after, len(p.Results), p.Total, p.Next)
		return
	}
	for i, r := range p.Results {
		l.result(b, after+i, r)
	}
}

// result judges one result; the caller holds mu.
func (l *ledger) result(b *batch, n int, r job.Result) {
	if n < len(b.listed) {
		if known := b.listed[n]; known.Item != r.Item || known.State != r.State || known.Text != r.Text ||
			!slices.Equal(known.Versions, r.Versions) {
			l.breaks("TWICE", "position %d of job %s held %v and holds %v", n, b.ID, known, r)
		}
		return
	}
	if at, ok := b.place[r.Item]; ok {
		l.breaks("TWICE", "item %s of job %s stands at %d and %d", r.Item, b.ID, at, n)
	}
	if n == len(b.listed) {
		b.listed = append(b.listed, r)
		b.place[r.Item] = n
		l.counts["results"]++
	}
	it := l.items[r.Item]
	if it == nil || !slices.Contains(it.jobs, b) {
		l.breaks("MIXED", "job %s lists the foreign item %s", b.ID, r.Item)
		return
	}
	if r.State == job.Terminated {
		if !b.ending && it.failures < itemAttempts {
			l.breaks("MIXED", "item %s of job %s is given up after %d failures", r.Item, b.ID, it.failures)
		}
		return
	}
	l.text(b, it, r)
}

// text judges the text of a completed item; the caller holds mu.
func (l *ledger) text(b *batch, it *item, r job.Result) {
	_, length := itemOf(it.path)
	events := strings.Split(r.Text, "\n")
	if len(events) != length {
		l.breaks("MIXED", "item %s has %d events of %d", r.Item, len(events), length)
		return
	}
	var versions []int
	for i, e := range events {
		prefix := fmt.Sprintf("%s.%d.", r.Item, i+1)
		v, err := strconv.Atoi(strings.TrimPrefix(e, prefix))
		if err != nil || !strings.HasPrefix(e, prefix) || !l.events[e] {
			l.breaks("ORDER", "event %d of item %s is %q, which no engine made", i+1, r.Item, e)
			return
		}
		if !slices.Contains(versions, v) {
			versions = append(versions, v)
		}
	}
	slices.Sort(versions)
	if !slices.Equal(versions, r.Versions) || versions[0] < b.MinVersion {
		l.breaks("VERSION", "item %s is listed with versions %v, its text has %v, job %s wants %d and newer",
			r.Item, r.Versions, versions, b.ID, b.MinVersion)
	}
}

// known returns how many results of a job were read.
func (l *ledger) known(b *batch) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(b.listed)
}

// taken returns all jobs that were accepted.
func (l *ledger) taken() []*batch {
	l.mu.Lock()
	defer l.mu.Unlock()
	var jobs []*batch
	for _, b := range l.batches {
		if !b.accepted.IsZero() {
			jobs = append(jobs, b)
		}
	}
	return jobs
}

// itemOf returns the model and the number of events that the path of an item names.
func itemOf(path string) (model string, length int) {
	parts := strings.Split(path, "/")
	if len(parts) < 3 {
		return "", 0
	}
	length, err := strconv.Atoi(parts[len(parts)-1])
	if err != nil {
		return "", 0
	}
	return parts[len(parts)-2], length
}
