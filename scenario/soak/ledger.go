package main

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"bulrushspoke/internal/job"
	"bulrushspoke/platform"
)

const (
	// settle is how long after a 202 an entry may not yet know a job.
	settle = time.Second
	// contact is how long an entry must have been undisturbed before a rule with a time bound holds for it.
	contact = 4 * time.Second
	// configLag is how long after its acknowledgement an old configuration may be used.
	configLag = 2500 * time.Millisecond
	// cancelLag is how long after the end of a job its items may still reach servers.
	cancelLag = 3 * time.Second
	// lossSlack is the time within which a request may cross the close of its connection.
	lossSlack = 200 * time.Millisecond
	// goneLag is how long a server may work on for a client that has left; some is added for the machine's own delays.
	goneLag = 750 * time.Millisecond
	// itemAttempts is the route's bound of failed runs of an item.
	itemAttempts = 3
	// plainAttempts is the route's bound of servers for one request.
	plainAttempts = 3
)

// request is what a client asked of a plain route.
type request struct {
	id      string
	unsafe  bool
	line    string // method and address
	body    string
	route   string
	entry   int
	sent    time.Time
	runs    int
	answers []string
	status  int       // that its client got; 0 for none yet, -1 for a broken connection
	left    time.Time // when its client abandoned it
	ended   time.Time // when its server noticed that
}

// batch is a job as its trainer submitted it.
type batch struct {
	job.Job
	accepted time.Time // zero before the first 202
	refused  bool      // every attempt was answered by a refusal
	ended    time.Time // acknowledgement of its end
	ending   bool      // its end was asked for
	listed   []job.Result
	place    map[string]int // position of each listed item
}

// item is what servers have done for an item, in whatever job.
type item struct {
	path     string
	body     string
	jobs     []*batch
	failures int
	finished bool
}

// period is a time in which an entry was disturbed; one without an end lasts.
type period struct {
	from, to time.Time
	planned  bool // by a stop that it was asked for
}

// ledger holds what clients and servers have seen, and judges it.
type ledger struct {
	start time.Time

	mu        sync.Mutex
	requests  map[string]*request
	items     map[string]*item
	batches   map[string]*batch
	events    map[string]bool // data of all events that servers made
	holders   map[string]string
	fences    map[string]int64
	configs   []configured
	disturbed map[int][]*period // by entry
	verdicts  []string
	counts    map[string]int
}

// configured is a configuration with the time of its acknowledgement.
type configured struct {
	at       time.Time
	services map[string]string // by route
}

func newLedger(now time.Time) *ledger {
	return &ledger{
		start: now, requests: map[string]*request{}, items: map[string]*item{}, batches: map[string]*batch{},
		events: map[string]bool{}, holders: map[string]string{}, fences: map[string]int64{},
		disturbed: map[int][]*period{}, counts: map[string]int{},
	}
}

// broken notes a broken rule.
func (l *ledger) broken(rule, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.breaks(rule, format, args...)
}

// breaks notes a broken rule; the caller holds mu, as that of all methods below that say so.
func (l *ledger) breaks(rule, format string, args ...any) {
	l.verdicts = append(l.verdicts,
		fmt.Sprintf("%s at %.1f s: %s", rule, time.Since(l.start).Seconds(), fmt.Sprintf(format, args...)))
}

// storeEntry stands for the store among the entries that are disturbed.
const storeEntry = -1

// disturb notes that an entry is disturbed, until the returned function is called.
func (l *ledger) disturb(entry int, planned bool) (end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := &period{from: time.Now(), planned: planned}
	l.disturbed[entry] = append(l.disturbed[entry], p)
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		p.to = time.Now()
	}
}

// disturbedIn reports whether an entry was disturbed in a time, by planned stops too if they count; the caller holds mu.
func (l *ledger) disturbedIn(entry int, from, to time.Time, planned bool) bool {
	return slices.ContainsFunc(l.disturbed[entry], func(p *period) bool {
		return (planned || !p.planned) && p.from.Before(to) && (p.to.IsZero() || p.to.After(from))
	})
}

// calm reports whether nothing but planned stops disturbed an entry in a time; the caller holds mu.
func (l *ledger) calm(entry int, from, to time.Time) bool {
	return !l.disturbedIn(entry, from, to, false)
}

// inTouch reports whether an entry and the store were undisturbed for long enough; the caller holds mu.
func (l *ledger) inTouch(entry int, from, to time.Time) bool {
	return !l.disturbedIn(entry, from.Add(-contact), to, true) && !l.disturbedIn(storeEntry, from.Add(-contact), to, true)
}

// configure notes the service of each route from now on.
func (l *ledger) configure(services map[string]string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.configs = append(l.configs, configured{at: now, services: services})
}

// allowed returns the services that a route has had since a time, empty ones where it was absent; the caller holds mu.
func (l *ledger) allowed(route string, since time.Time) []string {
	var services []string
	for i, c := range l.configs {
		if i+1 < len(l.configs) && l.configs[i+1].at.Before(since) {
			continue
		}
		services = append(services, c.services[route])
	}
	return services
}

// asks notes a request that is about to be sent.
func (l *ledger) asks(q *request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[q.id] = q
	l.counts["requests"]++
}

// ran notes that a plain server began to work and returns the number of the run.
func (l *ledger) ran(id, service, line, body string, now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.requests[id]
	if q == nil {
		l.breaks("UNASKED", "a server runs request %q that no client sent", id)
		return 0
	}
	q.runs++
	if q.line != line || q.body != body {
		l.breaks("UNASKED", "request %s is changed to %s %q", id, line, body)
	}
	since := l.start
	if l.inTouch(q.entry, q.sent.Add(-configLag), now) {
		since = q.sent.Add(-configLag)
	}
	if !slices.Contains(l.allowed(q.route, since), service) {
		l.breaks("ROUTE", "request %s of route %s is run by %s", id, q.route, service)
	}
	switch {
	case q.unsafe && q.runs > 1:
		l.breaks("TWICE", "request %s runs %d times", id, q.runs)
	case q.runs > plainAttempts:
		l.breaks("BUDGET", "request %s runs %d times", id, q.runs)
	}
	return q.runs
}

// leaves notes that a client abandons its request.
func (l *ledger) leaves(q *request, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	q.left = now
}

// answered notes a whole answer of a server.
func (l *ledger) answered(id, answer string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if q := l.requests[id]; q != nil {
		q.answers = append(q.answers, answer)
	}
}

// abandoned notes that a server has learned of a client that left.
func (l *ledger) abandoned(id string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if q := l.requests[id]; q != nil {
		q.ended = now
	}
}

// got judges the answer to a plain request.
func (l *ledger) got(q *request, status int, signed bool, body string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	q.status = status
	l.counts["status "+strconv.Itoa(status)]++
	now := time.Now()
	switch status {
	case http.StatusOK:
		l.counts["served"]++
		if !signed || !slices.Contains(q.answers, body) {
			l.breaks("MIXED", "request %s got %q, its servers answered %q", q.id, body, q.answers)
		}
	case http.StatusNotFound:
		absent := slices.Contains(l.allowed(q.route, q.sent.Add(-configLag)), "")
		if !absent && (l.inTouch(q.entry, q.sent.Add(-configLag), now) || !slices.Contains(l.allowed(q.route, l.start), "")) {
			l.breaks("DENIED", "request %s of route %s got 404", q.id, q.route)
		}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if q.unsafe && q.runs > 0 {
			l.breaks("REFUSED", "request %s was answered %d and has run", q.id, status)
		}
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusGatewayTimeout:
	default:
		l.breaks("DENIED", "request %s got %d", q.id, status)
	}
}

// lost judges a connection that ended without an answer to a request that was sent.
func (l *ledger) lost(q *request, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	q.status = -1
	l.counts["lost"]++
	if l.calm(q.entry, q.sent, now) && (q.runs > 0 || now.Sub(q.sent) > lossSlack) {
		l.breaks("LOST", "the connection of request %s to entry %d ended after %s, %d runs", q.id, q.entry, now.Sub(q.sent), q.runs)
	}
}

// submits notes a job that is about to be submitted.
func (l *ledger) submits(j job.Job) *batch {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := &batch{Job: j, place: map[string]int{}}
	l.batches[j.ID] = b
	for _, it := range j.Items {
		known := l.items[it.ID]
		if known == nil {
			known = &item{path: it.Path, body: string(it.Body)}
			l.items[it.ID] = known
		}
		known.jobs = append(known.jobs, b)
	}
	l.counts["jobs"]++
	return b
}

// began notes that an engine begins to run an item.
func (l *ledger) began(id, path, body string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts["runs"]++
	it := l.items[id]
	if it == nil || it.path != path || it.body != body {
		l.breaks("UNASKED", "an engine runs item %q as %s %q", id, path, body)
		return
	}
	late := !slices.ContainsFunc(it.jobs, func(b *batch) bool { return b.ended.IsZero() || now.Sub(b.ended) < cancelLag })
	if late && l.calmAll(now.Add(-contact), now) {
		l.breaks("UNASKED", "item %s reaches an engine although its jobs ended long ago", id)
	}
}

// calmAll reports whether all entries were undisturbed; the caller holds mu.
func (l *ledger) calmAll(from, to time.Time) bool {
	for e := range l.disturbed {
		if l.disturbedIn(e, from, to, true) {
			return false
		}
	}
	return true
}

// failed, finished and made note what an engine has done for an item.
func (l *ledger) failed(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if it := l.items[id]; it != nil {
		it.failures++
	}
}

func (l *ledger) finished(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if it := l.items[id]; it != nil {
		it.finished = true
	}
}

func (l *ledger) made(data string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events[data] = true
}

// accepted notes a 202, refused that every attempt to submit a job was refused.
func (l *ledger) accepted(b *batch, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b.accepted.IsZero() {
		b.accepted = now
	}
	l.counts["accepted"]++
}

func (l *ledger) refused(b *batch) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b.refused = true
	l.counts["refused"]++
}

// ending notes that the end of a job is about to be asked for, ended that it was acknowledged.
func (l *ledger) ending(b *batch) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b.ending = true
}

func (l *ledger) ended(b *batch, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b.ended = now
}

// absent judges a 404 for a job that was accepted.
func (l *ledger) absent(b *batch, entry int, asked time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !b.accepted.IsZero() && asked.Sub(b.accepted) > settle && l.inTouch(entry, asked, time.Now()) {
		l.breaks("LOST", "entry %d answers 404 for job %s, accepted %s before", entry, b.ID, asked.Sub(b.accepted))
	}
}

// body judges the body of an item, nil for a 404.
func (l *ledger) body(b *batch, id string, got []byte, entry int, asked time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	it := l.items[id]
	_, listed := b.place[id]
	switch {
	case got != nil && string(got) != it.body:
		l.breaks("MIXED", "the body of item %s comes back as %q", id, got)
	case got == nil && !listed && !it.finished && !b.ending && it.failures < itemAttempts &&
		asked.Sub(b.accepted) > settle && l.inTouch(entry, asked, time.Now()):
		l.breaks("LOST", "entry %d has no body of item %s of job %s", entry, id, b.ID)
	}
}

// page judges a part of a job's results.
func (l *ledger) page(b *batch, after int, p job.Page) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts["pages"]++
	if p.Total != len(b.Items) || p.Next != after+len(p.Results) {
		l.breaks("MIXED", "a page of job %s from %d with %d results says total %d, next %d", b.ID, after, len(p.Results), p.Total, p.Next)
		return
	}
	for i, r := range p.Results {
		l.result(b, after+i, r)
	}
}

// result judges one result; the caller holds mu.
func (l *ledger) result(b *batch, n int, r job.Result) {
	if n < len(b.listed) {
		if known := b.listed[n]; known.Item != r.Item || known.State != r.State || known.Text != r.Text ||
			!slices.Equal(known.Versions, r.Versions) {
			l.breaks("TWICE", "position %d of job %s held %v and holds %v", n, b.ID, known, r)
		}
		return
	}
	if at, ok := b.place[r.Item]; ok {
		l.breaks("TWICE", "item %s of job %s stands at %d and %d", r.Item, b.ID, at, n)
	}
	if n == len(b.listed) {
		b.listed = append(b.listed, r)
		b.place[r.Item] = n
		l.counts["results"]++
	}
	it := l.items[r.Item]
	if it == nil || !slices.Contains(it.jobs, b) {
		l.breaks("MIXED", "job %s lists the foreign item %s", b.ID, r.Item)
		return
	}
	if r.State == job.Terminated {
		if !b.ending && it.failures < itemAttempts {
			l.breaks("MIXED", "item %s of job %s is given up after %d failures", r.Item, b.ID, it.failures)
		}
		return
	}
	l.text(b, it, r)
}

// text judges the text of a completed item; the caller holds mu.
func (l *ledger) text(b *batch, it *item, r job.Result) {
	_, length := itemOf(it.path)
	events := strings.Split(r.Text, "\n")
	if len(events) != length {
		l.breaks("MIXED", "item %s has %d events of %d", r.Item, len(events), length)
		return
	}
	var versions []int
	for i, e := range events {
		prefix := fmt.Sprintf("%s.%d.", r.Item, i+1)
		v, err := strconv.Atoi(strings.TrimPrefix(e, prefix))
		if err != nil || !strings.HasPrefix(e, prefix) || !l.events[e] {
			l.breaks("ORDER", "event %d of item %s is %q, which no engine made", i+1, r.Item, e)
			return
		}
		if !slices.Contains(versions, v) {
			versions = append(versions, v)
		}
	}
	slices.Sort(versions)
	if !slices.Equal(versions, r.Versions) || versions[0] < b.MinVersion {
		l.breaks("VERSION", "item %s is listed with versions %v, its text has %v, job %s wants %d and newer",
			r.Item, r.Versions, versions, b.ID, b.MinVersion)
	}
}

// known returns how many results of a job were read.
func (l *ledger) known(b *batch) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(b.listed)
}

// taken returns all jobs that were accepted.
func (l *ledger) taken() []*batch {
	l.mu.Lock()
	defer l.mu.Unlock()
	var jobs []*batch
	for _, b := range l.batches {
		if !b.accepted.IsZero() {
			jobs = append(jobs, b)
		}
	}
	return jobs
}

// rate returns how many plain requests were sent on routes that are always there, and how many of them were served.
func (l *ledger) rate() (sent, served int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, q := range l.requests {
		if q.route == "late" || !q.left.IsZero() || q.status == 0 {
			continue
		}
		sent++
		if q.status == http.StatusOK {
			served++
		}
	}
	return sent, served
}

// ordered judges an order to an engine.
func (l *ledger) ordered(server string, o platform.Order) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts["orders"]++
	if h, ok := l.holders[server]; ok && h != o.Holder {
		l.breaks("ONE", "engine %s has orders of %s and %s", server, h, o.Holder)
	}
	if o.Fence < l.fences[server] {
		l.breaks("ONE", "engine %s has fencing token %d after %d", server, o.Fence, l.fences[server])
	}
	l.holders[server], l.fences[server] = o.Holder, max(l.fences[server], o.Fence)
}

// finish judges what shows only at the end and returns all verdicts.
func (l *ledger) finish() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, b := range l.batches {
		if !b.refused {
			continue
		}
		for _, it := range b.Items {
			if known := l.items[it.ID]; len(known.jobs) == 1 && (known.finished || known.failures > 0) {
				l.breaks("REFUSED", "item %s of the refused job %s has run", it.ID, b.ID)
			}
		}
	}
	working, left := 0, 0
	for _, q := range l.requests {
		if q.left.IsZero() || q.runs == 0 || !l.calm(q.entry, q.sent, q.left.Add(goneLag)) {
			continue
		}
		left++
		if q.ended.IsZero() || q.ended.Sub(q.left) > goneLag {
			working++
		}
	}
	if left >= 4 && 4*working > left {
		l.breaks("GONE", "servers work on for %d of %d clients that have left", working, left)
	}
	return l.verdicts
}

// itemOf returns the model and the number of events that the path of an item names.
func itemOf(path string) (model string, length int) {
	parts := strings.Split(path, "/")
	if len(parts) < 3 {
		return "", 0
	}
	length, err := strconv.Atoi(parts[len(parts)-1])
	if err != nil {
		return "", 0
	}
	return parts[len(parts)-2], length
}
