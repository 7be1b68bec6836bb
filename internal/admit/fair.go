package admit

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// Config holds the parameters of Fair.
type Config struct {
	Slots   int           // items that run at once
	Live    int           // live items that may wait
	Train   int           // training items that may wait
	Wait    time.Duration // longest predicted wait of a live item; beyond it the item is refused at once
	Long    int           // predicted tokens from which an item counts as long
	Reserve float64       // share of slots kept free of long work that cannot be preempted
	Spare   float64       // share of slots kept free of all long work while live work arrives
	Age     time.Duration // wait after which training or solo work claims a slot
	Quantum time.Duration // shortest run of a stream before it is preempted
	Token   time.Duration // time by which each predicted token moves an item back
	Length  time.Duration // largest such time
}

// DefaultConfig returns the parameters for a server with the given number of slots.
func DefaultConfig(slots int) Config {
	return Config{
		Slots: slots,
		Live:  256,
		Train: 1024,
		// A live caller is better served elsewhere, or told when to come back, than held in a queue.
		Wait:    1500 * time.Millisecond,
		Long:    512,
		Reserve: 0.25,
		// One slot of 16: what training gives up for it stays at about 5%.
		Spare: 0.0625,
		Age:   30 * time.Second,
		// A stream that is preempted pays its prefill again; a much shorter run would be mostly prefill, and a longer
		// one shows in the wait of live work.
		Quantum: 50 * time.Millisecond,
		Token:   5 * time.Millisecond,
		Length:  10 * time.Second,
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
	// Bounds of the retry-after time of a busy refusal.
	minRetry = 250 * time.Millisecond
	maxRetry = time.Minute
	// serviceWeight is the weight of the newest run in the mean length of runs.
	serviceWeight = 0.1
)

// Fair serves live before training work and short before long work, with these rules:
//
//   - Each class is served by rank. The rank of live work is its arrival plus a time that grows with its predicted
//     length up to Config.Length, so it is overtaken only by live work that arrives within Config.Length. The rank of
//     training work is its arrival: the owner of a step sends its longest samples first, and short samples that
//     overtook them here would leave the longest to the end of the step.
//   - Live work may preempt any training stream that has run for Config.Quantum. Training work preempts nothing: a
//     stream that goes on later computes its prompt and its tokens again, and in steps of mixed lengths the streams
//     spent more time on that than on new tokens.
//   - An item of training or solo work that has waited for Config.Age beyond its rank claims the next free slot if no
//     item of its kind (short, long or solo) has made progress for as long; a claimed slot is kept to the end. With n
//     older items of its kind before it, an item starts after at most n+1 times the sum of Config.Age and the longest
//     run, whatever else arrives.
//   - A solo item waits for the server to empty, while nothing else is started. Between two solo items as many others
//     are started as there are slots, if they wait.
type Fair struct {
	config  Config
	random  *rand.Rand
	reserve int // slots
	spare   int // slots

	heaps     [kinds]*itemHeap
	deadlines *itemHeap
	waits     [2]int // by class
	active    []*Item
	fixed     int              // running long items that cannot be preempted
	long      int              // running long items
	fed       [kinds]time.Time // last time that an item of the kind ended, or was preempted after some progress
	leaving   int              // running items that were asked to stop
	alone     bool
	draining  *Item            // solo item that the server is emptied for
	others    int              // items started since the last solo item
	lastLive  time.Time        // arrival of the last live item
	service   [2]time.Duration // mean length of the runs of a class, 0 before the first has ended
	seq       uint64
}

// NewFair returns an empty queue; random spreads the retry-after times.
func NewFair(c Config, random *rand.Rand) *Fair {
	f := &Fair{config: c, random: random, others: c.Slots, deadlines: newDeadlineHeap()}
	for k := range f.heaps {
		f.heaps[k] = newRankHeap()
	}
	f.reserve = int(float64(c.Slots) * c.Reserve)
	f.spare = int(float64(c.Slots) * c.Spare)
	return f
}

func (f *Fair) isLong(i *Item) bool { return i.spec.Predicted >= f.config.Long }

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
	bound := f.config.Live
	if i.spec.Class == Train {
		bound = f.config.Train
	}
	if f.waits[i.spec.Class] >= bound || i.spec.Class == Live && f.predict(Live) > f.config.Wait {
		return &BusyError{class: i.spec.Class, waiting: f.waits[i.spec.Class], retry: f.retry()}
	}
	f.seq++
	i.seq = f.seq
	i.arrived = now
	i.rank = now
	if i.spec.Class == Live {
		i.rank = now.Add(min(time.Duration(i.spec.Predicted)*f.config.Token, f.config.Length))
	}
	f.add(i)
	if i.spec.Class == Live {
		f.lastLive = now
	}
	return nil
}

// predict returns the time in which the waiting items of a class are probably started, without regard to the others; 0
// until a run of the class has ended.
func (f *Fair) predict(c Class) time.Duration {
	return f.service[c] * time.Duration(f.waits[c]) / time.Duration(f.config.Slots)
}

// retry returns the time in which the waiting items are probably served, spread by half to either side.
func (f *Fair) retry() time.Duration {
	mean := min(max(f.predict(Live)+f.predict(Train), minRetry), maxRetry)
	return mean/2 + time.Duration(f.random.Int64N(int64(mean)))
}

func (f *Fair) add(i *Item) {
	i.state = waiting
	f.waits[i.spec.Class]++
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
	f.waits[i.spec.Class]--
	heap.Remove(f.heaps[f.kind(i)], i.place)
	if !i.spec.Deadline.IsZero() {
		heap.Remove(f.deadlines, i.expiry)
	}
	if f.draining == i {
		f.draining = nil
	}
	return true
}

// Next implements Policy.
func (f *Fair) Next(now time.Time) (Decision, bool) {
	if i := f.deadlines.head(); i != nil && !now.Before(i.spec.Deadline) {
		f.Remove(i)
		return Decision{Kind: Expire, Item: i}, true
	}
	if f.alone {
		return Decision{}, false
	}
	if f.draining != nil {
		return f.empty(now)
	}
	if i := f.oldest(now); i != nil {
		if i.spec.Solo {
			f.draining = i
			return f.empty(now)
		}
		if f.fits(now, i, true) {
			return f.start(now, i, i.spec.Class == Train), true
		}
	}
	if d, ok := f.serve(now, f.heaps[liveShort].head(), f.heaps[liveLong].head(), Live); ok || f.draining != nil {
		return d, ok
	}
	return f.serve(now, f.heaps[trainShort].head(), f.heaps[trainLong].head(), Train)
}

// claimants are the kinds that may claim a slot by age.
var claimants = [...]int{trainShort, trainLong, solos}

// oldest returns the item that may claim a slot by age, nil if there is none.
func (f *Fair) oldest(now time.Time) *Item {
	var old *Item
	for _, k := range claimants {
		i := f.heaps[k].head()
		if i == nil || i.rank.Add(f.config.Age).After(now) || !f.starving(now, k) {
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

// starving reports whether no item of a kind has made progress lately. A run that is preempted after a few quanta may
// have got no further than its prefill.
func (f *Fair) starving(now time.Time, kind int) bool {
	if now.Sub(f.fed[kind]) < f.config.Age {
		return false
	}
	for _, r := range f.active {
		if f.kind(r) == kind && (r.protect || f.progressed(now, r)) {
			return false
		}
	}
	return true
}

func (f *Fair) progressed(now time.Time, r *Item) bool {
	const quanta = 10
	return now.Sub(r.started) >= quanta*f.config.Quantum
}

// soloTurn reports whether a solo item may be next.
func (f *Fair) soloTurn() bool {
	return f.others >= f.config.Slots || f.waits[Live]+f.waits[Train] == f.heaps[solos].Len()
}

// serve starts the first of two items of one class that can start, or makes room for it.
func (f *Fair) serve(now time.Time, a, b *Item, c Class) (Decision, bool) {
	if a == nil || b != nil && b.before(a) {
		a, b = b, a
	}
	s := f.heaps[solos].head()
	if s != nil && s.spec.Class == c && f.soloTurn() && (a == nil || s.before(a)) {
		f.draining = s
		return f.empty(now)
	}
	for _, i := range [...]*Item{a, b} {
		if i == nil {
			continue
		}
		if f.fits(now, i, false) {
			return f.start(now, i, false), true
		}
		if v := f.victim(now, i); v != nil {
			return f.push(v), true
		}
	}
	return Decision{}, false
}

// fits reports whether a slot is free for the item.
func (f *Fair) fits(now time.Time, i *Item, protect bool) bool {
	slots := f.config.Slots
	if len(f.active) >= slots {
		return false
	}
	if !f.isLong(i) {
		return true
	}
	if protect || !i.spec.Preemptible {
		return f.fixed < max(1, slots-f.reserve)
	}
	if !f.lastLive.IsZero() && now.Sub(f.lastLive) < f.config.Age {
		slots = max(1, slots-f.spare)
	}
	return f.long < slots
}

func (f *Fair) start(now time.Time, i *Item, protect bool) Decision {
	f.Remove(i)
	i.state = running
	i.started = now
	i.protect = protect
	f.active = append(f.active, i)
	f.count(i, 1)
	f.others++
	return Decision{Kind: Start, Item: i}
}

// count adds n to the counters of running items.
func (f *Fair) count(i *Item, n int) {
	if !f.isLong(i) {
		return
	}
	f.long += n
	if i.protect || !i.spec.Preemptible {
		f.fixed += n
	}
}

// victim returns the running stream that makes room for an item: the one of the latest rank.
func (f *Fair) victim(now time.Time, i *Item) *Item {
	if i.spec.Class != Live || f.leaving >= f.waits[Live] || len(f.active) < f.config.Slots {
		return nil
	}
	var v *Item
	for _, r := range f.active {
		if !yields(r) || now.Sub(r.started) < f.config.Quantum {
			continue
		}
		if v == nil || v.before(r) {
			v = r
		}
	}
	return v
}

// yields reports whether a running stream may be preempted for live work.
func yields(r *Item) bool {
	return r.state == running && r.spec.Preemptible && !r.protect && r.spec.Class == Train
}

func (f *Fair) push(v *Item) Decision {
	v.state = preempting
	f.leaving++
	return Decision{Kind: Preempt, Item: v}
}

// empty starts the chosen solo item once nothing runs, and preempts what can be until then.
func (f *Fair) empty(now time.Time) (Decision, bool) {
	if len(f.active) == 0 {
		d := f.start(now, f.draining, false)
		f.alone = true
		f.others = 0
		return d, true
	}
	for _, r := range f.active {
		if r.state == running && r.spec.Preemptible && !r.protect {
			return f.push(r), true
		}
	}
	return Decision{}, false
}

// Done implements Policy.
func (f *Fair) Done(now time.Time, i *Item) {
	f.fed[f.kind(i)] = now
	f.free(i)
	i.state = idle
	took := float64(now.Sub(i.started))
	mean := &f.service[i.spec.Class]
	if *mean == 0 {
		*mean = time.Duration(took)
	}
	*mean = time.Duration(serviceWeight*took + (1-serviceWeight)*float64(*mean))
}

func (f *Fair) free(i *Item) {
	for n, r := range f.active {
		if r == i {
			last := len(f.active) - 1
			f.active[n] = f.active[last]
			f.active[last] = nil
			f.active = f.active[:last]
			break
		}
	}
	f.count(i, -1)
	if i.state == preempting {
		f.leaving--
	}
	i.protect = false
	f.alone = false
}

// Requeue implements Policy.
func (f *Fair) Requeue(now time.Time, i *Item) {
	if f.progressed(now, i) {
		f.fed[f.kind(i)] = now
	}
	f.free(i)
	f.add(i)
}

// Wake implements Policy.
func (f *Fair) Wake(now time.Time) (time.Time, bool) {
	var at time.Time
	sooner := func(t time.Time) {
		if t.After(now) && (at.IsZero() || t.Before(at)) {
			at = t
		}
	}
	if i := f.deadlines.head(); i != nil {
		sooner(i.spec.Deadline)
	}
	for _, k := range claimants {
		if i := f.heaps[k].head(); i != nil {
			sooner(i.rank.Add(f.config.Age))
			sooner(f.fed[k].Add(f.config.Age))
		}
	}
	if f.waits[Live] > 0 {
		for _, r := range f.active {
			sooner(r.started.Add(f.config.Quantum))
		}
	}
	if f.waits[Train] > 0 && !f.lastLive.IsZero() {
		sooner(f.lastLive.Add(f.config.Age))
	}
	return at, !at.IsZero()
}

// Len implements Policy.
func (f *Fair) Len() (waiting, running int) { return f.waits[Live] + f.waits[Train], len(f.active) }
