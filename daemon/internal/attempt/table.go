package attempt

import (
	"container/list"
	"slices"
	"strings"
	"sync"
	"time"

	"bulrushspoke/internal/refusal"
	"bulrushspoke/wire"
)

// Era is the length of an era. All keys of an era expire together.
const Era = 10 * time.Minute

const (
	// keyEras is the number of eras for which keys are stored. It covers the day for which a claim stays in the store.
	keyEras = 145
	// refusalEras is the number of eras for which copies of the work of a removed attempt are refused. A copy that is
	// delayed in a silent link arrives within minutes.
	refusalEras = 2
)

// Limits bound what a table stores.
type Limits struct {
	MaxBytes        int64         // size of all finished results
	MaxKeys         int           // number of keys of all eras
	SampleRetention time.Duration // retention of finished samples that are not dropped
	ResultRetention time.Duration // retention of other finished results that are not dropped
}

// keyRecord is the state of a key. Without an attempt it is a tombstone: the key must not start any more.
type keyRecord struct {
	attempt *Attempt
}

// Table holds the attempts and keys of one daemon incarnation.
type Table struct {
	inc    string
	base   int
	start  time.Time
	limits Limits

	mu         sync.Mutex
	attempts   map[string]*Attempt
	eras       map[int]map[string]*keyRecord
	oldestEra  int
	keys       int
	refusals   map[int]map[string]*refusal.Error
	retained   [retainClasses]*list.List
	retentions map[*Attempt]retention
	bytes      int64
	active     int
	undropped  int // finished results not dropped yet, refusals not counted
}

// Classes of finished results, in the order in which they are evicted when memory is short.
const (
	retainAcked = iota // dropped results of keys, kept for a later Ask
	retainOther
	retainSample
	retainClasses
)

// retention is the position of a finished result in the eviction lists.
type retention struct {
	class   int
	element *list.Element
	bytes   int64
}

// NewTable returns the table of the incarnation inc. Eras are numbered from base, which is random, so that a claim of
// another incarnation contains an era that this one never had.
func NewTable(inc string, base int, now time.Time, limits Limits) *Table {
	t := &Table{
		inc:        inc,
		base:       base,
		start:      now,
		limits:     limits,
		attempts:   make(map[string]*Attempt),
		eras:       make(map[int]map[string]*keyRecord),
		oldestEra:  base,
		refusals:   make(map[int]map[string]*refusal.Error),
		retentions: make(map[*Attempt]retention),
	}
	for i := range t.retained {
		t.retained[i] = list.New()
	}
	return t
}

// Era returns the number of the current era.
func (t *Table) Era(now time.Time) int { return t.base + int(now.Sub(t.start)/Era) }

// Active returns the number of attempts that have not ended.
func (t *Table) Active() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.active
}

// Retained returns the number of finished results that are not dropped yet, refusals not counted, and the bytes that all
// ended attempts use.
func (t *Table) Retained() (int, int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.undropped, t.bytes
}

// Find returns a stored attempt, or the refusal for one that has ended and was removed.
func (t *Table) Find(now time.Time, id string) (*Attempt, *refusal.Error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.find(now, id)
}

func (t *Table) find(now time.Time, id string) (*Attempt, *refusal.Error) {
	if a := t.attempts[id]; a != nil {
		return a, nil
	}
	era := t.Era(now)
	for i := range refusalEras {
		if err := t.refusals[era-i][id]; err != nil {
			return nil, err
		}
	}
	return nil, nil
}

// Admit returns the attempt for a work message. If fresh is true, it is new and the caller must run it; otherwise it
// exists already and only its output is to be sent. If Admit returns a refusal, the work will not run.
func (t *Table) Admit(now time.Time, w wire.Work) (a *Attempt, fresh bool, err *refusal.Error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a, err := t.find(now, w.Attempt); a != nil || err != nil {
		return a, false, err
	}
	if w.Once {
		if err := t.checkKey(now, w); err != nil {
			return nil, false, err
		}
	}
	a = newAttempt(now, w)
	t.attempts[w.Attempt] = a
	t.active++
	if w.Once {
		t.putKey(w.Era, w.Key, &keyRecord{attempt: a})
	}
	return a, true, nil
}

// checkKey returns a refusal if the key must not be started.
func (t *Table) checkKey(now time.Time, w wire.Work) *refusal.Error {
	if w.Key == "" {
		return refusal.New(refusal.KeyRequired, refusal.NotRun, "an unrepeatable call needs a key")
	}
	if !t.hasEra(now, w.Era) {
		return refusal.New(refusal.OutcomeUnknown, refusal.Unknown, "era %d is forgotten or of another incarnation", w.Era)
	}
	if r := t.eras[w.Era][w.Key]; r != nil && r.attempt == nil {
		return refusal.New(refusal.Tombstoned, refusal.NotRun, "the key will not be started in era %d", w.Era)
	}
	for _, keys := range t.eras {
		if r := keys[w.Key]; r != nil && r.attempt != nil {
			return refusal.New(refusal.Conflict, refusal.Unknown, "the key was started as attempt %s", r.attempt.ID())
		}
	}
	if t.isFull(w.Era) {
		return refusal.New(refusal.Busy, refusal.NotRun, "%d keys are remembered", t.keys).WithRetryAfter(Era)
	}
	return nil
}

// hasEra reports whether keys of an era are stored or may be added: it has not been removed and is at most the next one.
func (t *Table) hasEra(now time.Time, era int) bool {
	return era >= t.oldestEra && era <= t.Era(now)+1
}

// isFull reports whether there is no room for a key of an era, even if all older eras are removed.
func (t *Table) isFull(era int) bool { return t.keys >= t.limits.MaxKeys && era <= t.oldestEra }

// putKey stores the state of a key. If there are too many keys, it removes eras older than the key's.
func (t *Table) putKey(era int, key string, r *keyRecord) {
	keys := t.eras[era]
	if keys == nil {
		keys = make(map[string]*keyRecord)
		t.eras[era] = keys
	}
	if keys[key] == nil {
		t.keys++
	}
	keys[key] = r
	for t.keys > t.limits.MaxKeys && t.oldestEra < era {
		t.removeOldestEra()
	}
}

// removeOldestEra removes the keys of the oldest era.
func (t *Table) removeOldestEra() {
	t.keys -= len(t.eras[t.oldestEra])
	delete(t.eras, t.oldestEra)
	t.oldestEra++
}

// Expects reports whether the work of an unknown key may still arrive: the claim is of this incarnation, and its era is at
// most one before the current one.
func (t *Table) Expects(now time.Time, q wire.Ask) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return q.Inc == t.inc && q.Era >= t.Era(now)-1 && t.hasEra(now, q.Era) && t.eras[q.Era][q.Key] == nil
}

// Ask returns the outcome of a key. An unknown key gets a tombstone in the same critical section, so that it is never
// started after this response.
func (t *Table) Ask(now time.Time, q wire.Ask) wire.Fate {
	t.mu.Lock()
	defer t.mu.Unlock()
	if q.Inc != t.inc || !t.hasEra(now, q.Era) {
		return wire.Fate{State: "unknown"}
	}
	r := t.eras[q.Era][q.Key]
	if r == nil {
		if t.isFull(q.Era) {
			return wire.Fate{State: "unknown"}
		}
		t.putKey(q.Era, q.Key, &keyRecord{})
		return wire.Fate{State: "none"}
	}
	if r.attempt == nil {
		return wire.Fate{State: "none"}
	}
	end := r.attempt.End()
	if end == nil {
		return wire.Fate{State: "running", Attempt: r.attempt.ID()}
	}
	if end.Reply == nil {
		return wire.Fate{State: "unknown", Attempt: r.attempt.ID()}
	}
	return wire.Fate{State: "finished", Attempt: r.attempt.ID(), Reply: end.Reply}
}

// Finish ends an attempt and stores its result until it is dropped or expires.
func (t *Table) Finish(now time.Time, a *Attempt, e End) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !a.finish(now, e) {
		return
	}
	t.active--
	w := a.Work()
	if w.Once && e.Refusal != nil && e.Refusal.Ran() == refusal.NotRun {
		t.putKey(w.Era, w.Key, &keyRecord{})
	}
	class := retainOther
	if w.Slot != nil {
		class = retainSample
	}
	t.retain(a, class)
	t.trim(now)
}

// Refuse ends an attempt that was not queued. Later copies of its work get the same refusal.
func (t *Table) Refuse(now time.Time, a *Attempt, err *refusal.Error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !a.finish(now, End{Refusal: err}) {
		return
	}
	t.active--
	w := a.Work()
	if w.Once {
		t.putKey(w.Era, w.Key, &keyRecord{})
	}
	delete(t.attempts, a.ID())
	t.addRefusal(now, a.ID(), err)
}

// addRefusal stores the refusal for copies of the work of a removed attempt.
func (t *Table) addRefusal(now time.Time, id string, err *refusal.Error) {
	era := t.Era(now)
	if t.refusals[era] == nil {
		t.refusals[era] = make(map[string]*refusal.Error)
	}
	t.refusals[era][id] = err
}

// retain adds a finished attempt to the eviction list of its class.
func (t *Table) retain(a *Attempt, class int) {
	p := retention{class: class, element: t.retained[class].PushBack(a), bytes: a.size()}
	t.retentions[a] = p
	t.bytes += p.bytes
	if a.End().Refusal == nil {
		t.undropped++
	}
}

// errRemoved is the refusal for a copy of work whose result was removed.
var errRemoved = refusal.New(refusal.OutcomeUnknown, refusal.Unknown, "the attempt ended and its result is forgotten")

// remove removes a finished attempt. Copies of its work are refused from now on.
func (t *Table) remove(now time.Time, a *Attempt) {
	p := t.retentions[a]
	t.retained[p.class].Remove(p.element)
	delete(t.retentions, a)
	t.bytes -= p.bytes
	delete(t.attempts, a.ID())
	err := errRemoved
	if e := a.End(); e.Refusal != nil {
		err = e.Refusal
	} else if p.class != retainAcked {
		t.undropped--
	}
	t.addRefusal(now, a.ID(), err)
	w := a.Work()
	if w.Once && t.eras[w.Era][w.Key] != nil && t.eras[w.Era][w.Key].attempt == a {
		a.forgetOutput()
	}
}

// forgetOutput frees the call and the reply of an attempt whose key is still stored. From now on its outcome is unknown.
func (a *Attempt) forgetOutput() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.end = &End{Refusal: errRemoved}
	a.work.Call = nil
}

// Drop removes finished attempts whose results were received. The result of a key is kept for a later Ask while there
// is room.
func (t *Table) Drop(now time.Time, ids []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range ids {
		a := t.attempts[id]
		p, ok := t.retentions[a]
		switch {
		case !ok || p.class == retainAcked:
		case a.Work().Once:
			t.retained[p.class].Remove(p.element)
			if a.End().Refusal == nil {
				t.undropped--
			}
			t.retentions[a] = retention{class: retainAcked, element: t.retained[retainAcked].PushBack(a), bytes: p.bytes}
		default:
			t.remove(now, a)
		}
	}
}

// maxCollectBytes is the size limit of the samples in one response to collect, which must fit into a frame of a link.
const maxCollectBytes = 2 << 20

// Collect returns the finished and the running samples of a step. Finished samples beyond maxCollectBytes are listed as
// running: the owner of the step repeats the request while any are running, and has dropped the first ones by then.
func (t *Table) Collect(run string, step int) wire.HeldSamples {
	t.mu.Lock()
	defer t.mu.Unlock()
	var found []*Attempt
	for _, a := range t.attempts {
		if s := a.Work().Slot; s != nil && s.Run == run && s.Step == step {
			found = append(found, a)
		}
	}
	slices.SortFunc(found, func(a, b *Attempt) int { return strings.Compare(a.ID(), b.ID()) })
	h := wire.HeldSamples{Running: []wire.HeldSample{}, Samples: []wire.HeldSample{}}
	room := int64(maxCollectBytes)
	for _, a := range found {
		e := a.End()
		switch {
		case e == nil, e.Refusal == nil && room <= 0:
			h.Running = append(h.Running, a.heldSample(false))
		case e.Refusal == nil:
			h.Samples = append(h.Samples, a.heldSample(true))
			room -= t.retentions[a].bytes
		}
	}
	return h
}

// Sweep removes what has expired. It returns the attempts in progress that have had no reader for longer than maxDetached,
// leaving out samples and non-idempotent calls.
func (t *Table) Sweep(now time.Time, maxDetached time.Duration) []*Attempt {
	t.mu.Lock()
	defer t.mu.Unlock()
	for era := t.Era(now) - keyEras; t.oldestEra <= era; {
		t.removeOldestEra()
	}
	for era := range t.refusals {
		if era <= t.Era(now)-refusalEras {
			delete(t.refusals, era)
		}
	}
	t.trim(now)
	var out []*Attempt
	for _, a := range t.attempts {
		w := a.Work()
		if w.Once || w.Slot != nil || a.End() != nil {
			continue
		}
		if since := a.DetachedSince(); !since.IsZero() && now.Sub(since) > maxDetached {
			out = append(out, a)
		}
	}
	return out
}

// trim removes expired results and, while the results exceed the size limit, the oldest ones in the order of the classes.
func (t *Table) trim(now time.Time) {
	for c, limit := range [retainClasses]time.Duration{keyEras * Era, t.limits.ResultRetention, t.limits.SampleRetention} {
		for e := t.retained[c].Front(); e != nil; e = t.retained[c].Front() {
			a := e.Value.(*Attempt)
			if now.Sub(a.ended) <= limit && t.bytes <= t.limits.MaxBytes {
				break
			}
			t.remove(now, a)
		}
	}
}
