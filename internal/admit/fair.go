package admit

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// Config holds the parameters of Fair.
type Config struct {
	Slots         int           // items that run concurrently
	MaxLive       int           // maximum of waiting live items
	MaxTrain      int           // maximum of waiting training items
	MaxWait       time.Duration // maximum predicted wait of live items; beyond it they are refused at once
	LongTokens    int           // predicted tokens at which an item counts as long
	ReserveShare  float64       // fraction of slots that long items which cannot be preempted may not take
	SpareShare    float64       // fraction of slots that no long item may take while live items arrive
	AgingTime     time.Duration // wait after which a training or solo item claims a slot
	Quantum       time.Duration // minimum run time before an item is preempted
	TokenDelay    time.Duration // delay of the rank of a live item per predicted token
	MaxTokenDelay time.Duration // maximum of this delay
}

// DefaultConfig returns the production parameters for a server with the given number of slots.
func DefaultConfig(slots int) Config {
	return Config{
		Slots:    slots,
		MaxLive:  256,
		MaxTrain: 1024,
		// For a longer wait, it is better to send a live request to another server or to tell the caller when to retry.
		MaxWait:      1500 * time.Millisecond,
		LongTokens:   512,
		ReserveShare: 0.25,
		// One slot of 16. It costs about 5% of the training throughput.
		SpareShare: 0.0625,
		AgingTime:  30 * time.Second,
		// A preempted stream repeats its prefill when it is resumed. Much shorter runs would be mostly prefill; longer runs
		// would noticeably delay live items.
		Quantum:       50 * time.Millisecond,
		TokenDelay:    5 * time.Millisecond,
		MaxTokenDelay: 10 * time.Second,
	}
}

// Kinds of waiting items, each with its own heap.
const (
	liveShort = iota
	liveLong
	trainShort
	trainLong
	solos
	kinds
)

const (
	// minRetry and maxRetry bound the mean retry-after time of a BusyError.
	minRetry = 250 * time.Millisecond
	maxRetry = time.Minute
	// runWeight is the weight of the newest run in the moving average of run times.
	runWeight = 0.1
)

// Fair starts live before training items and short before long live items, by these rules:
//
//   - Each class is ordered by rank. The rank of a live item is its arrival plus a delay that grows with its predicted
//     length up to Config.MaxTokenDelay, so it is overtaken only by live items that arrive within Config.MaxTokenDelay. The
//     rank of a training item is its arrival: the owner of a step sends its longest samples first, and if shorter samples
//     overtook them here, the longest would run at the end of the step.
//   - A live item may preempt any preemptible training item that has run for Config.Quantum. Training items preempt nothing:
//     a stream that is resumed computes its prompt and its tokens again, and in steps of mixed lengths the streams spent
//     more time on that than on new tokens.
//   - A training or solo item that has waited for Config.AgingTime beyond its rank claims the next free slot if no item of
//     its kind (short, long or solo) has made progress for that time. An item that claimed a slot is not preempted. With n
//     older items of its kind before it, an item starts after at most n+1 times the sum of Config.AgingTime and the longest
//     run, whatever else arrives.
//   - A solo item is started once the server is empty; until then no other item is started. Between two solo items, as many
//     other items are started as there are slots, if there are any.
type Fair struct {
	config       Config
	random       *rand.Rand
	reserveSlots int
	spareSlots   int

	heaps           [kinds]*itemHeap
	deadlines       *itemHeap
	queued          [2]int // waiting items by class
	active          []*Item
	activeLongFixed int              // running long items that cannot be preempted
	activeLong      int              // running long items
	lastProgress    [kinds]time.Time // when an item of the kind last ended, or was preempted after some progress
	stopping        int              // running items that were asked to stop
	soloActive      bool             // a solo item is running
	nextSolo        *Item            // solo item that waits for the server to become empty
	sinceSolo       int              // other items started since the last solo item
	lastLive        time.Time        // arrival of the last live item
	meanRun         [2]time.Duration // moving average of the run times by class, 0 before the first has ended
	seq             uint64
}

// NewFair returns an empty policy; random is the source of the random part of retry-after times.
func NewFair(c Config, random *rand.Rand) *Fair {
	f := &Fair{config: c, random: random, sinceSolo: c.Slots, deadlines: newDeadlineHeap()}
	for k := range f.heaps {
		f.heaps[k] = newRankHeap()
	}
	f.reserveSlots = int(float64(c.Slots) * c.ReserveShare)
	f.spareSlots = int(float64(c.Slots) * c.SpareShare)
	return f
}

func (f *Fair) isLong(i *Item) bool { return i.spec.PredictedTokens >= f.config.LongTokens }

func (f *Fair) kind(i *Item) int {
	k := solos
	switch {
	case i.spec.Solo:
	case i.spec.Class == Live:
		k = liveShort
	default:
		k = trainShort
	}
	if k != solos && f.isLong(i) {
		k++
	}
	return k
}

// Push implements Policy.
func (f *Fair) Push(now time.Time, i *Item) error {
	bound := f.config.MaxLive
	if i.spec.Class == Train {
		bound = f.config.MaxTrain
	}
	if f.queued[i.spec.Class] >= bound || i.spec.Class == Live && f.predictWait(Live) > f.config.MaxWait {
		return &BusyError{class: i.spec.Class, waiting: f.queued[i.spec.Class], retry: f.retryAfter()}
	}
	f.seq++
	i.seq = f.seq
	i.arrived = now
	i.rank = now
	if i.spec.Class == Live {
		i.rank = now.Add(min(time.Duration(i.spec.PredictedTokens)*f.config.TokenDelay, f.config.MaxTokenDelay))
	}
	f.enqueue(i)
	if i.spec.Class == Live {
		f.lastLive = now
	}
	return nil
}

// predictWait returns the predicted time until all waiting items of a class are started, not taking the other class into
// account. It is 0 until a run of the class has ended.
func (f *Fair) predictWait(c Class) time.Duration {
	return f.meanRun[c] * time.Duration(f.queued[c]) / time.Duration(f.config.Slots)
}

// retryAfter returns the predicted time until all waiting items are started, with a random deviation of up to half of it
// in either direction.
func (f *Fair) retryAfter() time.Duration {
	mean := min(max(f.predictWait(Live)+f.predictWait(Train), minRetry), maxRetry)
	return mean/2 + time.Duration(f.random.Int64N(int64(mean)))
}

func (f *Fair) enqueue(i *Item) {
	i.state = waiting
	f.queued[i.spec.Class]++
	heap.Push(f.heaps[f.kind(i)], i)
	if !i.spec.Deadline.IsZero() {
		heap.Push(f.deadlines, i)
	}
}

// Remove implements Policy.
func (f *Fair) Remove(i *Item) bool {
	if i.state != waiting {
		return false
	}
	i.state = idle
	f.queued[i.spec.Class]--
	heap.Remove(f.heaps[f.kind(i)], i.index)
	if !i.spec.Deadline.IsZero() {
		heap.Remove(f.deadlines, i.deadlineIndex)
	}
	if f.nextSolo == i {
		f.nextSolo = nil
	}
	return true
}

// Next implements Policy.
func (f *Fair) Next(now time.Time) (Decision, bool) {
	if i := f.deadlines.peek(); i != nil && !now.Before(i.spec.Deadline) {
		f.Remove(i)
		return Decision{Kind: Expire, Item: i}, true
	}
	if f.soloActive {
		return Decision{}, false
	}
	if f.nextSolo != nil {
		return f.startSolo(now)
	}
	if i := f.agedItem(now); i != nil {
		if i.spec.Solo {
			f.nextSolo = i
			return f.startSolo(now)
		}
		if f.hasSlot(now, i, true) {
			return f.start(now, i, i.spec.Class == Train), true
		}
	}
	if d, ok := f.startOrPreempt(now, f.heaps[liveShort].peek(), f.heaps[liveLong].peek(), Live); ok || f.nextSolo != nil {
		return d, ok
	}
	return f.startOrPreempt(now, f.heaps[trainShort].peek(), f.heaps[trainLong].peek(), Train)
}

// agingKinds are the kinds of items that may claim a slot because of their age.
var agingKinds = [...]int{trainShort, trainLong, solos}

// agedItem returns the item that may claim a slot because of its age, or nil.
func (f *Fair) agedItem(now time.Time) *Item {
	var old *Item
	for _, k := range agingKinds {
		i := f.heaps[k].peek()
		if i == nil || i.rank.Add(f.config.AgingTime).After(now) || !f.starved(now, k) {
			continue
		}
		if k == solos && !f.soloTurn() {
			continue
		}
		if old == nil || i.before(old) {
			old = i
		}
	}
	return old
}

// starved reports whether no item of a kind has made progress within Config.AgingTime.
func (f *Fair) starved(now time.Time, kind int) bool {
	if now.Sub(f.lastProgress[kind]) < f.config.AgingTime {
		return false
	}
	for _, r := range f.active {
		if f.kind(r) == kind && (r.pinned || f.progressed(now, r)) {
			return false
		}
	}
	return true
}

// progressed reports whether a running item has made progress. A run of only a few quanta may not have got beyond its
// prefill.
func (f *Fair) progressed(now time.Time, r *Item) bool {
	const quanta = 10
	return now.Sub(r.started) >= quanta*f.config.Quantum
}

// soloTurn reports whether a solo item may be started next: enough other items were started since the last one, or only
// solo items wait.
func (f *Fair) soloTurn() bool {
	return f.sinceSolo >= f.config.Slots || f.queued[Live]+f.queued[Train] == f.heaps[solos].Len()
}

// startOrPreempt returns the next decision for a class. It tries the items a and b of the class, either of which may be
// nil, in the order of their ranks: the first that has a slot is started, or an item is preempted for it. If a solo item of
// the class has the lowest rank and may be next, the server is emptied for it.
func (f *Fair) startOrPreempt(now time.Time, a, b *Item, c Class) (Decision, bool) {
	if a == nil || b != nil && b.before(a) {
		a, b = b, a
	}
	s := f.heaps[solos].peek()
	if s != nil && s.spec.Class == c && f.soloTurn() && (a == nil || s.before(a)) {
		f.nextSolo = s
		return f.startSolo(now)
	}
	for _, i := range [...]*Item{a, b} {
		if i == nil {
			continue
		}
		if f.hasSlot(now, i, false) {
			return f.start(now, i, false), true
		}
		if v := f.victim(now, i); v != nil {
			return f.preempt(v), true
		}
	}
	return Decision{}, false
}

// hasSlot reports whether a slot is free for the item; pinned is true for an item that is not preempted after its start.
func (f *Fair) hasSlot(now time.Time, i *Item, pinned bool) bool {
	slots := f.config.Slots
	if len(f.active) >= slots {
		return false
	}
	if !f.isLong(i) {
		return true
	}
	if pinned || !i.spec.Preemptible {
		return f.activeLongFixed < max(1, slots-f.reserveSlots)
	}
	if !f.lastLive.IsZero() && now.Sub(f.lastLive) < f.config.AgingTime {
		slots = max(1, slots-f.spareSlots)
	}
	return f.activeLong < slots
}

func (f *Fair) start(now time.Time, i *Item, pinned bool) Decision {
	f.Remove(i)
	i.state = running
	i.started = now
	i.pinned = pinned
	f.active = append(f.active, i)
	f.countLong(i, 1)
	f.sinceSolo++
	return Decision{Kind: Start, Item: i}
}

// countLong adds n to the counters of running long items if the item is long.
func (f *Fair) countLong(i *Item, n int) {
	if !f.isLong(i) {
		return
	}
	f.activeLong += n
	if i.pinned || !i.spec.Preemptible {
		f.activeLongFixed += n
	}
}

// victim returns the running item to preempt for item i, or nil: the one with the highest rank.
func (f *Fair) victim(now time.Time, i *Item) *Item {
	if i.spec.Class != Live || f.stopping >= f.queued[Live] || len(f.active) < f.config.Slots {
		return nil
	}
	var v *Item
	for _, r := range f.active {
		if !preemptible(r) || now.Sub(r.started) < f.config.Quantum {
			continue
		}
		if v == nil || v.before(r) {
			v = r
		}
	}
	return v
}

// preemptible reports whether a running item may be preempted for a live item.
func preemptible(r *Item) bool {
	return r.state == running && r.spec.Preemptible && !r.pinned && r.spec.Class == Train
}

func (f *Fair) preempt(v *Item) Decision {
	v.state = preempting
	f.stopping++
	return Decision{Kind: Preempt, Item: v}
}

// startSolo starts nextSolo if nothing is running, and otherwise preempts running items one by one.
func (f *Fair) startSolo(now time.Time) (Decision, bool) {
	if len(f.active) == 0 {
		d := f.start(now, f.nextSolo, false)
		f.soloActive = true
		f.sinceSolo = 0
		return d, true
	}
	for _, r := range f.active {
		if r.state == running && r.spec.Preemptible && !r.pinned {
			return f.preempt(r), true
		}
	}
	return Decision{}, false
}

// Done implements Policy.
func (f *Fair) Done(now time.Time, i *Item) {
	f.lastProgress[f.kind(i)] = now
	f.release(i)
	i.state = idle
	took := float64(now.Sub(i.started))
	mean := &f.meanRun[i.spec.Class]
	if *mean == 0 {
		*mean = time.Duration(took)
	}
	*mean = time.Duration(runWeight*took + (1-runWeight)*float64(*mean))
}

func (f *Fair) release(i *Item) {
	for n, r := range f.active {
		if r == i {
			last := len(f.active) - 1
			f.active[n] = f.active[last]
			f.active[last] = nil
			f.active = f.active[:last]
			break
		}
	}
	f.countLong(i, -1)
	if i.state == preempting {
		f.stopping--
	}
	i.pinned = false
	f.soloActive = false
}

// Requeue implements Policy.
func (f *Fair) Requeue(now time.Time, i *Item) {
	if f.progressed(now, i) {
		f.lastProgress[f.kind(i)] = now
	}
	f.release(i)
	f.enqueue(i)
}

// Wake implements Policy.
func (f *Fair) Wake(now time.Time) (time.Time, bool) {
	var at time.Time
	sooner := func(t time.Time) {
		if t.After(now) && (at.IsZero() || t.Before(at)) {
			at = t
		}
	}
	if i := f.deadlines.peek(); i != nil {
		sooner(i.spec.Deadline)
	}
	for _, k := range agingKinds {
		if i := f.heaps[k].peek(); i != nil {
			sooner(i.rank.Add(f.config.AgingTime))
			sooner(f.lastProgress[k].Add(f.config.AgingTime))
		}
	}
	if f.queued[Live] > 0 {
		for _, r := range f.active {
			sooner(r.started.Add(f.config.Quantum))
		}
	}
	if f.queued[Train] > 0 && !f.lastLive.IsZero() {
		sooner(f.lastLive.Add(f.config.AgingTime))
	}
	return at, !at.IsZero()
}

// Len implements Policy.
func (f *Fair) Len() (waiting, running int) { return f.queued[Live] + f.queued[Train], len(f.active) }
