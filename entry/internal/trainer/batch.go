package trainer

import (
	"time"

	"bulrushspoke/entry/internal/steplog"
	"bulrushspoke/wire"
)

const (
	// maxBatchSamples gives about 32 records for a step of 4,096 samples.
	maxBatchSamples = 128
	// minLinger is how long a finished sample waits for others while a pull waits. It doubles with every 32 records up
	// to maxLinger, which bounds the writes of a long step whose trainer pulls continuously.
	minLinger                = 50 * time.Millisecond
	maxLinger                = 800 * time.Millisecond
	recordsPerLingerDoubling = 32
	// idleLinger is how long a finished sample waits for others while no pull waits.
	idleLinger = 2 * time.Second
)

// linger returns how long the oldest finished sample may wait for others before a batch is made.
func linger(pullWaits bool, records int) time.Duration {
	if !pullWaits {
		return idleLinger
	}
	return min(minLinger<<min(records/recordsPerLingerDoubling, 4), maxLinger)
}

// makeBatches collects finished samples into commit records until the step ends.
func (s *Step) makeBatches() {
	for s.ctx.Err() == nil {
		s.mu.Lock()
		d := s.untilNextBatch(time.Now())
		if d <= 0 {
			s.makeBatch()
		}
		changed := s.changed
		s.mu.Unlock()
		if d > 0 {
			s.wait(s.ctx, changed, d)
		}
	}
}

// untilNextBatch returns how long to wait before the next batch is made; the mutex must be held. While the store
// answers, only one record at a time is in flight, so that records grow when the store is slow.
func (s *Step) untilNextBatch(now time.Time) time.Duration {
	if len(s.unbatched) == 0 || s.state != stateOpen || (len(s.appendQueue) > 0 && !s.outage && s.joined) {
		return time.Minute
	}
	if len(s.unbatched) >= maxBatchSamples || s.runningAttempts == 0 {
		return 0
	}
	size := 0
	for _, it := range s.unbatched {
		size += it.bytes + 1
	}
	if size >= steplog.MaxRecordBytes/2 {
		return 0
	}
	return s.unbatchedSince.Add(linger(s.waitingPulls > 0, len(s.batches))).Sub(now)
}

// makeBatch queues one commit record of finished samples; the mutex must be held.
func (s *Step) makeBatch() {
	b := &batch{visible: s.outage || !s.joined}
	r := wire.Record{Kind: steplog.KindCommit}
	size := 0
	for len(s.unbatched) > 0 && len(b.items) < maxBatchSamples {
		it := s.unbatched[0]
		if size += it.bytes + 1; size > steplog.MaxRecordBytes && len(b.items) > 0 {
			break
		}
		s.unbatched = s.unbatched[1:]
		b.items = append(b.items, it)
		r.Give = append(r.Give, *it.sample)
	}
	s.unbatchedSince = time.Now()
	s.batches = append(s.batches, b)
	s.enqueue(r, b)
}
