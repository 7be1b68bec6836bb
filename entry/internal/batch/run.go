package batch

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"bulrushspoke/entry/internal/forecast"
	"bulrushspoke/entry/internal/ingress"
	"bulrushspoke/entry/internal/place"
	"bulrushspoke/entry/internal/prefill"
	"bulrushspoke/internal/call"
	"bulrushspoke/internal/catalog"
	"bulrushspoke/internal/event"
	"bulrushspoke/internal/jsonenc"
	"bulrushspoke/internal/sse"
	"bulrushspoke/internal/supervise"
	"bulrushspoke/internal/upstream"
	"bulrushspoke/platform"
)

const (
	// retryInterval is the pause before items that found no server are tried again. Servers that refused are skipped
	// for about as long.
	retryInterval = 100 * time.Millisecond
	// firstEventTimeout is how long an engine may take to send the first event of an item, including its queue and a
	// change of weights.
	firstEventTimeout = 2500 * time.Millisecond
	// nextEventTimeout is how long an engine may pause between two events; a change of weights takes about a second.
	nextEventTimeout = 2 * time.Second
	// maxTextBytes bounds the encoded text of an item, including its events, unless records are smaller. A longer text would not
	// fit into a record, and an engine may send events without end.
	maxTextBytes = maxRecordBytes
	// eventOverhead is the memory of an event beside its data, in bytes.
	eventOverhead = 32
	// estimateInterval is the time between two updates of the remaining time of the step.
	estimateInterval = 100 * time.Millisecond
	// defaultItemTimeout bounds an item on routes without a time limit.
	defaultItemTimeout = 2 * time.Minute
)

// run starts items as servers have room until all are done or ctx ends.
func (j *Job) run(ctx context.Context) {
	defer j.withdrawOffers()
	for {
		freed, changed := j.manager.slotFreedChan(), j.manager.Catalog.Changed()
		waiting := j.schedule(ctx)
		if waiting < 0 {
			return
		}
		var timer *time.Timer
		var expired <-chan time.Time
		if waiting > 0 {
			timer = time.NewTimer(retryInterval)
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

// schedule starts as many items as servers have room for and returns how many are waiting; negative if all are done.
func (j *Job) schedule(ctx context.Context) int {
	now := time.Now()
	confirmedAt := j.manager.config.current(now)
	c := j.manager.Catalog.Config()
	if c == nil {
		return 1
	}
	pending := j.pending()
	if c.Revision < j.accepted {
		j.manager.config.request(now)
		return max(len(pending), 1)
	}
	route, ok := c.Match(j.host, j.path)
	if cause := j.causeToGiveUp(route, now); cause != "" && j.confirmed(confirmedAt, now) {
		j.giveUp(pending, cause, now)
		notify(j.listWake)
		return j.finishIfDone()
	}
	if !ok || len(pending) > 0 && !j.stateCurrent(now) {
		return len(pending)
	}
	pending, unconfirmed := j.giveUpFailed(pending, c, route, confirmedAt, now)
	// Selected before reward calls start, since these change their items when they end.
	texts := slices.DeleteFunc(pending, func(it *item) bool { return it.textDone })
	waiting := unconfirmed + j.sendRewardCalls(ctx, c, now)
	waiting += j.startTexts(ctx, now, texts, route)
	if j.finishIfDone() < 0 {
		notify(j.listWake)
		return -1
	}
	return waiting
}

// startTexts starts as many of the items as servers have room for and returns how many are waiting. Items of workspaces
// share the servers with those of the other jobs of this entry.
func (j *Job) startTexts(ctx context.Context, now time.Time, texts []*item, route *catalog.Route) int {
	if f, ok := j.flow(route); ok && j.manager.Turns != nil {
		return j.offerTexts(ctx, now, texts, route, f)
	}
	waiting := 0
	for _, it := range texts {
		if !j.startText(ctx, now, it, j.textServices(it, route), route, func() {}) {
			waiting++
		}
	}
	return waiting
}

// startText starts an item if a server of one of the services has room for it; ended is called after its attempts. It does
// nothing if the item runs already: it may have been offered to another service before.
func (j *Job) startText(
	ctx context.Context, now time.Time, it *item, services []string, route *catalog.Route, ended func(),
) bool {
	if !j.claim(it) {
		return false
	}
	started := false
	defer func() {
		if !started {
			j.unclaim(it)
		}
	}()
	need := j.need(it, now)
	if it.ticket == nil {
		it.ticket = prefill.NewTicket(it.prompt, j.workspace.Name)
	}
	need.Ticket = it.ticket
	pools := j.pools(services)
	var s catalog.Server
	same, ok := j.confirmingServer(it, pools)
	if ok {
		s, ok = j.manager.Tracker.Start(now, same, place.Need{Model: need.Model, MinVersion: need.MinVersion, Ticket: need.Ticket})
	}
	if !ok {
		s, ok = j.manager.Tracker.StartAmong(now, pools, need)
	}
	if !ok {
		return false
	}
	it.ticket, started = nil, true
	j.startAttempt(it, func() {
		defer ended()
		for next := (&segment{server: s, ticket: need.Ticket, startedAt: now}); next != nil; {
			next = j.runAttempt(ctx, it, next, route)
		}
	})
	return true
}

// claim reserves an item for an attempt, and returns false if it needs none.
func (j *Job) claim(it *item) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if it.running || it.textDone || it.done {
		return false
	}
	it.running, it.claimed = true, true
	return true
}

// unclaim gives up the reservation of an item that found no server.
func (j *Job) unclaim(it *item) {
	j.mu.Lock()
	defer j.mu.Unlock()
	it.running, it.claimed = false, false
}

// startAttempt runs an attempt of an item or of its reward call that is started in the tracker.
func (j *Job) startAttempt(it *item, run func()) {
	j.mu.Lock()
	it.running, it.claimed = true, false
	it.textOrder, it.callOrder = serviceOrder{}, serviceOrder{}
	j.mu.Unlock()
	go supervise.Guard(j.manager.Logger, "item", func() {
		defer func() {
			j.mu.Lock()
			it.running = false
			j.mu.Unlock()
			j.manager.wakeJobs()
			notify(j.wake)
			notify(j.listWake)
		}()
		run()
	})
}

// pending returns the items that wait for a server or for a score, the most urgent first: those with the longest text
// so far, then those with the highest length estimate.
func (j *Job) pending() []*item {
	j.mu.Lock()
	defer j.mu.Unlock()
	var l []*item
	for _, it := range j.items {
		if !it.done && (!it.running || it.claimed) {
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

// finishIfDone returns 0 while items are open. Once all are done it returns -1, and run is to end.
func (j *Job) finishIfDone() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	status := j.lockedOpenStatus()
	j.finished = status < 0
	return status
}

// openStatus returns 0 while items are open and -1 once all are done.
func (j *Job) openStatus() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.lockedOpenStatus()
}

// lockedOpenStatus implements openStatus; the caller holds mu.
func (j *Job) lockedOpenStatus() int {
	for _, it := range j.items {
		if !it.done {
			return 0
		}
	}
	return -1
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// attemptResult describes how an attempt of an item ended.
type attemptResult struct {
	outcome place.Outcome
	cause   string
	status  int
	version int
	events  int
	next    *segment // continues the item; nil if it waits for a server
}

// runAttempt runs an item on one server and returns the segment that continues it, if any.
func (j *Job) runAttempt(ctx context.Context, it *item, current *segment, route *catalog.Route) *segment {
	ended := false
	defer func() {
		if !ended { // after a panic
			j.manager.Tracker.Ended(current.server.ID, j.spec.Model, place.Abandoned, 0, time.Now())
			j.manager.Tracker.Release(current.ticket, false, time.Now())
		}
	}()
	v := j.send(ctx, it, current, route)
	ended = true
	now := time.Now()
	if ctx.Err() != nil {
		v.outcome, v.cause = place.Abandoned, causeEnded
	}
	took := now.Sub(current.startedAt)
	var pace time.Duration
	if v.events > 0 {
		pace = took / time.Duration(v.events)
	}
	j.manager.Tracker.Ended(current.server.ID, j.spec.Model, v.outcome, pace, now)
	j.manager.Tracker.Release(current.ticket, v.outcome == place.Answered && v.next == nil, now)
	j.mu.Lock()
	total, done := len(it.data), it.textDone || it.done
	it.timing.addAttempt(current.startedAt, took, v.events > 0)
	j.mu.Unlock()
	event.ItemAttempt.Log(j.manager.Logger, "job", j.spec.ID, "request", it.ID, "server", current.server.ID, "status", v.status,
		"cause", v.cause, "hint", it.hint, "events", v.events, "total", total, "done", done, "version", v.version, "min", j.spec.MinVersion,
		"ms", took.Milliseconds())
	return v.next
}

// request returns the request that resumes an item at a server after the given event.
func (j *Job) request(it *item, s catalog.Server, route *catalog.Route, after int, now time.Time) upstream.Request {
	codec := platform.Headers{}
	h := make(http.Header, len(it.Header)+6)
	for name, value := range it.Header {
		h.Set(name, value)
	}
	// A length or a host that the item states itself could make the server take a part of its body for another request.
	h = ingress.EndToEndHeader(h)
	h.Del("Host")
	codec.Sender(h, j.sender(route, s))
	codec.Identify(h, it.ID)
	left := defaultItemTimeout
	if route.MaxQueueTime > 0 {
		left = max(route.MaxQueueTime-now.Sub(j.submitted), time.Second)
	}
	codec.Attempt(h, call.Attempt{Server: s.ID, Timeout: left, ResumeAfter: after})
	return upstream.Request{Method: http.MethodPost, URI: it.Path, Host: j.host, Header: h, Body: it.Body}
}

// sender returns on whose behalf a request of the job is sent to a server. The workspace is that of the job, also after it
// has left the configuration.
func (j *Job) sender(route *catalog.Route, s catalog.Server) call.Sender {
	c := j.manager.Catalog.Config()
	if c == nil {
		c = &catalog.Config{}
	}
	return c.Sender(j.workspace, route, s.Service, "")
}

// send sends the item, unless its response has already started, and reads its events.
func (j *Job) send(ctx context.Context, it *item, current *segment, route *catalog.Route) attemptResult {
	s := current.server
	if current.resp != nil {
		return j.continueSegment(ctx, it, current, route)
	}
	j.mu.Lock()
	after := len(it.data)
	j.mu.Unlock()
	parent := ctx
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watch := j.watchStall(s, cancel)
	defer watch.stop()
	r, err := j.post(ctx, s, it.ID, j.request(it, s, route, after, current.startedAt))
	if err != nil {
		j.endingUnconfirmed(it, s, true)
		if ctx.Err() != nil {
			return attemptResult{outcome: place.Silent, cause: causeSilent}
		}
		return attemptResult{outcome: place.Failed, cause: err.Error()}
	}
	resp, meaning := r.resp, r.meaning
	v := attemptResult{status: resp.StatusCode, version: r.answer.Version}
	if resp.StatusCode == http.StatusOK && meaning == call.Genuine {
		current.resp, current.events = resp, sse.NewReader(resp.Body, platform.Headers{}.VersionLine())
		return j.read(parent, it, current, watch, after, v, route)
	}
	if meaning == call.Foreign {
		resp.Abandon()
		v.outcome, v.cause = place.Failed, call.CauseForeign
		return v
	}
	resp.Discard()
	v.outcome = place.Refused
	switch {
	case meaning == call.NotRun:
		v.cause = causeRefused
		j.endingUnconfirmed(it, s, resp.StatusCode == http.StatusMisdirectedRequest)
	case resp.StatusCode == http.StatusUnprocessableEntity:
		v.outcome, v.cause = place.Answered, "the engine rejected the item"
		j.mu.Lock()
		j.terminate(it, time.Now())
		j.mu.Unlock()
	case resp.StatusCode == http.StatusInternalServerError:
		v.outcome, v.cause = place.Answered, "the engine failed"
		j.mu.Lock()
		it.failures, it.failedAt = it.failures+1, time.Now()
		j.mu.Unlock()
	default:
		v.cause = causeFailed
	}
	return v
}

// serverReply is a started response of a server and what its headers say about the request.
type serverReply struct {
	resp    *upstream.Response
	answer  call.Answer
	meaning call.Meaning
}

// post sends the request with the given id to a server and reads the headers of the response.
func (j *Job) post(ctx context.Context, s catalog.Server, id string, q upstream.Request) (serverReply, error) {
	sentAt := time.Now()
	q.ID = id
	resp, err := j.manager.Pool.Send(ctx, j.target(s), q)
	if err != nil {
		return serverReply{}, err
	}
	answer := platform.Headers{}.Answer(resp.StatusCode, resp.Header)
	meaning := j.manager.Catalog.RecordAnswer(s, answer, id, sentAt, time.Now())
	return serverReply{resp: resp, answer: answer, meaning: meaning}, nil
}

// target returns the address and connection settings of a server.
func (j *Job) target(s catalog.Server) upstream.Target {
	t := upstream.Target{Service: s.Service, Address: s.Address, Incarnation: s.ID}
	if c := j.manager.Catalog.Config(); c != nil {
		t.Conns = c.Services[s.Service].MaxConns
	}
	return t
}

// read appends the events of a response to the text until the response ends or the item continues elsewhere.
func (j *Job) read(
	ctx context.Context, it *item, current *segment, watch *stallWatch, after int, v attemptResult, route *catalog.Route,
) attemptResult {
	s, resp := current.server, current.resp
	// A response without events, to an item whose last event has already been received, names no version.
	if v.version < j.spec.MinVersion && (v.version > 0 || after == 0) {
		resp.Abandon()
		v.outcome, v.cause = place.Refused, "the weight version is below the required minimum"
		return v
	}
	if after > 0 && v.version > 0 && route.SingleVersion && !j.hasOnlyVersion(it, v.version) {
		return j.restart(it, resp, v)
	}
	var pendingMove *move
	defer func() { j.abortMove(it, pendingMove) }()
	version := v.version
	size, limit := j.textSize(it)
	var last time.Time // when the last event was received
	for {
		e, err := current.nextEvent()
		if errors.Is(err, io.EOF) {
			resp.Close()
			v.outcome = place.Answered
			if !resp.Framed() && !j.endText(it, s, resp.SentAt, after, time.Now()) {
				v.cause = causeUncertain
				return v
			}
			if j.completeText(it, after, time.Now()) {
				j.manager.lengths.RecordCompleted(j.spec.Model, it.hint, after)
			}
			return v
		}
		if next := pendingMove.accept(); next != nil {
			resp.Abandon()
			v.outcome, v.cause, v.next = place.Answered, causeMoved, next
			return v
		}
		if err != nil {
			resp.Abandon()
			v.outcome, v.cause = place.Failed, err.Error()
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
			v.outcome, v.cause = place.Failed, "events are missing"
			return v
		}
		if version < j.spec.MinVersion || route.SingleVersion && after > 0 && !j.hasOnlyVersion(it, version) {
			return j.restart(it, resp, v)
		}
		if size += jsonenc.StringSize(e.Data) + eventOverhead; size > limit {
			v = j.restart(it, resp, v)
			v.outcome, v.cause = place.Failed, "the text exceeds the size limit"
			return v
		}
		watch.progress(now)
		if !j.appendEvent(it, after, e.Data, version) {
			resp.Abandon()
			v.outcome, v.cause = place.Abandoned, causeEnded
			return v
		}
		after++
		v.events++
		if last.IsZero() {
			j.manager.Tracker.FirstEvent(current.ticket, now)
		} else {
			j.manager.Tracker.ObserveInterval(s.ID, now.Sub(last), now)
		}
		last = now
		if pendingMove.hasFinished() && (v.events%moveCheckEvents == 0 || j.manager.Tracker.Slowed(s.ID, now)) {
			pendingMove = j.move(ctx, it, current, route, now)
		}
	}
}

// textSize returns the encoded size of the text of an item so far, including its events, and its limit, in bytes.
func (j *Job) textSize(it *item) (size, limit int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, d := range it.data {
		size += jsonenc.StringSize(d) + eventOverhead
	}
	return size, min(maxTextBytes, j.recordLimit)
}

// restart drops the text of an item, which starts again with the current weights.
func (j *Job) restart(it *item, resp *upstream.Response, v attemptResult) attemptResult {
	resp.Abandon()
	j.mu.Lock()
	it.data, it.versions = nil, nil
	j.mu.Unlock()
	v.outcome, v.cause = place.Refused, "the weight version changed"
	return v
}

// Causes of attempts and moves that did not complete their item.
const (
	causeNoEvents  = "the text has no further events"
	causeMoved     = "the item moves to a faster server"
	causeSilent    = "no event in time"
	causeUnwanted  = "the item does not need it any more"
	causeFailed    = "the server failed"
	causeRefused   = "the server refused"
	causeEnded     = "the job ended"
	causeUncertain = "the end of the text is to be confirmed"
)

// need returns the requirements of an item on a server.
func (j *Job) need(it *item, now time.Time) place.Need {
	j.mu.Lock()
	defer j.mu.Unlock()
	if now.Sub(j.estimatedAt) >= estimateInterval {
		j.estimatedAt = now
		j.updateRemaining()
	}
	within := j.remaining
	if j.unneeded(it) {
		within = unneededWithin
	}
	return place.Need{
		Model: j.spec.Model, MinVersion: j.spec.MinVersion, RequireSlot: true, RemainingEvents: j.remainingEvents(it), TimeBudget: within,
	}
}

// needElsewhere returns the requirements of an item on a server other than s.
func (j *Job) needElsewhere(s catalog.Server) place.Need {
	return place.Need{
		Model: j.spec.Model, MinVersion: j.spec.MinVersion, RequireSlot: true, ExcludeSlow: true, Tried: map[string]bool{s.ID: true},
	}
}

// remainingEvents returns how many more events an item is expected to generate; the caller holds mu.
func (j *Job) remainingEvents(it *item) int {
	return forecast.Remaining(j.manager.lengths.EstimateEvents(j.spec.Model, it.hint, it.Tokens), len(it.data))
}

// hasOnlyVersion reports whether the text of an item was generated by the given weight version only.
func (j *Job) hasOnlyVersion(it *item, version int) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(it.versions) == 1 && it.versions[0] == version
}
