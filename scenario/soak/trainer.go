package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"bulrushspoke/internal/call"
	"bulrushspoke/internal/job"
	"bulrushspoke/internal/upstream"
	"bulrushspoke/platform/platformtest"
)

const (
	groupsPerJob      = 6
	itemsPerGroup     = 4
	requiredGroups    = 5
	maxItemEvents     = 60
	stepTimeout       = 10 * time.Second       // after which a trainer ends a step that is not complete
	maxSubmitAttempts = 12                     // after which a trainer drops a job
	longPollWait      = 500 * time.Millisecond // that an entry may hold a read open
	callTimeout       = 3 * time.Second
	readersPerEntry   = 2
	maxReaderPause    = 10 * time.Millisecond // maximum time between two reads of a reader
	recentlyEnded     = 2 * time.Second       // for which readers go on with an ended job
)

// trainer submits one job after the other for a model, reads its results and publishes the next weight version.
type trainer struct {
	env            *env
	model          string
	space          string
	sharedIDs      bool // every third job has an ID that trainers of other workspaces use as well
	pool           *upstream.Pool
	random         *rand.Rand
	carriedItems   []job.Item // an incomplete group of the previous job
	completedSteps atomic.Int64
}

// completed returns the number of completed steps.
func (t *trainer) completed() int { return int(t.completedSteps.Load()) }

func newTrainer(e *env, n int) *trainer {
	return &trainer{
		env: e, model: modelName(n), space: spaceName(n), sharedIDs: n < workspaceCount, pool: upstream.New(upstream.Limits{Dial: time.Second}),
		random: rand.New(rand.NewPCG(uint64(e.intN(1<<30)), 3)),
	}
}

// run executes steps until ctx ends.
func (t *trainer) run(ctx context.Context) {
	for step := 0; ctx.Err() == nil; step++ {
		if step > 0 {
			t.env.publishVersion(t.model)
		}
		if t.runStep(ctx, step, max(t.env.newestVersion(t.model)-1, 1)) {
			t.completedSteps.Add(1)
		}
	}
}

// runStep executes one step with results of weight versions from minVersion, and reports whether the step was completed.
func (t *trainer) runStep(ctx context.Context, step, minVersion int) bool {
	sj := t.env.checker.recordJob(t.space, t.newJob(step, minVersion))
	if !t.submit(ctx, sj) {
		return false
	}
	limit, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	completed := t.readResults(limit, sj)
	t.endJob(ctx, sj)
	return completed
}

// newJob returns a new job. Half of the jobs begin with the incomplete group of the previous job, if there is one.
func (t *trainer) newJob(step, minVersion int) job.Job {
	j := job.Job{
		ID: fmt.Sprintf("%s-%d-%x", t.model, step, t.random.Uint32()), Step: step, Model: t.model, MinVersion: minVersion, Groups: requiredGroups,
	}
	name := j.ID
	if t.sharedIDs && step%3 == 1 {
		j.ID = fmt.Sprintf("shared-%d", step)
	}
	if t.random.IntN(2) == 0 {
		j.Items = t.carriedItems
	}
	t.carriedItems = nil
	for g := len(j.Items) / itemsPerGroup; g < groupsPerJob; g++ {
		var forged map[string]string
		if t.random.Float64() < forgeRatio {
			forged = platformtest.SenderHeaders(platformtest.Sender{Credentials: platformtest.KeyCredentials(permanentKey(t.space)), Workspace: "other"})
		}
		for i := range itemsPerGroup {
			id := fmt.Sprintf("%s.%d.%d", name, g, i)
			j.Items = append(j.Items, job.Item{
				ID: id, Path: fmt.Sprintf("/items-of/%s/%d", t.model, 1+t.random.IntN(maxItemEvents)), Body: []byte("body of " + id),
				Tokens: 100, Group: fmt.Sprintf("%s.%d", name, g), Header: forged,
			})
		}
	}
	return j
}

// call sends a request on a new connection.
func (t *trainer) call(ctx context.Context, entry int, q upstream.Request, id string) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	q.Host = host
	if q.Header == nil {
		q.Header = http.Header{}
	}
	platformtest.SetRequestHeaders(q.Header, call.Request{ID: id, Deadline: callTimeout})
	authorize(q.Header, permanentKey(t.space))
	a, err := exchange(ctx, t.pool, t.env.address(netClientRelay, firstEntry+entry, portIngress), q)
	if err == nil && (a.status == http.StatusUnauthorized || a.status == http.StatusForbidden) {
		t.env.checker.report("DENIED", "%s %s with a key of %s got status %d", q.Method, q.URI, t.space, a.status)
	}
	return a, err
}

func (t *trainer) randomEntry() int { return t.random.IntN(t.env.size.entries) }

// submit submits a job until it is accepted, and reports whether it was. It stops after maxSubmitAttempts or an unexpected
// status.
func (t *trainer) submit(ctx context.Context, sj *submittedJob) bool {
	body, err := platformtest.EncodeJob(sj.Job)
	if err != nil {
		panic(err) // cannot happen: a job holds only strings and numbers
	}
	refused := true
	for range maxSubmitAttempts {
		a, err := t.call(ctx, t.randomEntry(), upstream.Request{
			Method: http.MethodPost, URI: "/items-of/" + sj.ID, Header: http.Header{"Content-Type": {"application/json"}}, Body: body,
		}, sj.ID)
		switch {
		case err == nil && a.status == http.StatusAccepted:
			t.env.checker.recordAccepted(sj, time.Now())
			return true
		case err == nil && (a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests):
		case err == nil && a.status < http.StatusInternalServerError:
			t.env.checker.report("DENIED", "submission of job %s got unexpected status %d", sj.ID, a.status)
			return false
		default:
			refused = false
		}
		if !pause(ctx, backoff) {
			return false
		}
	}
	if refused {
		t.env.checker.recordRefused(sj)
	}
	return false
}

// readResults reads results until enough groups are complete, and reports whether they are.
func (t *trainer) readResults(ctx context.Context, sj *submittedJob) bool {
	groups := map[string]int{}
	completeGroups, next := 0, 0
	for ctx.Err() == nil {
		after := next
		if t.random.IntN(6) == 0 {
			after = t.random.IntN(next + 1)
		}
		page, ok := t.readPage(ctx, sj, after)
		if !ok {
			pause(ctx, backoff)
			continue
		}
		for i, r := range page.Results {
			if after+i < next {
				continue
			}
			next++
			if g := groupOf(sj, r.Item); r.State == job.Completed {
				if groups[g]++; groups[g] == itemsPerGroup {
					completeGroups++
				}
			}
		}
		if completeGroups >= requiredGroups {
			t.carryGroup(sj, groups)
			return true
		}
		if next == len(sj.Items) {
			return false // too many items were terminated
		}
		if t.random.IntN(3) == 0 {
			t.readBody(ctx, sj)
		}
	}
	return false
}

func groupOf(sj *submittedJob, id string) string {
	for _, it := range sj.Items {
		if it.ID == id {
			return it.Group
		}
	}
	return ""
}

// carryGroup keeps an incomplete group for the next job.
func (t *trainer) carryGroup(sj *submittedJob, groups map[string]int) {
	for _, it := range sj.Items {
		if groups[it.Group] < itemsPerGroup && (len(t.carriedItems) == 0 || t.carriedItems[0].Group == it.Group) {
			t.carriedItems = append(t.carriedItems, it)
		}
	}
}

// readPage reads the results from a position on through a random entry.
func (t *trainer) readPage(ctx context.Context, sj *submittedJob, after int) (job.Page, bool) {
	entry, requestedAt := t.randomEntry(), time.Now()
	p, status, err := t.fetchPage(ctx, sj, entry, after, longPollWait)
	if status == http.StatusNotFound {
		t.env.checker.checkNotFound(sj, entry, requestedAt)
	}
	return p, err == nil && status == http.StatusOK
}

// fetchPage reads the results from a position on through an entry, and checks the page if the status is 200.
func (t *trainer) fetchPage(
	ctx context.Context, sj *submittedJob, entry, after int, wait time.Duration,
) (p job.Page, status int, err error) {
	uri, name, value := platformtest.ResultsURI(sj.ID, after, wait)
	t = t.as(sj.space)
	a, err := t.call(ctx, entry, upstream.Request{Method: http.MethodGet, URI: uri, Header: http.Header{name: {value}}}, "")
	if err != nil || a.status != http.StatusOK {
		return job.Page{}, a.status, err
	}
	if p, err = platformtest.DecodePage(a.body); err != nil {
		t.env.checker.report("MIXED", "decode page of job %s: %v", sj.ID, err)
		return job.Page{}, a.status, err
	}
	t.env.checker.checkPage(sj, after, p)
	return p, a.status, nil
}

// as returns a client like the trainer, with the key of another workspace.
func (t *trainer) as(space string) *trainer {
	return &trainer{env: t.env, space: space, pool: t.pool, random: t.random}
}

// readBody reads and checks the body of a random item through a random entry.
func (t *trainer) readBody(ctx context.Context, sj *submittedJob) {
	id := sj.Items[t.random.IntN(len(sj.Items))].ID
	entry, requestedAt := t.randomEntry(), time.Now()
	a, err := t.call(ctx, entry, upstream.Request{Method: http.MethodGet, URI: platformtest.BodyURI(sj.ID, id)}, "")
	switch {
	case err != nil:
	case a.status == http.StatusOK:
		t.env.checker.checkItemBody(sj, id, a.body, entry, requestedAt)
	case a.status == http.StatusNotFound:
		t.env.checker.checkItemBody(sj, id, nil, entry, requestedAt)
	}
}

// endJob requests the end of a job until it is acknowledged or ctx ends.
func (t *trainer) endJob(ctx context.Context, sj *submittedJob) {
	t.env.checker.recordEndRequested(sj)
	for ctx.Err() == nil {
		a, err := t.call(ctx, t.randomEntry(), upstream.Request{Method: http.MethodDelete, URI: platformtest.JobURI(sj.ID)}, "")
		if err == nil && a.status == http.StatusOK {
			t.env.checker.recordEnded(sj, time.Now())
			return
		}
		pause(ctx, backoff)
	}
}

// reader reads the results of jobs from one entry, while others read them elsewhere.
type reader struct {
	*trainer
	entry int
}

func newReader(e *env, seed uint64, entry, n int) *reader {
	return &reader{entry: entry, trainer: &trainer{
		env: e, pool: upstream.New(upstream.Limits{Dial: time.Second, Idle: 1}),
		random: rand.New(rand.NewPCG(seed, uint64(1000*(entry+1)+n))),
	}}
}

// run reads results without a wait until ctx ends, mostly of jobs that are open or have just ended, and from the
// position that any client has reached.
func (r *reader) run(ctx context.Context) {
	for pause(ctx, time.Duration(r.random.Int64N(int64(maxReaderPause)))) {
		jobs := r.env.checker.activeJobs(time.Now().Add(-recentlyEnded))
		if len(jobs) == 0 || r.random.IntN(8) == 0 {
			jobs = r.env.checker.acceptedJobs()
		}
		if len(jobs) == 0 {
			continue
		}
		sj := jobs[r.random.IntN(len(jobs))]
		if r.random.IntN(probeInterval) == 0 {
			r.probeJob(ctx, sj, r.entry)
		}
		after := r.env.checker.resultsRead(sj)
		if r.random.IntN(5) == 0 {
			after = r.random.IntN(after + 1)
		}
		requestedAt := time.Now()
		if _, status, err := r.fetchPage(ctx, sj, r.entry, after, 0); err == nil && status == http.StatusNotFound {
			r.env.checker.checkNotFound(sj, r.entry, requestedAt)
		}
	}
}

// rereadJobs reads the results of jobs from the start through every entry, and repeats reads that cannot be served yet for
// up to retry.
func (t *trainer) rereadJobs(ctx context.Context, jobs []*submittedJob, retry time.Duration) {
	for _, sj := range jobs {
		for entry := range t.env.size.entries {
			t.rereadJob(ctx, sj, entry, retry)
		}
	}
}

// rereadJob reads the results of a job from the start and checks that none of those read before is missing. For up to retry,
// it repeats reads that cannot be served yet.
func (t *trainer) rereadJob(ctx context.Context, sj *submittedJob, entry int, retry time.Duration) {
	next := 0
	for until := time.Now().Add(retry); ; {
		p, status, err := t.fetchPage(ctx, sj, entry, next, 0)
		if (err != nil || status == http.StatusServiceUnavailable) && time.Now().Before(until) && pause(ctx, backoff) {
			continue
		}
		if err != nil || status != http.StatusOK {
			t.env.checker.report("LOST", "final read of job %s from entry %d: status %d, %v", sj.ID, entry, status, err)
			return
		}
		if next = p.Next; len(p.Results) == 0 {
			break
		}
	}
	t.env.checker.checkReread(sj, entry, next)
}
