package batch

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
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
	// recheck is the pause before items that found no server are tried again: servers that refused are passed over for
	// about as long.
	recheck = 100 * time.Millisecond
	// firstEvent is how long an engine may take until the first event of an item, its queue and a change of weights
	// included.
	firstEvent = 2500 * time.Millisecond
	// nextEvent is how long an engine may pause between two events; a change of weights takes about a second.
	nextEvent = 2 * time.Second
	// moveAfter is how many events an item must have made at a slow server before it moves to another, and between two
	// looks: moving costs the reading of its prompt and text, a few milliseconds.
	moveAfter = 8
	// moveMost bounds the moves of one item.
	moveMost = 6
	// maxText bounds the text of an item in bytes, its events included: a longer one could not be listed, and an engine
	// may send events without end.
	maxText = maxRecord
	// eventCost is what an event takes beside its data, in bytes.
	eventCost = 32
	// itemTime bounds one item on routes that set no time of their own.
	itemTime = 2 * time.Minute
)

// run starts items as servers have room until all are done or ctx ends.
func (j *Job) run(ctx context.Context, listing chan struct{}) {
	for {
		freed, changed := j.manager.freedChan(), j.manager.Catalog.Changed()
		waiting := j.schedule(ctx, listing)
		if waiting < 0 {
			return
		}
		var timer *time.Timer
		var expired <-chan time.Time
		if waiting > 0 {
			timer = time.NewTimer(recheck)
			expired = timer.C
		}
		select {
		case <-j.wake:
		case <-freed:
		case <-changed:
		case <-expired:
		case <-ctx.Done():
		}
		if timer != nil {
			timer.Stop()
		}
		if ctx.Err() != nil {
			return
		}
	}
}

// schedule starts as many items as servers have room for and returns how many wait; negative if all are done.
func (j *Job) schedule(ctx context.Context, listing chan struct{}) int {
	now := time.Now()
	c := j.manager.Catalog.Config()
	if c == nil {
		return 1
	}
	route, ok := c.Match(j.host, j.path)
	pending := j.pending()
	if !ok || j.expired(route, now) {
		j.giveUp(pending, ok)
		notify(listing)
		return j.left()
	}
	// Chosen before reward calls begin, whose outcome changes their items.
	texts := slices.DeleteFunc(pending, func(it *item) bool { return it.whole })
	waiting := j.score(ctx, c, now, listing)
	servers := j.manager.Catalog.Servers(route.Shares[0].Service)
	for _, it := range texts {
		s, ok := j.manager.Tracker.Pick(now, servers, place.Need{
			Model: j.spec.Model, MinVersion: j.spec.MinVersion, Room: true,
		})
		if !ok {
			waiting++
			continue
		}
		j.begin(it, s, listing, now, func() { j.attempt(ctx, it, s, route) })
	}
	if j.left() < 0 {
		notify(listing)
		return -1
	}
	return waiting
}

// begin runs an attempt of an item or of its reward call at a server.
func (j *Job) begin(it *item, s catalog.Server, listing chan struct{}, now time.Time, attempt func()) {
	j.mu.Lock()
	it.running = true
	j.mu.Unlock()
	j.manager.Tracker.Began(s.ID, now)
	go supervise.Guard(j.manager.Logger, "item", func() {
		defer func() {
			j.mu.Lock()
			it.running = false
			j.mu.Unlock()
			j.manager.free()
			notify(j.wake)
			notify(listing)
		}()
		attempt()
	})
}

// pending returns the items that wait for a server or for a score, the most urgent first: those that have begun, and then
// those that are expected to be long.
func (j *Job) pending() []*item {
	j.mu.Lock()
	defer j.mu.Unlock()
	var l []*item
	for _, it := range j.items {
		if !it.done && !it.running {
			l = append(l, it)
		}
	}
	slices.SortFunc(l, func(a, b *item) int {
		if len(a.data) != len(b.data) {
			return len(b.data) - len(a.data)
		}
		if a.hint != b.hint {
			return b.hint - a.hint
		}
		return a.index - b.index
	})
	return l
}

// left returns 0 while items are open and -1 once none is.
func (j *Job) left() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, it := range j.items {
		if !it.done {
			return 0
		}
	}
	return -1
}

func (j *Job) expired(r *catalog.Route, now time.Time) bool {
	return r.Queue > 0 && now.Sub(j.submitted) > r.Queue
}

// giveUp ends items whose time has passed or whose route is gone.
func (j *Job) giveUp(pending []*item, routed bool) {
	cause := "its time has passed"
	if !routed {
		cause = "its route is gone"
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, it := range pending {
		j.void(it)
		event.ItemGivenUp.Log(j.manager.Logger, "job", j.spec.ID, "request", it.ID, "cause", cause)
	}
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// verdict is how an attempt of an item ended.
type verdict struct {
	outcome place.Outcome
	cause   string
	status  int
	version int
	events  int
}

// attempt runs an item on one server.
func (j *Job) attempt(ctx context.Context, it *item, s catalog.Server, route *catalog.Route) {
	began := time.Now()
	v := j.send(ctx, it, s, route, began)
	now := time.Now()
	if ctx.Err() != nil {
		v.outcome, v.cause = place.Abandoned, "the job ended"
	}
	var took time.Duration
	if v.events > 0 {
		took = now.Sub(began) / time.Duration(v.events)
	}
	j.manager.Tracker.Ended(s.ID, j.spec.Model, v.outcome, took, now)
	j.mu.Lock()
	total, done := len(it.data), it.whole || it.done
	j.mu.Unlock()
	event.ItemAttempt.Log(j.manager.Logger, "job", j.spec.ID, "request", it.ID, "server", s.ID, "status", v.status,
		"cause", v.cause, "hint", it.hint, "events", v.events, "total", total, "done", done, "version", v.version, "min", j.spec.MinVersion,
		"ms", now.Sub(began).Milliseconds())
}

// send sends the item and reads its events.
func (j *Job) send(
	ctx context.Context, it *item, s catalog.Server, route *catalog.Route, now time.Time,
) verdict {
	j.mu.Lock()
	after := len(it.data)
	j.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watch := j.watch(s, cancel)
	defer watch.stop()
	codec := platform.Headers{}
	h := make(http.Header, len(it.Header)+4)
	for name, value := range it.Header {
		h.Set(name, value)
	}
	codec.Identify(h, it.ID)
	left := itemTime
	if route.Queue > 0 {
		left = max(route.Queue-now.Sub(j.submitted), time.Second)
	}
	codec.Attempt(h, call.Attempt{Server: s.ID, Left: left, After: after})
	resp, err := j.manager.Pool.Send(ctx, j.target(s),
		upstream.Request{Method: http.MethodPost, URI: it.Path, Host: j.host, Header: h, Body: it.Body})
	if err != nil {
		if ctx.Err() != nil {
			return verdict{outcome: place.Silent, cause: causeSilent}
		}
		return verdict{outcome: place.Broken, cause: err.Error()}
	}
	answer := codec.Answer(resp.StatusCode, resp.Header)
	meaning := j.manager.Catalog.Heard(s, answer, it.ID, time.Now())
	v := verdict{status: resp.StatusCode, version: answer.Version}
	if resp.StatusCode == http.StatusOK && meaning == call.Genuine {
		return j.read(it, s, resp, watch, after, v, route)
	}
	if meaning == call.Foreign {
		resp.Abandon()
		v.outcome, v.cause = place.Broken, call.CauseForeign
		return v
	}
	resp.Discard()
	v.outcome = place.Refused
	switch {
	case meaning == call.NotRun:
		v.cause = "the server refused"
	case resp.StatusCode == http.StatusUnprocessableEntity:
		v.outcome, v.cause = place.Answered, "the item can never be done"
		j.mu.Lock()
		j.void(it)
		j.mu.Unlock()
	case resp.StatusCode == http.StatusInternalServerError:
		v.outcome, v.cause = place.Answered, "the run failed"
		j.mu.Lock()
		if it.failures++; it.failures >= route.Attempts {
			j.void(it)
			event.ItemGivenUp.Log(j.manager.Logger, "job", j.spec.ID, "request", it.ID, "cause", "its runs fail",
				"failures", it.failures)
		}
		j.mu.Unlock()
	default:
		v.cause = "the server failed"
	}
	return v
}

// target returns where the requests to a server are sent.
func (j *Job) target(s catalog.Server) upstream.Target {
	t := upstream.Target{Address: s.Address, Incarnation: s.ID}
	if c := j.manager.Catalog.Config(); c != nil {
		t.Conns = c.Services[s.Service].Conns
	}
	return t
}

// read takes the events of an answer until it ends.
func (j *Job) read(
	it *item, s catalog.Server, resp *upstream.Response, watch *watch, after int, v verdict, route *catalog.Route,
) verdict {
	// An answer without events, to an item whose last event is here already, names no version.
	if v.version < j.spec.MinVersion && (v.version > 0 || after == 0) {
		resp.Abandon()
		v.outcome, v.cause = place.Refused, "the weights are too old"
		return v
	}
	if after > 0 && v.version > 0 && route.SingleVersion && !j.single(it, v.version) {
		return j.restart(it, resp, v)
	}
	in := events.NewReader(resp.Body, platform.Headers{}.VersionLine())
	version := v.version
	size := j.textSize(it)
	var last time.Time // when the newest event came
	for {
		e, err := in.Next()
		if errors.Is(err, io.EOF) {
			resp.Close()
			j.mu.Lock()
			if !it.done {
				j.complete(it, time.Now())
			}
			j.mu.Unlock()
			v.outcome = place.Answered
			return v
		}
		if err != nil {
			resp.Abandon()
			v.outcome, v.cause = place.Broken, err.Error()
			if watch.fired() {
				v.outcome, v.cause = place.Silent, causeSilent
			}
			return v
		}
		now := time.Now()
		if e.Version > 0 {
			version = e.Version
		}
		v.version = version
		if e.ID != after+1 {
			if e.ID > 0 && e.ID <= after {
				continue
			}
			resp.Abandon()
			v.outcome, v.cause = place.Broken, "events are missing"
			return v
		}
		if version < j.spec.MinVersion || route.SingleVersion && after > 0 && !j.single(it, version) {
			return j.restart(it, resp, v)
		}
		if size += len(e.Data) + eventCost; size > maxText {
			v = j.restart(it, resp, v)
			v.outcome, v.cause = place.Broken, "the text has no end"
			return v
		}
		watch.progress(now)
		after++
		v.events++
		if !last.IsZero() {
			j.manager.Tracker.Paced(s.ID, now.Sub(last), now)
		}
		last = now
		j.mu.Lock()
		it.data = append(it.data, e.Data)
		if !slices.Contains(it.versions, version) {
			it.versions = append(it.versions, version)
			slices.Sort(it.versions)
		}
		j.mu.Unlock()
		if v.events%moveAfter == 0 && j.movable(it, s, now) {
			resp.Abandon()
			v.outcome, v.cause = place.Answered, causeMoved
			return v
		}
	}
}

// textSize returns what the text of an item takes so far, in bytes.
func (j *Job) textSize(it *item) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	size := 0
	for _, d := range it.data {
		size += len(d) + eventCost
	}
	return size
}

// restart drops the text of an item, which begins anew under the present weights.
func (j *Job) restart(it *item, resp *upstream.Response, v verdict) verdict {
	resp.Abandon()
	j.mu.Lock()
	it.data, it.versions = nil, nil
	j.mu.Unlock()
	v.outcome, v.cause = place.Refused, "the weights changed"
	return v
}

// Causes of attempts that ended without an outcome.
const (
	causeMoved  = "the server is slow; the item moves"
	causeSilent = "no event in time"
)

// elsewhere names what an item needs of another server to go on there.
func (j *Job) elsewhere(s catalog.Server) place.Need {
	return place.Need{
		Model: j.spec.Model, MinVersion: j.spec.MinVersion, Room: true, Fast: true, Tried: map[string]bool{s.ID: true},
	}
}

// movable reports whether an item is to go on at a faster server. It answers a load in which a few slowed servers hold
// the last items of a step while others have free slots.
func (j *Job) movable(it *item, s catalog.Server, now time.Time) bool {
	if !j.manager.Tracker.Slow(s.ID, now) {
		return false
	}
	if _, ok := j.manager.Tracker.Pick(now, j.manager.Catalog.Servers(s.Service), j.elsewhere(s)); !ok {
		return false
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if it.moves >= moveMost {
		return false
	}
	it.moves++
	return true
}

// single reports whether an item's text has been made by the given version only.
func (j *Job) single(it *item, version int) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(it.versions) == 1 && it.versions[0] == version
}
