package schedule

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"bulrushspoke/wire"
)

const testTokenTime = 10 * time.Millisecond

// simEvent is the next chunk of an attempt in virtual time.
type simEvent struct {
	at        time.Time
	slot      int
	attempt   int
	serial    int
	tokens    int
	tokenTime time.Duration
}

type eventQueue []simEvent

func (e eventQueue) Len() int           { return len(e) }
func (e eventQueue) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e eventQueue) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)        { *e = append(*e, x.(simEvent)) }
func (e *eventQueue) Pop() any {
	x := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return x
}

// simResult holds the duration of a simulated step in virtual time, and its tokens.
type simResult struct {
	duration       time.Duration
	finishedTokens int
	wastedTokens   int
}

// simulate runs a step in virtual time on the given number of engine slots. length returns the tokens of the sample of a
// slot, and tokenTime the time per token of an attempt, given its slot and its serial number.
func simulate(groups []wire.Group, c Config, engines int, length func(slot int) int, tokenTime func(slot, serial int) time.Duration) simResult {
	const chunk = 25
	p := New(groups, c)
	start := time.Unix(0, 0)
	now := start
	queue := &eventQueue{}
	current := make(map[[2]int]int) // serial of the live attempt of a slot and number
	serial, running, made := 0, 0, 0
	launch := func(i int) {
		serial++
		n := p.Start(i, now)
		current[[2]int{i, n}] = serial
		running++
		heap.Push(queue, simEvent{at: now, slot: i, attempt: n, serial: serial, tokenTime: tokenTime(i, serial)})
	}
	stop := func(i, n int) {
		if _, ok := current[[2]int{i, n}]; ok {
			delete(current, [2]int{i, n})
			running--
		}
	}
	for {
		for running < engines {
			i, ok := p.NextRerun(now, engines)
			if !ok {
				if i, ok = p.Next(); !ok {
					break
				}
			}
			launch(i)
		}
		if i, n, ok := p.AttemptToStop(); ok {
			p.Stop(i, n)
			stop(i, n)
			continue
		}
		if queue.Len() == 0 {
			return simResult{duration: now.Sub(start), finishedTokens: made, wastedTokens: p.Wasted()}
		}
		e := heap.Pop(queue).(simEvent)
		if current[[2]int{e.slot, e.attempt}] != e.serial {
			continue
		}
		now = e.at
		total := length(e.slot)
		p.Progress(e.slot, e.attempt, e.tokens)
		if e.tokens >= total {
			p.Finish(e.slot, e.attempt, total, now)
			made += total
			stop(e.slot, 0)
			stop(e.slot, 1)
			continue
		}
		step := min(chunk, total-e.tokens)
		e.tokens += step
		e.at = now.Add(time.Duration(step) * e.tokenTime)
		heap.Push(queue, e)
	}
}

// workload is a step of 64 groups, two of which are long, on 16 engine slots.
func workload(seed uint64) ([]wire.Group, func(int) int) {
	r := rand.New(rand.NewPCG(seed, 1))
	var groups []wire.Group
	var lengths []int
	for i := range 64 {
		mean := 50 + r.IntN(200)
		if i >= 62 {
			mean *= 6
		}
		groups = append(groups, wire.Group{Samples: 8, Tokens: 2000})
		for range 8 {
			lengths = append(lengths, min(2000, mean/2+r.IntN(mean)))
		}
	}
	return groups, func(slot int) int { return lengths[slot] }
}

// Guards against an order that starts long samples near the end of a step.
func TestLongSamplesFirst(t *testing.T) {
	const engines = 16
	for seed := range uint64(3) {
		groups, length := workload(seed)
		even := func(int, int) time.Duration { return testTokenTime }
		got := simulate(groups, Defaults(), engines, length, even)
		base := simulate(groups, FIFO(), engines, length, even)
		bound, longest := time.Duration(0), time.Duration(0)
		for i := range 64 * 8 {
			d := time.Duration(length(i)) * testTokenTime
			bound += d / engines
			longest = max(longest, d)
		}
		bound = max(bound, longest)
		t.Logf("seed %d, virtual time: %v, first come %v, lower bound %v", seed, got.duration, base.duration, bound)
		if float64(got.duration) > 1.10*float64(bound) {
			t.Errorf("seed %d: step takes %v, more than 1.10 times the lower bound %v", seed, got.duration, bound)
		}
		if got.duration > base.duration {
			t.Errorf("seed %d: step takes %v, longer than first come, first served: %v", seed, got.duration, base.duration)
		}
	}
}

// Guards against stragglers that delay the end of a step, and against reruns that waste more than 5% of its tokens.
func TestStragglers(t *testing.T) {
	for seed := range uint64(3) {
		groups, length := workload(seed)
		// Every 40th attempt is ten times slower.
		tokenTime := func(_, serial int) time.Duration {
			if serial%40 == 0 {
				return 10 * testTokenTime
			}
			return testTokenTime
		}
		got := simulate(groups, Defaults(), 16, length, tokenTime)
		base := simulate(groups, FIFO(), 16, length, tokenTime)
		share := float64(got.wastedTokens) / float64(got.finishedTokens)
		t.Logf("seed %d, virtual time: %v, first come %v, wasted %.3f of the tokens", seed, got.duration, base.duration, share)
		if share > defaultMaxWaste {
			t.Errorf("seed %d: wasted %.3f of the tokens, more than the bound", seed, share)
		}
		if got.duration >= base.duration {
			t.Errorf("seed %d: step takes %v, not less than first come, first served: %v", seed, got.duration, base.duration)
		}
	}
}

// Guards against a slot that is never run again: it is closed while a daemon finishes the sample for a former owner of the
// step, and the sample exceeds the staleness bound while it is scored.
func TestClosedSlotOpensAfterFailure(t *testing.T) {
	p := New([]wire.Group{{Name: "a", Samples: 1, Tokens: 10}}, Defaults())
	p.Close(0)
	p.Fail(0, p.Start(0, time.Unix(0, 0)))
	if i, ok := p.Next(); !ok || i != 0 {
		t.Fatalf("next slot is %d (%t), want 0", i, ok)
	}
}

// Guards against two successive owners of a step that each waste as many tokens as the whole step may waste.
func TestWasteCountsStartedSamplesOnly(t *testing.T) {
	const engines = 1000
	now := time.Unix(0, 0)
	p := New([]wire.Group{{Name: "g", Samples: 60, Tokens: 100}}, Defaults())
	p.Start(0, now)
	p.Progress(0, 0, 10)
	finish := func(slot int) {
		n := p.Start(slot, now)
		p.Finish(slot, n, 100, now.Add(time.Second))
	}
	finish(1)
	late := now.Add(time.Minute)
	if slot, ok := p.NextRerun(late, engines); ok {
		t.Fatalf("slot %d is rerun after 100 of 6,000 tokens", slot)
	}
	for slot := 2; slot < 40; slot++ {
		finish(slot)
	}
	if slot, ok := p.NextRerun(late, engines); !ok || slot != 0 {
		t.Fatalf("the straggler in slot 0 is not rerun: got slot %d (%t)", slot, ok)
	}
}
