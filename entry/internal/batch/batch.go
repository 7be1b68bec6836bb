// Package batch runs batch jobs: it accepts submissions, runs their items on the engines, lists the results in the
// object store and serves them to readers.
//
// # Usage
//
//	m := batch.New(ctx, batch.Options{Store: objects, Peers: peers, Catalog: catalog, …})
//	m.Register(peers)
//	reply := m.Submit(ctx, workspace, route, id, body, now)
//
// # Jobs and their results
//
// A job is accepted once its payload and its state object have been written to the store. The entry named in the state
// object owns the job and runs its items.
//
// Results are listed, that is appended to the log of their job, in records: record n is an object that is created only
// if absent, by a writer that has read all records below n. A position therefore never changes and an item is listed at
// one position only, even while two entries believe that they own the job. Ownership only avoids duplicate work; the epoch
// of a record tells a later owner from a late write of an earlier one.
//
// A record is learnt from its own write, from a conflict or from a read of the log, in any order. It is applied once, by its
// number.
//
// Any entry serves any job: it asks the owner, and takes the job over if the owner is unreachable.
//
// # Workspaces
//
// Submit, Results, Body and End get the workspace and the id that the client has chosen. Everywhere else, in memory, in the
// store, in messages and in logs, a job is identified by its scoped id, which only scopedID builds.
//
// # Errors
//
// Calls return an ingress.Reply, which carries the HTTP status and the cause of a failure. A reply with a retry time
// may succeed when repeated.
package batch

import (
	"context"
	"errors"
	"log/slog"
	"math"
	"net/http"
	"sync"
	"time"

	"bulrushspoke/entry/internal/forecast"
	"bulrushspoke/entry/internal/ingress"
	"bulrushspoke/entry/internal/place"
	"bulrushspoke/entry/internal/reward"
	"bulrushspoke/internal/budget"
	"bulrushspoke/internal/catalog"
	"bulrushspoke/internal/event"
	"bulrushspoke/internal/job"
	"bulrushspoke/internal/link"
	"bulrushspoke/internal/store"
	"bulrushspoke/internal/supervise"
	"bulrushspoke/internal/upstream"
	"bulrushspoke/internal/workspace"
	"bulrushspoke/wire"
)

// Kinds of objects in the store.
const (
	KindState   = "jobs"
	KindPayload = "payloads"
	KindTexts   = "texts"
	KindRecords = "results-" // followed by the job id, so that one list call reads the log of a job
)

const (
	// askTimeout bounds a request to another entry, in addition to the time that the request itself asks to wait.
	askTimeout = 800 * time.Millisecond
	// typicalOutage is the usual length of a store outage; operators report three to nine seconds.
	typicalOutage = 7 * time.Second
	// minRetryAfter and maxRetryAfter bound the retry time of submissions that are refused during a store outage.
	// Clients try two or three times in all and wait at most a third of their time, which is four seconds of the usual
	// twelve.
	minRetryAfter = 1500 * time.Millisecond
	maxRetryAfter = 4 * time.Second
	// adoptTimeout bounds a handover: the adopting entry makes five calls to a store that may be slow.
	adoptTimeout = 3 * time.Second
	// fetchTimeout bounds loading a job from a store that may be slow.
	fetchTimeout = 10 * time.Second
	// busyRetryAfter is the retry time of calls that may succeed shortly, such as while a job changes owners.
	busyRetryAfter = 300 * time.Millisecond
	// removalRetryAfter is the retry time of a submission while an earlier job with its id is being removed, which takes about a
	// second.
	removalRetryAfter = time.Second
	// maxUpdateAttempts bounds the attempts of a conditional update that conflicts with other writers.
	maxUpdateAttempts = 5
	// anyEpoch has a job taken over whoever owns it.
	anyEpoch = math.MaxInt
)

// Store is the part of the platform's object store that jobs use.
type Store interface {
	Get(ctx context.Context, kind, name string) (store.Record, error)
	Create(ctx context.Context, kind, name string, spec []byte) (int64, error)
	Update(ctx context.Context, kind, name string, spec []byte, revision int64) (int64, error)
	List(ctx context.Context, kind string) ([]store.Record, int64, error)
}

// Peers connects to the other entries.
type Peers interface {
	Request(ctx context.Context, name, kind string, body, answer any) error
	Broadcast(kind string, body any)
	Connected() []string
	InDomain(domain string) []wire.Hello
	InRegion(region string) []wire.Hello
	Incarnation(name string) string
}

// Random draws random numbers. It is safe for concurrent use.
type Random interface {
	IntN(n int) int
}

// Histogram records seconds by model and part of a step.
type Histogram interface {
	Record(model, part string, seconds float64)
}

// Counter counts events by the value of its label.
type Counter interface {
	Add(n int64, values ...string)
}

// Handlers registers the handlers of messages from other entries.
type Handlers interface {
	Handle(kind string, f func(context.Context, link.Frame) (string, any, error))
}

// Options configures a Manager.
type Options struct {
	Self           wire.Member
	Name           string
	Cores          float64 // CPU cores of the instance; 0 if unknown
	Store          Store
	Peers          Peers
	Catalog        *catalog.Catalog
	Pool           *upstream.Pool
	Tracker        *place.Tracker
	Turns          Turns           // nil to start the items of each job as servers have room
	Retention      time.Duration   // how long an ended job stays in memory, from its submission
	MaxObjectBytes int             // largest object of the store in bytes
	Memory         *budget.Account // for decoded jobs; nil for no limit
	LinkRate       float64         // bandwidth of the instance in bytes per second; 0 if unknown
	Logger         *slog.Logger
	Random         Random
	Outage         func(now time.Time) time.Duration // how long the store has been unavailable; 0 if it is available
	Steps          Histogram
	LogFaults      Counter // inconsistencies found in the logs of jobs, by kind
	// ReadConfig reads the newest configuration from the store and applies it to the catalog; nil if the catalog always has the
	// newest one.
	ReadConfig func(ctx context.Context) error
}

// Manager holds the jobs that this entry runs or has loaded.
type Manager struct {
	Options
	baseCtx context.Context

	mu            sync.Mutex
	jobs          map[string]*Job
	owners        map[string]wire.JobState // cached states of jobs that other entries own
	takeovers     map[string]chan struct{} // closed when this entry has finished taking the job over
	running       runningModels
	texts         *textCache
	pageLimit     *pageLimiter
	lengths       *forecast.Forecast
	readIntervals intervals
	rewardTimes   *reward.HedgePolicy
	config        *configReader
	slotFreed     chan struct{} // closed when a server slot becomes free
	closed        bool          // set by Handover: no job is added any more
}

// New returns a Manager whose jobs run until ctx ends.
func New(ctx context.Context, o Options) *Manager {
	m := &Manager{
		Options:       o,
		baseCtx:       ctx,
		jobs:          make(map[string]*Job),
		owners:        make(map[string]wire.JobState),
		takeovers:     make(map[string]chan struct{}),
		running:       make(runningModels),
		texts:         newTextCache(),
		pageLimit:     newPageLimiter(o.LinkRate),
		lengths:       forecast.New(),
		readIntervals: newIntervals(),
		rewardTimes:   reward.NewHedgePolicy(),
		slotFreed:     make(chan struct{}),
	}
	m.config = &configReader{read: o.ReadConfig, parent: ctx, logger: o.Logger, ended: m.wakeJobs}
	return m
}

// unavailable returns the reply to a call that may succeed when repeated shortly.
func unavailable(cause string) ingress.Reply {
	return ingress.Reply{Status: http.StatusServiceUnavailable, RetryAfter: busyRetryAfter, Cause: cause}
}

func notFound(cause string) ingress.Reply {
	return ingress.Reply{Status: http.StatusNotFound, Cause: cause}
}

// Results returns the results of a job from position after on. If there are none yet, it waits for up to wait.
func (m *Manager) Results(
	ctx context.Context, w workspace.Workspace, id string, after int, wait time.Duration,
) ingress.Reply {
	return m.forReading(w, id, func(id string) ingress.Reply { return m.results(ctx, id, after, wait) })
}

// results implements Results for a scoped id.
func (m *Manager) results(ctx context.Context, id string, after int, wait time.Duration) ingress.Reply {
	for range maxUpdateAttempts {
		if j := m.local(id); j != nil {
			if !m.ensureCurrent(ctx, j, after, time.Now()) {
				return unavailable("cannot read the job log")
			}
			if m.local(id) != j {
				continue
			}
			return pageReply(m.readPage(ctx, j, after, wait, maxPageBytes))
		}
		s, reply := m.find(ctx, id)
		if reply.Status != 0 {
			return reply
		}
		lost := 0
		if s.Owner != m.Name {
			q := wire.JobRead{Job: id, After: after, Wait: wait.Milliseconds(), Most: m.pageLimit.maxBytes(time.Now())}
			p, err := m.requestPage(ctx, s, q, wait)
			if err == nil && p.Known && len(p.Body) == 0 {
				return unavailable("the owner cannot read the job log")
			}
			if err == nil && p.Known {
				m.pageLimit.add(len(p.Body), time.Now())
				return ingress.Reply{Status: http.StatusOK, Body: p.Body, JSON: true}
			}
			if ctx.Err() != nil {
				return unavailable("client left")
			}
			if err == nil && !s.Ended && s.Inc == m.Peers.Incarnation(s.Owner) {
				lost = s.Epoch
			}
			m.evictState(id)
		}
		if reply := m.fetch(ctx, s, id, lost); reply.Status != 0 {
			return reply
		}
	}
	return unavailable("the job is changing owners")
}

// readPage returns the results of a local job from position after on, up to most bytes. If there are none yet, it looks for
// records that were written late, and waits for up to wait.
func (m *Manager) readPage(ctx context.Context, j *Job, after int, wait time.Duration, most int) job.Page {
	if j.lacks(after) {
		m.refreshLate(ctx, j, time.Now())
	}
	p := j.page(ctx, after, wait, most)
	if len(p.Results) > 0 {
		return p
	}
	if j.lacks(after) {
		m.refreshLate(ctx, j, time.Now())
	}
	return j.page(ctx, after, 0, most)
}

// fetch makes a job readable for a client: it has an open job without an owner taken over, or loads an ended one. The
// work continues after the client has disconnected, so that the job is loaded when the client retries.
func (m *Manager) fetch(ctx context.Context, s wire.JobState, id string, lost int) ingress.Reply {
	done := make(chan ingress.Reply, 1)
	go supervise.Guard(m.Logger, "fetch", func() {
		loadCtx, cancel := context.WithTimeout(m.baseCtx, fetchTimeout)
		defer cancel()
		if m.requestAdoption(loadCtx, s, id) {
			m.evictState(id)
			done <- ingress.Reply{}
			return
		}
		done <- m.takeOver(loadCtx, id, nil, lost)
	})
	select {
	case reply := <-done:
		return reply
	case <-ctx.Done():
		return unavailable("client left")
	}
}

// requestAdoption asks the preferred owner of an open job to take it over. It returns false if this entry or the
// current owner is preferred, or if the request fails.
func (m *Manager) requestAdoption(ctx context.Context, s wire.JobState, id string) bool {
	owner := m.preferredOwner(s.Model, s.Total, time.Now())
	if s.Ended || owner.name == "" || owner.name == m.Name || owner.name == s.Owner && owner.inc == s.Inc {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, adoptTimeout)
	defer cancel()
	var done wire.JobReply
	q := wire.JobAdopt{Job: id, Epoch: s.Epoch, Parts: []wire.JobPart{}, Gone: true}
	return m.Peers.Request(ctx, owner.name, link.Adopt, q, &done) == nil && done.Done
}

func (m *Manager) requestPage(
	ctx context.Context, s wire.JobState, q wire.JobRead, wait time.Duration,
) (wire.JobPage, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+askTimeout)
	defer cancel()
	var p wire.JobPage
	err := m.Peers.Request(ctx, s.Owner, link.Read, q, &p)
	return p, err
}

// find returns the state of a job that this entry does not run, from the cache or the store.
func (m *Manager) find(ctx context.Context, id string) (wire.JobState, ingress.Reply) {
	m.mu.Lock()
	s, ok := m.owners[id]
	m.mu.Unlock()
	if ok {
		return s, ingress.Reply{}
	}
	s, _, err := m.readState(ctx, id)
	var absent *store.NotFoundError
	switch {
	case errors.As(err, &absent):
		return s, notFound(causeNoJob)
	case err != nil:
		return s, unavailable(err.Error())
	}
	m.cacheState(id, s)
	return s, ingress.Reply{}
}

func (m *Manager) cacheState(id string, s wire.JobState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.owners[id] = s
}

func (m *Manager) evictState(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.owners, id)
}

// Body returns the request body of an item.
func (m *Manager) Body(ctx context.Context, w workspace.Workspace, id, item string) ingress.Reply {
	return m.forReading(w, id, func(id string) ingress.Reply { return m.body(ctx, id, item) })
}

// body implements Body for a scoped id.
func (m *Manager) body(ctx context.Context, id, item string) ingress.Reply {
	if j := m.local(id); j != nil && len(j.spec.Items) > 0 {
		return itemBody(j.spec, item)
	}
	s, reply := m.find(ctx, id)
	if reply.Status != 0 {
		return reply
	}
	if reply, ok := m.requestBody(ctx, s, id, item); ok {
		return reply
	}
	spec, memory, err := m.readSpec(ctx, id)
	defer memory.release()
	if err != nil {
		return unavailable(err.Error())
	}
	return itemBody(spec, item)
}

// requestBody asks the owner of a job for the body of an item. It returns false if the owner does not answer or does
// not have the items.
func (m *Manager) requestBody(ctx context.Context, s wire.JobState, id, item string) (ingress.Reply, bool) {
	if s.Owner == m.Name {
		return ingress.Reply{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var b wire.JobBody
	if err := m.Peers.Request(ctx, s.Owner, link.Item, wire.JobItem{Job: id, Item: item}, &b); err != nil || !b.Known {
		return ingress.Reply{}, false
	}
	if !b.Found {
		return notFound("item not found"), true
	}
	return ingress.Reply{Status: http.StatusOK, Body: b.Body}, true
}

func itemBody(spec job.Job, item string) ingress.Reply {
	for _, it := range spec.Items {
		if it.ID == item {
			return ingress.Reply{Status: http.StatusOK, Body: it.Body}
		}
	}
	return notFound("item not found")
}

// knownEnded reports whether the cached state of a job says that it has ended, which is final.
func (m *Manager) knownEnded(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.owners[id].Ended
}

// End ends a job permanently. It may be repeated.
func (m *Manager) End(ctx context.Context, w workspace.Workspace, id string) ingress.Reply {
	return forJob(w, id, func(id string) ingress.Reply { return m.end(ctx, id) })
}

// end implements End for a scoped id.
func (m *Manager) end(ctx context.Context, id string) ingress.Reply {
	j := m.local(id)
	if j != nil {
		if j.hasEnded() {
			return ingress.Reply{Status: http.StatusOK}
		}
		j.stop()
	}
	if j == nil && m.knownEnded(id) {
		return ingress.Reply{Status: http.StatusOK}
	}
	for range maxUpdateAttempts {
		s, revision, err := m.readState(ctx, id)
		var absent *store.NotFoundError
		if errors.As(err, &absent) {
			return notFound(causeNoJob)
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
		// This entry may have started to run the job in the meantime.
		if j := m.local(id); j != nil {
			j.markEnded(time.Now())
		} else {
			m.cacheState(id, s)
		}
		m.Peers.Broadcast(link.End, wire.JobEnd{Job: id})
		event.JobEnded.Log(m.Logger, "job", id, "owner", s.Owner, "epoch", s.Epoch)
		return ingress.Reply{Status: http.StatusOK}
	}
	return unavailable("the job is changing owners")
}

func (m *Manager) local(id string) *Job {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.jobs[id]
}

// start adds a job, in place of one of an earlier epoch, and runs it unless it has ended. It returns false if this entry
// is shutting down.
func (m *Manager) start(j *Job, parts []wire.JobPart) bool {
	m.mu.Lock()
	former := m.jobs[j.spec.ID]
	if m.closed || former != nil && (former.epoch >= j.epoch || former.hasEnded()) {
		defer m.mu.Unlock()
		j.memory.release()
		return !m.closed
	}
	if former != nil {
		former.memory.release()
	}
	m.jobs[j.spec.ID] = j
	j.launched = !j.hasEnded()
	m.sweep(time.Now())
	m.mu.Unlock()
	if former != nil {
		event.JobOwnershipLost.Log(m.Logger, "job", j.spec.ID, "epoch", former.epoch, "owner", m.Name)
		former.stop()
	}
	if j.hasEnded() {
		return true
	}
	o := wire.JobOwner{
		Job: j.spec.ID, Owner: m.Name, Inc: m.Self.Inc, Epoch: j.epoch, Model: j.spec.Model, Items: len(j.spec.Items),
	}
	m.recordRunning(o, time.Now())
	m.Peers.Broadcast(link.Owner, o)
	j.resume(parts, time.Now())
	j.launch(m.baseCtx)
	return true
}

// sweep removes ended jobs after their retention period; the caller holds mu.
func (m *Manager) sweep(now time.Time) {
	for _, j := range m.jobs {
		if now.Sub(j.submitted) > m.Retention && j.hasEnded() {
			m.remove(j)
		}
	}
	const maxOwners = 4096 // cached states of jobs of other entries
	if len(m.owners) > maxOwners {
		clear(m.owners)
	}
}

// leaving reports whether this entry is shutting down and hands its jobs over.
func (m *Manager) leaving() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.closed
}

// wakeJobs wakes all jobs that wait for a server slot or for a newer configuration.
func (m *Manager) wakeJobs() {
	m.mu.Lock()
	defer m.mu.Unlock()
	close(m.slotFreed)
	m.slotFreed = make(chan struct{})
}

func (m *Manager) slotFreedChan() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.slotFreed
}
