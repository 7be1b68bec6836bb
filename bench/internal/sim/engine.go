package sim

import (
	"math"
	"time"
)

// Stream is one request on an engine.
type Stream struct {
	// Generated is the number of generated tokens, including those of an earlier run.
	Generated float64
	// Length is the number of tokens after which the stream ends.
	Length int
	// OnDone is called when the last token has been generated.
	OnDone func(now time.Time)

	engine    *Engine
	timer     *Timer
	updatedAt time.Time
	startedAt time.Time
}

// Engine runs a limited number of streams concurrently. Each stream gets slower as the number of streams grows.
type Engine struct {
	loop         *Loop
	slots        int
	rate         float64 // tokens per second of a lone stream
	halfLoad     float64 // number of other streams that halve the speed of a stream
	slowdown     float64 // factor by which other load on the machine, not visible to the programs, slows the engine
	streams      map[*Stream]bool
	running      []*Stream
	generated    float64
	reportedLoad int
}

// NewEngine returns an engine with the given number of slots and the given rate of a lone stream in tokens per second.
// Each of n streams runs at rate/(1+(n-1)/half).
func NewEngine(l *Loop, slots int, rate, half float64) *Engine {
	return &Engine{loop: l, slots: slots, rate: rate, halfLoad: half, slowdown: 1, streams: make(map[*Stream]bool)}
}

// Slots returns the largest number of concurrent streams.
func (e *Engine) Slots() int { return e.slots }

// Running returns the current number of streams.
func (e *Engine) Running() int { return len(e.running) }

// GeneratedTokens returns the number of tokens generated so far.
func (e *Engine) GeneratedTokens() float64 {
	e.advance()
	return e.generated
}

// Capacity returns the tokens per second of a full engine at full speed.
func (e *Engine) Capacity() float64 { return float64(e.slots) * e.speedAt(e.slots) }

// ReportedLoad returns the number of streams at the last call of SampleLoad.
func (e *Engine) ReportedLoad() int { return e.reportedLoad }

// SampleLoad updates the load report.
func (e *Engine) SampleLoad() { e.reportedLoad = len(e.running) }

// Speed returns the current tokens per second of each stream.
func (e *Engine) Speed() float64 { return e.speedAt(len(e.running)) / e.slowdown }

func (e *Engine) speedAt(n int) float64 { return e.rate / (1 + float64(max(n, 1)-1)/e.halfLoad) }

// SetSlowdown sets the factor by which the engine is slowed down; 1 is full speed.
func (e *Engine) SetSlowdown(factor float64) {
	e.advance()
	e.slowdown = factor
	e.reschedule()
}

// Start starts a stream.
func (e *Engine) Start(s *Stream) {
	e.advance()
	s.engine = e
	s.updatedAt = e.loop.now
	s.startedAt = e.loop.now
	e.streams[s] = true
	e.running = append(e.running, s)
	e.reschedule()
}

// Stop ends a stream early. It keeps its generated tokens.
func (e *Engine) Stop(s *Stream) {
	if !e.streams[s] {
		return
	}
	e.advance()
	e.remove(s)
	e.reschedule()
}

// Crash ends all streams and returns them. They keep their generated tokens.
func (e *Engine) Crash() []*Stream {
	e.advance()
	stopped := append([]*Stream(nil), e.running...)
	for _, s := range stopped {
		e.remove(s)
	}
	return stopped
}

// Tokens returns the current number of complete tokens of a stream.
func (s *Stream) Tokens() int {
	if s.engine != nil && s.engine.streams[s] {
		s.engine.advance()
	}
	return int(s.Generated + 1e-6)
}

func (e *Engine) remove(s *Stream) {
	s.timer.Stop()
	s.timer = nil
	delete(e.streams, s)
	for i, o := range e.running {
		if o == s {
			e.running = append(e.running[:i], e.running[i+1:]...)
			return
		}
	}
}

// advance adds the tokens generated since the last change to all streams.
func (e *Engine) advance() {
	now := e.loop.now
	speed := e.Speed()
	for _, s := range e.running {
		d := now.Sub(s.updatedAt).Seconds()
		if d <= 0 {
			continue
		}
		more := math.Min(d*speed, float64(s.Length)-s.Generated)
		s.Generated += more
		e.generated += more
		s.updatedAt = now
	}
}

// reschedule schedules the end of each stream at the current speed.
func (e *Engine) reschedule() {
	speed := e.Speed()
	for _, s := range e.running {
		s.timer.Stop()
		left := math.Max(float64(s.Length)-s.Generated, 0)
		s.timer = e.loop.After(time.Duration(left/speed*float64(time.Second))+time.Nanosecond, func(now time.Time) {
			e.finish(s, now)
		})
	}
}

func (e *Engine) finish(s *Stream, now time.Time) {
	e.advance()
	s.Generated = float64(s.Length)
	e.remove(s)
	e.reschedule()
	if s.OnDone != nil {
		s.OnDone(now)
	}
}
