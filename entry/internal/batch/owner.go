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

// readState reads the state object of a job and its revision. A job that is being removed is absent.
func (m *Manager) readState(ctx context.Context, id string) (wire.JobState, int64, error) {
	var s wire.JobState
	r, err := m.Store.Get(ctx, KindState, id)
	if err != nil {
		return s, 0, err
	}
	if err := json.Unmarshal(r.Spec, &s); err != nil {
		return s, 0, fmt.Errorf("batch: state of job %s: %w", id, err)
	}
	if s.Removed {
		return s, 0, store.NewNotFoundError(KindState, id)
	}
	return s, r.Revision, nil
}

// replaceState replaces the state of a job. It returns true if the state must be read again, since another writer was
// faster or the write got no answer.
func (m *Manager) replaceState(ctx context.Context, id string, s wire.JobState, revision int64) (again bool, err error) {
	value, err := json.Marshal(s)
	if err != nil {
		return false, err
	}
	_, err = m.Store.Update(ctx, KindState, id, value, revision)
	var conflict *store.ConflictError
	var down *store.UnavailableError
	return errors.As(err, &conflict) || errors.As(err, &down) && down.Ambiguous(), err
}

// lockTakeover waits until no other goroutine of this entry takes the job over, and blocks others until release is
// called. It returns false if ctx ends first.
func (m *Manager) lockTakeover(ctx context.Context, id string) (release func(), ok bool) {
	for {
		m.mu.Lock()
		busy := m.takeovers[id]
		if busy == nil {
			done := make(chan struct{})
			m.takeovers[id] = done
			m.mu.Unlock()
			return func() {
				m.mu.Lock()
				defer m.mu.Unlock()
				delete(m.takeovers, id)
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

// takeOver makes this entry the owner of a job whose owner is unreachable, and loads it. The status of the reply is 0
// on success, and also if the job turns out to have another owner that can be asked. The owners up to the epoch lost do
// not run the job, even if they can be asked.
func (m *Manager) takeOver(ctx context.Context, id string, parts []wire.JobPart, lost int) ingress.Reply {
	return m.takeOverLoaded(ctx, id, parts, lost, &loadedSpec{})
}

// loadedSpec is a job as submitted, with the memory that is reserved for it. The zero value has not been loaded.
type loadedSpec struct {
	spec   job.Job
	memory *jobMemory
}

// load reads the job from the store unless it is there.
func (l *loadedSpec) load(ctx context.Context, m *Manager, id string) error {
	if l.memory != nil {
		return nil
	}
	spec, memory, err := m.readSpec(ctx, id)
	if err != nil {
		memory.release()
		return err
	}
	l.spec, l.memory = spec, memory
	return nil
}

// takeOverLoaded is takeOver for a job that may have been loaded, whose memory it releases unless the job runs here.
func (m *Manager) takeOverLoaded(ctx context.Context, id string, parts []wire.JobPart, lost int, loaded *loadedSpec) ingress.Reply {
	defer func() { loaded.memory.release() }()
	release, ok := m.lockTakeover(ctx, id)
	if !ok {
		return unavailable("the job is changing owners")
	}
	defer release()
	if m.local(id) != nil {
		return ingress.Reply{}
	}
	for range maxUpdateAttempts {
		readAt := time.Now()
		s, revision, err := m.readState(ctx, id)
		var absent *store.NotFoundError
		if errors.As(err, &absent) {
			m.evictState(id)
			return notFound(causeNoJob)
		}
		if err != nil {
			return unavailable(err.Error())
		}
		m.cacheState(id, s)
		if s.Owner != m.Name && s.Epoch > lost && m.Peers.Incarnation(s.Owner) == s.Inc {
			return ingress.Reply{} // the owner can be asked again
		}
		if !s.Ended && m.leaving() {
			return unavailable("this entry is shutting down")
		}
		// Memory is reserved before the state is written. An entry that has too little leaves the owner as it is, so that a
		// larger entry can take the job.
		if !s.Ended {
			if err := loaded.load(ctx, m, id); err != nil {
				return unavailable(err.Error())
			}
		}
		// An earlier write that got no answer may have made this process the owner already.
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
			event.JobOwnershipAcquired.Log(m.Logger, "job", id, "epoch", s.Epoch)
		}
		return m.load(ctx, id, s, parts, readAt, loaded)
	}
	return unavailable("the job is changing owners")
}

// load resumes a job, whose state was read at the given time, with its log from the store unless it has ended. Of an ended job
// only the results are read, since its items are seldom requested.
func (m *Manager) load(
	ctx context.Context, id string, s wire.JobState, parts []wire.JobPart, readAt time.Time, loaded *loadedSpec,
) ingress.Reply {
	spec := job.Job{ID: id}
	var memory *jobMemory
	if !s.Ended {
		spec, memory = loaded.spec, loaded.memory
	}
	records, err := m.readLog(ctx, id)
	if err != nil {
		return unavailable(err.Error())
	}
	event.LogLoaded.Log(m.Logger, "job", id, "epoch", s.Epoch, "ended", s.Ended, "records", len(records),
		"results", countResults(records))
	if s.Ended {
		// The log was whole if the job is not marked as removed by now.
		_, _, err := m.readState(ctx, id)
		var absent *store.NotFoundError
		if errors.As(err, &absent) {
			m.evictState(id)
			return notFound(causeNoJob)
		}
		if err != nil {
			return unavailable(err.Error())
		}
	}
	m.evictState(id)
	if !s.Ended && len(parts) == 0 {
		parts = m.loadCheckpoint(ctx, id)
	}
	if !m.start(newJob(m, spec, s, records, readAt).attachMemory(memory), parts) && !s.Ended {
		return unavailable("this entry is shutting down")
	}
	return ingress.Reply{}
}

// loadOwn loads a job that this process owns according to the store and does not run yet, since the entry that accepted
// it has not passed it on.
func (m *Manager) loadOwn(ctx context.Context, id string) *Job {
	s, _, err := m.readState(ctx, id)
	if err != nil || s.Owner != m.Name || s.Inc != m.Self.Inc {
		return nil
	}
	if reply := m.takeOver(ctx, id, nil, s.Epoch); reply.Status != 0 {
		return nil
	}
	return m.local(id)
}

// ownerChanged handles the message that another entry owns a job.
func (m *Manager) ownerChanged(q wire.JobOwner) {
	m.mu.Lock()
	j := m.jobs[q.Job]
	if j != nil && j.epoch < q.Epoch && !j.hasEnded() {
		m.remove(j)
	} else {
		j = nil
	}
	if m.jobs[q.Job] == nil && m.owners[q.Job].Epoch < q.Epoch {
		m.owners[q.Job] = wire.JobState{Owner: q.Owner, Inc: q.Inc, Epoch: q.Epoch, Ended: q.Ended}
	}
	m.mu.Unlock()
	if j != nil {
		event.JobOwnershipLost.Log(m.Logger, "job", q.Job, "owner", q.Owner, "epoch", q.Epoch)
		j.stop()
	}
}

// wrote reports whether a record was written by this process as the owner that it is now.
func (j *Job) wrote(r wire.JobRecord) bool {
	return r.Writer == j.manager.Self.Inc && r.Epoch == j.epoch
}

// lostTo reports whether a record shows that the job has a later owner. A record of an earlier owner that was written late
// does not. Records without an epoch, of earlier versions, count as those of a later owner unless this process wrote them.
func (j *Job) lostTo(r wire.JobRecord) bool {
	if r.Epoch == 0 {
		return r.Writer != j.manager.Self.Inc
	}
	return r.Epoch > j.epoch
}

// dropLost stops and removes a job that has another owner according to its log.
func (m *Manager) dropLost(j *Job) {
	m.mu.Lock()
	m.remove(j)
	m.mu.Unlock()
	event.JobOwnershipLost.Log(m.Logger, "job", j.spec.ID, "epoch", j.epoch)
	j.stop()
}

// PeerConnected tells a newly connected entry which jobs this one has taken over. Otherwise a former owner that was
// disconnected would go on to act as the owner.
func (m *Manager) PeerConnected(name string) {
	m.mu.Lock()
	var takenOver []wire.JobOwner
	for id, j := range m.jobs {
		if j.epoch > 1 && j.launched {
			takenOver = append(takenOver, wire.JobOwner{Job: id, Owner: m.Name, Inc: m.Self.Inc, Epoch: j.epoch})
		}
	}
	m.mu.Unlock()
	for _, o := range takenOver {
		ctx, cancel := context.WithTimeout(m.baseCtx, askTimeout)
		var done wire.JobReply
		err := m.Peers.Request(ctx, name, link.Owner, o, &done)
		cancel()
		if err != nil {
			return // repeated when the entry connects again
		}
	}
}

// ensureCurrent reports whether the results known here may be shown to a client that holds the positions before after.
// If the client is ahead, another owner may have listed more: this process may have been paused, or may have received
// the job late. The log is read to find out.
func (m *Manager) ensureCurrent(ctx context.Context, j *Job, after int, now time.Time) bool {
	if !j.behind(after, now) {
		return true
	}
	if !m.refresh(ctx, j) {
		return false
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.checkedAt = now
	return true
}

// refreshLate reads records that another writer may have added to the log since this entry last read it: a write that got
// no answer may take effect seconds after a job has stopped or has changed owners.
func (m *Manager) refreshLate(ctx context.Context, j *Job, now time.Time) {
	if j.refreshDue(now) {
		m.refresh(ctx, j) // after a failure the next client tries again
	}
}

// refresh adds the records of the log that this entry has not seen, and drops the job if they show that it has a later
// owner. It returns false if the log cannot be read.
func (m *Manager) refresh(ctx context.Context, j *Job) bool {
	records, err := m.readLog(ctx, j.spec.ID)
	if err != nil {
		var down *store.UnavailableError
		if !errors.As(err, &down) { // an unavailable store is logged by its client
			event.ObjectInvalid.Log(m.Logger, "kind", "log of a job", "name", j.spec.ID, "cause", err.Error())
		}
		return false
	}
	if slices.ContainsFunc(j.applyNewRecords(records), j.lostTo) && !j.hasEnded() {
		m.dropLost(j)
	}
	return true
}

// Handover passes every open job to another entry, with the texts generated so far.
func (m *Manager) Handover(ctx context.Context) {
	m.mu.Lock()
	m.closed = true
	var open []*Job
	for _, j := range m.jobs {
		if !j.hasEnded() {
			open = append(open, j)
		}
	}
	m.mu.Unlock()
	peers := m.Peers.Connected()
	if len(peers) == 0 {
		return
	}
	var wg sync.WaitGroup
	now := time.Now()
	inRegion := make(map[string]bool)
	for _, h := range m.Peers.InRegion(m.Self.Region) {
		inRegion[h.Name] = true
	}
	for i, j := range open {
		order := slices.Concat(peers[i%len(peers):], peers[:i%len(peers)])
		slices.SortStableFunc(order, func(a, b string) int { // those of the region first
			switch {
			case inRegion[a] == inRegion[b]:
				return 0
			case inRegion[a]:
				return -1
			default:
				return 1
			}
		})
		if first := m.preferredOwner(j.spec.Model, len(j.spec.Items), now).name; first != "" {
			order = slices.Insert(order, 0, first)
		}
		wg.Go(func() { m.handOver(ctx, j, order) })
	}
	wg.Wait()
}

// handOver passes a job to the first of the given entries that adopts it.
func (m *Manager) handOver(ctx context.Context, j *Job, peers []string) {
	j.stop()
	parts := j.unlistedParts()
	for _, name := range peers {
		askCtx, cancel := context.WithTimeout(ctx, adoptTimeout)
		var done wire.JobReply
		err := m.Peers.Request(askCtx, name, link.Adopt, wire.JobAdopt{Job: j.spec.ID, Epoch: j.epoch, Parts: parts}, &done)
		cancel()
		if err == nil && done.Done {
			m.mu.Lock()
			m.remove(j)
			m.mu.Unlock()
			event.JobOwnershipLost.Log(m.Logger, "job", j.spec.ID, "epoch", j.epoch, "owner", name, "cause", "handed over")
			return
		}
	}
}
