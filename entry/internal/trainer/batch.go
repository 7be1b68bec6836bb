package trainer

import (
	"time"

	"bulrushspoke/entry/internal/steplog"
	"bulrushspoke/wire"
)

const (
	// batchSamples makes about 32 records of a step of 4,096 samples.
	batchSamples = 128
	// lingerWaiting is how long a finished sample waits for others while a pull waits. It doubles with every 32 records
	// up to lingerMost, which bounds the writes of a long step whose trainer pulls all the time.
	lingerWaiting = 50 * time.Millisecond
	lingerMost    = 800 * time.Millisecond
	lingerRecords = 32
	// lingerIdle is the pause while no pull waits.
	lingerIdle = 2 * time.Second
)

// linger returns how long the oldest finished sample may wait for others before it is committed.
func linger(waiting bool, records int) time.Duration {
	if !waiting {
		return lingerIdle
	}
	return min(lingerWaiting<<min(records/lingerRecords, 4), lingerMost)
}

// collate puts finished samples into records.
func (s *Step) collate() {
	for s.ctx.Err() == nil {
		s.mu.Lock()
		d := s.due(time.Now())
		if d <= 0 {
			s.bundle()
		}
		changed := s.changed
		s.mu.Unlock()
		if d > 0 {
			s.wait(s.ctx, changed, d)
		}
	}
}

// due returns how long to wait before the next record is made; the mutex must be held. While the store answers, one
// record at a time is under way, so that records grow when it is slow.
func (s *Step) due(now time.Time) time.Duration {
	if len(s.ready) == 0 || s.state != open || (len(s.queue) > 0 && !s.outage && s.joined) {
		return time.Minute
	}
	if len(s.ready) >= batchSamples || s.running == 0 {
		return 0
	}
	size := 0
	for _, it := range s.ready {
		size += it.size + 1
	}
	if size >= steplog.MaxRecordBytes/2 {
		return 0
	}
	return s.since.Add(linger(s.waiting > 0, len(s.batches))).Sub(now)
}

// bundle makes one record of finished samples; the mutex must be held.
func (s *Step) bundle() {
	b := &batch{shown: s.outage || !s.joined}
	r := wire.Record{Kind: steplog.KindCommit}
	size := 0
	for len(s.ready) > 0 && len(b.items) < batchSamples {
		it := s.ready[0]
		if size += it.size + 1; size > steplog.MaxRecordBytes && len(b.items) > 0 {
			break
		}
		s.ready = s.ready[1:]
		b.items = append(b.items, it)
		r.Give = append(r.Give, *it.sample)
	}
	s.since = time.Now()
	s.batches = append(s.batches, b)
	s.push(r, b)
}
