package sim

import (
	"math"
	"time"
)

// Stream is one request that runs on an engine.
type Stream struct {
	// Made is the number of tokens that stand, tokens of an earlier run included.
	Made float64
	// Length is the number of tokens at which the stream ends.
	Length int
	// OnDone is told when the last token is made.
	OnDone func(now time.Time)

	engine *Engine
	timer  *Timer
	since  time.Time
	start  time.Time
}

// Engine runs up to a number of streams at once. The speed of a stream falls as more run beside it.
type Engine struct {
	loop    *Loop
	slots   int
	rate    float64 // tokens a second of a stream that runs alone
	half    float64 // number of streams at which each runs at half speed
	slow    float64 // factor by which unseen neighbours slow the engine down
	streams map[*Stream]bool
	order   []*Stream
	made    float64
	report  int
}

// NewEngine returns an engine with the given slots and tokens a second of a lone stream. With half streams at once
// each runs at half of that speed.
func NewEngine(l *Loop, slots int, rate, half float64) *Engine {
	return &Engine{loop: l, slots: slots, rate: rate, half: half, slow: 1, streams: make(map[*Stream]bool)}
}

// Slots returns the number of streams that run at once.
func (e *Engine) Slots() int { return e.slots }

// Running returns the number of streams that run now.
func (e *Engine) Running() int { return len(e.order) }

// Made returns the tokens made so far.
func (e *Engine) Made() float64 {
	e.settle()
	return e.made
}

// Capacity returns the tokens a second of a full engine that is not slowed.
func (e *Engine) Capacity() float64 { return float64(e.slots) * e.speedAt(e.slots) }

// Report returns the lagging load report, the number of streams at the last call of Sample.
func (e *Engine) Report() int { return e.report }

// Sample refreshes the load report.
func (e *Engine) Sample() { e.report = len(e.order) }

// Speed returns the tokens a second of each stream now.
func (e *Engine) Speed() float64 { return e.speedAt(len(e.order)) / e.slow }

func (e *Engine) speedAt(n int) float64 { return e.rate / (1 + float64(max(n, 1)-1)/e.half) }

// Slow sets the factor by which the engine is slowed; 1 is full speed.
func (e *Engine) Slow(factor float64) {
	e.settle()
	e.slow = factor
	e.plan()
}

// Start runs a stream.
func (e *Engine) Start(s *Stream) {
	e.settle()
	s.engine = e
	s.since = e.loop.now
	s.start = e.loop.now
	e.streams[s] = true
	e.order = append(e.order, s)
	e.plan()
}

// Stop ends a stream early; its tokens stand.
func (e *Engine) Stop(s *Stream) {
	if !e.streams[s] {
		return
	}
	e.settle()
	e.remove(s)
	e.plan()
}

// Crash ends all streams and returns them; their tokens stand.
func (e *Engine) Crash() []*Stream {
	e.settle()
	gone := append([]*Stream(nil), e.order...)
	for _, s := range gone {
		e.remove(s)
	}
	return gone
}

// Tokens returns the whole tokens of a stream now.
func (s *Stream) Tokens() int {
	if s.engine != nil && s.engine.streams[s] {
		s.engine.settle()
	}
	return int(s.Made + 1e-6)
}

func (e *Engine) remove(s *Stream) {
	s.timer.Stop()
	s.timer = nil
	delete(e.streams, s)
	for i, o := range e.order {
		if o == s {
			e.order = append(e.order[:i], e.order[i+1:]...)
			return
		}
	}
}

// settle adds the tokens made since the last change.
func (e *Engine) settle() {
	now := e.loop.now
	speed := e.Speed()
	for _, s := range e.order {
		d := now.Sub(s.since).Seconds()
		if d <= 0 {
			continue
		}
		more := math.Min(d*speed, float64(s.Length)-s.Made)
		s.Made += more
		e.made += more
		s.since = now
	}
}

// plan sets the time at which each stream ends.
func (e *Engine) plan() {
	speed := e.Speed()
	for _, s := range e.order {
		s.timer.Stop()
		left := math.Max(float64(s.Length)-s.Made, 0)
		s.timer = e.loop.After(time.Duration(left/speed*float64(time.Second))+time.Nanosecond, func(now time.Time) {
			e.finish(s, now)
		})
	}
}

func (e *Engine) finish(s *Stream, now time.Time) {
	e.settle()
	s.Made = float64(s.Length)
	e.remove(s)
	e.plan()
	if s.OnDone != nil {
		s.OnDone(now)
	}
}
