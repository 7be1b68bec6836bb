// Package entry handles the links that entries open to the daemon.
//
// # Usage
//
//	l := entry.New(config, table, queues, targets, drain, logger)
//	err := link.Accept(ctx, identity, l, l.Opened, logger)
//
// The goroutine that reads a link handles each message at once. The output of each attempt is sent by a separate
// goroutine, so that a slow link delays only its own streams.
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
	// maxChunkTokens and maxChunkBytes bound the tokens of one message, so that the streams of a link alternate.
	maxChunkTokens = 512
	maxChunkBytes  = 256 << 10
	// maxKeyBytes is the size limit of an idempotency key, including its workspace.
	maxKeyBytes     = 512
	askPollInterval = 5 * time.Millisecond
	// maxTokens is the largest output that a work message may request; entries enforce the lower limit of the profile.
	maxTokens = 1 << 20
)

// Config describes the daemon.
type Config struct {
	Name        string
	Incarnation string
	Domain      string
	Region      string
	AskGrace    time.Duration // how long an ask for an unknown key waits for the key's work
}

// Targets stores the newest weight target of each model. *engine.Targets implements it.
type Targets interface {
	// Offer adds a target that an entry has sent.
	Offer(t wire.Target)
	// SetPlace stores the position of a server in the order of loading.
	SetPlace(p wire.Place)
	// All returns the newest target of each model.
	All() []wire.Target
}

// Links is the set of open links to entries. It implements link.Handler.
type Links struct {
	config   Config
	table    *attempt.Table
	queues   map[string]*queue.Queue
	targets  Targets
	drain    func(reason string)
	logger   *slog.Logger
	revision atomic.Int64
	senders  sync.WaitGroup
	stateMu  sync.Mutex // held while server states are read and sent, so that the newest is sent last

	mu      sync.Mutex
	conns   map[*link.Conn]struct{}
	leaving bool
}

// New returns an empty set. drain is called when an entry asks the daemon to drain.
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

// Hello returns the first message of a link, with the state of the daemon.
func (l *Links) Hello() wire.Hello {
	l.mu.Lock()
	leaving := l.leaving
	l.mu.Unlock()
	h := wire.Hello{
		Name: l.config.Name, Inc: l.config.Incarnation, Role: "daemon", Domain: l.config.Domain, Region: l.config.Region,
		Rev: l.revision.Load(), Leaving: leaving, Era: l.table.Era(time.Now()), Targets: l.targets.All(),
	}
	for _, q := range l.queues {
		h.Servers = append(h.Servers, q.Server())
	}
	return h
}

// Opened adds a link, and takes the configuration revision and the targets from the hello of the entry.
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
	l.raiseRevision(c.Peer().Rev)
	for _, t := range c.Peer().Targets {
		l.targets.Offer(t)
	}
	// The state may have changed since the hello was created, so it is sent again. The lock orders it before any later
	// change, so that the last message about a server has its newest state. A link that is closed by now needs none.
	l.stateMu.Lock()
	defer l.stateMu.Unlock()
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
		// A link that is full or closed loses the message. The hello of the next link has the state again.
		_ = c.Notify(kind, body)
	}
}

// Leave stops the admission of new work and tells all entries.
func (l *Links) Leave() {
	l.mu.Lock()
	l.leaving = true
	l.mu.Unlock()
	l.Broadcast(link.State, wire.State{Leaving: true})
}

// Leaving reports whether the daemon is leaving and accepts no new work.
func (l *Links) Leaving() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leaving
}

// ServerChanged sends the changed state of a server to all entries.
func (l *Links) ServerChanged(s wire.Server, crashed bool) {
	l.stateMu.Lock()
	defer l.stateMu.Unlock()
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

// raiseRevision updates the highest configuration revision seen and returns it.
func (l *Links) raiseRevision(rev int64) int64 {
	for {
		have := l.revision.Load()
		if rev <= have {
			return have
		}
		if l.revision.CompareAndSwap(have, rev) {
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

// serve decodes the body of a message and calls its handler. It ignores that the link was closed in the meantime.
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

// ask replies with the outcome of a key. A second entry that finds a new claim may ask before the work from the first entry
// has arrived, so the daemon waits for the work of an unknown key before it writes a tombstone.
func (l *Links) ask(c *link.Conn, f link.Frame, m wire.Ask) error {
	if len(m.Key) > maxKeyBytes {
		return c.Reply(f, link.Fate, wire.Fate{State: "unknown"})
	}
	if !l.table.Expects(time.Now(), m) {
		return c.Reply(f, link.Fate, l.table.Ask(time.Now(), m))
	}
	go supervise.Guard(l.logger, "ask", func() {
		for end := time.Now().Add(l.config.AskGrace); time.Now().Before(end) && l.table.Expects(time.Now(), m); {
			time.Sleep(askPollInterval)
		}
		// If the link is closed by now, no reply is needed; the tombstone stays.
		_ = c.Reply(f, link.Fate, l.table.Ask(time.Now(), m))
	})
	return nil
}

func (l *Links) notice(m wire.Notice) {
	l.raiseRevision(m.Rev)
	// Positions are stored first, because a target starts a delay that depends on them.
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

// work acknowledges or refuses a work message and starts to send the output from the message's offset on.
func (l *Links) work(c *link.Conn, f link.Frame, w wire.Work) error {
	a, err := l.admit(time.Now(), w)
	if err != nil {
		return c.Reply(f, link.Refuse, err.Wire(w.Attempt, l.revision.Load()))
	}
	ack := wire.Ack{State: a.State(), Rev: l.revision.Load()}
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

// admit returns the attempt for a work message: an existing one, or a new one that it has queued.
func (l *Links) admit(now time.Time, w wire.Work) (*attempt.Attempt, *refusal.Error) {
	if a, err := l.table.Find(now, w.Attempt); a != nil || err != nil {
		return a, err
	}
	if err := check(w); err != nil {
		return nil, err
	}
	if have := l.raiseRevision(w.Rev); w.Rev < have {
		return nil, refusal.New(refusal.StaleConfig, refusal.NotRun, "revision %d is in force", have)
	}
	q := l.queues[w.Server]
	if q == nil {
		return nil, refusal.New(refusal.NotFound, refusal.NotRun, "no server %q here", w.Server)
	}
	// The lock is held because a drain waits for all attempts that were admitted before it began.
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

// check refuses an invalid work message.
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
	case len(w.Key) > maxKeyBytes:
		return bad("the key has %d bytes, at most %d", len(w.Key), maxKeyBytes)
	}
	return nil
}

// send sends the output of an attempt from an offset on. It returns once the end is sent, the link is closed or another
// reader attaches to the attempt.
func (l *Links) send(c *link.Conn, a *attempt.Attempt, from int) {
	ctx, detach := a.Attach(context.Background())
	defer func() { detach(time.Now()) }()
	for {
		o, more := a.Next(from, maxChunkTokens, maxChunkBytes)
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

// refuse returns the message for an attempt that ended with a refusal, with the last part of its output.
func (l *Links) refuse(a *attempt.Attempt, o attempt.Output) wire.Refuse {
	m := o.End.Refusal.Wire(a.ID(), l.revision.Load())
	m.Crashed = o.End.Crashed
	m.Sole = o.End.Sole
	m.Offset = o.Offset
	m.Tokens = o.Tokens
	m.Spans = o.Spans
	return m
}
