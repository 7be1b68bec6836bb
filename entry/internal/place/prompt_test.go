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

// promptTimes holds the times of one kind of requests: to the first event, and to the last one.
type promptTimes struct{ first, whole []time.Duration }

func quantile(l []time.Duration, f float64) time.Duration {
	slices.Sort(l)
	return l[int(f*float64(len(l)-1))]
}

func (p promptTimes) String() string {
	return fmt.Sprintf("%d: first event p50 %s, p99 %s, whole p50 %s, p99 %s", len(p.first), quantile(p.first, 0.5),
		quantile(p.first, 0.99), quantile(p.whole, 0.5), quantile(p.whole, 0.99))
}

// promptLoad is the load of a simulation: live requests with short prompts and requests with long ones, which may be items.
type promptLoad struct {
	shorts, longs float64 // a second
	items         bool
}

// run returns the times of both kinds of requests. The function state returns what a request states about its prompt.
func (p promptLoad) run(seed uint64, state func(*promptRequest) call.Prompt, short, long *promptTimes) {
	random := rand.New(rand.NewPCG(seed, 3))
	var trackers []*Tracker
	for i := range promptEntries {
		trackers = append(trackers, New(Home{Domain: "a"}, noLimits(), rand.New(rand.NewPCG(seed, uint64(i)))))
	}
	list := servers(promptEngines, 8, "a")
	var engines []*promptEngine
	for _, s := range list {
		engines = append(engines, &promptEngine{server: s})
	}
	signalled, published := make([]bool, promptEntries), make([]time.Time, promptEntries) // of reports to the other entries
	var waiting []*promptRequest
	arrive := func(now time.Time, rate float64, r promptRequest) {
		if random.Float64() < rate*promptTick.Seconds() {
			r.entry, r.arrived = random.IntN(promptEntries), now
			waiting = append(waiting, &r)
		}
	}
	for now := start; now.Sub(start) < promptDuration; now = now.Add(promptTick) {
		arrive(now, p.shorts, promptRequest{tokens: 300, events: 10 + random.IntN(20)})
		arrive(now, p.longs, promptRequest{long: true, tokens: 20_000 + random.IntN(20_000), events: 20 + random.IntN(40)})
		waiting = slices.DeleteFunc(waiting, func(r *promptRequest) bool {
			n := Need{}
			if r.long && p.items {
				n = Need{Model: "m", RequireSlot: true, RemainingEvents: r.events}
			}
			if r.ticket == nil {
				r.ticket = prefill.NewTicket(state(r), "")
			}
			n.Ticket = r.ticket
			s, ok := trackers[r.entry].Start(now, list, n)
			if ok {
				e := engines[slices.IndexFunc(list, func(o catalog.Server) bool { return o.ID == s.ID })]
				e.running = append(e.running, r)
			}
			return ok
		})
		for _, e := range engines {
			for !e.next.After(now) {
				e.step(trackers, short, long, now)
			}
		}
		for i, from := range trackers {
			select {
			case <-from.WorkStarted():
				signalled[i] = true
			default:
			}
			if since := now.Sub(published[i]); since < 50*time.Millisecond || !signalled[i] && since < 100*time.Millisecond {
				continue
			}
			signalled[i], published[i] = false, now
			for k, to := range trackers {
				if i != k {
					to.SetRemoteLoad(fmt.Sprint(i), from.Load(now), now)
				}
			}
		}
	}
}

// step ends the present step of an engine and begins the next one.
func (e *promptEngine) step(trackers []*Tracker, short, long *promptTimes, now time.Time) {
	prefill, events := time.Duration(0), time.Duration(0)
	chunk, slots := promptChunk, e.server.Slots
	e.running = slices.DeleteFunc(e.running, func(r *promptRequest) bool {
		if slots--; slots < 0 {
			return false
		}
		if r.tokens > 0 {
			n := min(chunk, r.tokens)
			r.tokens, chunk = r.tokens-n, chunk-n
			prefill += time.Duration(n) * promptPerToken
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
			events = promptStep
			return false
		}
		kind := short
		if r.long {
			kind = long
		}
		kind.first, kind.whole = append(kind.first, r.first.Sub(r.arrived)), append(kind.whole, now.Sub(r.arrived))
		t.Ended(e.server.ID, "", Answered, 0, now)
		t.Release(r.ticket, true, now)
		return true
	})
	e.next = now.Add(max(prefill+events, time.Millisecond))
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
				load.run(seed, state, &shorts[i], &longs[i])
			}
		}
		for i, name := range []string{"without figures", "with figures", "with wrong figures"} {
			t.Logf("%+v, %s\nshort %s\nlong  %s", load, name, shorts[i], longs[i])
		}
		var first, whole [3]time.Duration // p99 of short and of long prompts
		for i := range statements {
			first[i], whole[i] = quantile(shorts[i].first, 0.99), quantile(longs[i].whole, 0.99)
		}
		limit := first[0] / 5
		if load.longs > 3 {
			limit = first[0] * 2 / 3 // nearly all engines have a long prompt at any time
		}
		if first[1] > limit || whole[1] > whole[0]*21/20 || first[2] > first[0]*3/2 || whole[2] > whole[0]*3/2 {
			t.Errorf("%+v: short prompts wait %s, long ones are complete after %s", load, first, whole)
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
