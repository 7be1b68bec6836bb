// Package duty counts the requests of workspaces and lets one entry report the counts of all entries to the platform.
//
// # Usage
//
//	d := duty.New(duty.Options{…})
//	d.Register()
//	err := d.Run(ctx)
//	d.Began("workspace-1", sentAt)
//	d.Release()     // at the beginning of a graceful stop
//	d.Close(ctx)    // at its end
//
// It is designed for some 25 entries that together pass on about 12 requests a second of 100 workspaces, in windows of 5 s:
// each window costs one write to the store, one call of the platform's API, and a few small messages of each entry.
//
// Each entry counts its own requests and sends the counts to the holder of the duty and to the entries next in line for it.
// The holder writes the totals of a window to the store and then sends what it has written. Seat decides who is the holder;
// Duty connects it to the store, the API and the links. docs/design/usage-reports.md describes the protocol.
package duty

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"bulrushspoke/internal/event"
	"bulrushspoke/internal/link"
	"bulrushspoke/internal/meter"
	"bulrushspoke/internal/metering"
	"bulrushspoke/internal/node"
	"bulrushspoke/internal/store"
	"bulrushspoke/internal/supervise"
	"bulrushspoke/internal/truetime"
	"bulrushspoke/wire"
)

const (
	// tick is the interval between two decisions. It delays counts on their way to the holder, and an entry that dies takes the
	// counts of half a tick with it.
	tick = 100 * time.Millisecond
	// defaultLease applies to deployments that set no lease.
	defaultLease = 3 * time.Second
	// takeoverMargin is the time between the last call of a former holder and the takeover, beside the time for which the
	// platform tolerates calls of a process that was suspended.
	takeoverMargin = 300 * time.Millisecond
	// maxRenewal bounds the time between two writes of a holder, and with it the time to notice its end.
	maxRenewal = 5600 * time.Millisecond
	// renewalMargin is by how much the end of a window may be late before the holder writes without counts.
	renewalMargin = 600 * time.Millisecond
	// silentMargin is the time that the message about a write may take.
	silentMargin = 900 * time.Millisecond
	rankDelay    = 400 * time.Millisecond
	// callerDeadline is the deadline of the callers' requests. Together with settleMargin, for the answer to a request that is
	// given up, it is the time after which all requests of a window have ended or are known to have begun.
	callerDeadline = 2 * time.Second
	settleMargin   = 100 * time.Millisecond
	// maxSettleShare is the largest share of the report's time limit that this may take.
	maxSettleShare = 0.3
	// closeDeadlineShare is the share of the report's time limit after which a window is closed without the counts of entries that
	// do not answer. The rest is enough for a takeover in the case that the holder ends just then: 4.5 s of 10 s.
	closeDeadlineShare = 0.45
	// rateShare is the share of the calls that the platform accepts which this duty may use.
	rateShare = 0.5
	// reportsShare is the share of the largest object that reports may use; their bodies are longer in the object.
	reportsShare = 0.4
	// collectTime is how long a new holder waits for counts, even if a window is overdue.
	collectTime = time.Second
	// linkGrace is how long a link may be lost before its entry counts as unreachable: a reset link opens again within it.
	linkGrace = time.Second
	// minSettleTime is the time in which an entry that has just started learns of the others.
	minSettleTime = time.Second
	// settleTime is the time after which an entry relies on its clock, though few other entries have told theirs.
	settleTime = 5 * time.Second
	// clockWarning is the error of this instance's clock from which it is logged.
	clockWarning = 500 * time.Millisecond
	// quorum is the share of the entries presumed to be running that a holder must be able to reach.
	quorum = 0.5
	// maxBegan bounds the requests that are kept until they are counted, in case that the clock is not known for long.
	maxBegan = 10_000
)

// Kinds and names of objects in the store.
const (
	kindSeat   = "duties"
	nameSeat   = "metering"
	kindCounts = "counts"
)

// Store is the part of the platform's store that this package uses.
type Store interface {
	Get(ctx context.Context, kind, name string) (store.Record, error)
	Create(ctx context.Context, kind, name string, spec []byte) (int64, error)
	Update(ctx context.Context, kind, name string, spec []byte, revision int64) (int64, error)
	List(ctx context.Context, kind string) ([]store.Record, int64, error)
}

// Peers are the other entries.
type Peers interface {
	Handle(kind string, f func(context.Context, link.Frame) (string, any, error))
	Broadcast(kind string, body any)
	Send(name, kind string, body any) error
	Call(ctx context.Context, name, kind string, body, answer any) error
	Request(ctx context.Context, name, kind string, body, answer any) error // closes a link that does not answer
	Connected() []string
	Running(now time.Time) []string
	Incarnation(name string) string
}

// API is the platform's API.
type API interface {
	ReportUsage(ctx context.Context, holder string, token int64, body []byte, ready func() bool) (int, error)
}

// Options are the dependencies and settings of a Duty.
type Options struct {
	Name, Inc string
	Store     Store
	Peers     Peers
	API       API
	Encode    func(window int64, counts map[string]int) ([]byte, error) // body of a report
	Enabled   func() bool                                               // whether there is anything to report
	Changed   func() <-chan struct{}                                    // closed when the result of Enabled may change
	Bounds    node.Bounds
	Rate      float64              // calls per second that the platform accepts; 0 if unknown
	MaxObject int                  // maximum size of an object in bytes
	Wall      func() time.Time     // time of day
	Boot      func() time.Duration // clock that counts suspensions
	Logger    *slog.Logger
	Meter     *meter.Meter
}

// Duty counts the requests of this entry and takes part in reporting those of all. It is safe for concurrent use.
type Duty struct {
	Options
	settle, closeDeadline time.Duration
	metrics               metrics

	inbox  sync.Mutex // guards the next two fields, so that requests never wait for messages to be sent
	clocks clockMap
	began  []began

	mu        sync.Mutex
	times     *truetime.Estimator
	started   time.Duration
	enabledAt time.Duration     // when there first was something to report; 0 before
	settled   bool              // the time is known
	counter   *metering.Counter // nil until the time is known
	all       *metering.Collector
	seat      *Seat
	linkedTo  string            // incarnation of the last holder to which the link was open
	linkedAt  time.Duration     // when it was last open
	sentTo    map[string]string // incarnations of the entries that have all counts sent so far
	apart     map[string]int64  // newest complete windows of entries whose counts take another way than a link
	joined    bool              // another entry has been connected
	asking    map[string]bool   // entries that are being asked for their clock
	askedAt   map[string]time.Duration
	gathered  time.Duration // when the holder last asked entries for their counts
	listed    int64         // newest window for which the holder has read counts from the store
	storing   bool          // counts are being written to the store
	missing   map[int64][]string
}

// began is a request that is to be counted, once the time is known.
type began struct {
	workspace string
	boot      time.Duration
}

// New returns the Duty of an entry that starts now.
func New(o Options) *Duty {
	boot := o.Boot()
	d := &Duty{
		Options: o, started: boot,
		settle:        min(callerDeadline+settleMargin, time.Duration(maxSettleShare*float64(o.Bounds.UsageDelay))),
		closeDeadline: time.Duration(closeDeadlineShare * float64(o.Bounds.UsageDelay)),
		times:         truetime.New(o.Wall(), boot),
		all:           metering.NewCollector(),
		seat:          NewSeat(o.Name, o.Inc, timing(o), boot),
		sentTo:        make(map[string]string),
		apart:         make(map[string]int64),
		asking:        make(map[string]bool),
		askedAt:       make(map[string]time.Duration),
		missing:       make(map[int64][]string),
	}
	d.clocks.update(time.Now(), boot)
	d.metrics = newMetrics(o.Meter, d)
	return d
}

// timing derives the times of the seat from the bounds of the deployment.
func timing(o Options) Timing {
	lease := o.Bounds.Lease
	if lease <= 0 {
		lease = defaultLease
	}
	t := Timing{
		// A window's report may be sent for as long as possible without another write, and a takeover still meets the limit.
		Lease:     lease + time.Second,
		Renewal:   min(o.Bounds.ReportWindow+renewalMargin, maxRenewal),
		RankDelay: rankDelay,
		MaxBytes:  int(reportsShare * float64(o.MaxObject)),
	}
	t.Takeover = t.Lease + o.Bounds.Thaw + takeoverMargin + callGrace
	t.SilentTakeover = max(t.Takeover, t.Renewal+silentMargin)
	if o.Rate > 0 {
		t.CallGap = time.Duration(float64(time.Second) / (rateShare * o.Rate))
	}
	return t
}

// Began counts an attempt of a client's request that a server began to run at the given time.
func (d *Duty) Began(workspace string, at time.Time) {
	d.inbox.Lock()
	defer d.inbox.Unlock()
	d.clocks.update(time.Now(), d.Boot())
	if len(d.began) < maxBegan {
		d.began = append(d.began, began{workspace: workspace, boot: d.clocks.convert(at)})
	}
}

// count counts the requests that have begun since the last call. The caller holds mu.
func (d *Duty) count(now time.Duration) {
	d.inbox.Lock()
	l := d.began
	d.began = nil
	d.clocks.update(time.Now(), now)
	d.inbox.Unlock()
	for _, b := range l {
		d.counter.Add(d.window(b.boot), b.workspace)
	}
}

// window returns the window of a boot time.
func (d *Duty) window(boot time.Duration) int64 {
	return metering.Window(boot+d.times.Offset(boot), d.Bounds.ReportWindow)
}

// Run takes part in the duty until ctx is done and returns the error of ctx.
func (d *Duty) Run(ctx context.Context) error {
	t := time.NewTicker(tick)
	defer t.Stop()
	for {
		var wake <-chan struct{}
		next := t.C
		if changed := d.Changed(); !d.Enabled() {
			wake, next = changed, nil
			t.Stop()
		}
		select {
		case <-next:
			d.step(ctx)
		case <-wake:
			t.Reset(tick)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// step makes all decisions that are due.
func (d *Duty) step(ctx context.Context) {
	connected := d.Peers.Connected()
	wall := time.Now()
	running := d.Peers.Running(wall)
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Boot()
	d.joined = d.joined || len(connected) > 0
	if d.enabledAt == 0 {
		d.enabledAt = now
	}
	d.askClocks(ctx, connected, now)
	if !d.settled {
		d.settleClock(len(running), now)
		return
	}
	d.count(now)
	d.counter.Complete(metering.Window(now+d.times.Offset(now)-d.settle, d.Bounds.ReportWindow) - 1)
	d.sendCounts(ctx, connected, running, now)
	d.gather(ctx, connected, running, now)
	d.act(ctx, connected, running, d.hasQuorum(connected, running), now)
}

// hasQuorum reports whether this entry can reach enough of those that are presumed to be running. An entry that has said that
// it ends does not count. The caller holds mu.
func (d *Duty) hasQuorum(connected, running []string) bool {
	known := len(connected) + 1
	for _, name := range running {
		if !slices.Contains(connected, name) && !d.all.Ended(name) {
			known++
		}
	}
	return float64(len(connected)+1) >= quorum*float64(known)
}

// settleClock begins to count once the clocks of half of the entries that are presumed to be running are known. The caller
// holds mu.
func (d *Duty) settleClock(running int, now time.Duration) {
	enough := running > 0 && 2*d.times.Samples() >= running && now-d.enabledAt >= minSettleTime
	if !enough && now-d.enabledAt < settleTime {
		return
	}
	d.settled = true
	offset := d.times.Offset(now)
	if wrong := d.times.Reading(now) - now - offset; wrong.Abs() >= clockWarning {
		event.ClockWrong.Log(d.Logger, "ms", wrong.Milliseconds(), "samples", d.times.Samples())
	}
	d.counter = metering.NewCounter(d.window(d.started))
}

// askClocks asks other entries for their clocks. The caller holds mu.
func (d *Duty) askClocks(ctx context.Context, connected []string, now time.Duration) {
	for _, name := range connected {
		last, asked := d.askedAt[name]
		if d.asking[name] || asked && now-last < askInterval(last-d.enabledAt) || !d.times.Wanted(name, now) {
			continue
		}
		d.asking[name], d.askedAt[name] = true, now
		go supervise.Guard(d.Logger, "clock", func() { d.askClock(ctx, name) })
	}
}

// askInterval returns the time after which an entry is asked again, if its first answers took long. Many entries that start
// together answer late.
func askInterval(age time.Duration) time.Duration {
	const first, least, most = time.Second, time.Second, time.Minute
	return max(min(first+age, most), least)
}

func (d *Duty) askClock(ctx context.Context, name string) {
	const timeout = 500 * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	asked := d.Boot()
	var r wire.ClockReading
	err := d.Peers.Call(ctx, name, link.Clock, wire.ClockReading{}, &r)
	received := d.Boot()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.asking[name] = false
	if err == nil && r.Now > 0 {
		d.times.Sample(name, time.Duration(r.Now)*time.Microsecond, asked, received)
	}
}

// Register registers the handlers for messages of other entries. It must be called before the peers are served.
func (d *Duty) Register() {
	handle(d, link.Clock, func(context.Context, wire.ClockReading) (string, any) {
		return link.Reading, wire.ClockReading{Now: d.times.Reading(d.Boot()).Microseconds()}
	})
	handle(d, link.Seat, func(_ context.Context, n wire.DutyNotice) (string, any) {
		held := d.seat.Holding()
		d.seat.Heard(n, d.Boot())
		d.applyLast(held)
		return "", nil
	})
	handle(d, link.Counts, func(_ context.Context, m wire.UsageCounts) (string, any) {
		d.all.Merge(fromWire(m))
		d.noteApart(m, d.Peers.Connected())
		ack := wire.UsageAck{}
		if d.seat.Holding() {
			ack.Token = d.seat.Token()
		}
		return link.Counted, ack
	})
	handle(d, link.Gather, func(ctx context.Context, m wire.UsageGather) (string, any) {
		switch {
		case m.Entry != d.Name:
			_ = d.forward(ctx, m.Sender, m.Entry) // the holder asks again
		case d.counter != nil:
			delete(d.sentTo, m.Sender)
			d.sendAll(ctx, m.Sender)
		}
		return "", nil
	})
}

// handle registers a handler that is called with the decoded body while mu is held.
func handle[T any](d *Duty, kind string, f func(context.Context, T) (string, any)) {
	d.Peers.Handle(kind, func(ctx context.Context, m link.Frame) (string, any, error) {
		var body T
		if err := m.Decode(&body); err != nil {
			return "", nil, err
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		reply, answer := f(ctx, body)
		return reply, answer, nil
	})
}

// PeerConnected tells an entry that has become reachable about the seat. Each entry does so, since the object and its holder may
// be gone.
func (d *Duty) PeerConnected(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if n := d.seat.Known(); n.Token > 0 {
		_ = d.Peers.Send(name, link.Seat, n) // a lost link opens again
	}
}

// Release gives the duty up, if this entry holds it, at the beginning of a graceful stop. Run makes the necessary calls.
func (d *Duty) Release() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seat.Stop()
}
