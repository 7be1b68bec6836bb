package dispatch

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"time"

	"bulrushspoke/internal/refusal"
	"bulrushspoke/wire"
)

// plan is how one attempt behaves.
type plan struct {
	refuse *refusal.Error // answer to the start
	end    string         // "", lost, crash, drain, silent
	after  int            // tokens before that end
	wait   time.Duration  // time before the first token
	pace   time.Duration  // time per token, 10 ms if 0
	repeat bool           // each message repeats all tokens of the attempt
}

// pool is a stand-in for the daemons that counts what really runs.
type pool struct {
	mu      sync.Mutex
	servers []Candidate
	plan    func(w wire.Work) plan
	crash   map[string]bool // prompts that crash their server
	streams []*stream
	starts  int
	runs    map[string]int // by request
	falls   map[string]int // crashes by prompt
	dropped []string
}

type stream struct {
	pool    *pool
	work    wire.Work
	plan    plan
	version int64
	sent    int
	crashed chan struct{}
	sole    bool
	running bool
	over    bool
}

func newPool(n int) *pool {
	p := &pool{crash: map[string]bool{}, runs: map[string]int{}, falls: map[string]int{}, plan: func(wire.Work) plan { return plan{} }}
	for i := range n {
		p.servers = append(p.servers, Candidate{
			Server: wire.Server{Kind: Engine, Model: "m", Name: fmt.Sprintf("s%d", i), Slots: 4, Up: true, Version: 7},
			Daemon: fmt.Sprintf("d%d", i), Region: "nord", Linked: true,
		})
	}
	return p
}

func (p *pool) Candidates(kind, model string) []Candidate {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []Candidate
	for _, c := range p.servers {
		if c.Server.Kind == kind && c.Server.Model == model {
			out = append(out, c)
		}
	}
	return out
}

func (p *pool) Start(_ context.Context, _ string, w wire.Work) (Stream, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.starts++
	k := p.plan(w)
	if k.refuse != nil {
		if k.refuse.Ran() != refusal.NotRun {
			p.runs[w.Request]++
		}
		return nil, k.refuse
	}
	p.runs[w.Request]++
	s := &stream{pool: p, work: w, plan: k, crashed: make(chan struct{})}
	for _, c := range p.servers {
		if c.Server.Name == w.Server {
			s.version = c.Server.Version
		}
	}
	p.streams = append(p.streams, s)
	return s, nil
}

// run waits for the server, which runs a solo attempt alone.
func (s *stream) run(ctx context.Context) {
	for !s.running && !s.enter() {
		select {
		case <-time.After(5 * time.Millisecond):
		case <-ctx.Done():
			return
		}
	}
}

func (s *stream) enter() bool {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	before := true
	for _, o := range s.pool.streams {
		before = before && o != s
		if o == s || o.over || o.work.Server != s.work.Server {
			continue
		}
		if (o.work.Solo && (o.running || before)) || (s.work.Solo && o.running) {
			return false
		}
	}
	s.running = true
	if s.pool.crash[s.work.Prompt] {
		time.AfterFunc(25*time.Millisecond, func() { s.pool.fall(s) })
	}
	return true
}

// fall crashes the server of s with everything on it.
func (p *pool) fall(s *stream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s.over {
		return
	}
	p.falls[s.work.Prompt]++
	var on []*stream
	for _, o := range p.streams {
		if o.work.Server == s.work.Server && o.running && !o.over {
			on = append(on, o)
		}
	}
	for _, o := range on {
		o.over, o.sole = true, len(on) == 1
		close(o.crashed)
	}
}

func (p *pool) Drop(_ string, attempts ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropped = append(p.dropped, attempts...)
}

func (s *stream) Cancel(string) {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	s.over = true
}

func text(prompt string, i int) string { return fmt.Sprintf("%s:%d ", prompt, i) }

func (s *stream) Next(ctx context.Context) (Event, error) {
	s.run(ctx)
	at := len(s.work.Held) + s.sent
	if s.sent == s.plan.after && s.plan.end != "" {
		return s.fail(ctx, at)
	}
	if s.work.Call != nil || at >= s.work.Max {
		s.pool.mu.Lock()
		defer s.pool.mu.Unlock()
		s.over = true
		return Event{Done: &wire.Done{Attempt: s.work.Attempt, Total: at, Finish: "length"}}, nil
	}
	d := s.plan.pace
	if d == 0 {
		d = 10 * time.Millisecond
	}
	if s.sent == 0 {
		d += s.plan.wait
	}
	select {
	case <-time.After(d):
	case <-s.crashed:
		return Event{Refuse: &wire.Refuse{Attempt: s.work.Attempt, Code: "crashed", Ran: "partial", Crashed: true, Sole: s.sole}}, nil
	case <-ctx.Done():
		return Event{}, ctx.Err()
	}
	s.sent++
	from := at
	if s.plan.repeat {
		from = len(s.work.Held)
	}
	c := &wire.Chunk{Attempt: s.work.Attempt, Offset: from, Spans: []wire.Span{{Version: s.version, First: from, Last: at}}}
	for i := from; i <= at; i++ {
		c.Tokens = append(c.Tokens, text(s.work.Prompt, i))
	}
	return Event{Chunk: c}, nil
}

func (s *stream) fail(ctx context.Context, at int) (Event, error) {
	if s.plan.end != "silent" {
		s.Cancel("")
	}
	r := &wire.Refuse{Attempt: s.work.Attempt, Ran: "partial", Code: "leaving"}
	switch s.plan.end {
	case "lost":
		return Event{}, errors.New("link lost")
	case "crash":
		r.Code, r.Crashed = "crashed", true
		return Event{Refuse: r}, nil
	case "drain":
		// A daemon that drains hands over a token that was not sent before.
		if at < s.work.Max {
			r.Offset, r.Tokens = at, []string{text(s.work.Prompt, at)}
			r.Spans = []wire.Span{{Version: s.version, First: at, Last: at}}
		}
		return Event{Refuse: r}, nil
	default:
		<-ctx.Done()
		return Event{}, ctx.Err()
	}
}

func dispatcher(p *pool) *Dispatcher {
	return New(p, nil, nil, "nord", [32]byte{1}, Defaults(), slog.New(slog.DiscardHandler))
}

func job(prompt string, tokens int) Job {
	return Job{
		Work:     wire.Work{Request: prompt, Workspace: "t", Class: Live, Profile: "p", Model: "m", Prompt: prompt, Max: tokens},
		Deadline: time.Now().Add(time.Minute),
	}
}

// check fails unless the result is the whole answer with a version for every token.
func check(t interface{ Fatalf(string, ...any) }, r Result, prompt string, tokens int) {
	want := make([]string, tokens)
	for i := range want {
		want[i] = text(prompt, i)
	}
	if !slices.Equal(r.Tokens, want) {
		t.Fatalf("got tokens %v, want %d of %s", r.Tokens, tokens, prompt)
	}
	if _, ok := cover(r.Spans, 0, tokens-1); !ok {
		t.Fatalf("spans %v do not cover %d tokens", r.Spans, tokens)
	}
}

func code(t *testing.T, err error) *refusal.Error {
	t.Helper()
	var e *refusal.Error
	if !errors.As(err, &e) {
		t.Fatalf("got %v, want a refusal", err)
	}
	return e
}
