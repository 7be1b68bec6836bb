package batch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"bulrushspoke/entry/internal/ingress"
	"bulrushspoke/internal/event"
	"bulrushspoke/internal/job"
	"bulrushspoke/internal/link"
	"bulrushspoke/internal/store"
	"bulrushspoke/wire"
)

// state reads the state object of a job and its revision.
func (m *Manager) state(ctx context.Context, id string) (wire.JobState, int64, error) {
	var s wire.JobState
	r, err := m.Store.Get(ctx, KindState, id)
	if err != nil {
		return s, 0, err
	}
	if err := json.Unmarshal(r.Spec, &s); err != nil {
		return s, 0, fmt.Errorf("batch: state of job %s: %w", id, err)
	}
	return s, r.Revision, nil
}

// replaceState replaces the state of a job. It returns true if the state must be read again, since another writer was
// faster or the answer was lost.
func (m *Manager) replaceState(ctx context.Context, id string, s wire.JobState, revision int64) (again bool, err error) {
	value, err := json.Marshal(s)
	if err != nil {
		return false, err
	}
	_, err = m.Store.Update(ctx, KindState, id, value, revision)
	var conflict *store.ConflictError
	var down *store.DownError
	return errors.As(err, &conflict) || errors.As(err, &down) && down.Ambiguous(), err
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
		return unavailable("the job is changing hands")
	}
	defer release()
	if m.local(id) != nil {
		return ingress.Reply{}
	}
	for range storeTries {
		s, revision, err := m.state(ctx, id)
		if err != nil {
			return unavailable(err.Error())
		}
		m.remember(id, s)
		if s.Owner != m.Name && !force && m.Peers.Incarnation(s.Owner) == s.Inc {
			return ingress.Reply{} // the owner can be asked again
		}
		if !s.Ended && m.leaving() {
			return unavailable("this entry is about to leave")
		}
		// A write without an answer may have made this process the owner already.
		if mine := s.Owner == m.Name && s.Inc == m.Self.Inc; !s.Ended && !mine {
			s.Owner, s.Inc = m.Name, m.Self.Inc
			s.Epoch++
			again, err := m.replaceState(ctx, id, s, revision)
			if again {
				continue
			}
			if err != nil {
				return unavailable(err.Error())
			}
			event.JobTaken.Log(m.Logger, "job", id, "epoch", s.Epoch)
		}
		return m.load(ctx, id, s, parts)
	}
	return unavailable("the job is changing hands")
}

// load reads a job from the store and, if it has not ended, goes on running it. Of an ended job only the results are read:
// its items are seldom asked for.
func (m *Manager) load(ctx context.Context, id string, s wire.JobState, parts []wire.JobPart) ingress.Reply {
	spec := job.Job{ID: id}
	if !s.Ended {
		var err error
		if spec, err = m.submitted(ctx, id); err != nil {
			return unavailable(err.Error())
		}
	}
	records, err := m.records(ctx, id)
	if err != nil {
		return unavailable(err.Error())
	}
	m.forget(id)
	if !s.Ended && len(parts) == 0 {
		parts = m.kept(ctx, id)
	}
	if !m.start(newJob(m, spec, s, records), parts) && !s.Ended {
		return unavailable("this entry is about to leave")
	}
	return ingress.Reply{}
}

// records reads the log of a job.
func (m *Manager) records(ctx context.Context, id string) ([]wire.JobRecord, error) {
	list, _, err := m.Store.List(ctx, KindRecords+id)
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

// sure reports whether what this entry knows of a job may be shown to a reader that holds the positions before after. If
// the reader is ahead, another owner may have listed them: this process may have been paused, or have been given the job
// late. The log tells.
func (m *Manager) sure(ctx context.Context, j *Job, after int, now time.Time) bool {
	if !j.behind(after, now) {
		return true
	}
	records, err := m.records(ctx, j.spec.ID)
	if err != nil {
		return false // the client has logged it
	}
	j.mu.Lock()
	known := j.records
	j.checked = now
	j.mu.Unlock()
	j.catchUp(records)
	for _, r := range records[min(known, len(records)):] {
		if r.Writer != m.Self.Inc && !j.over() {
			m.lost(j)
			break
		}
	}
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
	candidates := m.candidates()
	for i, j := range open {
		order := slices.Concat(peers[i%len(peers):], peers[:i%len(peers)])
		if first := choose(j.spec.Model, candidates).name; first != "" {
			order = slices.Insert(order, 0, first)
		}
		wg.Go(func() { m.handOver(ctx, j, order) })
	}
	wg.Wait()
}

// handOver gives a job to the first of the entries that takes it.
func (m *Manager) handOver(ctx context.Context, j *Job, peers []string) {
	j.stop()
	parts := j.parts()
	for _, name := range peers {
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
