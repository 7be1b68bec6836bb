package main

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"bulrushspoke/internal/job"
)

// submittedJob is a job with what its trainer saw of it.
type submittedJob struct {
	job.Job
	space        string
	acceptedAt   time.Time // zero before the first 202
	refused      bool      // every submission was rejected
	endedAt      time.Time // when its end was acknowledged; zero before
	endRequested bool      // its end was requested
	results      []job.Result
	position     map[string]int // index in results, by item
}

// itemRecord is an item with what engines did for it, in any of its jobs.
type itemRecord struct {
	path     string
	body     string
	jobs     []*submittedJob
	failures int
	finished bool
}

// recordJob records a job that is about to be submitted.
func (c *checker) recordJob(space string, j job.Job) *submittedJob {
	c.mu.Lock()
	defer c.mu.Unlock()
	sj := &submittedJob{Job: j, space: space, position: map[string]int{}}
	c.jobs[space+"/"+j.ID] = sj
	for _, it := range j.Items {
		known := c.items[it.ID]
		if known == nil {
			known = &itemRecord{path: it.Path, body: string(it.Body)}
			c.items[it.ID] = known
		}
		known.jobs = append(known.jobs, sj)
	}
	c.counts["jobs"]++
	return sj
}

// recordItemRun records that an engine began to run an item, and checks the run.
func (c *checker) recordItemRun(id, server, path, body string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checkDrain(id, server, c.allUndisturbed(now.Add(-drainLag-minUndisturbed), now), now)
	c.counts["runs"]++
	it := c.items[id]
	if it == nil || it.path != path || it.body != body {
		c.reportLocked("UNASKED", "engine ran item %q as %s %q, which no trainer submitted", id, path, body)
		return
	}
	open := slices.ContainsFunc(it.jobs, func(sj *submittedJob) bool { return sj.endedAt.IsZero() || now.Sub(sj.endedAt) < cancelLag })
	if !open && c.allUndisturbed(now.Add(-minUndisturbed), now) {
		c.reportLocked("UNASKED", "item %s reached an engine long after the end of its jobs", id)
	}
}

// allUndisturbed reports whether neither an entry nor the store was disturbed between from and to. The caller holds mu.
func (c *checker) allUndisturbed(from, to time.Time) bool {
	for e := range c.disturbances {
		if c.disturbedBetween(e, from, to, true) {
			return false
		}
	}
	return true
}

// recordItemFailed records a failed run of an item.
func (c *checker) recordItemFailed(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if it := c.items[id]; it != nil {
		it.failures++
	}
}

// recordItemFinished records that an engine sent all events of an item.
func (c *checker) recordItemFinished(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if it := c.items[id]; it != nil {
		it.finished = true
	}
}

// recordEvent records the data of an event that an engine is about to send.
func (c *checker) recordEvent(data string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sentEvents[data] = true
}

// recordAccepted records a 202 for a job.
func (c *checker) recordAccepted(sj *submittedJob, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if sj.acceptedAt.IsZero() {
		sj.acceptedAt = now
	}
	c.counts["accepted"]++
}

// recordRefused records that every submission of a job was rejected.
func (c *checker) recordRefused(sj *submittedJob) {
	c.mu.Lock()
	defer c.mu.Unlock()
	sj.refused = true
	c.counts["refused"]++
}

// recordEndRequested records that the end of a job is about to be requested.
func (c *checker) recordEndRequested(sj *submittedJob) {
	c.mu.Lock()
	defer c.mu.Unlock()
	sj.endRequested = true
}

// recordEnded records that the end of a job was acknowledged.
func (c *checker) recordEnded(sj *submittedJob, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	sj.endedAt = now
}

// checkNotFound checks a 404 for a job.
func (c *checker) checkNotFound(sj *submittedJob, entry int, requestedAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !sj.acceptedAt.IsZero() && requestedAt.Sub(sj.acceptedAt) > acceptLag && c.timeBoundsHold(entry, requestedAt, time.Now()) {
		c.reportLocked("LOST", "entry %d answered 404 for job %s, accepted %s earlier", entry, sj.ID, requestedAt.Sub(sj.acceptedAt))
	}
}

// checkItemBody checks the body of an item that an entry returned; got is nil for a 404.
func (c *checker) checkItemBody(sj *submittedJob, id string, got []byte, entry int, requestedAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	it := c.items[id]
	_, listed := sj.position[id]
	switch {
	case got != nil && string(got) != it.body:
		c.reportLocked("MIXED", "body of item %s was returned as %q", id, got)
	case got == nil && !listed && !it.finished && !sj.endRequested && it.failures < maxItemAttempts &&
		requestedAt.Sub(sj.acceptedAt) > acceptLag && c.timeBoundsHold(entry, requestedAt, time.Now()):
		c.reportLocked("LOST", "entry %d answered 404 for the body of item %s of job %s", entry, id, sj.ID)
	}
}

// checkPage checks a page of a job's results that was read from the position after.
func (c *checker) checkPage(sj *submittedJob, after int, p job.Page) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts["pages"]++
	if p.Total != len(sj.Items) || p.Next != after+len(p.Results) {
		c.reportLocked("MIXED", "page of job %s from position %d with %d results has total %d, next %d", sj.ID, after, len(p.Results), p.Total, p.Next)
		return
	}
	for i, r := range p.Results {
		c.checkResult(sj, after+i, r)
	}
}

// checkResult checks the result at position n of a job. The caller holds mu.
func (c *checker) checkResult(sj *submittedJob, n int, r job.Result) {
	if n < len(sj.results) {
		if known := sj.results[n]; known.Item != r.Item || known.State != r.State || known.Text != r.Text ||
			!slices.Equal(known.Versions, r.Versions) {
			c.reportLocked("TWICE", "position %d of job %s changed from %v to %v", n, sj.ID, known, r)
		}
		return
	}
	if at, ok := sj.position[r.Item]; ok {
		c.reportLocked("TWICE", "item %s of job %s is listed at positions %d and %d", r.Item, sj.ID, at, n)
	}
	if n == len(sj.results) {
		sj.results = append(sj.results, r)
		sj.position[r.Item] = n
		c.counts["results"]++
	}
	it := c.items[r.Item]
	if it == nil || !slices.Contains(it.jobs, sj) {
		c.reportLocked("MIXED", "job %s lists item %s, which is not part of it", sj.ID, r.Item)
		return
	}
	if r.State == job.Terminated {
		if !sj.endRequested && it.failures < maxItemAttempts {
			c.reportLocked("MIXED", "item %s of job %s was terminated after %d failures", r.Item, sj.ID, it.failures)
		}
		return
	}
	c.checkText(sj, it, r)
}

// checkText checks the text and the weight versions of a completed item. The caller holds mu.
func (c *checker) checkText(sj *submittedJob, it *itemRecord, r job.Result) {
	_, length := parseItemPath(it.path)
	events := strings.Split(r.Text, "\n")
	if len(events) != length {
		c.reportLocked("MIXED", "text of item %s has %d events, want %d", r.Item, len(events), length)
		return
	}
	var versions []int
	for i, e := range events {
		prefix := fmt.Sprintf("%s.%d.", r.Item, i+1)
		v, err := strconv.Atoi(strings.TrimPrefix(e, prefix))
		if err != nil || !strings.HasPrefix(e, prefix) || !c.sentEvents[e] {
			c.reportLocked("ORDER", "event %d of item %s is %q, which is out of order or was sent by no engine", i+1, r.Item, e)
			return
		}
		if !slices.Contains(versions, v) {
			versions = append(versions, v)
		}
	}
	slices.Sort(versions)
	if !slices.Equal(versions, r.Versions) || versions[0] < sj.MinVersion {
		c.reportLocked("VERSION", "item %s is listed with versions %v, its text has %v, job %s requires at least %d",
			r.Item, r.Versions, versions, sj.ID, sj.MinVersion)
	}
}

// resultsRead returns how many results of a job have been read.
func (c *checker) resultsRead(sj *submittedJob) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(sj.results)
}

// checkReread checks the number of results of a job that an entry returned from the start, after all other reads.
func (c *checker) checkReread(sj *submittedJob, entry, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known := len(sj.results); n < known {
		c.reportLocked("LOST", "final read of job %s returned %d results from entry %d, %d had been read before", sj.ID, n, entry, known)
	}
}

// acceptedJobs returns all accepted jobs.
func (c *checker) acceptedJobs() []*submittedJob {
	c.mu.Lock()
	defer c.mu.Unlock()
	var jobs []*submittedJob
	for _, sj := range c.jobs {
		if !sj.acceptedAt.IsZero() {
			jobs = append(jobs, sj)
		}
	}
	return jobs
}

// activeJobs returns the accepted jobs that have not ended before since.
func (c *checker) activeJobs(since time.Time) []*submittedJob {
	c.mu.Lock()
	defer c.mu.Unlock()
	var jobs []*submittedJob
	for _, sj := range c.jobs {
		if !sj.acceptedAt.IsZero() && (sj.endedAt.IsZero() || sj.endedAt.After(since)) {
			jobs = append(jobs, sj)
		}
	}
	slices.SortFunc(jobs, func(a, b *submittedJob) int { return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.space, b.space)) })
	return jobs
}

// parseItemPath returns the model and the number of events in the path of an item, and zero values for any other path.
func parseItemPath(path string) (model string, length int) {
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
