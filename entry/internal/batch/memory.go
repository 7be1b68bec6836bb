package batch

import (
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"bulrushspoke/entry/internal/ingress"
	"bulrushspoke/internal/budget"
	"bulrushspoke/internal/job"
	"bulrushspoke/platform"
	"bulrushspoke/wire"
)

// jobMemory is the memory that is reserved for a decoded job. A nil jobMemory holds nothing.
type jobMemory struct {
	once  sync.Once
	lease budget.Lease
}

// release returns the memory. It may be repeated.
func (r *jobMemory) release() {
	if r != nil {
		r.once.Do(r.lease.Release)
	}
}

// settle returns what the decoded job does not hold.
func (r *jobMemory) settle(spec job.Job) { r.lease.Shrink(r.lease.Held() - heldBytes(spec)) }

const (
	// itemBytes is the memory of an item beside its strings: as decoded, with its state and its place in two maps.
	itemBytes = 1200
	// headerBytes is the memory of a header of an item beside its text, in a map that is up to twice as large as needed.
	headerBytes = 100
)

// heldBytes returns the memory of the items of a job in bytes.
func heldBytes(spec job.Job) int64 {
	var n int
	for _, it := range spec.Items {
		n += itemBytes + len(it.ID) + len(it.Path) + len(it.Group) + cap(it.Body)
		for name, value := range it.Header {
			n += headerBytes + len(name) + len(value)
		}
		if r := it.Reward; r != nil {
			n += len(r.ID) + len(r.Host) + len(r.Path) + cap(r.Body)
		}
	}
	return int64(n)
}

// take moves the reservation to another owner, so that release of r returns nothing.
func (r *jobMemory) take() *jobMemory {
	t := &jobMemory{lease: r.lease}
	r.lease = budget.Lease{}
	return t
}

// reserve reserves memory for the decoded form of a job, before it is decoded. Its error is a *job.LimitError or a
// *budget.Error.
func (m *Manager) reserve(body []byte) (*jobMemory, error) {
	size, err := platform.MeasureJob(body)
	if err != nil {
		return nil, err
	}
	r := m.newMemory()
	return r, m.grow(r, size)
}

func (m *Manager) newMemory() *jobMemory { return &jobMemory{lease: m.Memory.Lease()} }

// grow enlarges a reservation. Ended jobs give way, since their results can be read from the store.
func (m *Manager) grow(r *jobMemory, size int64) error {
	err := r.lease.Grow(size, 0)
	var full *budget.Error
	if err == nil || errors.As(err, &full) && full.Never() {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, j := range m.endedJobs() {
		m.owners[j.spec.ID] = wire.JobState{Owner: m.Name, Inc: m.Self.Inc, Epoch: j.epoch, Ended: true}
		m.remove(j)
		if err = r.lease.Grow(size, 0); err == nil {
			break
		}
	}
	return err
}

// endedJobs returns the jobs that have ended, the oldest first; the caller holds mu.
func (m *Manager) endedJobs() []*Job {
	var l []*Job
	for _, j := range m.jobs {
		if j.hasEnded() {
			l = append(l, j)
		}
	}
	slices.SortFunc(l, func(a, b *Job) int { return a.submitted.Compare(b.submitted) })
	return l
}

// remove removes a job from memory, unless another one has taken its place; the caller holds mu.
func (m *Manager) remove(j *Job) {
	if m.jobs[j.spec.ID] == j {
		delete(m.jobs, j.spec.ID)
	}
	j.memory.release()
}

// refuseMemory returns the reply to a submission for which no memory could be reserved. Nothing of the job has been stored.
func (m *Manager) refuseMemory(id string, err error) ingress.Reply {
	var limit *job.LimitError
	var full *budget.Error
	if errors.As(err, &limit) || errors.As(err, &full) && full.Never() {
		reply := m.refuse(id, http.StatusRequestEntityTooLarge, 0, err.Error())
		reply.Body = []byte(err.Error())
		return reply
	}
	return m.refuse(id, http.StatusTooManyRequests, m.memoryRetryAfter(time.Now()), err.Error())
}

// memoryRetryAfter returns when to repeat a submission that found no memory: when the oldest open job is likely to have
// ended, if the open jobs take as long as they have taken so far. Clients wait at most maxRetryAfter.
func (m *Manager) memoryRetryAfter(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	var oldest time.Duration
	for _, j := range m.jobs {
		if !j.hasEnded() {
			oldest = max(oldest, now.Sub(j.submitted))
		}
	}
	return min(max(oldest/2, busyRetryAfter), maxRetryAfter)
}

// with passes the memory that was reserved for the items to the job.
func (j *Job) with(r *jobMemory) *Job {
	if r != nil {
		j.memory = r.take()
	}
	return j
}
