// Package schedule orders the samples of a step and selects stragglers that are run a second time in parallel.
//
// # Usage
//
//	p := schedule.New(groups, schedule.Defaults())
//	slot, ok := p.Next()
//	p.Start(slot, now)
//	p.Progress(slot, 0, tokens, now)
//	p.Finish(slot, 0, tokens, now)
//	slot, ok = p.NextRerun(now, engines) // a straggler to run a second time
//
// A slot stands for one sample of the step; slots are numbered consecutively over all groups. The first sample of each
// group is scheduled first, because its length predicts the lengths of the others. After that the samples with the
// longest predicted length come first, so that none of them starts near the end of the step. Lengths are in tokens.
//
// A Plan is not safe for concurrent use. It draws no random numbers and reads no clock.
package schedule

import (
	"time"

	"bulrushspoke/wire"
)

// Config holds the parameters of a plan.
type Config struct {
	fifo        bool
	rerunFactor float64
	maxWaste    float64
}

// InflightPerSlot is the number of samples in flight per engine slot. The surplus is queued at the daemons, so that an engine slot
// does not idle until the next sample arrives. With a larger surplus, samples get stuck in the queues of servers that slow
// down in the meantime.
const InflightPerSlot = 1.6

const (
	// defaultRerunFactor is the ratio of the expected remaining time of an attempt to the expected time of a new one above
	// which the sample is run a second time. A smaller factor reruns samples of ordinary length.
	defaultRerunFactor = 2
	// defaultMaxWaste bounds the tokens wasted by reruns, as a fraction of the step's tokens (design section 12, target 2).
	defaultMaxWaste = 0.05
	// overrunFactor is the ratio of expected length to progress for an attempt that has exceeded its predicted length.
	overrunFactor = 1.25
	// residualFactor is the ratio of expected length to progress for a group of which no sample has finished.
	residualFactor = 2
	// rerunLead starts a second run somewhat before the open slots are finished, so that it is not the last to end.
	rerunLead = 1.25
	// tokenTimeWeight is the weight of one finished sample in the moving average of the time per token.
	tokenTimeWeight = 0.1
)

// Defaults returns the production parameters.
func Defaults() Config { return Config{rerunFactor: defaultRerunFactor, maxWaste: defaultMaxWaste} }

// FIFO returns the baseline for the benchmarks: slots in order, no reruns.
func FIFO() Config { return Config{fifo: true} }

type state int

const (
	open    state = iota // needs a sample, no attempt is running
	running              // an attempt is running
	closed               // needs no more work
)

// attempt is one run of a slot.
type attempt struct {
	start  time.Time
	tokens int // produced so far
	active bool
}

// slot is one sample of the step; it has a second attempt while it is rerun.
type slot struct {
	group    int
	state    state
	attempts [2]attempt
}

// group holds the number of samples of a group and what is known of their lengths.
type group struct {
	maxTokens      int // limit of one sample
	firstSlot      int
	samples        int
	openSlots      int
	started        bool // an attempt of any sample was started
	finished       int  // finished samples
	finishedTokens int  // tokens of finished samples
	longest        int  // tokens of the longest sample so far, finished or not
}

// Plan is the schedule of one step.
type Plan struct {
	config Config
	slots  []slot
	groups []group
	// finishedTokens and finishedLimit are the sums of the tokens and of the token limits of finished samples.
	finishedTokens int
	finishedLimit  int
	wastedTokens   int
	// tokenTime is the moving average of the time per token of finished samples, 0 before the first has finished.
	tokenTime time.Duration
}

// New returns the plan of a step with the given groups.
func New(groups []wire.Group, c Config) *Plan {
	p := &Plan{config: c}
	for i, g := range groups {
		p.groups = append(p.groups, group{maxTokens: g.Tokens, firstSlot: len(p.slots), samples: g.Samples, openSlots: g.Samples})
		for range g.Samples {
			p.slots = append(p.slots, slot{group: i})
		}
	}
	return p
}

// Next returns the slot to start next, or false if no slot is open.
func (p *Plan) Next() (int, bool) {
	best, rank := -1, -1.0
	for i, g := range p.groups {
		if g.openSlots == 0 {
			continue
		}
		if p.config.fifo {
			best = i
			break
		}
		if r := p.priority(i); r > rank {
			best, rank = i, r
		}
	}
	if best < 0 {
		return 0, false
	}
	g := p.groups[best]
	for i := g.firstSlot; i < g.firstSlot+g.samples; i++ {
		if p.slots[i].state == open {
			return i, true
		}
	}
	return 0, false
}

// priority returns the priority of a group: groups without a started sample come first, by token limit, then the others by
// predicted length.
func (p *Plan) priority(i int) float64 {
	g := p.groups[i]
	if !g.started {
		return float64(1<<40 + g.maxTokens)
	}
	return p.predictLength(i)
}

// predictLength returns the predicted tokens of a sample of the group.
func (p *Plan) predictLength(i int) float64 {
	g := p.groups[i]
	longest := float64(g.longest)
	if g.finished > 0 {
		mean := float64(g.finishedTokens) / float64(g.finished)
		if longest <= mean {
			return mean
		}
		return (float64(g.finishedTokens) + longest) / float64(g.finished+1)
	}
	usual := float64(g.maxTokens)
	if p.finishedLimit > 0 {
		usual *= float64(p.finishedTokens) / float64(p.finishedLimit)
	}
	// With heavy-tailed lengths, the expected rest of a long sample is about as long as its progress.
	return min(max(usual, longest*residualFactor), float64(g.maxTokens))
}

// Predict returns the expected number of tokens of the slot's sample.
func (p *Plan) Predict(slot int) int { return int(p.expectedTokens(slot)) }

func (p *Plan) expectedTokens(i int) float64 {
	s := p.slots[i]
	l := p.predictLength(s.group)
	for _, a := range s.attempts {
		if a.active && float64(a.tokens) >= l {
			l = float64(a.tokens) * overrunFactor
		}
	}
	return min(l, float64(p.groups[s.group].maxTokens))
}

// Start records that an attempt of the slot was started and returns the number of the attempt, 0 or 1. A closed slot
// becomes running, so that it is opened again if the attempt fails.
func (p *Plan) Start(i int, now time.Time) int {
	s := &p.slots[i]
	if s.state == open {
		p.groups[s.group].openSlots--
	}
	s.state = running
	p.groups[s.group].started = true
	n := 0
	if s.attempts[0].active {
		n = 1
	}
	s.attempts[n] = attempt{start: now, active: true}
	return n
}

// Progress records how many tokens an attempt has produced so far.
func (p *Plan) Progress(i, n, tokens int) {
	s := &p.slots[i]
	s.attempts[n].tokens = tokens
	g := &p.groups[s.group]
	g.longest = max(g.longest, tokens)
}

// Finish records that an attempt has produced the complete sample and closes the slot; the tokens of another attempt count
// as waste.
func (p *Plan) Finish(i, n, tokens int, now time.Time) {
	s := &p.slots[i]
	a := s.attempts[n]
	if s.state != running || !a.active {
		return
	}
	p.recordSample(s.group, tokens, now.Sub(a.start))
	s.attempts[n].active = false
	p.Close(i)
}

func (p *Plan) recordSample(i, tokens int, took time.Duration) {
	g := &p.groups[i]
	g.finished++
	g.finishedTokens += tokens
	p.finishedTokens += tokens
	p.finishedLimit += g.maxTokens
	if tokens == 0 {
		return
	}
	tokenTime := took / time.Duration(tokens)
	if p.tokenTime == 0 {
		p.tokenTime = tokenTime
		return
	}
	// The bound keeps stragglers from raising the average that they are compared with.
	p.tokenTime += time.Duration(tokenTimeWeight * float64(min(tokenTime, 2*p.tokenTime)-p.tokenTime))
}

// Fail records that an attempt ended without a sample; the slot is opened again if no other attempt is running.
func (p *Plan) Fail(i, n int) {
	s := &p.slots[i]
	if s.state != running || !s.attempts[n].active {
		return
	}
	s.attempts[n].active = false
	if !s.attempts[0].active && !s.attempts[1].active {
		p.Open(i)
	}
}

// Close records that the slot needs no more work; the tokens of running attempts count as waste.
func (p *Plan) Close(i int) {
	s := &p.slots[i]
	if s.state == open {
		p.groups[s.group].openSlots--
	}
	s.state = closed
	for n := range s.attempts {
		if s.attempts[n].active {
			p.wastedTokens += s.attempts[n].tokens
		}
		s.attempts[n] = attempt{}
	}
}

// Open records that the slot needs a sample again and forgets its attempts.
func (p *Plan) Open(i int) {
	s := &p.slots[i]
	if s.state != open {
		p.groups[s.group].openSlots++
	}
	s.state = open
	s.attempts = [2]attempt{}
}

// Wasted returns the number of tokens that count as waste.
func (p *Plan) Wasted() int { return p.wastedTokens }

// NextRerun returns the slot to run a second time, given the number of engine slots. It returns false if no rerun pays off or
// the waste would exceed its share of the step's tokens. Call it before Next: a straggler is run again once its second run
// would take about as long as all open slots together, which is near the end of the step.
func (p *Plan) NextRerun(now time.Time, engines int) (int, bool) {
	if p.config.fifo || p.tokenTime == 0 || engines < 1 {
		return 0, false
	}
	drain := p.openTime(engines)
	total, reserved := p.totals()
	best, longest := -1, time.Duration(0)
	for i := range p.slots {
		s := &p.slots[i]
		if s.state != running || s.attempts[0].active == s.attempts[1].active {
			continue
		}
		rest := p.remainingTime(i, now)
		fresh := time.Duration(p.expectedTokens(i)) * p.tokenTime
		if float64(rest) <= p.config.rerunFactor*float64(fresh) || rest <= longest || rerunLead*float64(fresh) < float64(drain) {
			continue
		}
		if float64(p.wastedTokens)+reserved+p.expectedTokens(i) > p.config.maxWaste*total {
			continue
		}
		best, longest = i, rest
	}
	return best, best >= 0
}

// openTime returns the expected time that the engine slots need for all open slots.
func (p *Plan) openTime(engines int) time.Duration {
	tokens := 0.0
	for i, g := range p.groups {
		tokens += float64(g.openSlots) * p.predictLength(i)
	}
	return time.Duration(tokens) * p.tokenTime / time.Duration(engines)
}

// totals returns the tokens of finished samples plus the expected tokens of running ones, and the tokens that running
// reruns may still waste. Samples that have not been started are not counted: if another entry takes over the step, it
// bounds its waste by the samples that it makes itself, so both entries together stay within the bound of the whole step.
func (p *Plan) totals() (total, reserved float64) {
	total = float64(p.finishedTokens)
	for i := range p.slots {
		s := &p.slots[i]
		if s.state != running {
			continue
		}
		e := p.expectedTokens(i)
		total += e
		if s.attempts[0].active && s.attempts[1].active {
			reserved += e
		}
	}
	return total, reserved
}

// remainingTime returns the expected remaining time of the only running attempt of a slot. An attempt without tokens may be
// queued, so it is expected to take the usual time plus the time that it has waited so far.
func (p *Plan) remainingTime(i int, now time.Time) time.Duration {
	s := &p.slots[i]
	a := s.attempts[0]
	if s.attempts[1].active {
		a = s.attempts[1]
	}
	ran := now.Sub(a.start)
	if a.tokens == 0 {
		return ran + time.Duration(p.expectedTokens(i))*p.tokenTime
	}
	left := p.expectedTokens(i) - float64(a.tokens)
	return time.Duration(left * float64(ran) / float64(a.tokens))
}

// AttemptToStop returns an attempt to stop because the waste exceeds its share of the step's tokens: of all slots with two running
// attempts, the attempt with the fewest tokens.
func (p *Plan) AttemptToStop() (slot, attempt int, ok bool) {
	total, _ := p.totals()
	waste := float64(p.wastedTokens)
	fewest := 0
	for i := range p.slots {
		s := &p.slots[i]
		if s.state != running || !s.attempts[0].active || !s.attempts[1].active {
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
	return slot, attempt, ok && waste > p.config.maxWaste*total
}

// Stop records that one of two running attempts of a slot was stopped; its tokens count as waste.
func (p *Plan) Stop(i, n int) {
	s := &p.slots[i]
	if !s.attempts[n].active {
		return
	}
	p.wastedTokens += s.attempts[n].tokens
	s.attempts[n] = attempt{}
}
