package batch

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"bulrushspoke/entry/internal/place"
	"bulrushspoke/internal/call"
	"bulrushspoke/internal/catalog"
	"bulrushspoke/internal/event"
	"bulrushspoke/internal/events"
	"bulrushspoke/internal/supervise"
	"bulrushspoke/internal/upstream"
	"bulrushspoke/platform"
)

const (
	// moveAfter is how many events an item makes between two looks whether it ends earlier at another server.
	moveAfter = 8
	// moveMost bounds the moves of one item.
	moveMost = 16
	// moveRest is the least time between two moves of an item: while the new server reads its text, the events of others
	// there are late, which is no reason for them to leave.
	moveRest = 500 * time.Millisecond
	// moveTime bounds the time until the new server makes its first event, and with it the time for which two servers run
	// one item.
	moveTime = 350 * time.Millisecond
)

// leg is the part of an item's way that one server runs.
type leg struct {
	server catalog.Server
	began  time.Time

	// Set once the answer has begun.
	resp *upstream.Response
	in   *events.Reader

	// Set if the item has moved here.
	first    *events.Event // read already
	version  int           // that the head of the answer names
	after    int           // last event made elsewhere
	versions []int         // of the events up to after
	cancel   context.CancelFunc
}

// event returns the next event of the answer.
func (l *leg) event() (events.Event, error) {
	if e := l.first; e != nil {
		l.first = nil
		return *e, nil
	}
	return l.in.Next()
}

// move is an attempt to let an item go on at another server. Until that has made its first event the present server goes
// on, so that a refusal costs nothing. A nil move is one that is over.
type move struct {
	cancel context.CancelFunc

	mu      sync.Mutex
	ended   bool // nothing is in flight any more
	taken   bool // the item goes on there
	dropped bool // the item does not move
	next    *leg // begun and not taken yet
}

// over reports whether another move may begin.
func (m *move) over() bool {
	if m == nil {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ended && m.next == nil
}

// take returns the leg that has begun, nil if none has. The caller runs it.
func (m *move) take() *leg {
	if m == nil {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.next
	if l != nil {
		m.next, m.taken, m.ended = nil, true, true
	}
	return l
}

// drop ends the move and returns the leg that has begun and was not taken, if any.
func (m *move) drop() *leg {
	if m == nil {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.taken {
		return nil
	}
	l := m.next
	m.next, m.dropped = nil, true
	m.cancel()
	return l
}

// wanted reports whether the item may still move.
func (m *move) wanted() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.dropped
}

// offer hands over the leg that has begun; false if it is not wanted any more.
func (m *move) offer(l *leg) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.dropped {
		return false
	}
	m.next = l
	return true
}

// end notes that nothing is in flight any more.
func (m *move) end() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ended = true
}

// move begins to move an item if it ends earlier at another server, and returns nil if it does not.
func (j *Job) move(ctx context.Context, it *item, present *leg, route *catalog.Route, now time.Time) *move {
	j.mu.Lock()
	allowed := it.moves < moveMost && now.Sub(it.moved) >= moveRest
	j.mu.Unlock()
	if !allowed {
		return nil
	}
	need := j.need(it, now)
	need.Tried = map[string]bool{present.server.ID: true}
	s, ok := j.manager.Tracker.Better(now, present.server, j.manager.Catalog.Servers(present.server.Service), need)
	if !ok {
		return nil
	}
	ctx, cancel := context.WithCancel(ctx)
	l := &leg{server: s, began: now, cancel: cancel}
	j.mu.Lock()
	it.moves, it.moved = it.moves+1, now
	l.after, l.versions = len(it.data), slices.Clone(it.versions)
	j.mu.Unlock()
	m := &move{cancel: cancel}
	go supervise.Guard(j.manager.Logger, "move", func() { j.try(ctx, it, m, l, present.resp, route) })
	return m
}

// try sends an item to the server that it is to move to. Once that makes events, the answer of the present one is cut.
func (j *Job) try(ctx context.Context, it *item, m *move, l *leg, present *upstream.Response, route *catalog.Route) {
	defer m.end()
	late := time.AfterFunc(moveTime, l.cancel)
	outcome, cause := j.open(ctx, it, l, route)
	inTime := late.Stop()
	if cause == "" && inTime && m.offer(l) {
		present.Cut()
		return
	}
	if cause == "" {
		l.resp.Abandon()
	}
	l.cancel()
	switch {
	case !m.wanted():
		outcome, cause = place.Abandoned, causeUnwanted
	case !inTime:
		outcome, cause = place.Silent, causeSilent
	}
	j.stays(it, l, outcome, cause)
}

// stays notes that an item does not move to the server of a leg.
func (j *Job) stays(it *item, l *leg, outcome place.Outcome, cause string) {
	now := time.Now()
	j.manager.Tracker.Ended(l.server.ID, j.spec.Model, outcome, 0, now)
	event.MoveFailed.Log(j.manager.Logger, "job", j.spec.ID, "request", it.ID, "server", l.server.ID, "cause", cause,
		"after", l.after, "ms", now.Sub(l.began).Milliseconds())
}

// settle ends a move whose item goes on here or not at all.
func (j *Job) settle(it *item, m *move) {
	if l := m.drop(); l != nil {
		l.resp.Abandon()
		j.stays(it, l, place.Abandoned, causeUnwanted)
	}
}

// open sends an item to the server of a leg and waits for the first event there. An empty cause tells that it has come.
func (j *Job) open(ctx context.Context, it *item, l *leg, route *catalog.Route) (outcome place.Outcome, cause string) {
	r, err := j.post(ctx, l.server, it.ID, j.request(it, l.server, route, l.after, l.began))
	if err != nil {
		return place.Broken, err.Error()
	}
	resp := r.resp
	switch {
	case r.meaning == call.NotRun:
		resp.Discard()
		return place.Refused, causeRefused
	case r.meaning == call.Foreign:
		resp.Abandon()
		return place.Broken, call.CauseForeign
	case resp.StatusCode != http.StatusOK:
		resp.Discard()
		return place.Refused, causeFailed
	}
	in := events.NewReader(resp.Body, platform.Headers{}.VersionLine())
	e, err := in.Next()
	if err != nil {
		resp.Abandon()
		return place.Broken, err.Error()
	}
	version := r.answer.Version
	if e.Version > 0 {
		version = e.Version
	}
	if e.ID != l.after+1 || version < j.spec.MinVersion || route.SingleVersion && !slices.Equal(l.versions, []int{version}) {
		resp.Abandon()
		return place.Refused, "the answer does not continue the text"
	}
	l.resp, l.in, l.first, l.version = resp, in, &e, r.answer.Version
	return place.Answered, ""
}

// follow goes on reading an answer that began while the item ran elsewhere. What that server made meanwhile is dropped,
// as the answer continues the text as it was before.
func (j *Job) follow(ctx context.Context, it *item, l *leg, route *catalog.Route) verdict {
	defer l.cancel()
	j.mu.Lock()
	done := len(it.data) < l.after
	if !done {
		it.data, it.versions = it.data[:l.after], l.versions
	}
	j.mu.Unlock()
	if done {
		l.resp.Abandon()
		return verdict{outcome: place.Abandoned, cause: "the item is listed"}
	}
	watch := j.watch(l.server, l.cancel)
	defer watch.stop()
	watch.progress(time.Now())
	return j.read(ctx, it, l, watch, l.after, verdict{status: http.StatusOK, version: l.version}, route)
}
