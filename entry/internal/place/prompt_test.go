package place

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"bulrushspoke/entry/internal/prefill"
	"bulrushspoke/internal/call"
	"bulrushspoke/internal/catalog"
)

// Parameters of simulated engines: in each step an engine generates an event for every request whose prompt has been
// processed, and processes a chunk of the oldest prompt that has not.
const (
	promptEngines  = 8
	promptEntries  = 4
	promptStep     = 20 * time.Millisecond // of events
	promptChunk    = 2048                  // tokens
	promptPerToken = 10 * time.Microsecond
	promptTick     = 5 * time.Millisecond // also the delay of a report to the other entries
	promptDuration = time.Minute
)

// promptRequest is a request of the simulation.
type promptRequest struct {
	entry   int
	long    bool
	item    bool
	tokens  int // not yet processed
	events  int // to come
	arrived time.Time
	first   time.Time
	last    time.Time // event
	ticket  *prefill.Ticket
}

// promptEngine is an engine of the simulation.
type promptEngine struct {
	server  catalog.Server
	running []*promptRequest // in the order of their start; those beyond the slots wait
	next    time.Time        // end of the present step
}

// promptTimes holds the times of one kind of requests.
type promptTimes struct{ first, ended []time.Duration }

func (p *promptTimes) add(o promptTimes) {
	p.first, p.ended = append(p.first, o.first...), append(p.ended, o.ended...)
}

// at returns a quantile of the times to the first event, and whole of those to the last one.
func (p promptTimes) at(f float64) time.Duration    { return quantile(p.first, f) }
func (p promptTimes) whole(f float64) time.Duration { return quantile(p.ended, f) }

func quantile(l []time.Duration, f float64) time.Duration {
	slices.Sort(l)
	return l[int(f*float64(len(l)-1))].Round(time.Millisecond)
}

func (p promptTimes) String() string {
	return fmt.Sprintf("%d: first event p50 %s, p99 %s, whole p50 %s, p99 %s", len(p.first), p.at(0.5), p.at(0.99),
		p.whole(0.5), p.whole(0.99))
}

// promptLoad is the load of a simulation: live requests with short prompts and requests with long ones, which may be items.
type promptLoad struct {
	shorts, longs float64 // a second
	items         bool
}

// run returns the times of both kinds of requests. The function state returns what a request states about its prompt.
func (p promptLoad) run(seed uint64, state func(*promptRequest) call.Prompt) (short, long promptTimes) {
	random := rand.New(rand.NewPCG(seed, 3))
	trackers := make([]*Tracker, promptEntries)
	for i := range trackers {
		trackers[i] = New(Home{Domain: "a", Region: "east", Regions: map[string]string{"a": "east"}}, noLimits(),
			rand.New(rand.NewPCG(seed, uint64(i))))
	}
	list := servers(promptEngines, 8, "a")
	engines := make([]*promptEngine, promptEngines)
	byID := make(map[string]*promptEngine)
	for i, s := range list {
		engines[i] = &promptEngine{server: s}
		byID[s.ID] = engines[i]
	}
	due, published := make([]time.Time, promptEntries), make([]time.Time, promptEntries) // of reports to the other entries
	var waiting []*promptRequest
	nextShort, nextLong := start, start
	after := func(rate float64) time.Duration {
		return time.Duration(random.ExpFloat64() / rate * float64(time.Second))
	}
	for now := start; now.Sub(start) < promptDuration; now = now.Add(promptTick) {
		for ; !nextShort.After(now); nextShort = nextShort.Add(after(p.shorts)) {
			waiting = append(waiting, &promptRequest{entry: random.IntN(promptEntries), tokens: 300, events: 10 + random.IntN(20), arrived: nextShort})
		}
		for ; !nextLong.After(now); nextLong = nextLong.Add(after(p.longs)) {
			waiting = append(waiting, &promptRequest{
				entry: random.IntN(promptEntries), long: true, item: p.items, tokens: 20_000 + random.IntN(20_000), events: 20 + random.IntN(40),
				arrived: nextLong,
			})
		}
		waiting = slices.DeleteFunc(waiting, func(r *promptRequest) bool {
			n := Need{}
			if r.item {
				n = Need{Model: "m", RequireSlot: true, RemainingEvents: r.events}
			}
			if r.ticket == nil {
				r.ticket = prefill.NewTicket(state(r))
			}
			n.Ticket = r.ticket
			s, ok := trackers[r.entry].Start(now, list, n)
			if ok {
				byID[s.ID].running = append(byID[s.ID].running, r)
			}
			return ok
		})
		for _, e := range engines {
			for !e.next.After(now) {
				e.step(trackers, &short, &long, now)
			}
		}
		for i, from := range trackers {
			if due[i].IsZero() || due[i].After(now) {
				select {
				case <-from.WorkStarted():
					due[i] = latest(published[i].Add(50*time.Millisecond), now.Add(5*time.Millisecond))
				default:
				}
				continue
			}
			due[i], published[i] = now.Add(100*time.Millisecond), now
			l := from.Load(now)
			for k, to := range trackers {
				if i != k {
					to.SetRemoteLoad(fmt.Sprint(i), l, now)
				}
			}
		}
	}
	return short, long
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// step ends the present step of an engine and begins the next one.
func (e *promptEngine) step(trackers []*Tracker, short, long *promptTimes, now time.Time) {
	took := time.Duration(0)
	chunk := promptChunk
	active := e.running[:min(len(e.running), e.server.Slots)]
	e.running = slices.DeleteFunc(slices.Clone(e.running), func(r *promptRequest) bool {
		if !slices.Contains(active, r) {
			return false
		}
		if r.tokens > 0 {
			n := min(chunk, r.tokens)
			r.tokens, chunk = r.tokens-n, chunk-n
			took += time.Duration(n) * promptPerToken
			return false
		}
		t := trackers[r.entry]
		if r.first.IsZero() {
			r.first = now
			t.FirstEvent(r.ticket, now)
		} else {
			t.ObserveInterval(e.server.ID, now.Sub(r.last), now)
		}
		r.last = now
		if r.events--; r.events > 0 {
			return false
		}
		kind := short
		if r.long {
			kind = long
		}
		kind.first, kind.ended = append(kind.first, r.first.Sub(r.arrived)), append(kind.ended, now.Sub(r.arrived))
		t.Ended(e.server.ID, "", Answered, 0, now)
		t.Release(r.ticket, true, now)
		return true
	})
	if slices.ContainsFunc(active, func(r *promptRequest) bool { return r.tokens == 0 && r.events > 0 }) {
		took += promptStep
	}
	e.next = now.Add(max(took, time.Millisecond))
}

// Simulates live requests with prompts of 300 tokens beside requests with 20,000 to 40,000 on the same engines, from four
// entries. The baseline knows no sizes. The short ones must wait much less for their first event, and the long ones must not
// be completed later; and figures that are all wrong must not make either much worse.
func TestLongPromptsBesideShortOnes(t *testing.T) {
	statements := []func(*promptRequest) call.Prompt{
		func(*promptRequest) call.Prompt { return call.Prompt{} },
		func(r *promptRequest) call.Prompt { return call.Prompt{Tokens: r.tokens, Output: r.events} },
		func(r *promptRequest) call.Prompt {
			return call.Prompt{Tokens: 6_000_000 / r.tokens, Output: 600 / r.events}
		},
	}
	for _, load := range []promptLoad{{40, 3, false}, {40, 3, true}, {20, 10, false}, {20, 10, true}} {
		var shorts, longs [3]promptTimes
		for seed := range uint64(3) {
			for i, state := range statements {
				s, l := load.run(seed, state)
				shorts[i].add(s)
				longs[i].add(l)
			}
		}
		for i, name := range []string{"without figures", "with figures", "with wrong figures"} {
			t.Logf("%+v, %s\nshort %s\nlong  %s", load, name, shorts[i], longs[i])
		}
		limit := shorts[0].at(0.99) / 5
		if load.longs > 3 {
			limit = shorts[0].at(0.99) * 2 / 3 // nearly all engines have a long prompt at any time
		}
		if shorts[1].at(0.99) > limit || longs[1].whole(0.99) > longs[0].whole(0.99)*21/20 {
			t.Errorf("%+v, with figures: short %s, long %s", load, shorts[1], longs[1])
		}
		if shorts[2].at(0.99) > shorts[0].at(0.99)*3/2 || longs[2].whole(0.99) > longs[0].whole(0.99)*3/2 {
			t.Errorf("%+v, with wrong figures: short %s, long %s", load, shorts[2], longs[2])
		}
	}
}

// Guards against figures of others that change the choice for a request which states none.
func TestRequestWithoutFigures(t *testing.T) {
	plain, loaded := tracker(), tracker()
	l := servers(6, 8, "a")
	for i := range 200 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		loaded.SetRemoteLoad("other", Load{Waiting: map[string]int{"a0": 50_000, "a3": 9_000}}, now)
		need := Need{Model: "m", RequireSlot: i%2 == 0, RemainingEvents: 40 * (i % 2)}
		a, _ := plain.Start(now, l, need)
		b, _ := loaded.Start(now, l, need)
		if a.ID != b.ID {
			t.Fatalf("request %d goes to %s, and to %s without waiting prompts", i, b.ID, a.ID)
		}
	}
}
