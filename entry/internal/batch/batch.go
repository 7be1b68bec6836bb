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
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"bulrushspoke/entry/internal/ingress"
	"bulrushspoke/entry/internal/place"
	"bulrushspoke/internal/catalog"
	"bulrushspoke/internal/event"
	"bulrushspoke/internal/job"
	"bulrushspoke/internal/link"
	"bulrushspoke/internal/store"
	"bulrushspoke/internal/supervise"
	"bulrushspoke/internal/upstream"
	"bulrushspoke/platform"
	"bulrushspoke/wire"
)

// Kinds of objects in the store.
const (
	kindState   = "jobs"
	kindPayload = "payloads"
	kindTexts   = "texts"
	kindRecords = "results-" // followed by the id of the job, so that one list reads a job's log
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
	Near(domain string) []string
	Incarnation(name string) string
}

// Handlers takes the functions that answer messages of other entries.
type Handlers interface {
	Handle(kind string, f func(context.Context, link.Frame) (string, any, error))
}

// Options are the parts that a Manager works with.
type Options struct {
	Self    wire.Member
	Name    string
	Store   Store
	Peers   Peers
	Catalog *catalog.Catalog
	Pool    *upstream.Pool
	Tracker *place.Tracker
	Keep    time.Duration // how long a job stays in memory after its submission
	Value   int           // largest value of the store in bytes
	Memory  int64         // bytes that the payloads of open jobs may take
	Logger  *slog.Logger
	Outage  func(now time.Time) time.Duration // how long the store has not answered; 0 if it does
}

// Manager keeps the jobs that this entry knows.
type Manager struct {
	Options
	life context.Context

	mu     sync.Mutex
	jobs   map[string]*Job
	owners map[string]wire.JobState // jobs that other entries own
	taking map[string]chan struct{} // jobs that a task of this entry takes over; closed when it is done
	texts  *texts
	freed  chan struct{} // closed when a slot of a server becomes free
	closed bool
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
		freed:   make(chan struct{}),
	}
}

// Submit accepts a job and begins to run it.
func (m *Manager) Submit(
	ctx context.Context, r *catalog.Route, id string, body []byte, now time.Time,
) ingress.Reply {
	accepted := ingress.Reply{Status: http.StatusAccepted}
	if m.local(id) != nil {
		return accepted
	}
	spec, err := platform.DecodeJob(id, body)
	if err != nil {
		return refuse(http.StatusBadRequest, 0, err.Error(), []byte(err.Error()))
	}
	if m.open()+int64(len(body)) > m.Memory {
		return m.refused(id, http.StatusTooManyRequests, retryBusy, "no memory for the job")
	}
	owner, inc := m.owner(spec.Model, len(body))
	if owner == "" {
		return m.refused(id, http.StatusServiceUnavailable, retryBusy, "this entry is about to leave")
	}
	if err := m.putPayload(ctx, id, body); err != nil {
		// Nothing runs without a state object, so the job has not run.
		return m.refused(id, http.StatusServiceUnavailable, retryAfter(m.Outage(now)), err.Error())
	}
	state := wire.JobState{
		Owner: owner, Inc: inc, Epoch: 1, Host: r.Host, Path: r.Prefix, Total: len(spec.Items), At: now.UnixMilli(),
	}
	held, err := m.createState(ctx, id, state)
	if err != nil {
		return m.refuseAmbiguous(id, err, now)
	}
	switch {
	case held.Ended || held.Epoch > 1:
	case held.Owner == m.Name && held.Inc == m.Self.Inc:
		m.start(newJob(m, spec, held, nil), nil)
	case held.Owner == owner && held.Inc == inc:
		go supervise.Guard(m.Logger, "delegate", func() { m.delegate(id, held, body) })
	}
	event.JobAccepted.Log(m.Logger, "job", id, "step", spec.Step, "model", spec.Model, "min", spec.MinVersion,
		"items", len(spec.Items), "owner", held.Owner, "epoch", held.Epoch, "ms", time.Since(now).Milliseconds())
	return accepted
}

// maxDelegated is the largest payload that is given to another entry, in bytes; a link carries frames of 4 MB.
const maxDelegated = 2 << 20

// owner chooses the entry that is to run the jobs of a model: one in this failure domain, the same for each job of its
// trainer. It knows the pace of the model's engines and the texts of groups that come again. An entry that is about to
// leave names any other one, and nobody if there is none.
func (m *Manager) owner(model string, size int) (name, inc string) {
	var best uint64
	near := m.Peers.Near(m.Self.Domain)
	if m.leaving() {
		if len(near) == 0 {
			near = m.Peers.Linked()
		}
	} else {
		name, inc, best = m.Name, m.Self.Inc, rank(model, m.Name)
		if size > maxDelegated {
			return name, inc
		}
	}
	for _, n := range near {
		if r := rank(model, n); r >= best {
			if i := m.Peers.Incarnation(n); i != "" {
				name, inc, best = n, i, r
			}
		}
	}
	return name, inc
}

// rank orders the entries for a model.
func rank(model, name string) uint64 { return xxhash.Sum64String(model + "\x00" + name) }

// delegate gives an accepted job to its owner, and takes it over if the owner does not take it.
func (m *Manager) delegate(id string, s wire.JobState, body []byte) {
	ctx, cancel := context.WithTimeout(m.life, askTime)
	defer cancel()
	var done wire.JobReply
	err := m.Peers.Ask(ctx, s.Owner, link.Start, wire.JobStart{Job: id, State: s, Payload: body}, &done)
	if err == nil && done.Done {
		m.mu.Lock()
		m.owners[id] = s
		m.mu.Unlock()
		return
	}
	// Any read of the job by a client finds it without an owner, too, if the store does not answer now.
	m.take(m.life, id, nil, true)
}

// begin runs a job that another entry has accepted for this one.
func (m *Manager) begin(q wire.JobStart) bool {
	spec, err := platform.DecodeJob(q.Job, q.Payload)
	if err != nil || q.State.Owner != m.Name || q.State.Inc != m.Self.Inc {
		return false
	}
	return m.start(newJob(m, spec, q.State, nil), nil)
}

// refuseAmbiguous answers a submission whose state object may have been written: nothing may be promised then.
func (m *Manager) refuseAmbiguous(id string, err error, now time.Time) ingress.Reply {
	var down *store.DownError
	if errors.As(err, &down) && !down.Ambiguous() {
		return m.refused(id, http.StatusServiceUnavailable, retryAfter(m.Outage(now)), err.Error())
	}
	return m.refused(id, http.StatusGatewayTimeout, 0, err.Error())
}

// retryAfter returns when a job that the store could not take may come again, given how long the store has been away.
//
// It answers trainers whose few tries would all fall into one outage: early in an outage they are told to wait for its
// usual end, late in one to come soon.
func retryAfter(outage time.Duration) time.Duration {
	return min(max(usualOutage-outage, retryLeast), retryMost)
}

func (m *Manager) refused(id string, status int, retry time.Duration, cause string) ingress.Reply {
	event.JobRefused.Log(m.Logger, "job", id, "status", status, "cause", cause)
	return refuse(status, retry, cause, nil)
}

func refuse(status int, retry time.Duration, cause string, body []byte) ingress.Reply {
	return ingress.Reply{Status: status, Retry: retry, Cause: cause, Body: body}
}

// createState writes the state object of a job and returns the one that stands in the store.
func (m *Manager) createState(ctx context.Context, id string, s wire.JobState) (wire.JobState, error) {
	value, err := json.Marshal(s)
	if err != nil {
		return s, err
	}
	_, err = m.Store.Create(ctx, kindState, id, value)
	if err == nil {
		return s, nil
	}
	var conflict *store.ConflictError
	var down *store.DownError
	switch {
	case errors.As(err, &conflict):
		if json.Unmarshal(conflict.Winner().Value, &s) == nil && s.Owner != "" {
			return s, nil
		}
	case errors.As(err, &down) && down.Ambiguous():
		// The answer may have been lost after the write.
	default:
		return s, err
	}
	held, _, readErr := m.state(ctx, id)
	if readErr != nil {
		return s, err
	}
	event.StoreReadBack.Log(m.Logger, "kind", kindState, "name", id)
	return held, nil
}

// state reads the state object of a job and its revision.
func (m *Manager) state(ctx context.Context, id string) (wire.JobState, int64, error) {
	var s wire.JobState
	r, err := m.Store.Get(ctx, kindState, id)
	if err != nil {
		return s, 0, err
	}
	if err := json.Unmarshal(r.Spec, &s); err != nil {
		return s, 0, fmt.Errorf("batch: state of job %s: %w", id, err)
	}
	return s, r.Revision, nil
}

// Results returns the results of a job from a position on, waiting for the first for a time.
func (m *Manager) Results(ctx context.Context, id string, after int, wait time.Duration) ingress.Reply {
	for range storeTries {
		if j := m.local(id); j != nil {
			p := j.page(ctx, after, wait)
			if len(p.Results) == 0 && p.Next < p.Total {
				m.refresh(ctx, j, time.Now())
				p = j.page(ctx, after, 0)
			}
			return page(p)
		}
		s, reply := m.find(ctx, id)
		if reply.Status != 0 {
			return reply
		}
		denied := false
		if s.Owner != m.Name {
			p, err := m.askPage(ctx, s, wire.JobRead{Job: id, After: after, Wait: wait.Milliseconds()}, wait)
			if err == nil && p.Known {
				return page(fromPage(p))
			}
			if ctx.Err() != nil {
				return refuse(http.StatusServiceUnavailable, retryBusy, "client left", nil)
			}
			denied = err == nil && !s.Ended && s.Inc == m.Peers.Incarnation(s.Owner)
			m.forget(id)
		}
		if reply := m.take(ctx, id, nil, denied); reply.Status != 0 {
			return reply
		}
	}
	return refuse(http.StatusServiceUnavailable, retryBusy, "the job is changing hands", nil)
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
		return s, refuse(http.StatusNotFound, 0, "no such job", nil)
	case err != nil:
		return s, refuse(http.StatusServiceUnavailable, retryBusy, err.Error(), nil)
	}
	m.mu.Lock()
	m.owners[id] = s
	m.mu.Unlock()
	return s, ingress.Reply{}
}

func (m *Manager) forget(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.owners, id)
}

// claim waits until no other task of this entry takes the job over, and holds the others back until release.
func (m *Manager) claim(ctx context.Context, id string) (release func(), ok bool) {
	for {
		m.mu.Lock()
		busy := m.taking[id]
		if busy == nil {
			done := make(chan struct{})
			m.taking[id] = done
			m.mu.Unlock()
			return func() {
				m.mu.Lock()
				defer m.mu.Unlock()
				delete(m.taking, id)
				close(done)
			}, true
		}
		m.mu.Unlock()
		select {
		case <-busy:
		case <-ctx.Done():
			return nil, false
		}
	}
}

// take makes this entry the owner of a job whose owner is out of reach. The reply has status 0 on success, and also if
// the job turned out to have another owner that is to be asked; force takes it from an owner that does not run it.
func (m *Manager) take(ctx context.Context, id string, parts []wire.JobPart, force bool) ingress.Reply {
	release, ok := m.claim(ctx, id)
	if !ok {
		return refuse(http.StatusServiceUnavailable, retryBusy, "the job is changing hands", nil)
	}
	defer release()
	if m.local(id) != nil {
		return ingress.Reply{}
	}
	for range storeTries {
		s, revision, err := m.state(ctx, id)
		if err != nil {
			return refuse(http.StatusServiceUnavailable, retryBusy, err.Error(), nil)
		}
		m.mu.Lock()
		m.owners[id] = s
		m.mu.Unlock()
		if s.Owner != m.Name && !force && m.Peers.Incarnation(s.Owner) == s.Inc {
			return ingress.Reply{} // the owner can be asked again
		}
		if !s.Ended && m.leaving() {
			return refuse(http.StatusServiceUnavailable, retryBusy, "this entry is about to leave", nil)
		}
		// A write without an answer may have made this process the owner already.
		if mine := s.Owner == m.Name && s.Inc == m.Self.Inc; !s.Ended && !mine {
			s.Owner, s.Inc = m.Name, m.Self.Inc
			s.Epoch++
			value, err := json.Marshal(s)
			if err != nil {
				return refuse(http.StatusInternalServerError, 0, err.Error(), nil)
			}
			_, err = m.Store.Update(ctx, kindState, id, value, revision)
			var conflict *store.ConflictError
			var down *store.DownError
			if errors.As(err, &conflict) || errors.As(err, &down) && down.Ambiguous() {
				continue
			}
			if err != nil {
				return refuse(http.StatusServiceUnavailable, retryBusy, err.Error(), nil)
			}
			event.JobTaken.Log(m.Logger, "job", id, "epoch", s.Epoch)
		}
		return m.load(ctx, id, s, parts)
	}
	return refuse(http.StatusServiceUnavailable, retryBusy, "the job is changing hands", nil)
}

// load reads a job from the store and, if it has not ended, goes on running it.
func (m *Manager) load(ctx context.Context, id string, s wire.JobState, parts []wire.JobPart) ingress.Reply {
	body, err := m.payload(ctx, id)
	if err != nil {
		return refuse(http.StatusServiceUnavailable, retryBusy, err.Error(), nil)
	}
	spec, err := platform.DecodeJob(id, body)
	if err != nil {
		return refuse(http.StatusServiceUnavailable, retryBusy, err.Error(), nil)
	}
	records, err := m.records(ctx, id)
	if err != nil {
		return refuse(http.StatusServiceUnavailable, retryBusy, err.Error(), nil)
	}
	m.forget(id)
	if !s.Ended && len(parts) == 0 {
		parts = m.kept(ctx, id)
	}
	if !m.start(newJob(m, spec, s, records), parts) && !s.Ended {
		return refuse(http.StatusServiceUnavailable, retryBusy, "this entry is about to leave", nil)
	}
	return ingress.Reply{}
}

// records reads the log of a job.
func (m *Manager) records(ctx context.Context, id string) ([]wire.JobRecord, error) {
	list, _, err := m.Store.List(ctx, kindRecords+id)
	var absent *store.AbsentError
	if err != nil && !errors.As(err, &absent) {
		return nil, err
	}
	records := make([]wire.JobRecord, 0, len(list))
	for i, r := range list {
		if r.Name != recordName(i) {
			return nil, fmt.Errorf("batch: record %d of job %s is missing", i, id)
		}
		var rec wire.JobRecord
		if err := json.Unmarshal(r.Spec, &rec); err != nil {
			return nil, fmt.Errorf("batch: record %d of job %s: %w", i, id, err)
		}
		records = append(records, rec)
	}
	return records, nil
}

func recordName(n int) string { return fmt.Sprintf("%06d", n) }

// Body returns the body of an item.
func (m *Manager) Body(ctx context.Context, id, item string) ingress.Reply {
	if j := m.local(id); j != nil {
		return itemBody(j.spec, item)
	}
	if _, reply := m.find(ctx, id); reply.Status != 0 {
		return reply
	}
	if reply, ok := m.askBody(ctx, id, item); ok {
		return reply
	}
	body, err := m.payload(ctx, id)
	if err != nil {
		return refuse(http.StatusServiceUnavailable, retryBusy, err.Error(), nil)
	}
	spec, err := platform.DecodeJob(id, body)
	if err != nil {
		return refuse(http.StatusServiceUnavailable, retryBusy, err.Error(), nil)
	}
	return itemBody(spec, item)
}

// askBody asks the owner of a job for the body of an item; false if the owner does not answer for the job.
func (m *Manager) askBody(ctx context.Context, id, item string) (ingress.Reply, bool) {
	m.mu.Lock()
	s, ok := m.owners[id]
	m.mu.Unlock()
	if !ok || s.Owner == m.Name {
		return ingress.Reply{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	var b wire.JobBody
	if err := m.Peers.Ask(ctx, s.Owner, link.Item, wire.JobItem{Job: id, Item: item}, &b); err != nil || !b.Known {
		return ingress.Reply{}, false
	}
	if !b.Found {
		return refuse(http.StatusNotFound, 0, "no such item", nil), true
	}
	return ingress.Reply{Status: http.StatusOK, Body: b.Body}, true
}

func itemBody(spec job.Job, item string) ingress.Reply {
	for _, it := range spec.Items {
		if it.ID == item {
			return ingress.Reply{Status: http.StatusOK, Body: it.Body}
		}
	}
	return refuse(http.StatusNotFound, 0, "no such item", nil)
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
	for range storeTries {
		s, revision, err := m.state(ctx, id)
		var absent *store.AbsentError
		if errors.As(err, &absent) {
			return refuse(http.StatusNotFound, 0, "no such job", nil)
		}
		if err != nil {
			return refuse(http.StatusServiceUnavailable, retryBusy, err.Error(), nil)
		}
		if !s.Ended {
			s.Ended = true
			value, err := json.Marshal(s)
			if err != nil {
				return refuse(http.StatusInternalServerError, 0, err.Error(), nil)
			}
			_, err = m.Store.Update(ctx, kindState, id, value, revision)
			var conflict *store.ConflictError
			var down *store.DownError
			if errors.As(err, &conflict) || errors.As(err, &down) && down.Ambiguous() {
				continue
			}
			if err != nil {
				return refuse(http.StatusServiceUnavailable, retryBusy, err.Error(), nil)
			}
		}
		if j != nil {
			j.finish()
		}
		m.Peers.Tell(link.End, wire.JobEnd{Job: id})
		event.JobEnded.Log(m.Logger, "job", id, "owner", s.Owner, "epoch", s.Epoch)
		return ingress.Reply{Status: http.StatusOK}
	}
	return refuse(http.StatusServiceUnavailable, retryBusy, "the job is changing hands", nil)
}

// Register answers the questions of other entries.
func (m *Manager) Register(h Handlers) {
	h.Handle(link.Read, func(ctx context.Context, f link.Frame) (string, any, error) {
		var q wire.JobRead
		if err := f.Decode(&q); err != nil {
			return "", nil, err
		}
		j := m.local(q.Job)
		if j == nil {
			j = m.own(ctx, q.Job)
		}
		if j == nil {
			return link.Page, wire.JobPage{Results: []wire.JobResult{}}, nil
		}
		return link.Page, toPage(j.page(ctx, q.After, time.Duration(q.Wait)*time.Millisecond)), nil
	})
	h.Handle(link.End, func(_ context.Context, f link.Frame) (string, any, error) {
		var q wire.JobEnd
		if err := f.Decode(&q); err != nil {
			return "", nil, err
		}
		if j := m.local(q.Job); j != nil {
			j.finish()
		}
		m.mu.Lock()
		if s, ok := m.owners[q.Job]; ok {
			s.Ended = true
			m.owners[q.Job] = s
		}
		m.mu.Unlock()
		return link.Replied, wire.JobReply{Done: true}, nil
	})
	h.Handle(link.Owner, func(_ context.Context, f link.Frame) (string, any, error) {
		var q wire.JobOwner
		if err := f.Decode(&q); err != nil {
			return "", nil, err
		}
		m.foreign(q)
		return link.Replied, wire.JobReply{Done: true}, nil
	})
	h.Handle(link.Start, func(_ context.Context, f link.Frame) (string, any, error) {
		var q wire.JobStart
		if err := f.Decode(&q); err != nil {
			return "", nil, err
		}
		return link.Replied, wire.JobReply{Done: m.begin(q)}, nil
	})
	h.Handle(link.Item, func(_ context.Context, f link.Frame) (string, any, error) {
		var q wire.JobItem
		if err := f.Decode(&q); err != nil {
			return "", nil, err
		}
		b := wire.JobBody{Body: []byte{}}
		if j := m.local(q.Job); j != nil {
			reply := itemBody(j.spec, q.Item)
			b.Known, b.Found = true, reply.Status == http.StatusOK
			b.Body = append(b.Body, reply.Body...)
		}
		return link.Body, b, nil
	})
	h.Handle(link.Adopt, func(ctx context.Context, f link.Frame) (string, any, error) {
		var q wire.JobAdopt
		if err := f.Decode(&q); err != nil {
			return "", nil, err
		}
		reply := m.take(ctx, q.Job, q.Parts, true)
		return link.Replied, wire.JobReply{Done: reply.Status == 0}, nil
	})
}

// own loads a job that the store says is this process's, although it does not run here: the entry that accepted it has not
// handed it on.
func (m *Manager) own(ctx context.Context, id string) *Job {
	s, _, err := m.state(ctx, id)
	if err != nil || s.Owner != m.Name || s.Inc != m.Self.Inc {
		return nil
	}
	if reply := m.take(ctx, id, nil, true); reply.Status != 0 {
		return nil
	}
	return m.local(id)
}

// foreign takes the news that another entry owns a job.
func (m *Manager) foreign(q wire.JobOwner) {
	m.mu.Lock()
	j := m.jobs[q.Job]
	if j != nil && j.epoch < q.Epoch && !j.over() {
		delete(m.jobs, q.Job)
	} else {
		j = nil
	}
	if m.jobs[q.Job] == nil && m.owners[q.Job].Epoch < q.Epoch {
		m.owners[q.Job] = wire.JobState{Owner: q.Owner, Inc: q.Inc, Epoch: q.Epoch, Ended: q.Ended}
	}
	m.mu.Unlock()
	if j != nil {
		event.JobLost.Log(m.Logger, "job", q.Job, "owner", q.Owner, "epoch", q.Epoch)
		j.stop()
	}
}

// lost drops a job that turned out to have another owner.
func (m *Manager) lost(j *Job) {
	m.mu.Lock()
	if m.jobs[j.spec.ID] == j {
		delete(m.jobs, j.spec.ID)
	}
	m.mu.Unlock()
	event.JobLost.Log(m.Logger, "job", j.spec.ID, "epoch", j.epoch)
	j.stop()
}

// Joined tells an entry whose link has opened which jobs this one has taken over: a former owner that was cut off goes on
// to believe in its ownership otherwise.
func (m *Manager) Joined(name string) {
	m.mu.Lock()
	var taken []wire.JobOwner
	for id, j := range m.jobs {
		if j.epoch > 1 && j.launched {
			taken = append(taken, wire.JobOwner{Job: id, Owner: m.Name, Inc: m.Self.Inc, Epoch: j.epoch})
		}
	}
	m.mu.Unlock()
	for _, o := range taken {
		ctx, cancel := context.WithTimeout(m.life, askTime)
		var done wire.JobReply
		err := m.Peers.Ask(ctx, name, link.Owner, o, &done)
		cancel()
		if err != nil {
			return // it is told when the next link opens
		}
	}
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

// refresh reads records that reached the store after this entry last looked. A stopped job writes none itself, but a
// write without an answer may be carried out seconds later.
func (m *Manager) refresh(ctx context.Context, j *Job, now time.Time) {
	if !j.stale(now) {
		return
	}
	records, err := m.records(ctx, j.spec.ID)
	if err != nil {
		return // the client has logged it; the next reader tries again
	}
	j.catchUp(records)
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

// Handover gives every open job to another entry, with the texts that exist so far.
func (m *Manager) Handover(ctx context.Context) {
	m.mu.Lock()
	m.closed = true
	var open []*Job
	for _, j := range m.jobs {
		if !j.over() {
			open = append(open, j)
		}
	}
	m.mu.Unlock()
	peers := m.Peers.Linked()
	if len(peers) == 0 {
		return
	}
	var wg sync.WaitGroup
	for i, j := range open {
		wg.Go(func() { m.handOver(ctx, j, peers, i) })
	}
	wg.Wait()
}

func (m *Manager) handOver(ctx context.Context, j *Job, peers []string, first int) {
	j.stop()
	parts := j.parts()
	for i := range peers {
		name := peers[(first+i)%len(peers)]
		short, cancel := context.WithTimeout(ctx, adoptTime)
		var done wire.JobReply
		err := m.Peers.Ask(short, name, link.Adopt, wire.JobAdopt{Job: j.spec.ID, Epoch: j.epoch, Parts: parts}, &done)
		cancel()
		if err == nil && done.Done {
			m.mu.Lock()
			delete(m.jobs, j.spec.ID)
			m.mu.Unlock()
			event.JobLost.Log(m.Logger, "job", j.spec.ID, "epoch", j.epoch, "owner", name, "cause", "handed over")
			return
		}
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
