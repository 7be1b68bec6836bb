package batch

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"bulrushspoke/entry/internal/reward"
	"bulrushspoke/internal/job"
	"bulrushspoke/internal/supervise"
	"bulrushspoke/wire"
)

// lookEvery is the time between two looks at the log of a stopped job; a write that got no answer takes effect within six
// seconds.
const lookEvery = time.Second

// Job is a job that this entry runs, or has loaded after its end.
type Job struct {
	manager   *Manager
	spec      job.Job
	epoch     int
	host      string
	path      string
	submitted time.Time
	size      int64
	total     int  // items
	launched  bool // ran here; guarded by the mu of the manager

	mu          sync.Mutex
	items       map[string]*item
	results     []job.Result
	records     int             // records read or written
	ready       []job.Result    // to be listed
	ended       bool            // by the trainer
	stopped     bool            // nothing runs here any more
	looked      time.Time       // when the log was last read after the job stopped
	checked     time.Time       // when the log was last read for a reader that was ahead
	began       time.Time       // when this entry began to run it
	measured    time.Time       // when remaining was determined
	remaining   time.Duration   // that the items which the trainer waits for are expected to take yet
	carried     map[string]bool // groups that come again from an earlier job
	carriedOnly bool            // the trainer waits for no other groups
	accounted   bool            // event.StepWhole was logged
	reader      reader          // the client that takes the results in their order
	flushing    bool            // results are to be listed at once
	cancel      context.CancelFunc
	changed     chan struct{} // closed when results are listed or the job stops
	wake        chan struct{} // tells the tasks of the job that an item changed
	listing     chan struct{} // tells the lister that there may be results to list
}

// item is one item of a job; its fields are guarded by the mu of the job.
type item struct {
	job.Item
	index    int
	hint     int      // estimated output tokens
	data     []string // data of the events so far
	versions []int
	failures int       // answers of 500
	moves    int       // between servers
	moved    time.Time // when the last move began
	path     path
	running  bool // an attempt of the item or of its reward call is in flight
	whole    bool // the text is complete and waits for its score
	call     reward.Call
	scorer   string // server of the last reward call
	done     bool   // the outcome is known
	listed   bool
}

// newJob returns a job with the results of the given records. The items of one that has ended may be left out.
func newJob(m *Manager, spec job.Job, s wire.JobState, records []wire.JobRecord) *Job {
	j := &Job{
		manager:   m,
		spec:      spec,
		epoch:     s.Epoch,
		host:      s.Host,
		path:      s.Path,
		submitted: time.UnixMilli(s.At),
		items:     make(map[string]*item, len(spec.Items)),
		total:     s.Total,
		ended:     s.Ended,
		stopped:   s.Ended,
		changed:   make(chan struct{}),
		wake:      make(chan struct{}, 1),
		listing:   make(chan struct{}, 1),
		carried:   make(map[string]bool),
	}
	for i, it := range spec.Items {
		j.size += int64(len(it.Body))
		if it.Reward != nil {
			j.size += int64(len(it.Reward.Body))
		}
		j.items[it.ID] = &item{Item: it, index: i, hint: hint(it)}
	}
	for _, r := range records {
		j.adopt(r)
	}
	return j
}

// adopt takes the results of a record that stands in the store; the caller holds mu or is the only user.
func (j *Job) adopt(r wire.JobRecord) {
	j.records++
	for _, w := range r.Results {
		j.results = append(j.results, fromResult(w))
		if it := j.items[w.Item]; it != nil {
			it.done, it.listed = true, true
			it.data = nil
		}
	}
	j.ready = slices.DeleteFunc(j.ready, func(r job.Result) bool { return j.items[r.Item].listed })
}

// stale reports whether the log of a stopped job is to be read again.
func (j *Job) stale(now time.Time) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.stopped || now.Sub(j.looked) < lookEvery {
		return false
	}
	j.looked = now
	return true
}

// behind reports whether a reader holds positions that this entry does not know of, and the log has not been read since
// shortly before.
func (j *Job) behind(after int, now time.Time) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return after > len(j.results) && now.Sub(j.checked) >= lookEvery
}

// catchUp takes the records that this entry has not seen.
func (j *Job) catchUp(records []wire.JobRecord) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, r := range records[min(j.records, len(records)):] {
		j.adopt(r)
	}
}

// resume takes texts that another owner or an earlier job has made.
func (j *Job) resume(parts []wire.JobPart) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, p := range parts {
		j.take(p)
	}
	var earlier []wire.JobPart
	for id := range j.items {
		if p, ok := j.manager.texts.get(id); ok {
			earlier = append(earlier, p)
			j.carried[j.items[id].Group] = true
			j.take(p)
		}
	}
	j.correct(earlier)
}

// correct replaces the estimates of items that have run in an earlier job by the lengths seen there; the caller holds mu.
//
// It answers a step that waits for an item which its estimate makes out to be short: it would start last once more.
// Estimates are right in the middle, so that of the items together they tell how many tokens an event has.
func (j *Job) correct(earlier []wire.JobPart) {
	var ratios []float64
	for _, p := range earlier {
		if it := j.items[p.Item]; it.hint > 0 && len(p.Data) > 0 {
			ratios = append(ratios, float64(it.hint)/float64(len(p.Data)))
		}
	}
	if len(ratios) == 0 {
		return
	}
	slices.Sort(ratios)
	tokens := ratios[len(ratios)/2]
	for _, p := range earlier {
		it := j.items[p.Item]
		if seen := int(tokens * float64(len(p.Data))); p.Done || seen > it.hint {
			it.hint = seen
		}
	}
}

// take uses a text if its versions fit; the caller holds mu.
func (j *Job) take(p wire.JobPart) {
	it := j.items[p.Item]
	if it == nil || it.done || it.whole || len(p.Data) <= len(it.data) {
		return
	}
	for _, v := range p.Versions {
		if v < j.spec.MinVersion {
			return
		}
	}
	it.data, it.versions = p.Data, p.Versions
	if p.Done {
		j.complete(it, time.Now())
	}
}

// complete notes that the text of an item is whole: it is to be scored if the item has a reward call, and to be listed
// else. From here on the text does not change, so that its score is of this text. The caller holds mu.
func (j *Job) complete(it *item, now time.Time) {
	it.path.whole = now
	if it.Reward == nil {
		j.list(it, "", now)
		return
	}
	it.whole = true
	it.call.Asked(now)
}

// list moves the text of an item to the results to be listed; the caller holds mu.
func (j *Job) list(it *item, score string, now time.Time) {
	it.done, it.whole = true, true
	it.path.done, it.path.events = now, len(it.data)
	j.ready = append(j.ready, job.Result{
		Item: it.ID, State: job.Completed, Text: strings.Join(it.data, "\n"), Versions: it.versions, Score: score,
	})
}

// void gives an item up; the caller holds mu.
func (j *Job) void(it *item, now time.Time) {
	it.done, it.path.done = true, now
	j.ready = append(j.ready, job.Result{Item: it.ID, State: job.Terminated})
}

// parts returns the texts that exist and are not listed.
func (j *Job) parts() []wire.JobPart {
	j.mu.Lock()
	defer j.mu.Unlock()
	l := []wire.JobPart{}
	for _, it := range j.items {
		if !it.listed && len(it.data) > 0 {
			l = append(l, wire.JobPart{
				Item: it.ID, Data: slices.Clone(it.data), Versions: slices.Clone(it.versions), Done: it.whole,
			})
		}
	}
	return l
}

// launch runs the tasks of the job.
func (j *Job) launch(life context.Context) {
	ctx, cancel := context.WithCancel(life)
	j.mu.Lock()
	if j.stopped {
		j.mu.Unlock()
		cancel()
		return
	}
	j.cancel, j.began = cancel, time.Now()
	j.mu.Unlock()
	notify(j.listing)
	l := &lister{job: j}
	go supervise.Guard(j.manager.Logger, "job", func() { j.run(ctx) })
	go supervise.Guard(j.manager.Logger, "lister", func() { l.run(ctx) })
	go supervise.Guard(j.manager.Logger, "keeper", func() { (&keeper{job: j}).run(ctx) })
}

// sortByLength puts the texts with the most events first.
func sortByLength(parts []wire.JobPart) {
	slices.SortFunc(parts, func(a, b wire.JobPart) int { return len(b.Data) - len(a.Data) })
}

// stop ends what runs here.
func (j *Job) stop() {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.stopped {
		return
	}
	j.stopped = true
	if j.cancel != nil {
		j.cancel()
	}
	j.signal()
}

// finish notes that the trainer has ended the job.
func (j *Job) finish() {
	j.stop()
	for _, p := range j.parts() {
		j.manager.texts.put(p, time.Now())
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.ended = true
	for _, it := range j.items {
		it.data = nil
	}
}

// over reports whether the trainer has ended the job.
func (j *Job) over() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.ended
}

// signal wakes the readers; the caller holds mu.
func (j *Job) signal() {
	close(j.changed)
	j.changed = make(chan struct{})
}

// page returns the results from a position on, waiting for the first while the job runs here, with at most most bytes of
// text beside the first.
func (j *Job) page(ctx context.Context, after int, wait time.Duration, most int) job.Page {
	if !j.asked(after, wait > 0, time.Now()) {
		return j.await(ctx, after, wait, most)
	}
	if wait <= 0 {
		j.flush(ctx)
	}
	p := j.await(ctx, after, wait, most)
	j.given(p.Next, time.Now())
	return p
}

// asked notes that a read begins, and reports whether it comes from the client that takes the results in their order.
func (j *Job) asked(after int, waits bool, now time.Time) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.reader.leads(after, waits, j.manager.rhythms.of(j.spec.Model), now) {
		return false
	}
	if gap := j.reader.begin(now); gap > 0 {
		j.manager.rhythms.note(j.spec.Model, gap)
	}
	return true
}

// given notes that a read of that client has been answered.
func (j *Job) given(next int, now time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.reader.end(next, now)
}

// flush has the results listed that wait for others, for a client that does not wait itself.
func (j *Job) flush(ctx context.Context) {
	if len(j.listable()) == 0 {
		return
	}
	j.mu.Lock()
	j.flushing = true
	changed, stopped := j.changed, j.stopped
	j.mu.Unlock()
	if stopped {
		return
	}
	notify(j.listing)
	ctx, cancel := context.WithTimeout(ctx, flushTime)
	defer cancel()
	select {
	case <-changed:
	case <-ctx.Done():
	}
}

// await is page without notice of who reads.
func (j *Job) await(ctx context.Context, after int, wait time.Duration, most int) job.Page {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		j.mu.Lock()
		p := j.slice(after, min(most, j.manager.pace.most(time.Now())))
		changed, stopped := j.changed, j.stopped
		j.mu.Unlock()
		if len(p.Results) > 0 || wait <= 0 || stopped || p.Next >= p.Total {
			j.manager.pace.sent(size(p), time.Now())
			return p
		}
		select {
		case <-changed:
		case <-deadline.C:
			wait = 0
		case <-ctx.Done():
			return p
		}
	}
}

// slice returns a page with at most most bytes of text beside the first result; the caller holds mu.
func (j *Job) slice(after, most int) job.Page {
	p := job.Page{Total: j.total, Next: after}
	if after >= len(j.results) {
		return p
	}
	sum := 0
	for _, r := range j.results[after:] {
		sum += len(r.Text) + len(r.Item)
		if len(p.Results) > 0 && sum > most {
			break
		}
		p.Results = append(p.Results, r)
		p.Next++
	}
	return p
}

// size returns the bytes of text in a page.
func size(p job.Page) int {
	sum := 0
	for _, r := range p.Results {
		sum += len(r.Text) + len(r.Item)
	}
	return sum
}
