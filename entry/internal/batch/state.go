package batch

import (
	"context"
	"time"

	"bulrushspoke/internal/event"
	"bulrushspoke/internal/sleep"
	"bulrushspoke/wire"
)

const (
	// stateCheckInterval is the time between two reads of the state of an open job by its owner. Items of an ended job may
	// reach servers for three seconds, which leaves time for a second read if the first one fails.
	stateCheckInterval = time.Second
	// doneCheckInterval is the same for a job whose items are all done, of which only the memory can be released.
	doneCheckInterval = 10 * time.Second
	// stateCheckTimeout bounds such a read, so that a store that does not answer does not keep items from starting.
	stateCheckTimeout = 1200 * time.Millisecond
)

// stateWatcher compares a job with its state in the store while this entry runs it.
//
// Entries tell each other once of an end and of a new owner. The message does not reach an owner that is cut off from
// the sender, is paused, or still loads the job, and nobody is left to repeat it if the sender stops. The store has
// what was acknowledged.
type stateWatcher struct {
	job *Job
}

// run reads the state at intervals until ctx ends.
func (w stateWatcher) run(ctx context.Context) {
	for {
		now := time.Now()
		sleep.For(ctx, w.job.nextStateCheck(now).Sub(now))
		if ctx.Err() != nil {
			return
		}
		w.check(ctx, time.Now())
	}
}

// check reads the state once. Without an answer the job goes on: its texts are needed if it is still open, and a store
// that does not answer cannot have acknowledged an end for long.
func (w stateWatcher) check(ctx context.Context, now time.Time) {
	j, m := w.job, w.job.manager
	ctx, cancel := context.WithTimeout(ctx, stateCheckTimeout)
	defer cancel()
	s, _, err := m.readState(ctx, j.spec.ID)
	if err != nil {
		j.noteStateRead(time.Now()) // logged by the store client
		return
	}
	j.noteStateRead(now)
	switch {
	case s.Ended:
		if !j.hasEnded() {
			event.JobEndFound.Log(m.Logger, "job", j.spec.ID, "epoch", s.Epoch)
		}
		j.markEnded(time.Now())
	case s.Epoch > j.epoch:
		m.ownerChanged(wire.JobOwner{Job: j.spec.ID, Owner: s.Owner, Inc: s.Inc, Epoch: s.Epoch})
	}
}

// noteStateRead notes that the state was as the job assumes at the given time.
func (j *Job) noteStateRead(at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.stateReadAt = at
}

// nextStateCheck returns when the state is to be read next.
func (j *Job) nextStateCheck(now time.Time) time.Time {
	if j.openStatus() < 0 {
		return now.Add(doneCheckInterval)
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.stateReadAt.Add(stateCheckInterval)
}
