// Package entry serves the links that entries open to the daemon.
//
// # Usage
//
//	l := entry.New(config, table, queues, logger)
//	err := link.Accept(ctx, identity, l, l.Opened, logger)
//
// A link's reading task handles each message at once; the output of each attempt is sent by a task of its own, so
// that a slow link delays its own streams only.
package entry

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"bulrushspoke/daemon/internal/attempt"
	"bulrushspoke/daemon/internal/queue"
	"bulrushspoke/internal/event"
	"bulrushspoke/internal/link"
	"bulrushspoke/internal/refusal"
	"bulrushspoke/internal/supervise"
	"bulrushspoke/wire"
)

const (
	// maxChunk and maxBytes bound the tokens of one message, so that the streams of a link take turns.
	maxChunk = 512
	maxBytes = 256 << 10
	// maxKey bounds an idempotency key with its workspace, in bytes.
	maxKey   = 512
	askPause = 5 * time.Millisecond
	// maxTokens bounds the answer that a work message may ask for; entries enforce the lower limit of the profile.
	maxTokens = 1 << 20
)

// Config is what the daemon tells of itself.
type Config struct {
	Name   string
	Inc    string
	Domain string
	Region string
	Grace  time.Duration // how long a question for an unseen key waits for its work
}

// Targets keeps the highest weight target of each model.
type Targets interface {
	// Offer passes on a target that an entry sent.
	Offer(t wire.Target)
	// SetPlace takes over the place of a server among those that change their weights.
	SetPlace(p wire.Place)
	// All returns the highest targets seen.
	All() []wire.Target
}

// Links is the set of links to entries.
type Links struct {
	config  Config
	table   *attempt.Table
	queues  map[string]*queue.Queue
	targets Targets
	drain   func(reason string)
	logger  *slog.Logger
	rev     atomic.Int64
	senders sync.WaitGroup
	order   sync.Mutex // held while states of servers are sent

	mu      sync.Mutex
	conns   map[*link.Conn]struct{}
	leaving bool
}

// New returns an empty set; drain is called when an entry asks the daemon to leave.
func New(
	c Config, t *attempt.Table, queues map[string]*queue.Queue, targets Targets, drain func(string), logger *slog.Logger,
) *Links {
	return &Links{
		config:  c,
		table:   t,
		queues:  queues,
		targets: targets,
		drain:   drain,
		logger:  logger,
		conns:   make(map[*link.Conn]struct{}),
	}
}

// Hello returns the first message of a link.
func (l *Links) Hello() wire.Hello {
	l.mu.Lock()
	leaving := l.leaving
	l.mu.Unlock()
	h := wire.Hello{
		Name: l.config.Name, Inc: l.config.Inc, Role: "daemon", Domain: l.config.Domain, Region: l.config.Region,
		Rev: l.rev.Load(), Leaving: leaving, Era: l.table.Era(time.Now()), Targets: l.targets.All(),
	}
	for _, q := range l.queues {
		h.Servers = append(h.Servers, q.Server())
	}
	return h
}

// Opened adds a link.
func (l *Links) Opened(c *link.Conn) {
	l.mu.Lock()
	l.conns[c] = struct{}{}
	leaving := l.leaving
	l.mu.Unlock()
	go supervise.Guard(l.logger, "link end", func() {
		<-c.Done()
		l.mu.Lock()
		delete(l.conns, c)
		l.mu.Unlock()
	})
	l.raise(c.Peer().Rev)
	for _, t := range c.Peer().Targets {
		l.targets.Offer(t)
	}
	// The state may have changed since the hello was made; a link that is closed by now needs none. A change that comes
	// meanwhile is sent after what is read here, so that the last message of a server is its newest state.
	l.order.Lock()
	defer l.order.Unlock()
	for _, q := range l.queues {
		s := q.Server()
		_ = c.Notify(link.State, wire.State{Server: &s, Leaving: leaving})
	}
}

// Broadcast sends a message over every link.
func (l *Links) Broadcast(kind string, body any) {
	l.mu.Lock()
	conns := make([]*link.Conn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	l.mu.Unlock()
	for _, c := range conns {
		// A link that is full or closed misses it; hello repeats the state on the next one.
		_ = c.Notify(kind, body)
	}
}

// Leave announces that the daemon takes no new work.
func (l *Links) Leave() {
	l.mu.Lock()
	l.leaving = true
	l.mu.Unlock()
	l.Broadcast(link.State, wire.State{Leaving: true})
}

// Leaving reports whether the daemon takes no new work.
func (l *Links) Leaving() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leaving
}

// Changed tells every entry of a change of a server.
func (l *Links) Changed(s wire.Server, crashed bool) {
	l.order.Lock()
	defer l.order.Unlock()
	l.Broadcast(link.State, wire.State{Server: &s, Crashed: crashed, Leaving: l.Leaving()})
}

// Close closes all links.
func (l *Links) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.Close()
	}
}

// raise raises the highest configuration revision seen and returns it.
func (l *Links) raise(rev int64) int64 {
	for {
		have := l.rev.Load()
		if rev <= have {
			return have
		}
		if l.rev.CompareAndSwap(have, rev) {
			return rev
		}
	}
}

// Serve implements link.Handler.
func (l *Links) Serve(c *link.Conn, f link.Frame) error {
	switch f.Kind {
	case link.Work:
		return serve(f, func(w wire.Work) error { return l.work(c, f, w) })
	case link.Cancel:
		return serve(f, func(m wire.Cancel) error { l.cancel(m); return nil })
	case link.Drop:
		return serve(f, func(m wire.Drop) error { l.table.Drop(time.Now(), m.Attempts); return nil })
	case link.Ask:
		return serve(f, func(m wire.Ask) error { return l.ask(c, f, m) })
	case link.Collect:
		return serve(f, func(m wire.Collect) error {
			return c.Reply(f, link.Held, l.table.Collect(m.Run, m.Step))
		})
	case link.Target:
		return serve(f, func(m wire.Target) error { l.targets.Offer(m); return nil })
	case link.Drain:
		return serve(f, func(m wire.Drain) error { l.drain(m.Reason); return nil })
	case link.Notice:
		return serve(f, func(m wire.Notice) error { l.notice(m); return nil })
	default:
		event.MessageUnknown.Log(l.logger, "kind", f.Kind, "peer", c.Peer().Name)
		return nil
	}
}

// serve decodes the body of a message for its handler.
func serve[T any](f link.Frame, handle func(T) error) error {
	var m T
	if err := f.Decode(&m); err != nil {
		return err
	}
	err := handle(m)
	if errors.Is(err, link.ErrClosed) {
		return nil
	}
	return err
}

// ask tells what became of a key. A second entry that finds a fresh claim asks before the work of the first has
// arrived, so an unseen key is waited for before it gets its tombstone.
func (l *Links) ask(c *link.Conn, f link.Frame, m wire.Ask) error {
	if len(m.Key) > maxKey {
		return c.Reply(f, link.Fate, wire.Fate{State: "unknown"})
	}
	if !l.table.Expects(time.Now(), m) {
		return c.Reply(f, link.Fate, l.table.Ask(time.Now(), m))
	}
	go supervise.Guard(l.logger, "ask", func() {
		for end := time.Now().Add(l.config.Grace); time.Now().Before(end) && l.table.Expects(time.Now(), m); {
			time.Sleep(askPause)
		}
		// A link that is closed by now needs no answer; the tombstone stays.
		_ = c.Reply(f, link.Fate, l.table.Ask(time.Now(), m))
	})
	return nil
}

func (l *Links) notice(m wire.Notice) {
	l.raise(m.Rev)
	// The places come first, since an offered target starts the delay.
	for _, p := range m.Places {
		if l.queues[p.Server] != nil {
			l.targets.SetPlace(p)
		}
	}
	for _, t := range m.Targets {
		l.targets.Offer(t)
	}
}

func (l *Links) cancel(m wire.Cancel) {
	now := time.Now()
	a, _ := l.table.Find(now, m.Attempt)
	if a == nil {
		return
	}
	if q := l.queues[a.Work().Server]; q != nil {
		q.Cancel(now, a, m.Reason)
	}
}

// work answers a work message at once and sends the output from its offset on.
func (l *Links) work(c *link.Conn, f link.Frame, w wire.Work) error {
	a, err := l.admit(time.Now(), w)
	if err != nil {
		return c.Reply(f, link.Refuse, err.Wire(w.Attempt, l.rev.Load()))
	}
	ack := wire.Ack{State: a.State(), Rev: l.rev.Load()}
	if q := l.queues[a.Work().Server]; q != nil {
		ack.Depth, _ = q.Len()
	}
	if err := c.Reply(f, link.Ack, ack); err != nil {
		return err
	}
	l.senders.Add(1)
	go func() {
		defer l.senders.Done()
		supervise.Guard(l.logger, "sender", func() { l.send(c, a, w.Offset) })
	}()
	return nil
}

// admit returns the attempt whose output is to be sent: a known one, or a new one that was queued.
func (l *Links) admit(now time.Time, w wire.Work) (*attempt.Attempt, *refusal.Error) {
	if a, err := l.table.Find(now, w.Attempt); a != nil || err != nil {
		return a, err
	}
	if err := check(w); err != nil {
		return nil, err
	}
	if have := l.raise(w.Rev); w.Rev < have {
		return nil, refusal.New(refusal.StaleConfig, refusal.NotRun, "revision %d is in force", have)
	}
	q := l.queues[w.Server]
	if q == nil {
		return nil, refusal.New(refusal.NotFound, refusal.NotRun, "no server %q here", w.Server)
	}
	// The lock orders the admission against the start of a drain, which waits for all attempts that were admitted.
	l.mu.Lock()
	if l.leaving {
		l.mu.Unlock()
		return nil, refusal.New(refusal.Leaving, refusal.NotRun, "the daemon is leaving")
	}
	a, fresh, err := l.table.Admit(now, w)
	l.mu.Unlock()
	if err != nil || !fresh {
		return a, err
	}
	if err := q.Submit(now, a); err != nil {
		l.table.Refuse(now, a, err)
		return nil, err
	}
	return a, nil
}

// check refuses a work message that contradicts itself.
func check(w wire.Work) *refusal.Error {
	bad := func(format string, args ...any) *refusal.Error {
		return refusal.New(refusal.BadRequest, refusal.NotRun, format, args...)
	}
	switch {
	case w.Attempt == "":
		return bad("no attempt id")
	case w.Class != attempt.Live && w.Class != attempt.Train:
		return bad("class %q is neither live nor train", w.Class)
	case w.Call == nil && (w.Max < 1 || w.Max > maxTokens):
		return bad("max is %d, allowed are 1 to %d", w.Max, maxTokens)
	case len(w.Held) > w.Max && w.Call == nil:
		return bad("%d tokens are held, at most %d", len(w.Held), w.Max)
	case w.Once && w.Call == nil:
		return bad("a completion cannot be unrepeatable")
	case len(w.Key) > maxKey:
		return bad("the key has %d bytes, at most %d", len(w.Key), maxKey)
	}
	return nil
}

// send sends the output of an attempt from an offset on, until its end is sent, the link closes or another link takes
// the attempt over.
func (l *Links) send(c *link.Conn, a *attempt.Attempt, from int) {
	ctx, detach := a.Attach(context.Background())
	defer func() { detach(time.Now()) }()
	for {
		o, more := a.Next(from, maxChunk, maxBytes)
		if o.End != nil && o.End.Refusal != nil {
			_ = c.Send(ctx, link.Refuse, l.refuse(a, o))
			return
		}
		if len(o.Tokens) > 0 {
			m := wire.Chunk{Attempt: a.ID(), Offset: o.Offset, Tokens: o.Tokens, Spans: o.Spans}
			if err := c.Send(ctx, link.Chunk, m); err != nil {
				return
			}
			from = o.Offset + len(o.Tokens)
		}
		if o.End != nil {
			_ = c.Send(ctx, link.Done, a.Done())
			return
		}
		if o.More {
			continue
		}
		select {
		case <-more:
		case <-ctx.Done():
			return
		case <-c.Done():
			return
		}
	}
}

func (l *Links) refuse(a *attempt.Attempt, o attempt.Output) wire.Refuse {
	m := o.End.Refusal.Wire(a.ID(), l.rev.Load())
	m.Crashed = o.End.Crashed
	m.Sole = o.End.Sole
	m.Offset = o.Offset
	m.Tokens = o.Tokens
	m.Spans = o.Spans
	return m
}
