package trainer

import (
	"errors"
	"time"

	"bulrushspoke/entry/internal/steplog"
	"bulrushspoke/internal/store"
)

const (
	// outageThreshold is how long appends must fail before samples are delivered without the log.
	outageThreshold = time.Second
	// storeCallTimeout limits a call until the store counts as down, so that an unresponsive store is noticed early.
	// storeRetryPause is the pause between two calls.
	storeCallTimeout = 500 * time.Millisecond
	storeRetryPause  = 100 * time.Millisecond
	// ownershipCheckInterval is how often an owner that receives no pulls checks whether it still owns the step.
	ownershipCheckInterval = 5 * time.Second
)

// outageDetector decides when the store counts as down: two calls in a row have failed, and the first of them began at
// least threshold ago. A call that returns long after its timeout only proves that this process was paused.
type outageDetector struct {
	threshold  time.Duration
	firstStart time.Time
	failures   int
}

// recordFailure records a failed call that has just ended and lasted took. It reports whether the store counts as down.
func (d *outageDetector) recordFailure(took time.Duration, now time.Time) bool {
	if took > 2*storeCallTimeout {
		*d = outageDetector{threshold: d.threshold}
		return false
	}
	if d.failures == 0 {
		d.firstStart = now.Add(-took)
	}
	d.failures++
	return d.failures > 1 && now.Sub(d.firstStart) >= d.threshold
}

// writeLog appends the queued records in order.
func (s *Step) writeLog() {
	detector := outageDetector{threshold: s.trainer.outageThreshold}
	checked := time.Now()
	for s.ctx.Err() == nil {
		s.mu.Lock()
		joined := s.joined
		s.log.SetCallTimeout(s.storeTimeout())
		changed := s.changed
		var head *pendingRecord
		if len(s.appendQueue) > 0 {
			head = s.appendQueue[0]
		}
		s.mu.Unlock()
		var err error
		switch {
		case !joined:
			err = s.joinLog()
		case head != nil:
			err = s.appendRecord(head)
		default:
			s.wait(s.ctx, changed, ownershipCheckInterval)
			err = s.checkOwnership(&checked)
		}
		if err == nil {
			detector = outageDetector{threshold: s.trainer.outageThreshold}
			continue
		}
		if !s.handleWriteError(err, &detector) {
			return
		}
	}
}

// handleWriteError handles a failed call. It returns false if this entry must not write to the step's log any more.
func (s *Step) handleWriteError(err error, detector *outageDetector) bool {
	var down *store.UnavailableError
	var ended *steplog.EndedError
	switch {
	case errors.As(err, &down):
		if detector.recordFailure(s.log.LastCallDuration(), time.Now()) {
			s.deliverWithoutLog()
		}
		s.wait(s.ctx, nil, storeRetryPause)
		return true
	case errors.As(err, &ended):
		s.abandon()
		return false
	default:
		s.trainer.loseOwnership(s, err)
		return false
	}
}

// appendRecord appends one record; on success its samples become visible to pulls.
func (s *Step) appendRecord(p *pendingRecord) error {
	r := p.record
	r.Epoch = s.epoch
	if err := s.log.Append(s.ctx, r); err != nil {
		return err
	}
	s.mu.Lock()
	s.appendQueue = s.appendQueue[1:]
	s.outage = false
	if p.batch != nil {
		p.batch.visible = true
		s.dropCommitted(p.batch)
	}
	s.notify()
	s.mu.Unlock()
	if r.Kind == steplog.KindEnd {
		return s.deleteLog(r.State)
	}
	return nil
}

// dropCommitted lets the daemons drop the samples of a committed batch.
func (s *Step) dropCommitted(b *batch) {
	byDaemon := make(map[string][]string)
	for _, it := range b.items {
		if it.daemon != "" {
			byDaemon[it.daemon] = append(byDaemon[it.daemon], it.sample.ID)
		}
	}
	for d, ids := range byDaemon {
		s.trainer.options.Pool.Drop(d, ids...)
	}
}

// deleteLog deletes the log once its end record is written, and retries until it succeeds.
func (s *Step) deleteLog(state string) error {
	s.mu.Lock()
	s.logDone = true
	s.notify()
	s.mu.Unlock()
	end := newEndRecord(s.trainer.options.NewID(), s.epoch, state)
	for s.ctx.Err() == nil {
		if err := s.log.Close(s.ctx, end); err == nil {
			break
		}
		s.wait(s.ctx, nil, outageThreshold)
	}
	return &steplog.EndedError{}
}

// deliverWithoutLog makes queued samples visible without a log position, because the store is down.
func (s *Step) deliverWithoutLog() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage {
		return
	}
	s.outage = true
	for _, b := range s.batches {
		b.visible = true
	}
	s.notify()
}

// storeTimeout returns the timeout of a call to the log; the mutex must be held. In an outage there is none: a store
// slower than storeCallTimeout would never receive a record.
func (s *Step) storeTimeout() time.Duration {
	if s.outage || !s.joined {
		return 0
	}
	return storeCallTimeout
}

// checkOwnership checks whether another entry has written to the log or ended the step, if no pull has arrived for
// ownershipCheckInterval.
func (s *Step) checkOwnership(last *time.Time) error {
	now := time.Now()
	s.mu.Lock()
	idle := min(now.Sub(s.lastPull), now.Sub(*last)) >= ownershipCheckInterval
	s.mu.Unlock()
	if !idle {
		return nil
	}
	*last = now
	return s.log.Check(s.ctx)
}
