package duty

import (
	"slices"
	"time"

	"bulrushspoke/wire"
)

// Timing holds the times that the decisions of a Seat depend on.
type Timing struct {
	// Lease is how long a holder may make calls after the start of its last successful write.
	Lease time.Duration
	// Takeover is how long the object must have been unchanged, by the clock of the entry that takes the duty over, if that
	// entry has lost its link to the holder. It exceeds Lease, so that the former holder makes no calls any more.
	Takeover time.Duration
	// SilentTakeover applies if the link to the holder is open and the holder has announced its last write, and at an entry
	// that can reach no other one. It exceeds the time between two writes of a holder.
	SilentTakeover time.Duration
	// Renewal is the time without a write after which the holder writes the object unchanged.
	Renewal time.Duration
	// RankDelay is the additional delay of each further entry in line.
	RankDelay time.Duration
	// MaxBytes bounds the bodies of the reports in the object.
	MaxBytes int
	// CallGap is the minimum time between two calls.
	CallGap time.Duration
}

const (
	// introduction is the time that an entry waits after its start for a message about the object, before it reads it.
	introduction = 1500 * time.Millisecond
	// storeRetry and maxStoreRetry are the delays before the first and later repetitions of a failed call of the store.
	storeRetry    = 300 * time.Millisecond
	maxStoreRetry = time.Second
	// quietPeriod is how long an entry leaves the store alone after another one has told it that its calls fail.
	quietPeriod = 2500 * time.Millisecond
	// holderQuietLimit and quietLimit are the times without a write after which such messages of the holder, and of other
	// entries earlier in line, change nothing.
	holderQuietLimit = 8 * time.Second
	quietLimit       = 20 * time.Second
	// callRetry and maxCallRetry are the delays before the first and later repetitions of a failed call of the platform's
	// API.
	callRetry    = 300 * time.Millisecond
	maxCallRetry = 3 * time.Second
	// callTimeout is the timeout of the first call for a report; each failure adds as much, up to maxCallTimeout, for an API
	// that answers slowly.
	callTimeout    = time.Second
	maxCallTimeout = 3 * time.Second
	// callGrace is the time after the end of the lease in which a call that was started within it may still leave the process.
	callGrace = 300 * time.Millisecond
	// arrivalMargin is the time in which a call may still arrive after it was given up: the connection is reset, but what has
	// left the process is on its way.
	arrivalMargin = 300 * time.Millisecond
	// yieldAfter is how long after the first call without an answer the holder gives the duty up if the API cannot be reached:
	// it may be out of reach for this entry only. Other entries are tried at most maxYields times within yieldPeriod.
	yieldAfter  = 1200 * time.Millisecond
	yieldPeriod = 30 * time.Second
	maxYields   = 3
	// maxRejections is the number of answers that reject a report as such after which it is dropped, so that it does not block
	// later ones for good.
	maxRejections = 5
	// maxReports bounds the reports that wait for the platform, ten minutes at windows of five seconds.
	maxReports = 128
	// maxFormer is the number of former holders that the object names.
	maxFormer = 4
)

// StoreOp is a kind of call of the store.
type StoreOp int

// Kinds of calls.
const (
	Read StoreOp = iota
	Create
	Update
)

// StoreCall is a call for the object of the duty that the runner is to make.
type StoreCall struct {
	Op       StoreOp
	Spec     wire.DutySeat // new content, for writes
	Revision int64         // revision that an update requires
	start    time.Duration
	dropped  int     // overdue reports that the write drops
	tooLarge []int64 // windows whose reports no object can hold
}

// APICall is a call of the platform's API that the runner is to make.
type APICall struct {
	Report  wire.DutyReport
	Token   int64
	Timeout time.Duration
	Until   time.Duration // the call must not be sent at this time or later, even if the process is suspended meanwhile
}

// View is what an entry knows about the others.
type View struct {
	Rank         int   // position in line for the duty
	HolderLinked bool  // the link to the holder is open, or was until a moment ago
	Alone        bool  // no other entry can be reached
	Quorum       bool  // at least half of the entries can be reached
	Overdue      int64 // newest window whose report would miss its time limit now
	FirstWindow  int64 // first window that cannot have been written, should the object be gone
}

// Seat decides who holds a duty and what the holder writes and sends. Times are readings of a clock that counts suspensions.
// It starts at most one call of the store and one call of the API at a time.
type Seat struct {
	name, inc string
	timing    Timing
	started   time.Duration

	object   wire.DutySeat // content of the newest revision read or written; proven by an answer of the store
	revision int64         // of object; 0 if unknown
	absent   bool          // the store has no object

	observed      int64 // newest revision heard of; revision or a later one
	observedAt    time.Duration
	announced     bool // by the holder itself
	observedToken int64
	holder        string // at that revision
	holderInc     string
	released      bool
	maxToken      int64  // highest token heard of
	lastHolder    string // with that token
	last          int64  // newest window written, as far as heard of

	holding    bool
	held       bool          // this process has held the duty
	otherSince time.Duration // when another entry was first seen to hold the duty, after this one or since the start
	leaseFrom  time.Duration // start of the write that the holder relies on
	renew      bool          // that write was proven late, so that its lease may have ended unused
	tookOver   time.Duration
	// uncertain means that a write without an answer may still take effect; uncertainFrom is the start of the earliest one.
	uncertain     bool
	uncertainFrom time.Duration

	storeBusy     bool
	mustRead      bool
	storeFailures int
	nextStore     time.Duration
	quietUntil    time.Duration

	callBusy   bool
	callWindow int64
	arriving   time.Duration  // an unanswered call may arrive until then
	confirmed  map[int64]bool // reports that are done, but are in the object until the next write
	failures   int
	// silent means that calls since the given time got no answer.
	silent     bool
	silentFrom time.Duration
	rejections int
	nextCall   time.Duration
	dropped    int64

	stopping bool
	yielding bool            // the API cannot be reached from here; another entry is to try
	changes  []time.Duration // when the token was seen to rise
}

// NewSeat returns the Seat of a process that starts now.
func NewSeat(name, inc string, t Timing, now time.Duration) *Seat {
	return &Seat{name: name, inc: inc, timing: t, started: now, confirmed: make(map[int64]bool)}
}

// Holding reports whether this process holds the duty as far as it knows. Only NextCall decides whether it may act on that.
func (s *Seat) Holding() bool { return s.holding }

// Held returns how long this process has held the duty.
func (s *Seat) Held(now time.Duration) time.Duration { return now - s.tookOver }

// Holder returns the name of the holder, empty if there is none.
func (s *Seat) Holder() string {
	if s.released {
		return ""
	}
	return s.holder
}

// LastHolder returns the name of the last holder, which may have given the duty up. It is not in line for the duty.
func (s *Seat) LastHolder() string { return s.holder }

// HolderIncarnation returns the incarnation of the holder.
func (s *Seat) HolderIncarnation() string { return s.holderInc }

// ChangedAt returns the time at which the newest revision of the object was heard of.
func (s *Seat) ChangedAt() time.Duration { return s.observedAt }

// Token returns the highest token heard of.
func (s *Seat) Token() int64 { return s.maxToken }

// Last returns the newest window whose counts have been written, 0 if unknown.
func (s *Seat) Last() int64 { return s.last }

// Waiting returns the number of reports that the platform has not confirmed.
func (s *Seat) Waiting() int { return len(s.object.Reports) - len(s.confirmed) }

// Dropped returns the number of reports that were given up.
func (s *Seat) Dropped() int64 { return s.dropped }

// Notice returns the message about the newest write of this process.
func (s *Seat) Notice() wire.DutyNotice {
	return wire.DutyNotice{
		Sender: s.name, Holder: s.object.Holder, Inc: s.object.Inc, Token: s.object.Token, Rev: s.revision, Last: s.object.Last,
		Released: s.object.Released,
	}
}

// Known returns what this process knows about the object, for an entry that may know less.
func (s *Seat) Known() wire.DutyNotice {
	return wire.DutyNotice{
		Sender: s.name, Holder: s.lastHolder, Inc: s.holderInc, Token: s.maxToken, Rev: s.observed, Last: s.last, Released: s.released,
	}
}

// Heard applies a message of another entry.
func (s *Seat) Heard(n wire.DutyNotice, now time.Duration) {
	if n.Trying {
		silence := now - s.observedAt
		if n.Sender == s.holder && silence < holderQuietLimit || n.Sender != s.holder && n.Sender < s.name && silence < quietLimit {
			s.quietUntil = now + quietPeriod
		}
		return
	}
	s.observe(n, now)
	if s.holding && n.Rev > s.revision && n.Token > s.object.Token {
		s.holding = false
	}
}

// observe records that the object has the given revision or a later one. It may be learnt from any entry: since the object
// changed before, observedAt is never too early.
func (s *Seat) observe(n wire.DutyNotice, now time.Duration) {
	if n.Holder != "" && n.Token >= s.maxToken {
		s.lastHolder = n.Holder
	}
	s.maxToken, s.last = max(s.maxToken, n.Token), max(s.last, n.Last)
	if n.Rev == s.observed {
		s.announced = s.announced || n.Sender == n.Holder
	}
	if n.Rev <= s.observed {
		return
	}
	if n.Holder != s.name && (s.holder == s.name || s.observed == 0) {
		s.otherSince = now
	}
	if n.Token > s.observedToken {
		s.changes = append(s.changes, now)
		s.changes = s.changes[max(len(s.changes)-maxYields, 0):]
	}
	s.announced, s.observedToken = n.Sender == n.Holder, n.Token
	s.observed, s.observedAt, s.absent = n.Rev, now, false
	s.holder, s.holderInc, s.released = n.Holder, n.Inc, n.Released
}

// observeObject does the same for an object that the store has shown.
func (s *Seat) observeObject(o wire.DutySeat, revision int64, now time.Duration) {
	s.observe(wire.DutyNotice{
		Holder: o.Holder, Inc: o.Inc, Token: o.Token, Rev: revision, Last: o.Last, Released: o.Released,
	}, now)
}

// Stop makes the holder give the duty up, and keeps this process from taking it over.
func (s *Seat) Stop() { s.stopping = true }

// Stopping reports whether Stop was called.
func (s *Seat) Stopping() bool { return s.stopping }

// Stopped reports whether nothing is left to be done after Stop.
func (s *Seat) Stopped() bool { return s.stopping && !s.holding && !s.storeBusy }

// NextStore returns the next call of the store, if one is due; the runner reports its result to Wrote, Saw, Absent or Failed.
// The function closed returns the reports of the windows after the given one that are to be written.
func (s *Seat) NextStore(now time.Duration, v View, closed func(after int64) []wire.DutyReport) (StoreCall, bool) {
	if s.storeBusy || now < s.nextStore {
		return StoreCall{}, false
	}
	var c StoreCall
	var ok bool
	switch {
	case s.holding && s.mustRead, s.uncertain && s.mustRead:
		c, ok = StoreCall{Op: Read}, true
	case s.holding:
		c, ok = s.holderWrite(now, v, closed)
	default:
		c, ok = s.takeover(now, v)
	}
	if ok {
		s.storeBusy, c.start = true, now
	}
	return c, ok
}

// holderWrite returns the holder's next write.
func (s *Seat) holderWrite(now time.Duration, v View, closed func(after int64) []wire.DutyReport) (StoreCall, bool) {
	spec := s.object
	s.yielding = s.yielding && !v.Alone
	if s.stopping || s.yielding {
		spec.Released = true
		spec.Reports = s.waiting()
		return StoreCall{Op: Update, Spec: spec, Revision: s.revision}, !s.callBusy && now >= s.arriving
	}
	if !v.Quorum {
		return StoreCall{}, false // the other entries cannot send their counts; one of them takes over
	}
	reports := closed(max(s.object.Last, s.last))
	age := now - s.leaseFrom
	renew := age >= s.timing.Renewal || s.renew && age >= s.timing.Lease && s.Waiting() > 0
	if len(reports) == 0 && !renew {
		return StoreCall{}, false
	}
	c := StoreCall{Op: Update, Revision: s.revision}
	spec.Reports, spec.Last, c.dropped, c.tooLarge = s.add(s.waiting(), reports, v)
	c.Spec = spec
	return c, renew || spec.Last > s.object.Last
}

// waiting returns the reports that the platform has not confirmed.
func (s *Seat) waiting() []wire.DutyReport {
	l := make([]wire.DutyReport, 0, len(s.object.Reports))
	for _, r := range s.object.Reports {
		if !s.confirmed[r.Window] {
			l = append(l, r)
		}
	}
	return l
}

// add adds the reports of closed windows, oldest first, to those that wait for the platform, as far as the object may hold them.
// Reports whose time limit has passed make room for others. It returns the reports of the object, the newest window that needs
// no report any more, and the numbers of reports that are given up: overdue ones, and those that no object can hold.
func (s *Seat) add(waiting, closed []wire.DutyReport, v View) (kept []wire.DutyReport, last int64, dropped int, tooLarge []int64) {
	last = s.object.Last
	bytes := 0
	for _, r := range waiting {
		bytes += len(r.Body)
	}
	for _, r := range closed {
		if len(r.Body) > s.timing.MaxBytes {
			last, tooLarge = r.Window, append(tooLarge, r.Window)
			continue
		}
		for len(waiting) > 0 && waiting[0].Window <= v.Overdue && (len(waiting) >= maxReports || bytes+len(r.Body) > s.timing.MaxBytes) {
			bytes -= len(waiting[0].Body)
			waiting = waiting[1:]
			dropped++
		}
		if len(waiting) >= maxReports || bytes+len(r.Body) > s.timing.MaxBytes {
			break // the window is written once others have been confirmed, or are overdue
		}
		bytes += len(r.Body)
		waiting, last = append(waiting, r), r.Window
	}
	return waiting, last, dropped, tooLarge
}

// takeover returns the next call of an entry that does not hold the duty.
func (s *Seat) takeover(now time.Duration, v View) (StoreCall, bool) {
	rankDelay := time.Duration(v.Rank) * s.timing.RankDelay
	switch {
	case s.stopping || !v.Quorum || now < s.quietUntil:
		return StoreCall{}, false
	case s.absent:
		wait := rankDelay
		if s.maxToken > 0 { // the object has been deleted, and its holder may still make calls
			wait += s.timing.Takeover
		}
		if now < s.observedAt+wait {
			return StoreCall{}, false
		}
		spec := wire.DutySeat{
			Holder: s.name, Inc: s.inc, Token: s.nextToken(v), Former: s.formerHolders(), Reports: s.waiting(),
			Last: s.lastWritten(v),
		}
		return StoreCall{Op: Create, Spec: spec}, true
	case s.observed == 0:
		return StoreCall{Op: Read}, now >= s.started+introduction+rankDelay
	}
	if now-s.observedAt < s.takeoverDelay(v, now)+rankDelay {
		return StoreCall{}, false
	}
	if s.revision != s.observed {
		return StoreCall{Op: Read}, true
	}
	spec := s.object
	spec.Holder, spec.Inc, spec.Token, spec.Released = s.name, s.inc, s.nextToken(v), false
	spec.Former = s.formerHolders()
	spec.Reports = slices.Clone(s.object.Reports)
	if spec.Reports == nil {
		spec.Reports = []wire.DutyReport{}
	}
	spec.Last = s.lastWritten(v)
	return StoreCall{Op: Update, Spec: spec, Revision: s.revision}, true
}

// formerHolders returns the former holders that the object is to name after a takeover.
func (s *Seat) formerHolders() []string {
	former := append([]string{}, s.object.Former...)
	last := s.object.Holder
	if s.absent || last == "" {
		last = s.lastHolder
	}
	if last != "" {
		former = append(former, last)
	}
	return former[max(len(former)-maxFormer, 0):]
}

// nextToken returns a token above all earlier ones. If the object has been deleted or replaced by another writer, the number of
// a window, which rises faster than the token, is above tokens that this process has not heard of.
func (s *Seat) nextToken(v View) int64 {
	next := max(s.object.Token, s.maxToken) + 1
	if s.absent || s.object.Holder == "" {
		next = max(next, v.FirstWindow)
	}
	return next
}

// lastWritten returns the newest window that may have been written. If the object has been deleted or replaced by another
// writer, that may be a later one than this process has heard of.
func (s *Seat) lastWritten(v View) int64 {
	if s.absent || s.object.Holder == "" {
		return max(s.last, v.FirstWindow-1)
	}
	return s.last
}

// takeoverDelay returns how long the object must have been unchanged before this entry, if it is first in line, takes over. A
// former holder does not profit from a release until it has seen others hold the duty for as long, so that the duty does
// not return to it too soon.
func (s *Seat) takeoverDelay(v View, now time.Duration) time.Duration {
	former := s.holder == s.name || s.held || s.revision == s.observed && slices.Contains(s.object.Former, s.name)
	former = former && (s.holder == s.name || now-s.otherSince < s.timing.Takeover)
	switch {
	case s.released && !former:
		return 0
	case s.released, s.holder == s.name, !v.Alone && (!v.HolderLinked || !s.announced):
		return s.timing.Takeover
	default:
		return s.timing.SilentTakeover
	}
}

// Wrote records that a write succeeded.
func (s *Seat) Wrote(c StoreCall, revision int64, now time.Duration) {
	s.storeBusy, s.mustRead, s.uncertain, s.storeFailures = false, false, false, 0
	s.observeObject(c.Spec, revision, now)
	s.adopt(c.Spec, revision, c.start, now)
	s.renew = false
	s.dropped += int64(c.dropped + len(c.tooLarge))
}

// adopt makes an object written by this process the one to act on. No other entry can have seen it before leaseFrom.
func (s *Seat) adopt(o wire.DutySeat, revision int64, leaseFrom, now time.Duration) {
	s.object, s.revision, s.leaseFrom, s.absent = o, revision, leaseFrom, false
	present := make(map[int64]bool, len(s.confirmed))
	for _, r := range o.Reports {
		if s.confirmed[r.Window] {
			present[r.Window] = true
		}
	}
	s.confirmed = present
	if !s.holding {
		s.yielding, s.silent = false, false
		s.tookOver, s.nextCall, s.failures, s.rejections = now, now, 0, 0
	}
	s.holding, s.held = !o.Released, true
}

// Saw records the object that a read or a conflict has shown.
func (s *Seat) Saw(c StoreCall, o wire.DutySeat, revision int64, now time.Duration) {
	s.storeBusy, s.mustRead, s.storeFailures = false, false, 0
	if revision < s.revision || revision == 0 {
		s.retryStore(now)
		return
	}
	changed := revision != s.revision
	mine := o.Holder == s.name && o.Inc == s.inc
	s.observeObject(o, revision, now)
	switch {
	case mine && !changed:
		// The write has not taken effect, but it may do so later; the next one requires the same revision.
		if c.Op != Read {
			s.retryStore(now)
		}
	case mine && (s.uncertain || c.Op != Read):
		from := c.start
		if s.uncertain {
			from = min(from, s.uncertainFrom)
		}
		s.adopt(o, revision, from, now)
		s.uncertain, s.renew = false, true
	case mine:
		// A write that was given up has taken effect. It gives no lease.
		s.adopt(o, revision, now-s.timing.Lease, now)
		s.renew = true
	default:
		s.holding = false
		if o.Holder == "" {
			o.Reports, o.Former = s.waiting(), s.object.Former // another writer has replaced the object
		}
		s.object, s.revision = o, revision
		if changed {
			s.uncertain = false
		}
		if c.Op != Read {
			s.retryStore(now)
		}
	}
}

// Absent records that the store has no object.
func (s *Seat) Absent(now time.Duration) {
	s.storeBusy, s.mustRead, s.holding = false, false, false
	s.absent, s.revision, s.observed, s.observedAt = true, 0, 0, now
	s.holder, s.holderInc, s.released = "", "", false
}

// Failed records that the store did not answer a call. An ambiguous write may take effect later.
func (s *Seat) Failed(c StoreCall, ambiguous bool, now time.Duration) {
	s.storeBusy = false
	if ambiguous && c.Op != Read {
		if !s.uncertain {
			s.uncertain, s.uncertainFrom = true, c.start
		}
		s.mustRead = true
	}
	s.retryStore(now)
}

func (s *Seat) retryStore(now time.Duration) {
	s.nextStore = now + min(storeRetry<<min(s.storeFailures, 4), maxStoreRetry)
	s.storeFailures++
}
