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
	jobGroups   = 6
	groupItems  = 4
	wantGroups  = 5
	longestItem = 60                     // events
	stepLimit   = 10 * time.Second       // after which a trainer gives a step up
	submitTries = 12                     // after which it gives a job up
	readWait    = 500 * time.Millisecond // that a read may be held open
	callLimit   = 3 * time.Second
)

// trainer submits one job after the other for a model, reads their results and names the next version.
type trainer struct {
	world  *world
	model  string
	pool   *upstream.Pool
	random *rand.Rand
	left   []job.Item // a group that was not complete
	done   atomic.Int64
}

// completed returns the number of steps that were completed.
func (t *trainer) completed() int { return int(t.done.Load()) }

func newTrainer(w *world, model string) *trainer {
	return &trainer{
		world: w, model: model, pool: upstream.New(upstream.Limits{Dial: time.Second}),
		random: rand.New(rand.NewPCG(uint64(w.draw(1<<30)), 3)),
	}
}

// run makes steps until ctx ends.
func (t *trainer) run(ctx context.Context) {
	for step := 0; ctx.Err() == nil; step++ {
		if step > 0 {
			t.world.name(t.model)
		}
		if t.step(ctx, step, max(t.world.named(t.model)-1, 1)) {
			t.done.Add(1)
		}
	}
}

// step makes one step with results of the given weight version and newer, and reports whether it was completed.
func (t *trainer) step(ctx context.Context, step, oldest int) bool {
	b := t.world.ledger.submits(t.job(step, oldest))
	if !t.submit(ctx, b) {
		return false
	}
	limit, cancel := context.WithTimeout(ctx, stepLimit)
	defer cancel()
	whole := t.read(limit, b)
	t.end(ctx, b)
	return whole
}

// job returns a job, which begins with a group of the one before if that was not complete.
func (t *trainer) job(step, oldest int) job.Job {
	j := job.Job{
		ID: fmt.Sprintf("%s-%d-%x", t.model, step, t.random.Uint32()), Step: step, Model: t.model, MinVersion: oldest, Groups: wantGroups,
	}
	if t.random.IntN(2) == 0 {
		j.Items = t.left
	}
	t.left = nil
	for g := len(j.Items) / groupItems; g < jobGroups; g++ {
		for i := range groupItems {
			id := fmt.Sprintf("%s.%d.%d", j.ID, g, i)
			j.Items = append(j.Items, job.Item{
				ID: id, Path: fmt.Sprintf("/items-of/%s/%d", t.model, 1+t.random.IntN(longestItem)), Body: []byte("body of " + id),
				Tokens: 100, Group: fmt.Sprintf("%s.%d", j.ID, g),
			})
		}
	}
	return j
}

// call sends a call on a connection of its own.
func (t *trainer) call(ctx context.Context, entry int, q upstream.Request, id string) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	q.Host = host
	if q.Header == nil {
		q.Header = http.Header{}
	}
	platformtest.Ask(q.Header, call.Request{ID: id, Deadline: callLimit})
	return exchange(ctx, t.pool, t.world.address(netClient, firstEntry+entry, portIngress), q)
}

func (t *trainer) entry() int { return t.random.IntN(t.world.size.entries) }

// submit submits a job until it is accepted or given up.
func (t *trainer) submit(ctx context.Context, b *batch) bool {
	body, err := platformtest.EncodeJob(b.Job)
	if err != nil {
		panic(err) // strings and numbers encode
	}
	refused := true
	for range submitTries {
		a, err := t.call(ctx, t.entry(), upstream.Request{
			Method: http.MethodPost, URI: "/items-of/" + b.ID, Header: http.Header{"Content-Type": {"application/json"}}, Body: body,
		}, b.ID)
		switch {
		case err == nil && a.status == http.StatusAccepted:
			t.world.ledger.accepted(b, time.Now())
			return true
		case err == nil && (a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests):
		case err == nil && a.status < http.StatusInternalServerError:
			t.world.ledger.broken("DENIED", "job %s got %d", b.ID, a.status)
			return false
		default:
			refused = false
		}
		if !pause(ctx, backOff) {
			return false
		}
	}
	if refused {
		t.world.ledger.refused(b)
	}
	return false
}

// read reads results until enough groups are complete.
func (t *trainer) read(ctx context.Context, b *batch) bool {
	groups := map[string]int{}
	whole, next := 0, 0
	for ctx.Err() == nil {
		after := next
		if t.random.IntN(6) == 0 {
			after = t.random.IntN(next + 1)
		}
		page, ok := t.page(ctx, b, after)
		if !ok {
			pause(ctx, backOff)
			continue
		}
		for i, r := range page.Results {
			if after+i < next {
				continue
			}
			next++
			if g := groupOf(b, r.Item); r.State == job.Completed {
				if groups[g]++; groups[g] == groupItems {
					whole++
				}
			}
		}
		if whole >= wantGroups {
			t.keep(b, groups)
			return true
		}
		if next == len(b.Items) {
			return false // items were given up
		}
		if t.random.IntN(3) == 0 {
			t.body(ctx, b)
		}
	}
	return false
}

func groupOf(b *batch, id string) string {
	for _, it := range b.Items {
		if it.ID == id {
			return it.Group
		}
	}
	return ""
}

// keep remembers a group that was not complete for the next job.
func (t *trainer) keep(b *batch, groups map[string]int) {
	for _, it := range b.Items {
		if groups[it.Group] < groupItems && (len(t.left) == 0 || t.left[0].Group == it.Group) {
			t.left = append(t.left, it)
		}
	}
}

// page reads the results from a position on through any entry.
func (t *trainer) page(ctx context.Context, b *batch, after int) (job.Page, bool) {
	entry, asked := t.entry(), time.Now()
	p, status, err := t.fetch(ctx, b, entry, after, readWait)
	if status == http.StatusNotFound {
		t.world.ledger.absent(b, entry, asked)
	}
	return p, err == nil && status == http.StatusOK
}

// fetch reads the results from a position on through an entry, and has them judged if the entry answers with some.
func (t *trainer) fetch(
	ctx context.Context, b *batch, entry, after int, wait time.Duration,
) (p job.Page, status int, err error) {
	uri, name, value := platformtest.ResultsURI(b.ID, after, wait)
	a, err := t.call(ctx, entry, upstream.Request{Method: http.MethodGet, URI: uri, Header: http.Header{name: {value}}}, "")
	if err != nil || a.status != http.StatusOK {
		return job.Page{}, a.status, err
	}
	if p, err = platformtest.DecodePage(a.body); err != nil {
		t.world.ledger.broken("MIXED", "a page of job %s: %v", b.ID, err)
		return job.Page{}, a.status, err
	}
	t.world.ledger.page(b, after, p)
	return p, a.status, nil
}

// body reads the body of any item through any entry.
func (t *trainer) body(ctx context.Context, b *batch) {
	id := b.Items[t.random.IntN(len(b.Items))].ID
	entry, asked := t.entry(), time.Now()
	a, err := t.call(ctx, entry, upstream.Request{Method: http.MethodGet, URI: platformtest.BodyURI(b.ID, id)}, "")
	switch {
	case err != nil:
	case a.status == http.StatusOK:
		t.world.ledger.body(b, id, a.body, entry, asked)
	case a.status == http.StatusNotFound:
		t.world.ledger.body(b, id, nil, entry, asked)
	}
}

// end ends a job.
func (t *trainer) end(ctx context.Context, b *batch) {
	t.world.ledger.ending(b)
	for ctx.Err() == nil {
		a, err := t.call(ctx, t.entry(), upstream.Request{Method: http.MethodDelete, URI: platformtest.JobURI(b.ID)}, "")
		if err == nil && a.status == http.StatusOK {
			t.world.ledger.ended(b, time.Now())
			return
		}
		pause(ctx, backOff)
	}
}

// recheck reads all jobs from the start through every entry.
func (t *trainer) recheck(ctx context.Context, jobs []*batch) {
	for _, b := range jobs {
		for entry := range t.world.size.entries {
			t.whole(ctx, b, entry)
		}
	}
}

// whole reads a job from its start and compares the number of results with those that were read before.
func (t *trainer) whole(ctx context.Context, b *batch, entry int) {
	next := 0
	for {
		p, status, err := t.fetch(ctx, b, entry, next, 0)
		if err != nil || status != http.StatusOK {
			t.world.ledger.broken("LOST", "at the end job %s cannot be read from entry %d: %d %v", b.ID, entry, status, err)
			return
		}
		if next = p.Next; len(p.Results) == 0 {
			break
		}
	}
	if known := t.world.ledger.known(b); next < known {
		t.world.ledger.broken("LOST", "at the end job %s has %d results at entry %d, %d were read", b.ID, next, entry, known)
	}
}
