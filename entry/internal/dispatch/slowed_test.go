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

// engines is a stand-in for a fleet whose servers can be slowed, in virtual time.
type engines struct {
	list  []Candidate
	slots []chan struct{}
	slow  func(server int) bool
}

const (
	usualPace = 10 * time.Millisecond
	slowPace  = 10 * usualPace
	chunk     = 4
	slots     = 8
)

func newEngines(n int) *engines {
	e := &engines{slow: func(int) bool { return false }}
	for i := range n {
		e.list = append(e.list, Candidate{
			Server: wire.Server{Kind: Engine, Model: "m", Name: fmt.Sprintf("s%02d", i), Slots: slots, Up: true, Version: 1},
			Daemon: fmt.Sprintf("%d", i), Region: "nord", Linked: true,
		})
		e.slots = append(e.slots, make(chan struct{}, slots))
	}
	return e
}

func (e *engines) Candidates(string, string) []Candidate { return e.list }

func (e *engines) Drop(string, ...string) {}

func (e *engines) Start(_ context.Context, daemon string, w wire.Work) (Stream, error) {
	var i int
	_, _ = fmt.Sscanf(daemon, "%d", &i)
	return &simulated{engines: e, server: i, work: w, at: len(w.Held)}, nil
}

type simulated struct {
	engines *engines
	server  int
	work    wire.Work
	at      int
	holds   bool
}

func (r *simulated) Cancel(string) {
	if r.holds {
		<-r.engines.slots[r.server]
		r.holds = false
	}
}

func (r *simulated) Next(ctx context.Context) (Event, error) {
	if !r.holds {
		select {
		case r.engines.slots[r.server] <- struct{}{}:
			r.holds = true
		case <-ctx.Done():
			return Event{}, ctx.Err()
		}
	}
	if r.at >= r.work.Max {
		r.Cancel("")
		return Event{Done: &wire.Done{Total: r.at, Finish: "length"}}, nil
	}
	n := min(chunk, r.work.Max-r.at)
	c := &wire.Chunk{Offset: r.at, Spans: []wire.Span{{First: r.at, Last: r.at + n - 1, Version: 1}}}
	for range n {
		pace := usualPace
		if r.engines.slow(r.server) {
			pace = slowPace
		}
		select {
		case <-time.After(pace):
		case <-ctx.Done():
			return Event{}, ctx.Err()
		}
		c.Tokens = append(c.Tokens, "x")
	}
	r.at += n
	return Event{Chunk: c}, nil
}

// tail runs live work for some time and returns the 99th percentile of its time in seconds, and the counts.
func tail(t *testing.T, seed uint64, slow func(start time.Time) func(int) bool) (p99 float64, n Counts) {
	synctest.Test(t, func(t *testing.T) {
		const servers, span, load = 14, 25 * time.Second, 0.5
		e := newEngines(servers)
		e.slow = slow(time.Now())
		d := New(e, nil, nil, "nord", [32]byte{byte(seed)}, Defaults(), dispatcher(nil).logger)
		random := rand.New(rand.NewPCG(seed, 0))
		var mu sync.Mutex
		var wg sync.WaitGroup
		var times []float64
		const tokens = 64
		gap := float64(tokens) * usualPace.Seconds() / (load * servers * slots)
		for end := time.Now().Add(span); time.Now().Before(end); {
			time.Sleep(time.Duration(random.ExpFloat64() * gap * float64(time.Second)))
			wg.Go(func() {
				begin := time.Now()
				j := job("a", tokens)
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

// Guards against live work that waits on slowed servers, and against hedges and retries that add to an overload. The
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
	base, _ := tail(t, seed, none)
	slowed, n := tail(t, seed, quarter)
	t.Logf("seed %d: p99 %.3f s, a quarter slowed: %.3f s, ratio %.2f, %+v", seed, base, slowed, slowed/base, n)
	if slowed > 1.5*base {
		t.Fatalf("p99 %.3f s with a quarter of the servers slowed, %.3f s without", slowed, base)
	}
	_, m := tail(t, seed, all)
	t.Logf("seed %d: all slowed: %+v", seed, m)
	for _, c := range []Counts{n, m} {
		if most := float64(c.Requests)/10 + startLevel; float64(c.Attempts-c.Requests) > most {
			t.Fatalf("counts %+v, at most %.0f extra", c, most)
		}
	}
}

// instant is a pool whose servers answer at once.
type instant struct {
	*engines
}

func (p instant) Start(_ context.Context, _ string, w wire.Work) (Stream, error) {
	return &answered{max: w.Max}, nil
}

type answered struct{ at, max int }

func (s *answered) Cancel(string) {}

func (s *answered) Next(context.Context) (Event, error) {
	if s.at == s.max {
		return Event{Done: &wire.Done{Total: s.at}}, nil
	}
	c := &wire.Chunk{Offset: s.at, Tokens: make([]string, chunk), Spans: []wire.Span{{First: s.at, Last: s.at + chunk - 1, Version: 1}}}
	s.at += chunk
	return Event{Chunk: c}, nil
}

// BenchmarkRun measures the cost of a whole request of 64 tokens in 16 chunks.
func BenchmarkRun(b *testing.B) {
	for _, n := range []int{14, 1500} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			d := New(instant{newEngines(n)}, nil, nil, "nord", [32]byte{1}, Defaults(), dispatcher(nil).logger)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := d.Run(context.Background(), job("a", 64)); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
