package batch

import (
	"errors"
	"fmt"
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

// shrinkToHeld returns what the decoded job does not hold.
func (r *jobMemory) shrinkToHeld(spec job.Job) { r.lease.Shrink(r.lease.Held() - heldBytes(spec)) }

const (
	// partBytes is the memory of a part of a prompt: as decoded, with its hash and tokens in a ticket.
	partBytes = 40
	// itemBytes is the memory of an item beside its strings: as decoded, with its state, its place in two maps and the parts of
	// its prompt.
	itemBytes = 1200 + platform.MaxPromptParts*partBytes
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

// transfer moves the reservation to another owner, so that release of r returns nothing.
func (r *jobMemory) transfer() *jobMemory {
	t := &jobMemory{lease: r.lease}
	r.lease = budget.Lease{}
	return t
}

// reserve reserves memory for the decoded form of a job, before it is decoded. The body is held as well while it is decoded. Its
// error is a *job.LimitError or a *budget.Error.
func (m *Manager) reserve(body []byte) (*jobMemory, error) {
	size, err := platform.MeasureJob(body)
	if err != nil {
		return nil, err
	}
	if m.Memory != nil && size+int64(len(body)) > m.Memory.Total() {
		return nil, job.NewLimitError(fmt.Sprintf("the job takes %d bytes of memory, more than this entry has for one", size+int64(len(body))))
	}
	r := m.newMemory()
	return r, m.grow(r, size)
}

func (m *Manager) newMemory() *jobMemory { return &jobMemory{lease: m.Memory.Lease()} }

const (
	// Jobs of more than smallJobBytes leave one part in spareShare of the memory for jobs to smaller ones.
	smallJobBytes = 1 << 20
	spareShare    = 5
)

// grow enlarges a reservation. Ended jobs are evicted, the oldest first, if this makes enough room and the store can be read,
// from which their results are then read.
func (m *Manager) grow(r *jobMemory, size int64) error {
	var spare int64
	if m.Memory != nil && size > smallJobBytes {
		spare = m.Memory.Limit() / spareShare
	}
	err := r.lease.Grow(size, spare)
	var full *budget.Error
	if err == nil || errors.As(err, &full) && full.Never() || m.Outage(time.Now()) > 0 {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	ended := m.endedJobs()
	var leases []*budget.Lease
	for _, j := range ended {
		if j.memory != nil {
			leases = append(leases, &j.memory.lease)
		}
	}
	if !r.lease.Fits(size, spare, leases...) {
		return err
	}
	for _, j := range ended {
		if j.memory == nil {
			continue // evicting it frees nothing
		}
		m.owners[j.spec.ID] = wire.JobState{Owner: m.Name, Inc: m.Self.Inc, Epoch: j.epoch, Ended: true}
		m.remove(j)
		if err = r.lease.Grow(size, spare); err == nil {
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

// attachMemory passes the memory that was reserved for the items to the job.
func (j *Job) attachMemory(r *jobMemory) *Job {
	if r != nil {
		j.memory = r.transfer()
	}
	return j
}
