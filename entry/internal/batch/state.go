package batch

import (
	"context"
	"errors"
	"time"

	"bulrushspoke/internal/event"
	"bulrushspoke/internal/store"
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
	// maxStateAge is the time since the last read after which no attempt starts until the state has been read again. It is
	// exceeded only if the process has been paused or the job took long to load.
	maxStateAge = 2500 * time.Millisecond
)

// stateWatcher compares a job with its state in the store while this entry runs it.
//
// Entries tell each other once of an end and of a new owner. The message does not reach an owner that is cut off from
// the sender, is paused, or still loads the job, and nobody is left to repeat it if the sender stops. The store has
// what was acknowledged.
type stateWatcher struct {
	job *Job
}

// run reads the state at intervals, and early if an attempt waits for it, until ctx ends.
func (w stateWatcher) run(ctx context.Context) {
	for {
		w.pause(ctx, time.Now())
		if ctx.Err() != nil {
			return
		}
		w.check(ctx, time.Now())
		notify(w.job.wake)
	}
}

// pause waits until the next read is due or an attempt waits for it.
func (w stateWatcher) pause(ctx context.Context, now time.Time) {
	t := time.NewTimer(w.job.nextStateCheck(now).Sub(now))
	defer t.Stop()
	select {
	case <-t.C:
	case <-w.job.stateWake:
	case <-ctx.Done():
	}
}

// check reads the state once. Without an answer the job goes on: its texts are needed if it is still open, and a store
// that does not answer cannot have acknowledged an end for long.
func (w stateWatcher) check(ctx context.Context, now time.Time) {
	j, m := w.job, w.job.manager
	ctx, cancel := context.WithTimeout(ctx, stateCheckTimeout)
	defer cancel()
	s, _, err := m.readState(ctx, j.spec.ID)
	var absent *store.NotFoundError
	if errors.As(err, &absent) { // only jobs that have ended are removed
		s.Ended, err = true, nil
	}
	if err != nil {
		j.noteStateRead(time.Now())
		var down *store.UnavailableError
		if !errors.As(err, &down) { // an unavailable store is logged by its client
			event.ObjectInvalid.Log(m.Logger, "kind", KindState, "name", j.spec.ID, "cause", err.Error())
		}
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

// stateCurrent reports whether the state was read recently enough to start an attempt, and has it read otherwise.
func (j *Job) stateCurrent(now time.Time) bool {
	j.mu.Lock()
	current := now.Sub(j.stateReadAt) <= maxStateAge
	j.mu.Unlock()
	if !current {
		notify(j.stateWake)
	}
	return current
}
