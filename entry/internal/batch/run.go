package batch

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"bulrushspoke/entry/internal/forecast"
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
	// maxText bounds the text of an item in bytes, its events included: a longer one could not be listed, and an engine
	// may send events without end.
	maxText = maxRecord
	// eventCost is what an event takes beside its data, in bytes.
	eventCost = 32
	// measureEvery is the time between two looks at how long the items of a step will take yet.
	measureEvery = 100 * time.Millisecond
	// itemTime bounds one item on routes that set no time of their own.
	itemTime = 2 * time.Minute
)

// run starts items as servers have room until all are done or ctx ends.
func (j *Job) run(ctx context.Context) {
	for {
		freed, changed := j.manager.freedChan(), j.manager.Catalog.Changed()
		waiting := j.schedule(ctx)
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
func (j *Job) schedule(ctx context.Context) int {
	now := time.Now()
	c := j.manager.Catalog.Config()
	if c == nil {
		return 1
	}
	route, ok := c.Match(j.host, j.path)
	pending := j.pending()
	if !ok || j.expired(route, now) {
		j.giveUp(pending, ok, now)
		notify(j.listing)
		return j.left()
	}
	// Chosen before reward calls begin, whose outcome changes their items.
	texts := slices.DeleteFunc(pending, func(it *item) bool { return it.whole })
	waiting := j.score(ctx, c, now)
	servers := j.manager.Catalog.Servers(route.Shares[0].Service)
	for _, it := range texts {
		s, ok := j.manager.Tracker.Pick(now, servers, j.need(it, now))
		if !ok {
			waiting++
			continue
		}
		j.begin(it, s, now, func() {
			for next := (&leg{server: s, began: now}); next != nil; {
				next = j.attempt(ctx, it, next, route)
			}
		})
	}
	if j.left() < 0 {
		notify(j.listing)
		return -1
	}
	return waiting
}

// begin runs an attempt of an item or of its reward call at a server.
func (j *Job) begin(it *item, s catalog.Server, now time.Time, attempt func()) {
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
			notify(j.listing)
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
func (j *Job) giveUp(pending []*item, routed bool, now time.Time) {
	cause := "its time has passed"
	if !routed {
		cause = "its route is gone"
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, it := range pending {
		j.void(it, now)
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
	next    *leg // where the item goes on; nil if it has to wait for a server
}

// attempt runs an item on one server and returns where it goes on.
func (j *Job) attempt(ctx context.Context, it *item, l *leg, route *catalog.Route) *leg {
	v := j.send(ctx, it, l, route)
	now := time.Now()
	if ctx.Err() != nil {
		v.outcome, v.cause = place.Abandoned, causeEnded
	}
	took := now.Sub(l.began)
	var pace time.Duration
	if v.events > 0 {
		pace = took / time.Duration(v.events)
	}
	j.manager.Tracker.Ended(l.server.ID, j.spec.Model, v.outcome, pace, now)
	j.mu.Lock()
	total, done := len(it.data), it.whole || it.done
	it.path.attempt(l.began, took, v.events > 0)
	j.mu.Unlock()
	event.ItemAttempt.Log(j.manager.Logger, "job", j.spec.ID, "request", it.ID, "server", l.server.ID, "status", v.status,
		"cause", v.cause, "hint", it.hint, "events", v.events, "total", total, "done", done, "version", v.version, "min", j.spec.MinVersion,
		"ms", took.Milliseconds())
	return v.next
}

// request returns the request that lets an item go on after the given event at a server.
func (j *Job) request(it *item, s catalog.Server, route *catalog.Route, after int, now time.Time) upstream.Request {
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
	return upstream.Request{Method: http.MethodPost, URI: it.Path, Host: j.host, Header: h, Body: it.Body}
}

// send sends the item, unless its answer has begun already, and reads its events.
func (j *Job) send(ctx context.Context, it *item, l *leg, route *catalog.Route) verdict {
	s := l.server
	if l.resp != nil {
		return j.follow(ctx, it, l, route)
	}
	j.mu.Lock()
	after := len(it.data)
	j.mu.Unlock()
	life := ctx
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watch := j.watch(s, cancel)
	defer watch.stop()
	r, err := j.post(ctx, s, it.ID, j.request(it, s, route, after, l.began))
	if err != nil {
		if ctx.Err() != nil {
			return verdict{outcome: place.Silent, cause: causeSilent}
		}
		return verdict{outcome: place.Broken, cause: err.Error()}
	}
	resp, meaning := r.resp, r.meaning
	v := verdict{status: resp.StatusCode, version: r.answer.Version}
	if resp.StatusCode == http.StatusOK && meaning == call.Genuine {
		l.resp, l.in = resp, events.NewReader(resp.Body, platform.Headers{}.VersionLine())
		return j.read(life, it, l, watch, after, v, route)
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
		v.cause = causeRefused
	case resp.StatusCode == http.StatusUnprocessableEntity:
		v.outcome, v.cause = place.Answered, "the item can never be done"
		j.mu.Lock()
		j.void(it, time.Now())
		j.mu.Unlock()
	case resp.StatusCode == http.StatusInternalServerError:
		v.outcome, v.cause = place.Answered, "the run failed"
		j.mu.Lock()
		if it.failures++; it.failures >= route.Attempts {
			j.void(it, time.Now())
			event.ItemGivenUp.Log(j.manager.Logger, "job", j.spec.ID, "request", it.ID, "cause", "its runs fail",
				"failures", it.failures)
		}
		j.mu.Unlock()
	default:
		v.cause = causeFailed
	}
	return v
}

// reply is the begun answer of a server and what it says of the request.
type reply struct {
	resp    *upstream.Response
	answer  call.Answer
	meaning call.Meaning
}

// post sends the request with an id to a server and reads the head of its answer.
func (j *Job) post(ctx context.Context, s catalog.Server, id string, q upstream.Request) (reply, error) {
	resp, err := j.manager.Pool.Send(ctx, j.target(s), q)
	if err != nil {
		return reply{}, err
	}
	answer := platform.Headers{}.Answer(resp.StatusCode, resp.Header)
	return reply{resp: resp, answer: answer, meaning: j.manager.Catalog.Heard(s, answer, id, time.Now())}, nil
}

// target returns where the requests to a server are sent.
func (j *Job) target(s catalog.Server) upstream.Target {
	t := upstream.Target{Address: s.Address, Incarnation: s.ID}
	if c := j.manager.Catalog.Config(); c != nil {
		t.Conns = c.Services[s.Service].Conns
	}
	return t
}

// read takes the events of an answer until it ends, or the item goes on elsewhere.
func (j *Job) read(
	ctx context.Context, it *item, l *leg, watch *watch, after int, v verdict, route *catalog.Route,
) verdict {
	s, resp := l.server, l.resp
	// An answer without events, to an item whose last event is here already, names no version.
	if v.version < j.spec.MinVersion && (v.version > 0 || after == 0) {
		resp.Abandon()
		v.outcome, v.cause = place.Refused, "the weights are too old"
		return v
	}
	if after > 0 && v.version > 0 && route.SingleVersion && !j.single(it, v.version) {
		return j.restart(it, resp, v)
	}
	var moving *move
	defer func() { j.settle(it, moving) }()
	version := v.version
	size := j.textSize(it)
	var last time.Time // when the newest event came
	for {
		e, err := l.event()
		if errors.Is(err, io.EOF) {
			resp.Close()
			j.mu.Lock()
			if !it.done {
				j.complete(it, time.Now())
			}
			made := len(it.data)
			j.mu.Unlock()
			j.manager.events.Ended(j.spec.Model, it.hint, made)
			v.outcome = place.Answered
			return v
		}
		if next := moving.take(); next != nil {
			resp.Abandon()
			v.outcome, v.cause, v.next = place.Answered, causeMoved, next
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
		if moving.over() && (v.events%moveAfter == 0 || j.manager.Tracker.Disturbed(s.ID, now)) {
			moving = j.move(ctx, it, l, route, now)
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
	causeMoved    = "the item moves to a faster server"
	causeSilent   = "no event in time"
	causeUnwanted = "the item does not need it any more"
	causeFailed   = "the server failed"
	causeRefused  = "the server refused"
	causeEnded    = "the job ended"
)

// need names what an item needs of a server.
func (j *Job) need(it *item, now time.Time) place.Need {
	j.mu.Lock()
	defer j.mu.Unlock()
	if now.Sub(j.measured) >= measureEvery {
		j.measured = now
		j.measure()
	}
	within := j.remaining
	if j.spare(it) {
		within = spareTime
	}
	return place.Need{
		Model: j.spec.Model, MinVersion: j.spec.MinVersion, Room: true, Rest: j.rest(it), Within: within,
	}
}

// elsewhere names what an item needs of another server to go on there.
func (j *Job) elsewhere(s catalog.Server) place.Need {
	return place.Need{
		Model: j.spec.Model, MinVersion: j.spec.MinVersion, Room: true, Fast: true, Tried: map[string]bool{s.ID: true},
	}
}

// rest returns how many events an item is expected to make yet; the caller holds mu.
func (j *Job) rest(it *item) int {
	return forecast.Rest(j.manager.events.Events(j.spec.Model, it.hint, it.Tokens), len(it.data))
}

// single reports whether an item's text has been made by the given version only.
func (j *Job) single(it *item, version int) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(it.versions) == 1 && it.versions[0] == version
}
