package dispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bulrushspoke/wire"
)

// fakeEngines is a fake fleet whose servers can be slowed down, in virtual time.
type fakeEngines struct {
	candidates []Candidate
	slots      []chan struct{}
	slow       func(server int) bool
}

const (
	normalInterval = 10 * time.Millisecond
	slowInterval   = 10 * normalInterval
	tokensPerChunk = 4
	slotsPerServer = 8
)

func newEngines(n int) *fakeEngines {
	e := &fakeEngines{slow: func(int) bool { return false }}
	for i := range n {
		e.candidates = append(e.candidates, Candidate{
			Server: wire.Server{Kind: Engine, Model: "m", Name: fmt.Sprintf("s%02d", i), Slots: slotsPerServer, Up: true, Version: 1},
			Daemon: fmt.Sprintf("%d", i), Region: "nord", Linked: true,
		})
		e.slots = append(e.slots, make(chan struct{}, slotsPerServer))
	}
	return e
}

func (e *fakeEngines) Candidates(string, string) []Candidate { return e.candidates }

func (e *fakeEngines) Drop(string, ...string) {}

func (e *fakeEngines) Start(_ context.Context, daemon string, w wire.Work) (Stream, error) {
	var i int
	_, _ = fmt.Sscanf(daemon, "%d", &i)
	return &fakeEngineStream{engines: e, server: i, work: w, at: len(w.Held)}, nil
}

type fakeEngineStream struct {
	engines   *fakeEngines
	server    int
	work      wire.Work
	at        int
	holdsSlot bool
}

func (r *fakeEngineStream) Cancel(string) {
	if r.holdsSlot {
		<-r.engines.slots[r.server]
		r.holdsSlot = false
	}
}

func (r *fakeEngineStream) Next(ctx context.Context) (Event, error) {
	if !r.holdsSlot {
		select {
		case r.engines.slots[r.server] <- struct{}{}:
			r.holdsSlot = true
		case <-ctx.Done():
			return Event{}, ctx.Err()
		}
	}
	if r.at >= r.work.Max {
		r.Cancel("")
		return Event{Done: &wire.Done{Total: r.at, Finish: "length"}}, nil
	}
	n := min(tokensPerChunk, r.work.Max-r.at)
	c := &wire.Chunk{Offset: r.at, Spans: []wire.Span{{First: r.at, Last: r.at + n - 1, Version: 1}}}
	for range n {
		interval := normalInterval
		if r.engines.slow(r.server) {
			interval = slowInterval
		}
		select {
		case <-time.After(interval):
		case <-ctx.Done():
			return Event{}, ctx.Err()
		}
		c.Tokens = append(c.Tokens, "x")
	}
	r.at += n
	return Event{Chunk: c}, nil
}

// measureP99 runs live work for some time and returns the 99th percentile of its latency in seconds, and the counts.
func measureP99(t *testing.T, seed uint64, slow func(start time.Time) func(int) bool) (p99 float64, n Counts) {
	synctest.Test(t, func(t *testing.T) {
		const servers, duration, load = 14, 25 * time.Second, 0.5
		e := newEngines(servers)
		e.slow = slow(time.Now())
		d := New(e, nil, nil, "nord", [32]byte{byte(seed)}, Defaults(), newDispatcher(nil).logger)
		random := rand.New(rand.NewPCG(seed, 0))
		var mu sync.Mutex
		var wg sync.WaitGroup
		var times []float64
		const tokens = 64
		gap := float64(tokens) * normalInterval.Seconds() / (load * servers * slotsPerServer)
		for end := time.Now().Add(duration); time.Now().Before(end); {
			time.Sleep(time.Duration(random.ExpFloat64() * gap * float64(time.Second)))
			wg.Go(func() {
				begin := time.Now()
				j := newJob("a", tokens)
				j.Hedge = true
				if _, err := d.Run(context.Background(), j); err != nil {
					return
				}
				mu.Lock()
				defer mu.Unlock()
				times = append(times, time.Since(begin).Seconds())
			})
		}
		wg.Wait()
		slices.Sort(times)
		p99, n = times[len(times)*99/100], d.Counts()
	})
	return p99, n
}

// Guards against live work that waits on slowed servers, and against hedges and retries that amplify an overload. The
// bounds are those of the design: 1.5 times the undisturbed p99, and 10% above the offered load.
func TestSlowed(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { testSlowed(t, seed) })
	}
}

func testSlowed(t *testing.T, seed uint64) {
	none := func(time.Time) func(int) bool { return func(int) bool { return false } }
	quarter := func(begin time.Time) func(int) bool {
		return func(s int) bool {
			return s < 4 && time.Since(begin) > 5*time.Second && time.Since(begin) < 15*time.Second
		}
	}
	all := func(begin time.Time) func(int) bool {
		return func(int) bool { return time.Since(begin) > 5*time.Second && time.Since(begin) < 10*time.Second }
	}
	base, _ := measureP99(t, seed, none)
	slowed, n := measureP99(t, seed, quarter)
	t.Logf("seed %d: p99 %.3f s, a quarter slowed: %.3f s, ratio %.2f, %+v", seed, base, slowed, slowed/base, n)
	if slowed > 1.5*base {
		t.Fatalf("p99 %.3f s with a quarter of the servers slowed, %.3f s without", slowed, base)
	}
	_, m := measureP99(t, seed, all)
	t.Logf("seed %d: all slowed: %+v", seed, m)
	for _, c := range []Counts{n, m} {
		if limit := float64(c.Requests)/10 + initialBudget; float64(c.Attempts-c.Requests) > limit {
			t.Fatalf("counts %+v, at most %.0f extra", c, limit)
		}
	}
}

// instantPool is a pool whose servers answer at once.
type instantPool struct {
	*fakeEngines
}

func (p instantPool) Start(_ context.Context, _ string, w wire.Work) (Stream, error) {
	return &instantStream{max: w.Max}, nil
}

type instantStream struct{ at, max int }

func (s *instantStream) Cancel(string) {}

func (s *instantStream) Next(context.Context) (Event, error) {
	if s.at == s.max {
		return Event{Done: &wire.Done{Total: s.at}}, nil
	}
	c := &wire.Chunk{Offset: s.at, Tokens: make([]string, tokensPerChunk), Spans: []wire.Span{{First: s.at, Last: s.at + tokensPerChunk - 1, Version: 1}}}
	s.at += tokensPerChunk
	return Event{Chunk: c}, nil
}

// BenchmarkRun measures the cost of a whole request of 64 tokens in 16 chunks.
func BenchmarkRun(b *testing.B) {
	for _, n := range []int{14, 1500} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			d := New(instantPool{newEngines(n)}, nil, nil, "nord", [32]byte{1}, Defaults(), newDispatcher(nil).logger)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := d.Run(context.Background(), newJob("a", 64)); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
