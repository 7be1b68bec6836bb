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

// Era is the length of time that keys are remembered and forgotten by.
const Era = 10 * time.Minute

const (
	// keptEras covers the day that a claim stays in the store.
	keptEras = 145
	// goneEras is how many eras the ids of ended attempts are remembered after the attempt itself is forgotten. A
	// copy of a work message in a silent link arrives within minutes.
	goneEras = 2
)

// Limits bound what a table remembers.
type Limits struct {
	Bytes   int64         // finished results
	Keys    int           // keys of all eras
	Samples time.Duration // how long a finished sample waits for drop
	Others  time.Duration // how long another finished result waits for drop
}

// record is what is known of a key. A record without an attempt is a tombstone.
type record struct {
	attempt *Attempt
}

// Table holds the attempts and keys of one daemon incarnation.
type Table struct {
	inc    string
	base   int
	start  time.Time
	limits Limits

	mu       sync.Mutex
	attempts map[string]*Attempt
	eras     map[int]map[string]*record
	oldest   int
	keys     int
	gone     map[int]map[string]*refusal.Error
	retained [retainClasses]*list.List
	places   map[*Attempt]place
	bytes    int64
	active   int
	untaken  int // finished results that wait for drop, refusals left out
}

// Classes of finished results, in the order in which they are given up when memory is short.
const (
	retainAcked = iota // acknowledged results of keys, kept for a later ask
	retainOther
	retainSample
	retainClasses
)

// place is where a finished result is kept.
type place struct {
	class   int
	element *list.Element
	bytes   int64
}

// NewTable returns the table of the incarnation inc. Eras count from base, a random number: a claim of another
// incarnation then names an era that this one never had.
func NewTable(inc string, base int, now time.Time, limits Limits) *Table {
	t := &Table{
		inc:      inc,
		base:     base,
		start:    now,
		limits:   limits,
		attempts: make(map[string]*Attempt),
		eras:     make(map[int]map[string]*record),
		oldest:   base,
		gone:     make(map[int]map[string]*refusal.Error),
		places:   make(map[*Attempt]place),
	}
	for i := range t.retained {
		t.retained[i] = list.New()
	}
	return t
}

// Era returns the number of the present era.
func (t *Table) Era(now time.Time) int { return t.base + int(now.Sub(t.start)/Era) }

// Active returns the number of attempts that have not ended.
func (t *Table) Active() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.active
}

// Retained returns the number of finished results that wait for drop, refusals left out, and the bytes that all ended
// attempts hold.
func (t *Table) Retained() (int, int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.untaken, t.bytes
}

// Find returns a remembered attempt, or the refusal of one that ended and is forgotten.
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
	for i := range goneEras {
		if err := t.gone[era-i][id]; err != nil {
			return nil, err
		}
	}
	return nil, nil
}

// Admit returns the attempt that the work asks for. Fresh is true if the caller is to run it; otherwise it is known
// already and only its output is to be sent. A refusal means that it will not run.
func (t *Table) Admit(now time.Time, w wire.Work) (a *Attempt, fresh bool, err *refusal.Error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a, err := t.find(now, w.Attempt); a != nil || err != nil {
		return a, false, err
	}
	if w.Once {
		if err := t.claim(now, w); err != nil {
			return nil, false, err
		}
	}
	a = newAttempt(now, w)
	t.attempts[w.Attempt] = a
	t.active++
	if w.Once {
		t.put(w.Era, w.Key, &record{attempt: a})
	}
	return a, true, nil
}

// claim tells whether the key may be started.
func (t *Table) claim(now time.Time, w wire.Work) *refusal.Error {
	if w.Key == "" {
		return refusal.New(refusal.KeyRequired, refusal.NotRun, "an unrepeatable call needs a key")
	}
	if !t.remembers(now, w.Era) {
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
	if t.full(w.Era) {
		return refusal.New(refusal.Busy, refusal.NotRun, "%d keys are remembered", t.keys).After(Era)
	}
	return nil
}

func (t *Table) remembers(now time.Time, era int) bool {
	return era >= t.oldest && era <= t.Era(now)+1
}

// full reports whether there is no room for a key of an era, not even by forgetting older eras.
func (t *Table) full(era int) bool { return t.keys >= t.limits.Keys && era <= t.oldest }

func (t *Table) put(era int, key string, r *record) {
	keys := t.eras[era]
	if keys == nil {
		keys = make(map[string]*record)
		t.eras[era] = keys
	}
	if keys[key] == nil {
		t.keys++
	}
	keys[key] = r
	for t.keys > t.limits.Keys && t.oldest < era {
		t.forget()
	}
}

// forget drops the oldest era.
func (t *Table) forget() {
	t.keys -= len(t.eras[t.oldest])
	delete(t.eras, t.oldest)
	t.oldest++
}

// Expects reports whether the work of an unseen key may be on its way, because the claim names an era that is not over
// for long.
func (t *Table) Expects(now time.Time, q wire.Ask) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return q.Inc == t.inc && q.Era >= t.Era(now)-1 && t.remembers(now, q.Era) && t.eras[q.Era][q.Key] == nil
}

// Ask tells what became of a key. An unseen key gets a tombstone in the same critical section, so that it is never
// started after the answer.
func (t *Table) Ask(now time.Time, q wire.Ask) wire.Fate {
	t.mu.Lock()
	defer t.mu.Unlock()
	if q.Inc != t.inc || !t.remembers(now, q.Era) {
		return wire.Fate{State: "unknown"}
	}
	r := t.eras[q.Era][q.Key]
	if r == nil {
		if t.full(q.Era) {
			return wire.Fate{State: "unknown"}
		}
		t.put(q.Era, q.Key, &record{})
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

// Finish ends an attempt and keeps its result until it is dropped or expires.
func (t *Table) Finish(now time.Time, a *Attempt, e End) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !a.finish(now, e) {
		return
	}
	t.active--
	w := a.Work()
	if w.Once && e.Refusal != nil && e.Refusal.Ran() == refusal.NotRun {
		t.put(w.Era, w.Key, &record{})
	}
	class := retainOther
	if w.Slot != nil {
		class = retainSample
	}
	t.retain(a, class)
	t.trim(now)
}

// Refuse ends an attempt before it was queued; a later copy of its work gets the same refusal.
func (t *Table) Refuse(now time.Time, a *Attempt, err *refusal.Error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !a.finish(now, End{Refusal: err}) {
		return
	}
	t.active--
	w := a.Work()
	if w.Once {
		t.put(w.Era, w.Key, &record{})
	}
	delete(t.attempts, a.ID())
	t.bury(now, a.ID(), err)
}

func (t *Table) bury(now time.Time, id string, err *refusal.Error) {
	era := t.Era(now)
	if t.gone[era] == nil {
		t.gone[era] = make(map[string]*refusal.Error)
	}
	t.gone[era][id] = err
}

func (t *Table) retain(a *Attempt, class int) {
	p := place{class: class, element: t.retained[class].PushBack(a), bytes: a.size()}
	t.places[a] = p
	t.bytes += p.bytes
	if a.End().Refusal == nil {
		t.untaken++
	}
}

// errDropped answers a copy of work whose result is forgotten.
var errDropped = refusal.New(refusal.OutcomeUnknown, refusal.Unknown, "the attempt ended and its result is forgotten")

// release forgets a finished attempt.
func (t *Table) release(now time.Time, a *Attempt) {
	p := t.places[a]
	t.retained[p.class].Remove(p.element)
	delete(t.places, a)
	t.bytes -= p.bytes
	delete(t.attempts, a.ID())
	err := errDropped
	if e := a.End(); e.Refusal != nil {
		err = e.Refusal
	} else if p.class != retainAcked {
		t.untaken--
	}
	t.bury(now, a.ID(), err)
	w := a.Work()
	if w.Once && t.eras[w.Era][w.Key] != nil && t.eras[w.Era][w.Key].attempt == a {
		a.forgetOutput()
	}
}

// forgetOutput frees the output of a key's attempt; from now on its outcome is unknown.
func (a *Attempt) forgetOutput() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.end = &End{Refusal: errDropped}
	a.work.Call = nil
}

// Drop forgets finished attempts whose results were received. The result of a key stays for a later ask while there
// is room.
func (t *Table) Drop(now time.Time, ids []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range ids {
		a := t.attempts[id]
		p, ok := t.places[a]
		switch {
		case !ok || p.class == retainAcked:
		case a.Work().Once:
			t.retained[p.class].Remove(p.element)
			if a.End().Refusal == nil {
				t.untaken--
			}
			t.places[a] = place{class: retainAcked, element: t.retained[retainAcked].PushBack(a), bytes: p.bytes}
		default:
			t.release(now, a)
		}
	}
}

// maxHeld bounds the bytes of the samples in one answer to collect, which has to fit into a frame of a link.
const maxHeld = 2 << 20

// Collect returns the samples of a step that are kept or run. Finished samples beyond maxHeld bytes are named among the
// running ones: the owner asks again while there are any, and has dropped the first ones by then.
func (t *Table) Collect(run string, step int) wire.Held {
	t.mu.Lock()
	defer t.mu.Unlock()
	var found []*Attempt
	for _, a := range t.attempts {
		if s := a.Work().Slot; s != nil && s.Run == run && s.Step == step {
			found = append(found, a)
		}
	}
	slices.SortFunc(found, func(a, b *Attempt) int { return strings.Compare(a.ID(), b.ID()) })
	h := wire.Held{Running: []wire.HeldSample{}, Samples: []wire.HeldSample{}}
	room := int64(maxHeld)
	for _, a := range found {
		e := a.End()
		switch {
		case e == nil, e.Refusal == nil && room <= 0:
			h.Running = append(h.Running, a.held(false))
		case e.Refusal == nil:
			h.Samples = append(h.Samples, a.held(true))
			room -= t.places[a].bytes
		}
	}
	return h
}

// Sweep forgets what has expired and returns the live attempts that have had no reader for longer than orphan.
func (t *Table) Sweep(now time.Time, orphan time.Duration) []*Attempt {
	t.mu.Lock()
	defer t.mu.Unlock()
	for era := t.Era(now) - keptEras; t.oldest <= era; {
		t.forget()
	}
	for era := range t.gone {
		if era <= t.Era(now)-goneEras {
			delete(t.gone, era)
		}
	}
	t.trim(now)
	var out []*Attempt
	for _, a := range t.attempts {
		w := a.Work()
		if w.Once || w.Slot != nil || a.End() != nil {
			continue
		}
		if since := a.Orphaned(); !since.IsZero() && now.Sub(since) > orphan {
			out = append(out, a)
		}
	}
	return out
}

// trim forgets expired results, and the least valuable ones while there are too many bytes.
func (t *Table) trim(now time.Time) {
	for c, limit := range [retainClasses]time.Duration{keptEras * Era, t.limits.Others, t.limits.Samples} {
		for e := t.retained[c].Front(); e != nil; e = t.retained[c].Front() {
			a := e.Value.(*Attempt)
			if now.Sub(a.ended) <= limit && t.bytes <= t.limits.Bytes {
				break
			}
			t.release(now, a)
		}
	}
}
