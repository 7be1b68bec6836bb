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

// script is the behaviour of one attempt.
type script struct {
	refuse          *refusal.Error // refusal that Start returns
	end             string         // how it ends early: lost, crash, drain or silent; "" if it does not
	after           int            // tokens before that end
	firstTokenDelay time.Duration  // delay before the first token
	tokenInterval   time.Duration  // time per token, 10 ms if 0
	resend          bool           // each message repeats all tokens of the attempt
}

// fakePool is a fake of the daemons that counts what really runs.
type fakePool struct {
	mu       sync.Mutex
	servers  []Candidate
	script   func(w wire.Work) script
	crashing map[string]bool // prompts that crash their server
	streams  []*fakeStream
	starts   int
	runs     map[string]int // by request
	crashes  map[string]int // by prompt
	dropped  []string
}

type fakeStream struct {
	pool    *fakePool
	work    wire.Work
	script  script
	version int64
	sent    int
	crashed chan struct{}
	alone   bool
	running bool
	ended   bool
}

func newPool(n int) *fakePool {
	p := &fakePool{crashing: map[string]bool{}, runs: map[string]int{}, crashes: map[string]int{}, script: func(wire.Work) script { return script{} }}
	for i := range n {
		p.servers = append(p.servers, Candidate{
			Server: wire.Server{Kind: Engine, Model: "m", Name: fmt.Sprintf("s%d", i), Slots: 4, Up: true, Version: 7},
			Daemon: fmt.Sprintf("d%d", i), Region: "nord", Linked: true,
		})
	}
	return p
}

func (p *fakePool) Candidates(kind, model string) []Candidate {
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

func (p *fakePool) Start(_ context.Context, _ string, w wire.Work) (Stream, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.starts++
	k := p.script(w)
	if k.refuse != nil {
		if k.refuse.Ran() != refusal.NotRun {
			p.runs[w.Request]++
		}
		return nil, k.refuse
	}
	p.runs[w.Request]++
	s := &fakeStream{pool: p, work: w, script: k, crashed: make(chan struct{})}
	for _, c := range p.servers {
		if c.Server.Name == w.Server {
			s.version = c.Server.Version
		}
	}
	p.streams = append(p.streams, s)
	return s, nil
}

// waitUntilRunning waits until the server runs the attempt, which it does alone if the attempt is solo.
func (s *fakeStream) waitUntilRunning(ctx context.Context) {
	for !s.running && !s.tryRun() {
		select {
		case <-time.After(5 * time.Millisecond):
		case <-ctx.Done():
			return
		}
	}
}

func (s *fakeStream) tryRun() bool {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	before := true
	for _, o := range s.pool.streams {
		before = before && o != s
		if o == s || o.ended || o.work.Server != s.work.Server {
			continue
		}
		if (o.work.Solo && (o.running || before)) || (s.work.Solo && o.running) {
			return false
		}
	}
	s.running = true
	if s.pool.crashing[s.work.Prompt] {
		time.AfterFunc(25*time.Millisecond, func() { s.pool.crashServer(s) })
	}
	return true
}

// crashServer crashes the server of s with every attempt that runs on it.
func (p *fakePool) crashServer(s *fakeStream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s.ended {
		return
	}
	p.crashes[s.work.Prompt]++
	var on []*fakeStream
	for _, o := range p.streams {
		if o.work.Server == s.work.Server && o.running && !o.ended {
			on = append(on, o)
		}
	}
	for _, o := range on {
		o.ended, o.alone = true, len(on) == 1
		close(o.crashed)
	}
}

func (p *fakePool) Drop(_ string, attempts ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropped = append(p.dropped, attempts...)
}

func (s *fakeStream) Cancel(string) {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	s.ended = true
}

func tokenText(prompt string, i int) string { return fmt.Sprintf("%s:%d ", prompt, i) }

func (s *fakeStream) Next(ctx context.Context) (Event, error) {
	s.waitUntilRunning(ctx)
	at := len(s.work.Held) + s.sent
	if s.sent == s.script.after && s.script.end != "" {
		return s.failAsScripted(ctx, at)
	}
	if s.work.Call != nil || at >= s.work.Max {
		s.pool.mu.Lock()
		defer s.pool.mu.Unlock()
		s.ended = true
		return Event{Done: &wire.Done{Attempt: s.work.Attempt, Total: at, Finish: "length"}}, nil
	}
	d := s.script.tokenInterval
	if d == 0 {
		d = 10 * time.Millisecond
	}
	if s.sent == 0 {
		d += s.script.firstTokenDelay
	}
	select {
	case <-time.After(d):
	case <-s.crashed:
		return Event{Refuse: &wire.Refuse{Attempt: s.work.Attempt, Code: "crashed", Ran: "partial", Crashed: true, Sole: s.alone}}, nil
	case <-ctx.Done():
		return Event{}, ctx.Err()
	}
	s.sent++
	from := at
	if s.script.resend {
		from = len(s.work.Held)
	}
	c := &wire.Chunk{Attempt: s.work.Attempt, Offset: from, Spans: []wire.Span{{Version: s.version, First: from, Last: at}}}
	for i := from; i <= at; i++ {
		c.Tokens = append(c.Tokens, tokenText(s.work.Prompt, i))
	}
	return Event{Chunk: c}, nil
}

func (s *fakeStream) failAsScripted(ctx context.Context, at int) (Event, error) {
	if s.script.end != "silent" {
		s.Cancel("")
	}
	r := &wire.Refuse{Attempt: s.work.Attempt, Ran: "partial", Code: "leaving"}
	switch s.script.end {
	case "lost":
		return Event{}, errors.New("link lost")
	case "crash":
		r.Code, r.Crashed = "crashed", true
		return Event{Refuse: r}, nil
	case "drain":
		// A draining daemon hands over a token that it has not sent before.
		if at < s.work.Max {
			r.Offset, r.Tokens = at, []string{tokenText(s.work.Prompt, at)}
			r.Spans = []wire.Span{{Version: s.version, First: at, Last: at}}
		}
		return Event{Refuse: r}, nil
	default:
		<-ctx.Done()
		return Event{}, ctx.Err()
	}
}

func newDispatcher(p *fakePool) *Dispatcher {
	return New(p, nil, nil, "nord", [32]byte{1}, Defaults(), slog.New(slog.DiscardHandler))
}

func newJob(prompt string, tokens int) Job {
	return Job{
		Work:     wire.Work{Request: prompt, Workspace: "t", Class: Live, Profile: "p", Model: "m", Prompt: prompt, Max: tokens},
		Deadline: time.Now().Add(time.Minute),
	}
}

// checkResult fails the test unless the result is the whole answer with a version for every token.
func checkResult(t interface{ Fatalf(string, ...any) }, r Result, prompt string, tokens int) {
	want := make([]string, tokens)
	for i := range want {
		want[i] = tokenText(prompt, i)
	}
	if !slices.Equal(r.Tokens, want) {
		t.Fatalf("got tokens %v, want %d of %s", r.Tokens, tokens, prompt)
	}
	if _, ok := clipSpans(r.Spans, 0, tokens-1); !ok {
		t.Fatalf("spans %v do not cover %d tokens", r.Spans, tokens)
	}
}

func asRefusal(t *testing.T, err error) *refusal.Error {
	t.Helper()
	var e *refusal.Error
	if !errors.As(err, &e) {
		t.Fatalf("got %v, want a refusal", err)
	}
	return e
}
