package trainer

import (
	"errors"
	"time"

	"bulrushspoke/entry/internal/steplog"
	"bulrushspoke/internal/store"
)

const (
	// outageAfter is how long appends must fail before samples are given without the log.
	outageAfter = time.Second
	// callTimeout bounds a call to the store until the store counts as down, so that its silence is noticed early;
	// retryPause is the pause between two calls.
	callTimeout = 500 * time.Millisecond
	retryPause  = 100 * time.Millisecond
	// checkIdle is how often an owner that is not pulled looks whether it still owns the step.
	checkIdle = 5 * time.Second
)

// outageClock decides when the store counts as down: two calls in a row failed, and the first of them began at least
// the time after ago. A call that returns long after its time limit proves only that this process was paused.
type outageClock struct {
	after    time.Duration
	first    time.Time
	failures int
}

// fail records a failed call that ended now after the given time, and reports whether the store is down.
func (c *outageClock) fail(took time.Duration, now time.Time) bool {
	if took > 2*callTimeout {
		*c = outageClock{after: c.after}
		return false
	}
	if c.failures == 0 {
		c.first = now.Add(-took)
	}
	c.failures++
	return c.failures > 1 && now.Sub(c.first) >= c.after
}

// write appends the queued records in order.
func (s *Step) write() {
	clock := outageClock{after: s.t.outageThreshold}
	checked := time.Now()
	for s.ctx.Err() == nil {
		s.mu.Lock()
		joined := s.joined
		s.log.SetCallTimeout(s.limit())
		changed := s.changed
		var head *entry
		if len(s.queue) > 0 {
			head = s.queue[0]
		}
		s.mu.Unlock()
		var err error
		switch {
		case !joined:
			err = s.join()
		case head != nil:
			err = s.append(head)
		default:
			s.wait(s.ctx, changed, checkIdle)
			err = s.check(&checked)
		}
		if err == nil {
			clock = outageClock{after: s.t.outageThreshold}
			continue
		}
		if !s.failed(err, &clock) {
			return
		}
	}
}

// failed handles a failed call; false if the step is not this entry's to write any more.
func (s *Step) failed(err error, clock *outageClock) bool {
	var down *store.DownError
	var over *steplog.EndedError
	switch {
	case errors.As(err, &down):
		if clock.fail(s.log.LastCallDuration(), time.Now()) {
			s.unlogged()
		}
		s.wait(s.ctx, nil, retryPause)
		return true
	case errors.As(err, &over):
		s.abandon()
		return false
	default:
		s.t.stepDown(s, err)
		return false
	}
}

// append writes one record; on success its samples are shown.
func (s *Step) append(e *entry) error {
	r := e.record
	r.Epoch = s.epoch
	if err := s.log.Append(s.ctx, r); err != nil {
		return err
	}
	s.mu.Lock()
	s.queue = s.queue[1:]
	s.outage = false
	if e.batch != nil {
		e.batch.shown = true
		s.forget(e.batch)
	}
	s.notify()
	s.mu.Unlock()
	if r.Kind == steplog.KindEnd {
		return s.clean(r.State)
	}
	return nil
}

// forget lets daemons drop the samples of a committed batch.
func (s *Step) forget(b *batch) {
	byDaemon := make(map[string][]string)
	for _, it := range b.items {
		if it.daemon != "" {
			byDaemon[it.daemon] = append(byDaemon[it.daemon], it.sample.ID)
		}
	}
	for d, ids := range byDaemon {
		s.t.options.Pool.Drop(d, ids...)
	}
}

// clean deletes the log behind the end marker, and keeps trying while the store is down.
func (s *Step) clean(state string) error {
	s.mu.Lock()
	s.closed = true
	s.notify()
	s.mu.Unlock()
	end := endRecord(s.t.options.IDs(), s.epoch, state)
	for s.ctx.Err() == nil {
		if err := s.log.Close(s.ctx, end); err == nil {
			break
		}
		s.wait(s.ctx, nil, outageAfter)
	}
	return &steplog.EndedError{}
}

// unlogged shows queued samples without their log position, because the store is down.
func (s *Step) unlogged() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage {
		return
	}
	s.outage = true
	for _, b := range s.batches {
		b.shown = true
	}
	s.notify()
}

// limit returns the time limit of a call to the log; the mutex must be held. In an outage calls may take long: a slow
// store would never get a record otherwise.
func (s *Step) limit() time.Duration {
	if s.outage || !s.joined {
		return 0
	}
	return callTimeout
}

// check reads whether another entry has written to the log or ended the step, if nobody has pulled for a while.
func (s *Step) check(last *time.Time) error {
	now := time.Now()
	s.mu.Lock()
	idle := min(now.Sub(s.pulled), now.Sub(*last)) >= checkIdle
	s.mu.Unlock()
	if !idle {
		return nil
	}
	*last = now
	return s.log.Check(s.ctx)
}
