// Package batch keeps batch jobs: it accepts them, runs their items on the engines, lists the results and serves them.
//
// # Usage
//
//	m := batch.New(batch.Options{Store: objects, Peers: peers, Catalog: catalog, …})
//	m.Register(peers)
//	reply := m.Submit(ctx, route, id, body, now)
//
// A job is accepted once its payload and its state object stand in the store. The entry named in the state object owns
// it and runs its items. Results are listed in records: record n is an object created only if absent, and its writer has
// read every record below n. So a position never changes, and an item stands at one position only, whoever owns the job
// and whoever believes to. Ownership only saves work.
//
// Any entry answers for any job: it asks the owner, and takes the job over if the owner is out of reach.
package batch

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"bulrushspoke/entry/internal/forecast"
	"bulrushspoke/entry/internal/ingress"
	"bulrushspoke/entry/internal/place"
	"bulrushspoke/entry/internal/reward"
	"bulrushspoke/internal/catalog"
	"bulrushspoke/internal/event"
	"bulrushspoke/internal/job"
	"bulrushspoke/internal/link"
	"bulrushspoke/internal/store"
	"bulrushspoke/internal/supervise"
	"bulrushspoke/internal/upstream"
	"bulrushspoke/wire"
)

// Kinds of objects in the store.
const (
	KindState   = "jobs"
	KindPayload = "payloads"
	KindTexts   = "texts"
	KindRecords = "results-" // followed by the id of the job, so that one list reads a job's log
)

const (
	// askTime bounds a question to another entry beside the time that the question itself allows.
	askTime = 800 * time.Millisecond
	// usualOutage is how long an outage of the store lasts as a rule; operators report three to nine seconds.
	usualOutage = 7 * time.Second
	// retryLeast and retryMost bound when a client may come back while the store does not answer. Clients come two or
	// three times in all and wait at most a third of their time, which is four seconds of the usual twelve.
	retryLeast = 1500 * time.Millisecond
	retryMost  = 4 * time.Second
	// adoptTime bounds a handover: the adopting entry makes five calls to a store that may be slow.
	adoptTime = 3 * time.Second
	// fetchTime bounds the loading of a job from a store that may be slow.
	fetchTime = 10 * time.Second
	// retryBusy is when a client may come back while a job changes hands.
	retryBusy = 300 * time.Millisecond
	// storeTries bounds conditional updates that lose against others.
	storeTries = 5
)

// Store is the part of the platform's store that jobs use.
type Store interface {
	Get(ctx context.Context, kind, name string) (store.Record, error)
	Create(ctx context.Context, kind, name string, spec []byte) (int64, error)
	Update(ctx context.Context, kind, name string, spec []byte, revision int64) (int64, error)
	List(ctx context.Context, kind string) ([]store.Record, int64, error)
}

// Peers reaches the other entries.
type Peers interface {
	Ask(ctx context.Context, name, kind string, body, answer any) error
	Tell(kind string, body any)
	Linked() []string
	Near(domain string) []wire.Hello
	Incarnation(name string) string
}

// Random draws numbers; it is safe for several tasks.
type Random interface {
	IntN(n int) int
}

// Histogram counts seconds by model and part of a step.
type Histogram interface {
	Record(model, part string, seconds float64)
}

// Handlers takes the functions that answer messages of other entries.
type Handlers interface {
	Handle(kind string, f func(context.Context, link.Frame) (string, any, error))
}

// Options are the parts that a Manager works with.
type Options struct {
	Self    wire.Member
	Name    string
	Cores   float64 // processor time of the instance; 0 if unknown
	Store   Store
	Peers   Peers
	Catalog *catalog.Catalog
	Pool    *upstream.Pool
	Tracker *place.Tracker
	Keep    time.Duration // how long a job stays in memory after its submission
	Value   int           // largest value of the store in bytes
	Memory  int64         // bytes that the payloads of open jobs may take
	Link    float64       // of the instance, in bytes a second; 0 if unknown
	Logger  *slog.Logger
	Random  Random
	Outage  func(now time.Time) time.Duration // how long the store has not answered; 0 if it does
	Steps   Histogram
}

// Manager keeps the jobs that this entry knows.
type Manager struct {
	Options
	life context.Context

	mu      sync.Mutex
	jobs    map[string]*Job
	owners  map[string]wire.JobState // jobs that other entries own
	taking  map[string]chan struct{} // jobs that a task of this entry takes over; closed when it is done
	texts   *texts
	pace    *pacer
	events  *forecast.Forecast
	rhythms rhythms
	times   *reward.Times
	freed   chan struct{} // closed when a slot of a server becomes free
	closed  bool
}

// New returns a Manager whose jobs run until life ends.
func New(life context.Context, o Options) *Manager {
	return &Manager{
		Options: o,
		life:    life,
		jobs:    make(map[string]*Job),
		owners:  make(map[string]wire.JobState),
		taking:  make(map[string]chan struct{}),
		texts:   newTexts(),
		pace:    newPacer(o.Link),
		events:  forecast.New(),
		rhythms: newRhythms(),
		times:   reward.NewTimes(),
		freed:   make(chan struct{}),
	}
}

// unavailable answers a call that may succeed in a moment.
func unavailable(cause string) ingress.Reply {
	return ingress.Reply{Status: http.StatusServiceUnavailable, Retry: retryBusy, Cause: cause}
}

// notFound answers a call that names what does not exist.
func notFound(cause string) ingress.Reply {
	return ingress.Reply{Status: http.StatusNotFound, Cause: cause}
}

// Results returns the results of a job from a position on, waiting for the first for a time.
func (m *Manager) Results(ctx context.Context, id string, after int, wait time.Duration) ingress.Reply {
	for range storeTries {
		if j := m.local(id); j != nil {
			if !m.sure(ctx, j, after, time.Now()) {
				return unavailable("the log of the job cannot be read")
			}
			if m.local(id) != j {
				continue
			}
			p := j.page(ctx, after, wait, maxPage)
			if len(p.Results) == 0 && p.Next < p.Total {
				m.refresh(ctx, j, time.Now())
				p = j.page(ctx, after, 0, maxPage)
			}
			return page(p)
		}
		s, reply := m.find(ctx, id)
		if reply.Status != 0 {
			return reply
		}
		denied := false
		if s.Owner != m.Name {
			q := wire.JobRead{Job: id, After: after, Wait: wait.Milliseconds(), Most: m.pace.most(time.Now())}
			p, err := m.askPage(ctx, s, q, wait)
			if err == nil && p.Known && len(p.Body) == 0 {
				return unavailable("the owner cannot read the log of the job")
			}
			if err == nil && p.Known {
				m.pace.sent(len(p.Body), time.Now())
				return ingress.Reply{Status: http.StatusOK, Body: p.Body, JSON: true}
			}
			if ctx.Err() != nil {
				return unavailable("client left")
			}
			denied = err == nil && !s.Ended && s.Inc == m.Peers.Incarnation(s.Owner)
			m.forget(id)
		}
		if reply := m.fetch(ctx, s, id, denied); reply.Status != 0 {
			return reply
		}
	}
	return unavailable("the job is changing hands")
}

// fetch brings a job that has no owner to one, or loads it if it has ended, for a reader. It goes on if the reader
// leaves, so that the job is there when the reader comes again.
func (m *Manager) fetch(ctx context.Context, s wire.JobState, id string, force bool) ingress.Reply {
	done := make(chan ingress.Reply, 1)
	go supervise.Guard(m.Logger, "fetch", func() {
		life, cancel := context.WithTimeout(m.life, fetchTime)
		defer cancel()
		if m.giveTo(life, s, id) {
			m.forget(id)
			done <- ingress.Reply{}
			return
		}
		done <- m.take(life, id, nil, force)
	})
	select {
	case reply := <-done:
		return reply
	case <-ctx.Done():
		return unavailable("client left")
	}
}

// giveTo asks the entry that is to run the jobs of a model to take one over that is open and has no owner. It returns
// false if that is this entry, or if it does not take the job.
func (m *Manager) giveTo(ctx context.Context, s wire.JobState, id string) bool {
	owner := choose(s.Model, m.candidates())
	if s.Ended || owner.name == "" || owner.name == m.Name || owner.name == s.Owner && owner.inc == s.Inc {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, adoptTime)
	defer cancel()
	var done wire.JobReply
	q := wire.JobAdopt{Job: id, Epoch: s.Epoch, Parts: []wire.JobPart{}, Gone: true}
	return m.Peers.Ask(ctx, owner.name, link.Adopt, q, &done) == nil && done.Done
}

func (m *Manager) askPage(
	ctx context.Context, s wire.JobState, q wire.JobRead, wait time.Duration,
) (wire.JobPage, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+askTime)
	defer cancel()
	var p wire.JobPage
	err := m.Peers.Ask(ctx, s.Owner, link.Read, q, &p)
	return p, err
}

// find returns the state of a job that this entry does not run.
func (m *Manager) find(ctx context.Context, id string) (wire.JobState, ingress.Reply) {
	m.mu.Lock()
	s, ok := m.owners[id]
	m.mu.Unlock()
	if ok {
		return s, ingress.Reply{}
	}
	s, _, err := m.state(ctx, id)
	var absent *store.AbsentError
	switch {
	case errors.As(err, &absent):
		return s, notFound("no such job")
	case err != nil:
		return s, unavailable(err.Error())
	}
	m.remember(id, s)
	return s, ingress.Reply{}
}

// remember notes the state of a job that another entry owns.
func (m *Manager) remember(id string, s wire.JobState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.owners[id] = s
}

func (m *Manager) forget(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.owners, id)
}

// Body returns the body of an item.
func (m *Manager) Body(ctx context.Context, id, item string) ingress.Reply {
	if j := m.local(id); j != nil && len(j.spec.Items) > 0 {
		return itemBody(j.spec, item)
	}
	s, reply := m.find(ctx, id)
	if reply.Status != 0 {
		return reply
	}
	if reply, ok := m.askBody(ctx, s, id, item); ok {
		return reply
	}
	spec, err := m.submitted(ctx, id)
	if err != nil {
		return unavailable(err.Error())
	}
	return itemBody(spec, item)
}

// askBody asks the owner of a job for the body of an item; false if the owner does not answer for the job.
func (m *Manager) askBody(ctx context.Context, s wire.JobState, id, item string) (ingress.Reply, bool) {
	if s.Owner == m.Name {
		return ingress.Reply{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	var b wire.JobBody
	if err := m.Peers.Ask(ctx, s.Owner, link.Item, wire.JobItem{Job: id, Item: item}, &b); err != nil || !b.Known {
		return ingress.Reply{}, false
	}
	if !b.Found {
		return notFound("no such item"), true
	}
	return ingress.Reply{Status: http.StatusOK, Body: b.Body}, true
}

func itemBody(spec job.Job, item string) ingress.Reply {
	for _, it := range spec.Items {
		if it.ID == item {
			return ingress.Reply{Status: http.StatusOK, Body: it.Body}
		}
	}
	return notFound("no such item")
}

// knownEnded reports whether another entry's job is known to have ended, which lasts.
func (m *Manager) knownEnded(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.owners[id].Ended
}

// End ends a job for good.
func (m *Manager) End(ctx context.Context, id string) ingress.Reply {
	j := m.local(id)
	if j != nil {
		if j.over() {
			return ingress.Reply{Status: http.StatusOK}
		}
		j.stop()
	}
	if j == nil && m.knownEnded(id) {
		return ingress.Reply{Status: http.StatusOK}
	}
	for range storeTries {
		s, revision, err := m.state(ctx, id)
		var absent *store.AbsentError
		if errors.As(err, &absent) {
			return notFound("no such job")
		}
		if err != nil {
			return unavailable(err.Error())
		}
		if !s.Ended {
			s.Ended = true
			again, err := m.replaceState(ctx, id, s, revision)
			if again {
				continue
			}
			if err != nil {
				return unavailable(err.Error())
			}
		}
		if j != nil {
			j.finish()
		} else {
			m.remember(id, s)
		}
		m.Peers.Tell(link.End, wire.JobEnd{Job: id})
		event.JobEnded.Log(m.Logger, "job", id, "owner", s.Owner, "epoch", s.Epoch)
		return ingress.Reply{Status: http.StatusOK}
	}
	return unavailable("the job is changing hands")
}

func (m *Manager) local(id string) *Job {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.jobs[id]
}

// open returns the bytes of the items of jobs that have not ended.
func (m *Manager) open() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	var n int64
	for _, j := range m.jobs {
		if !j.over() {
			n += j.size
		}
	}
	return n
}

// start adds a job and runs it unless it has ended. It returns false if this entry is about to leave.
func (m *Manager) start(j *Job, parts []wire.JobPart) bool {
	m.mu.Lock()
	if m.jobs[j.spec.ID] != nil || m.closed {
		defer m.mu.Unlock()
		return !m.closed
	}
	m.jobs[j.spec.ID] = j
	j.launched = !j.over()
	m.sweep(time.Now())
	m.mu.Unlock()
	if j.over() {
		return true
	}
	m.Peers.Tell(link.Owner, wire.JobOwner{Job: j.spec.ID, Owner: m.Name, Inc: m.Self.Inc, Epoch: j.epoch})
	j.resume(parts)
	j.launch(m.life)
	return true
}

// sweep drops jobs whose results need not be readable any more; the caller holds mu.
func (m *Manager) sweep(now time.Time) {
	for id, j := range m.jobs {
		if now.Sub(j.submitted) > m.Keep && j.over() {
			delete(m.jobs, id)
		}
	}
	const most = 4096 // owners of jobs that are remembered
	if len(m.owners) > most {
		clear(m.owners)
	}
}

// leaving reports whether this entry is about to leave.
func (m *Manager) leaving() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.closed
}

// free wakes everyone who waits for a free slot.
func (m *Manager) free() {
	m.mu.Lock()
	defer m.mu.Unlock()
	close(m.freed)
	m.freed = make(chan struct{})
}

func (m *Manager) freedChan() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.freed
}
