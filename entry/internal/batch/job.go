package batch

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"bulrushspoke/entry/internal/prefill"
	"bulrushspoke/entry/internal/reward"
	"bulrushspoke/internal/call"
	"bulrushspoke/internal/event"
	"bulrushspoke/internal/job"
	"bulrushspoke/internal/jsonenc"
	"bulrushspoke/internal/supervise"
	"bulrushspoke/internal/workspace"
	"bulrushspoke/platform"
	"bulrushspoke/wire"
)

// Job is a job that this entry runs, or has loaded after its end.
type Job struct {
	manager   *Manager
	spec      job.Job
	workspace workspace.Workspace // as described when the job was accepted; the zero value for none
	epoch     int
	host      string
	path      string
	submitted time.Time
	accepted  int64      // revision of the configuration under which the job was accepted; 0 if unknown
	memory    *jobMemory // of the items
	total     int        // number of items
	launched  bool       // was run by this entry; guarded by Manager.mu

	mu             sync.Mutex
	items          map[string]*item
	results        []job.Result
	records        int             // number of records read or written
	positions      map[string]int  // first position of each listed item
	ready          []readyResult   // results to be listed
	recordLimit    int             // largest record in bytes, by the encoded size of its results
	ended          bool            // by the trainer, for good
	stopped        bool            // this entry runs no more attempts
	refreshedAt    time.Time       // last read of the log for records that were written late
	checkedAt      time.Time       // last read of the log for a client that was ahead of it
	stateReadAt    time.Time       // last read of the state, or last attempt without an answer
	startedAt      time.Time       // when this entry started to run the job
	offeredTo      []string        // services whose slots items were offered for
	estimatedAt    time.Time       // when remaining was computed
	remaining      time.Duration   // expected time until the items that the trainer waits for are done
	carried        map[string]bool // groups submitted again after an earlier job
	carriedOnly    bool            // the trainer waits for carried groups only
	stepLogged     bool            // event.StepCompleted has been logged
	reader         reader          // the client that reads the results in order
	flushRequested bool            // a client waits for results that are held back
	finished       bool            // all items were done, so that run has ended or is about to
	unconfirmed    unconfirmed     // cause to give up the open items
	cancel         context.CancelFunc
	changed        chan struct{} // closed when results are listed or the job stops
	wake           chan struct{} // signals run that an attempt has ended
	stateWake      chan struct{} // signals the stateWatcher that an attempt waits for it
	listWake       chan struct{} // signals the lister that there may be results to list
}

// item is one item of a job; its fields are guarded by Job.mu.
type item struct {
	job.Item
	index    int
	hint     int // estimated output tokens
	prompt   call.Prompt
	ticket   *prefill.Ticket // of the next attempt; only used by run
	data     []string        // data of the events received so far
	versions []int
	ending   ending    // last end of a response without framing
	failures int       // responses with status 500
	failedAt time.Time // last failure of a run or of the reward call
	moves    int       // moves between servers
	moved    time.Time // when the last move began
	timing   timing
	running  bool // an attempt of the item or of its reward call is in flight, or the item is claimed
	claimed  bool // a goroutine looks for a server for the item
	textDone bool // the text is complete; its score may be missing
	call     reward.Call
	scorer   string // server of the last reward call
	done     bool   // the result is known
	void     bool   // the item was given up
	listed   bool

	// The services in the order in which the next attempt and the next reward call look for a server.
	textOrder serviceOrder
	callOrder serviceOrder
}

// newJob returns a job with the results of the given records, whose state was read from the store at the given time. The
// items of an ended job may be left out.
func newJob(m *Manager, spec job.Job, s wire.JobState, records []wire.JobRecord, readAt time.Time) *Job {
	j := &Job{
		manager:   m,
		spec:      spec,
		workspace: jobWorkspace(s),
		epoch:     s.Epoch,
		host:      s.Host,
		path:      s.Path,
		submitted: time.UnixMilli(s.At),
		accepted:  s.Config,
		items:     make(map[string]*item, len(spec.Items)),
		total:     s.Total,
		ended:     s.Ended,
		stopped:   s.Ended,
		changed:   make(chan struct{}),
		wake:      make(chan struct{}, 1),
		stateWake: make(chan struct{}, 1),
		listWake:  make(chan struct{}, 1),
		carried:   make(map[string]bool),
		positions: make(map[string]int),

		stateReadAt: readAt,
		recordLimit: min(maxRecordBytes, m.MaxObjectBytes-envelopeBytes),
	}
	for i, it := range spec.Items {
		j.items[it.ID] = &item{Item: it, index: i, hint: lengthHint(it), prompt: platform.Headers{}.Prompt(it.Header)}
	}
	for n, r := range records {
		j.applyRecord(n, r)
	}
	return j
}

// resume gives up items that cannot be sent, and restores the texts that another owner or an earlier job has generated.
func (j *Job) resume(parts []wire.JobPart, now time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, it := range j.items {
		if it.Unsendable && j.terminate(it, now) {
			event.ItemGivenUp.Log(j.manager.Logger, "job", j.spec.ID, "request", it.ID, "cause", "its id or path cannot be sent to a server")
		}
	}
	for _, p := range parts {
		j.restoreFailures(p, now)
		j.restoreText(p)
	}
	var earlier []wire.JobPart
	for id := range j.items {
		if p, ok := j.manager.texts.get(j.workspace.Name, id); ok {
			earlier = append(earlier, p)
			j.carried[j.items[id].Group] = true
			j.restoreText(p)
		}
	}
	j.correctHints(earlier)
}

// correctHints replaces the length estimates of items that have run in an earlier job by the lengths seen there; the
// caller holds mu.
//
// Without it a long item whose estimate is low would start last again, and the step would wait for it. Estimates are
// unbiased at the median, so the median ratio over the items tells how many tokens an event stands for.
func (j *Job) correctHints(earlier []wire.JobPart) {
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
		if observed := int(tokens * float64(len(p.Data))); p.Done || observed > it.hint {
			it.hint = observed
		}
	}
}

// restoreFailures restores the failures of an item, and gives it up if the former owner has done so; the caller holds mu.
func (j *Job) restoreFailures(p wire.JobPart, now time.Time) {
	it := j.items[p.Item]
	if it == nil || it.done {
		return
	}
	it.failures, it.failedAt = max(it.failures, p.Failures), now
	if p.Void {
		j.terminate(it, now)
	}
}

// restoreText restores the text of an item unless it contains weight versions that are too old; the caller holds mu.
func (j *Job) restoreText(p wire.JobPart) {
	it := j.items[p.Item]
	if it == nil || it.done || it.textDone || len(p.Data) <= len(it.data) {
		return
	}
	for _, v := range p.Versions {
		if v < j.spec.MinVersion {
			return
		}
	}
	// Other jobs may resume from the same part.
	it.data, it.versions = slices.Clip(p.Data), slices.Clone(p.Versions)
	if p.Done {
		j.complete(it, time.Now())
	}
}

// extendable reports whether an attempt that has received the first n events of an item may still change its text; the
// caller holds mu. Events that are left in the buffers of an attempt must not be added once the job has stopped, since
// its texts may have been dropped or passed on by then.
func (j *Job) extendable(it *item, n int) bool { return !j.stopped && !it.done && len(it.data) == n }

// appendEvent adds the event after the first n to the text of an item. It returns false if the text may not be changed.
func (j *Job) appendEvent(it *item, n int, data string, version int) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.extendable(it, n) {
		return false
	}
	it.data = append(it.data, data)
	if !slices.Contains(it.versions, version) {
		it.versions = append(it.versions, version)
		slices.Sort(it.versions)
	}
	return true
}

// completeText notes that the text of an item is complete with n events. It returns false if the text may not be
// changed.
func (j *Job) completeText(it *item, n int, now time.Time) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.extendable(it, n) {
		return false
	}
	j.complete(it, now)
	return true
}

// complete notes that the text of an item is complete: the item is scored next if it has a reward call, and listed
// otherwise. The text does not change any more, so that its score is a score of this text. The caller holds mu.
func (j *Job) complete(it *item, now time.Time) {
	it.timing.textDone = now
	if it.Reward == nil {
		j.queueResult(it, "", now)
		return
	}
	it.textDone = true
	it.call.Ready(now)
}

// queueResult adds the text of an item to the results to be listed; the caller holds mu.
func (j *Job) queueResult(it *item, score string, now time.Time) {
	if !j.settle(it, now) {
		return
	}
	it.textDone = true
	it.timing.events = len(it.data)
	j.ready = append(j.ready, newReadyResult(job.Result{
		Item: it.ID, State: job.Completed, Text: strings.Join(it.data, "\n"), Versions: it.versions, Score: score,
	}))
}

// terminate gives an item up and adds its result without a text; it returns false if the item has a result already. The
// caller holds mu.
func (j *Job) terminate(it *item, now time.Time) bool {
	if !j.settle(it, now) {
		return false
	}
	it.void = true
	j.ready = append(j.ready, newReadyResult(job.Result{Item: it.ID, State: job.Terminated}))
	return true
}

// settle notes that the result of an item is known. It returns false if it was known before: a record that was written
// late may list an item while an attempt of it is in flight. The caller holds mu.
func (j *Job) settle(it *item, now time.Time) bool {
	if it.done {
		return false
	}
	it.done, it.timing.done = true, now
	return true
}

// unlistedParts returns what is known of items that are not listed yet: their texts, complete or not, their failures, and
// whether they were given up.
func (j *Job) unlistedParts() []wire.JobPart {
	j.mu.Lock()
	defer j.mu.Unlock()
	l := []wire.JobPart{}
	for _, it := range j.items {
		if it.listed || len(it.data) == 0 && it.failures == 0 && !it.void {
			continue
		}
		p := wire.JobPart{Item: it.ID, Data: []string{}, Versions: []int{}, Done: it.textDone, Failures: it.failures, Void: it.void}
		p.Data, p.Versions = append(p.Data, it.data...), append(p.Versions, it.versions...)
		l = append(l, p)
	}
	return l
}

// launch starts the goroutines of the job.
func (j *Job) launch(parent context.Context) {
	ctx, cancel := context.WithCancel(parent)
	j.mu.Lock()
	if j.stopped {
		j.mu.Unlock()
		cancel()
		return
	}
	j.cancel, j.startedAt = cancel, time.Now()
	j.mu.Unlock()
	notify(j.listWake)
	l := &lister{job: j}
	go supervise.Guard(j.manager.Logger, "job", func() { j.run(ctx) })
	go supervise.Guard(j.manager.Logger, "lister", func() { l.run(ctx) })
	go supervise.Guard(j.manager.Logger, "state", func() { stateWatcher{job: j}.run(ctx) })
	go supervise.Guard(j.manager.Logger, "keeper", func() { (&checkpointer{job: j}).run(ctx) })
}

// sortByLength sorts texts by their number of events, the longest first.
func sortByLength(parts []wire.JobPart) {
	slices.SortFunc(parts, func(a, b wire.JobPart) int { return len(b.Data) - len(a.Data) })
}

// stop ends the attempts of the job at this entry.
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
	j.notifyReaders()
}

// markEnded stops a job that the trainer has ended, and caches its unlisted texts for a later job. It may be repeated.
func (j *Job) markEnded(now time.Time) {
	j.stop()
	if j.hasEnded() {
		return
	}
	for _, p := range j.unlistedParts() {
		if len(p.Data) > 0 {
			j.manager.texts.put(j.workspace.Name, p, now)
		}
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.ended = true
	for _, it := range j.items {
		it.data = nil
	}
}

// hasEnded reports whether the trainer has ended the job.
func (j *Job) hasEnded() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.ended
}

// notifyReaders wakes the waiting reads; the caller holds mu.
func (j *Job) notifyReaders() {
	close(j.changed)
	j.changed = make(chan struct{})
}

// page returns the results from a position on, with at most maxBytes of text beyond the first result. If there are none
// it waits for up to wait, while the job runs here.
func (j *Job) page(ctx context.Context, after int, wait time.Duration, maxBytes int) job.Page {
	if !j.beginRead(after, wait > 0, time.Now()) {
		return j.waitPage(ctx, after, wait, maxBytes)
	}
	if wait <= 0 {
		j.flush(ctx)
	}
	p := j.waitPage(ctx, after, wait, maxBytes)
	j.endRead(p.Next, time.Now())
	return p
}

// beginRead notes the start of a read, and reports whether it comes from the client that reads the results in order.
func (j *Job) beginRead(after int, waits bool, now time.Time) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.reader.matches(after, waits, j.manager.readIntervals.typical(j.readerKey()), now) {
		return false
	}
	if gap := j.reader.begin(now); gap > 0 {
		j.manager.readIntervals.record(j.readerKey(), gap)
	}
	return true
}

// endRead notes that a read of the client that reads in order has been answered.
func (j *Job) endRead(next int, now time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.reader.end(next, now)
}

// flush has results that are held back listed, for a client that does not wait itself.
func (j *Job) flush(ctx context.Context) {
	if !j.hasListable() {
		return
	}
	j.mu.Lock()
	j.flushRequested = true
	changed, stopped := j.changed, j.stopped
	j.mu.Unlock()
	if stopped {
		return
	}
	notify(j.listWake)
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	select {
	case <-changed:
	case <-ctx.Done():
	}
}

// waitPage implements page without tracking the reader.
func (j *Job) waitPage(ctx context.Context, after int, wait time.Duration, maxBytes int) job.Page {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		j.mu.Lock()
		p := j.pageFrom(after, min(maxBytes, j.manager.pageLimit.maxBytes(time.Now())))
		changed, stopped, last := j.changed, j.stopped, j.isLast(p.Next)
		j.mu.Unlock()
		if len(p.Results) > 0 || wait <= 0 || stopped || last {
			j.manager.pageLimit.add(textBytes(p), time.Now())
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

// pageFrom returns the listed results from a position on, with at most maxBytes of encoded text beyond the first result; the
// caller holds mu.
func (j *Job) pageFrom(after, maxBytes int) job.Page {
	p := job.Page{Total: j.total, Next: after}
	if after >= len(j.results) {
		return p
	}
	sum := 0
	for _, r := range j.results[after:] {
		sum += jsonenc.StringSize(r.Text) + jsonenc.StringSize(r.Item)
		if len(p.Results) > 0 && sum > maxBytes {
			break
		}
		p.Results = append(p.Results, r)
		p.Next++
	}
	return p
}

// textBytes returns the bytes of encoded text in a page.
func textBytes(p job.Page) int {
	sum := 0
	for _, r := range p.Results {
		sum += jsonenc.StringSize(r.Text) + jsonenc.StringSize(r.Item)
	}
	return sum
}
