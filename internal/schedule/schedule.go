// Package schedule decides in which order the samples of a step are made and which of them are run a second time.
//
// # Usage
//
//	p := schedule.New(groups, schedule.Defaults())
//	slot, ok := p.Next()
//	p.Start(slot, now)
//	p.Progress(slot, 0, tokens, now)
//	p.Finish(slot, 0, tokens, now)
//	slot, ok = p.Rerun(now, engines)
//
// Slots are numbered through the groups in order. The first sample of each group goes first, because its length
// predicts the others of the group; after that the longest predicted samples go first, so that none of them starts
// near the end of the step. A Plan is not safe for concurrent use. It draws no random numbers and reads no clock.
package schedule

import (
	"time"

	"bulrushspoke/wire"
)

// Config holds the limits of a plan.
type Config struct {
	firstCome bool
	slow      float64
	waste     float64
}

// Window is how many samples are kept in flight for each slot of the engines. The surplus waits at the daemons, so that
// a slot never waits for the next sample; a larger surplus waits at servers that slow down in the meantime.
const Window = 1.6

const (
	// slowFactor is how many times longer than a fresh run the rest of an attempt must be expected to take before it is
	// run a second time: a smaller factor repeats samples that are only of ordinary length.
	slowFactor = 2
	// wasteShare is the largest part of a step's tokens that reruns may waste (design section 12, target 2).
	wasteShare = 0.05
	// overrun is how much longer than its progress an attempt is expected to get once it has passed its prediction.
	overrun = 1.25
	// residual is the expected length of a sample that still runs, in units of its progress.
	residual = 2
	// lead starts a second run a little before the open slots are done, because it must not be the last to end.
	lead = 1.25
	// rateWeight is the weight of one finished sample in the moving average of the time per token.
	rateWeight = 0.1
)

// Defaults returns the limits that entries use.
func Defaults() Config { return Config{slow: slowFactor, waste: wasteShare} }

// FirstCome returns the baseline for benches: slots in order, no reruns.
func FirstCome() Config { return Config{firstCome: true} }

type state int

const (
	open state = iota
	running
	closed
)

// attempt is one run of a slot; tokens is its progress.
type attempt struct {
	start  time.Time
	tokens int
	live   bool
}

type slot struct {
	group    int
	state    state
	attempts [2]attempt
}

// group keeps what is known of the lengths of its samples.
type group struct {
	limit    int
	first    int
	samples  int
	open     int
	started  bool
	finished int
	tokens   int
	longest  int // tokens of the longest sample so far, finished or not
}

// Plan is the schedule of one step.
type Plan struct {
	config Config
	slots  []slot
	groups []group
	// made and allowed sum the tokens and the limits of finished samples.
	made    int
	allowed int
	wasted  int
	// pace is the usual time per token of a sample, 0 before the first has finished.
	pace time.Duration
}

// New returns the plan of a step with the given groups.
func New(groups []wire.Group, c Config) *Plan {
	p := &Plan{config: c}
	for i, g := range groups {
		p.groups = append(p.groups, group{limit: g.Tokens, first: len(p.slots), samples: g.Samples, open: g.Samples})
		for range g.Samples {
			p.slots = append(p.slots, slot{group: i})
		}
	}
	return p
}

// Next returns the slot to start next; false if no slot is open.
func (p *Plan) Next() (int, bool) {
	best, rank := -1, -1.0
	for i, g := range p.groups {
		if g.open == 0 {
			continue
		}
		if p.config.firstCome {
			best = i
			break
		}
		if r := p.rank(i); r > rank {
			best, rank = i, r
		}
	}
	if best < 0 {
		return 0, false
	}
	g := p.groups[best]
	for i := g.first; i < g.first+g.samples; i++ {
		if p.slots[i].state == open {
			return i, true
		}
	}
	return 0, false
}

// rank orders groups: those without a started sample by their limit above all others by their predicted length.
func (p *Plan) rank(i int) float64 {
	g := p.groups[i]
	if !g.started {
		return float64(1<<40 + g.limit)
	}
	return p.length(i)
}

// length predicts the tokens of a sample of the group.
func (p *Plan) length(i int) float64 {
	g := p.groups[i]
	longest := float64(g.longest)
	if g.finished > 0 {
		mean := float64(g.tokens) / float64(g.finished)
		if longest <= mean {
			return mean
		}
		return (float64(g.tokens) + longest) / float64(g.finished+1)
	}
	usual := float64(g.limit)
	if p.allowed > 0 {
		usual *= float64(p.made) / float64(p.allowed)
	}
	// With heavy-tailed lengths, a sample that has come far has about as far to go.
	return min(max(usual, longest*residual), float64(g.limit))
}

// Predict returns the expected number of tokens of the slot's sample.
func (p *Plan) Predict(slot int) int { return int(p.expect(slot)) }

func (p *Plan) expect(i int) float64 {
	s := p.slots[i]
	l := p.length(s.group)
	for _, a := range s.attempts {
		if a.live && float64(a.tokens) >= l {
			l = float64(a.tokens) * overrun
		}
	}
	return min(l, float64(p.groups[s.group].limit))
}

// Start records that an attempt of the slot begins and returns its number, 0 or 1. A closed slot runs again, so that it
// opens if the attempt fails.
func (p *Plan) Start(i int, now time.Time) int {
	s := &p.slots[i]
	if s.state == open {
		p.groups[s.group].open--
	}
	s.state = running
	p.groups[s.group].started = true
	n := 0
	if s.attempts[0].live {
		n = 1
	}
	s.attempts[n] = attempt{start: now, live: true}
	return n
}

// Progress records how many tokens an attempt has produced.
func (p *Plan) Progress(i, n, tokens int) {
	s := &p.slots[i]
	s.attempts[n].tokens = tokens
	g := &p.groups[s.group]
	g.longest = max(g.longest, tokens)
}

// Finish records that an attempt produced the whole sample; what another attempt of the slot produced is waste.
func (p *Plan) Finish(i, n, tokens int, now time.Time) {
	s := &p.slots[i]
	a := s.attempts[n]
	if s.state != running || !a.live {
		return
	}
	p.learn(s.group, tokens, now.Sub(a.start))
	s.attempts[n].live = false
	p.Close(i)
}

func (p *Plan) learn(i, tokens int, took time.Duration) {
	g := &p.groups[i]
	g.finished++
	g.tokens += tokens
	p.made += tokens
	p.allowed += g.limit
	if tokens == 0 {
		return
	}
	pace := took / time.Duration(tokens)
	if p.pace == 0 {
		p.pace = pace
		return
	}
	// Stragglers must not raise the pace that they are measured by.
	p.pace += time.Duration(rateWeight * float64(min(pace, 2*p.pace)-p.pace))
}

// Fail records that an attempt ended without a sample; the slot opens again if it was the only one.
func (p *Plan) Fail(i, n int) {
	s := &p.slots[i]
	if s.state != running || !s.attempts[n].live {
		return
	}
	s.attempts[n].live = false
	if !s.attempts[0].live && !s.attempts[1].live {
		p.Open(i)
	}
}

// Close records that the slot needs no work; attempts that still run count as waste.
func (p *Plan) Close(i int) {
	s := &p.slots[i]
	if s.state == open {
		p.groups[s.group].open--
	}
	s.state = closed
	for n := range s.attempts {
		if s.attempts[n].live {
			p.wasted += s.attempts[n].tokens
		}
		s.attempts[n] = attempt{}
	}
}

// Open records that the slot needs a sample again.
func (p *Plan) Open(i int) {
	s := &p.slots[i]
	if s.state != open {
		p.groups[s.group].open++
	}
	s.state = open
	s.attempts = [2]attempt{}
}

// Wasted returns the tokens that reruns have wasted.
func (p *Plan) Wasted() int { return p.wasted }

// Rerun returns the slot to run a second time on one of the given number of engine slots; false if none is worth it or
// the waste would exceed its share of the step's tokens. Near the end of the step it goes before Next: a straggler is
// run again as soon as its second run would last as long as all open slots together.
func (p *Plan) Rerun(now time.Time, engines int) (int, bool) {
	if p.config.firstCome || p.pace == 0 || engines < 1 {
		return 0, false
	}
	drain := p.drain(engines)
	total, reserved := p.totals()
	best, longest := -1, time.Duration(0)
	for i := range p.slots {
		s := &p.slots[i]
		if s.state != running || s.attempts[0].live == s.attempts[1].live {
			continue
		}
		rest := p.rest(i, now)
		fresh := time.Duration(p.expect(i)) * p.pace
		if float64(rest) <= p.config.slow*float64(fresh) || rest <= longest || lead*float64(fresh) < float64(drain) {
			continue
		}
		if float64(p.wasted)+reserved+p.expect(i) > p.config.waste*total {
			continue
		}
		best, longest = i, rest
	}
	return best, best >= 0
}

// drain returns how long the engine slots need for the samples that have not been started.
func (p *Plan) drain(engines int) time.Duration {
	tokens := 0.0
	for i, g := range p.groups {
		tokens += float64(g.open) * p.length(i)
	}
	return time.Duration(tokens) * p.pace / time.Duration(engines)
}

// totals returns the tokens of the finished and the expected ones of the running samples, and those that running reruns
// may still waste. Samples that have not been started do not count: if another entry takes the step over, its share of
// waste is that of the samples it makes itself, and both together stay within the share of the whole step.
func (p *Plan) totals() (total, reserved float64) {
	total = float64(p.made)
	for i := range p.slots {
		s := &p.slots[i]
		if s.state != running {
			continue
		}
		e := p.expect(i)
		total += e
		if s.attempts[0].live && s.attempts[1].live {
			reserved += e
		}
	}
	return total, reserved
}

// rest estimates how long the only attempt of a slot still runs. An attempt without a token may only be waiting in a
// queue, so it is expected to take as much longer than usual as it has waited.
func (p *Plan) rest(i int, now time.Time) time.Duration {
	s := &p.slots[i]
	a := s.attempts[0]
	if s.attempts[1].live {
		a = s.attempts[1]
	}
	ran := now.Sub(a.start)
	if a.tokens == 0 {
		return ran + time.Duration(p.expect(i))*p.pace
	}
	left := p.expect(i) - float64(a.tokens)
	return time.Duration(left * float64(ran) / float64(a.tokens))
}

// Excess returns a slot whose second attempt must stop because the waste has reached its share; it is the one that has
// produced the fewest tokens.
func (p *Plan) Excess() (slot, attempt int, ok bool) {
	total, _ := p.totals()
	waste := float64(p.wasted)
	fewest := 0
	for i := range p.slots {
		s := &p.slots[i]
		if s.state != running || !s.attempts[0].live || !s.attempts[1].live {
			continue
		}
		n := 0
		if s.attempts[1].tokens < s.attempts[0].tokens {
			n = 1
		}
		tokens := s.attempts[n].tokens
		waste += float64(tokens)
		if !ok || tokens < fewest {
			slot, attempt, fewest, ok = i, n, tokens, true
		}
	}
	return slot, attempt, ok && waste > p.config.waste*total
}

// Stop records that one of two attempts of a slot was stopped; its tokens are waste.
func (p *Plan) Stop(i, n int) {
	s := &p.slots[i]
	if !s.attempts[n].live {
		return
	}
	p.wasted += s.attempts[n].tokens
	s.attempts[n] = attempt{}
}
