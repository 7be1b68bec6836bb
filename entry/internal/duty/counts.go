package duty

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"time"

	"bulrushspoke/internal/event"
	"bulrushspoke/internal/link"
	"bulrushspoke/internal/metering"
	"bulrushspoke/internal/store"
	"bulrushspoke/internal/supervise"
	"bulrushspoke/wire"
)

const (
	// successors is the number of entries next in line for the duty that get all counts, too.
	successors = 2
	// ackTimeout is the timeout for the holder's confirmation of a complete window.
	ackTimeout = 600 * time.Millisecond
	// checkTimeout is the timeout for a confirmation while the link is checked.
	checkTimeout = 1200 * time.Millisecond
	// gatherInterval is the interval between two requests for missing counts, and gatherDelay the time after which a window
	// should be complete at all entries.
	gatherInterval = 700 * time.Millisecond
	gatherDelay    = 400 * time.Millisecond
	// listAhead is the time before a window is closed without some entries at which the holder looks for their counts in the
	// store.
	listAhead = 400 * time.Millisecond
	// storeTimeout bounds a call of the store, including the attempts through other entries.
	storeTimeout = 3 * time.Second
	// closeTimeout bounds the handover of the last counts at the end of the process, and handOverTimeout its part before they are
	// written to the store instead.
	closeTimeout    = 400 * time.Millisecond
	handOverTimeout = 200 * time.Millisecond
	// maxPieceBytes bounds the counts in one message, far below the limit of a frame between entries, and countBytes is the size of
	// a count beside the name of its workspace.
	maxPieceBytes = 1 << 20
	countBytes    = 10
	// apartWindows is the number of windows without counts in the store after which an entry is no longer waited for.
	apartWindows = 3
	// maxStoreTries bounds the attempts to write counts to the store.
	maxStoreTries = 3
)

// line returns the entries in line for the duty: those that this entry can reach, without the last holder, and itself.
func (d *Duty) line(connected []string) []string {
	last := d.seat.LastHolder()
	l := []string{d.Name}
	for _, name := range connected {
		if name != last {
			l = append(l, name)
		}
	}
	slices.Sort(l)
	return l
}

// targets returns the other entries that get the counts of this entry.
func (d *Duty) targets(connected []string) []string {
	l, holder := d.line(connected), d.seat.Holder()
	if holder == d.Name {
		l = slices.DeleteFunc(l, func(name string) bool { return name == d.Name })
	}
	l = l[:min(successors, len(l))]
	if slices.Contains(connected, holder) {
		l = append(l, holder)
	}
	return slices.DeleteFunc(l, func(name string) bool { return name == d.Name })
}

// sendCounts sends what has changed to the entries that need it. The caller holds mu.
func (d *Duty) sendCounts(ctx context.Context, connected, running []string, now time.Duration) {
	windows, marked, changed := d.counter.Changes()
	if changed {
		d.all.Merge(metering.Message{Name: d.Name, Incarnation: d.Inc, Through: d.counter.Through(), Windows: windows})
	}
	targets := d.targets(connected)
	for name := range d.sentTo {
		if !slices.Contains(targets, name) {
			delete(d.sentTo, name)
		}
	}
	for _, name := range targets {
		switch {
		case d.sentTo[name] != d.Peers.Incarnation(name):
			d.sendAll(ctx, name)
		case marked && name == d.seat.Holder():
			m := d.message(windows, false)
			go supervise.Guard(d.Logger, "counts", func() { d.sendMarked(ctx, name, m) })
		case changed:
			if d.sendPieces(ctx, name, d.message(windows, false)) != nil {
				delete(d.sentTo, name)
			}
		}
	}
	if marked && (len(connected) == 0 && d.joined || !d.hasQuorum(connected, running) || d.holderOutOfReach(connected, now)) {
		d.storeCounts(ctx, d.message(d.counter.All(), false), now)
	}
}

// sendAll sends all counts to an entry, also those that this one holds of others: those of processes that have ended may be
// nowhere else by now. The caller holds mu.
func (d *Duty) sendAll(ctx context.Context, name string) {
	inc := d.Peers.Incarnation(name)
	if inc == "" {
		return
	}
	for _, entry := range d.all.Names() {
		if d.forward(ctx, name, entry) != nil {
			return // sent again at the next tick
		}
	}
	if d.sendPieces(ctx, name, d.message(d.counter.All(), false)) == nil {
		d.sentTo[name] = inc
	}
}

// sendPieces sends a message in pieces, if it is too long for one frame. The last piece, which marks windows as complete, follows
// the confirmations of the others, since messages may overtake each other. The caller holds mu.
func (d *Duty) sendPieces(ctx context.Context, name string, m wire.UsageCounts) error {
	l := pieces(m)
	last := l[len(l)-1]
	if len(l) == 1 {
		return d.Peers.Send(name, link.Counts, last)
	}
	go supervise.Guard(d.Logger, "counts", func() {
		ctx, cancel := context.WithTimeout(ctx, checkTimeout)
		defer cancel()
		err := d.callPieces(ctx, name, l[:len(l)-1], d.Peers.Call)
		if err == nil {
			err = d.Peers.Send(name, link.Counts, last)
		}
		if err != nil {
			d.mu.Lock()
			defer d.mu.Unlock()
			delete(d.sentTo, name)
		}
	})
	return nil
}

// callPieces sends messages one after another, each after the confirmation of the one before it.
func (d *Duty) callPieces(
	ctx context.Context, name string, l []wire.UsageCounts, call func(context.Context, string, string, any, any) error,
) error {
	for _, m := range l {
		var ack wire.UsageAck
		if err := call(ctx, name, link.Counts, m, &ack); err != nil {
			return err
		}
	}
	return nil
}

// pieces splits a message whose counts are too long for one frame. Only the last piece marks windows as complete.
func pieces(m wire.UsageCounts) []wire.UsageCounts {
	var l []wire.UsageCounts
	next := wire.UsageCounts{Entry: m.Entry, Inc: m.Inc, Windows: []wire.UsageWindow{}}
	bytes := 0
	for _, w := range m.Windows {
		part := make(wire.UsageWindowCounts)
		for workspace, n := range w.Counts {
			size := len(workspace) + countBytes
			if bytes+size > maxPieceBytes {
				next.Windows = append(next.Windows, wire.UsageWindow{Window: w.Window, Counts: part})
				l = append(l, next)
				next.Windows, part, bytes = []wire.UsageWindow{}, make(wire.UsageWindowCounts), 0
			}
			part[workspace] = n
			bytes += size
		}
		next.Windows = append(next.Windows, wire.UsageWindow{Window: w.Window, Counts: part})
	}
	next.Through, next.Bye = m.Through, m.Bye
	return append(l, next)
}

// sendMarked sends completed windows to the holder. Without a confirmation all counts are sent again.
func (d *Duty) sendMarked(ctx context.Context, name string, m wire.UsageCounts) {
	first, cancel := context.WithTimeout(ctx, ackTimeout)
	defer cancel()
	if d.callPieces(first, name, pieces(m), d.Peers.Call) == nil {
		return
	}
	// The link may be silent, and earlier messages lost with it.
	d.mu.Lock()
	m = d.message(d.counter.All(), false)
	delete(d.sentTo, name)
	d.mu.Unlock()
	second, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	if err := d.callPieces(second, name, pieces(m), d.Peers.Request); err != nil {
		event.CountsUnconfirmed.Log(d.Logger, "holder", name, "through", m.Through, "cause", err.Error())
	}
}

func (d *Duty) message(windows map[int64]metering.Counts, bye bool) wire.UsageCounts {
	return toWire(metering.Message{Name: d.Name, Incarnation: d.Inc, Through: d.counter.Through(), Bye: bye, Windows: windows})
}

// forward sends all counts of an entry that this one holds to another one. The caller holds mu.
func (d *Duty) forward(ctx context.Context, to, entry string) error {
	for _, m := range d.all.Held(entry) {
		if err := d.sendPieces(ctx, to, toWire(m)); err != nil {
			return err
		}
	}
	return nil
}

// holderOutOfReach reports whether the holder has no link to this entry, but has written since the link was lost. A holder that
// has died does not write. The caller holds mu.
func (d *Duty) holderOutOfReach(connected []string, now time.Duration) bool {
	holder := d.seat.Holder()
	return holder != "" && holder != d.Name && !d.holderLinked(connected, now) && d.seat.ChangedAt() >= d.linkedAt+linkGrace
}

// noteApart remembers an entry whose counts have come by another way than a link, as they will do so again. The caller holds mu.
func (d *Duty) noteApart(m wire.UsageCounts, connected []string) {
	if m.Through >= d.seat.Last()-apartWindows && !m.Bye && !slices.Contains(connected, m.Entry) && m.Entry != d.Name {
		d.apart[m.Entry] = max(d.apart[m.Entry], m.Through)
	}
}

func toWire(m metering.Message) wire.UsageCounts {
	w := wire.UsageCounts{Entry: m.Name, Inc: m.Incarnation, Through: m.Through, Bye: m.Bye, Windows: []wire.UsageWindow{}}
	for _, window := range slices.Sorted(maps.Keys(m.Windows)) {
		w.Windows = append(w.Windows, wire.UsageWindow{Window: window, Counts: wire.UsageWindowCounts(m.Windows[window])})
	}
	return w
}

func fromWire(m wire.UsageCounts) metering.Message {
	windows := make(map[int64]metering.Counts, len(m.Windows))
	for _, w := range m.Windows {
		windows[w.Window] = metering.Counts(w.Counts)
	}
	return metering.Message{
		Name: m.Entry, Incarnation: m.Inc, Through: m.Through, Bye: m.Bye, Windows: windows,
	}
}

// storeCounts writes the counts of this entry to the store, where the holder looks for them, as no other entry can be reached.
// The caller holds mu.
func (d *Duty) storeCounts(ctx context.Context, m wire.UsageCounts, now time.Duration) {
	if d.storing || !slices.ContainsFunc(m.Windows, func(w wire.UsageWindow) bool { return len(w.Counts) > 0 }) {
		return
	}
	d.storing = true
	go supervise.Guard(d.Logger, "counts", func() {
		err := d.writeCounts(ctx, m)
		d.mu.Lock()
		d.storing = false
		d.mu.Unlock()
		if err != nil {
			event.CountsStored.Log(d.Logger, "through", m.Through, "cause", err.Error())
			return
		}
		event.CountsStored.Log(d.Logger, "through", m.Through, "ms", (d.Boot() - now).Milliseconds())
	})
}

// writeCounts replaces this entry's object. Only processes of this entry write it, so a conflict shows an earlier write.
func (d *Duty) writeCounts(ctx context.Context, m wire.UsageCounts) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	spec, err := json.Marshal(m)
	if err != nil {
		return err
	}
	_, err = d.Store.Create(ctx, kindCounts, d.Name, spec)
	for range maxStoreTries {
		var conflict *store.ConflictError
		if !errors.As(err, &conflict) {
			return err
		}
		_, err = d.Store.Update(ctx, kindCounts, d.Name, spec, conflict.Current().Version)
	}
	return err
}

// gather asks entries for counts that the holder needs next: those that have them or, without a link to these, the next in
// line. It looks for them in the store before it goes on without them.
// The caller holds mu.
func (d *Duty) gather(ctx context.Context, connected, running []string, now time.Duration) {
	if !d.seat.Holding() || d.seat.Last() == 0 {
		return
	}
	next := d.seat.Last() + 1
	age := d.windowAge(next, now)
	if age < d.settle+gatherDelay {
		return
	}
	missing := d.all.Missing(next, d.expected(running))
	if len(missing) == 0 {
		return
	}
	if now-d.gathered >= gatherInterval {
		d.gathered = now
		for _, name := range missing {
			ask := []string{name}
			if !slices.Contains(connected, name) {
				ask = d.targets(connected)
			}
			for _, to := range ask {
				_ = d.Peers.Send(to, link.Gather, wire.UsageGather{Sender: d.Name, Entry: name}) // asked again at the next interval
			}
		}
	}
	if age >= d.closeDeadline-listAhead && d.listed < next {
		d.listed = next
		go supervise.Guard(d.Logger, "counts", func() { d.listCounts(ctx) })
	}
}

// expected returns the entries that may hold counts: those that are presumed to be running, and those that have lately
// written counts to the store, as they may be cut off for long.
func (d *Duty) expected(running []string) []string {
	l := append([]string{d.Name}, running...)
	for name, through := range d.apart {
		switch {
		case through < d.seat.Last()-apartWindows:
			delete(d.apart, name)
		case !slices.Contains(l, name):
			l = append(l, name)
		}
	}
	return l
}

// windowAge returns the time since the end of a window.
func (d *Duty) windowAge(window int64, now time.Duration) time.Duration {
	return now + d.times.Offset(now) - time.Duration(window+1)*d.Bounds.ReportWindow
}

// listCounts reads the counts that entries have written to the store.
func (d *Duty) listCounts(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	records, _, err := d.Store.List(ctx, kindCounts)
	var absent *store.NotFoundError
	if err != nil && !errors.As(err, &absent) {
		event.UsageCallFailed.Log(d.Logger, "call", "list", "cause", err.Error())
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range records {
		var m wire.UsageCounts
		if err := json.Unmarshal(r.Spec, &m); err != nil || m.Entry != r.Name {
			event.ObjectInvalid.Log(d.Logger, "kind", kindCounts, "name", r.Name)
			continue
		}
		d.all.Merge(fromWire(m))
		d.noteApart(m, nil)
	}
}

// Close hands over the counts of this entry, after its last request, at the end of a graceful stop, and those that it holds of
// entries that have ended before. It takes at most closeTimeout.
func (d *Duty) Close(ctx context.Context) {
	connected := d.Peers.Connected()
	d.mu.Lock()
	if d.counter == nil || !d.Enabled() {
		d.mu.Unlock()
		return
	}
	d.count(d.Boot())
	m := d.message(d.counter.All(), true)
	targets := d.targets(connected)
	// The others need no counts, but do not wait for this entry any more.
	var held []wire.UsageCounts
	for _, name := range d.all.Names() {
		if name != d.Name && !slices.Contains(connected, name) {
			for _, h := range d.all.Held(name) {
				held = append(held, toWire(h))
			}
		}
	}
	bye := m
	bye.Windows = []wire.UsageWindow{}
	for _, name := range connected {
		if !slices.Contains(targets, name) {
			_ = d.Peers.Send(name, link.Counts, bye) // an entry that misses it notices the lost link
		}
	}
	holder := d.seat.Holder()
	if holder == d.Name {
		holder = ""
	}
	d.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	if !d.handOver(ctx, holder, targets, append(held, m)) && len(m.Windows) > 0 {
		err := d.writeCounts(ctx, m)
		event.CountsStored.Log(d.Logger, "through", m.Through, "failed", err != nil)
	}
}

// handOver sends the last messages to other entries and reports whether they have arrived: at the holder if there is one, otherwise
// at any of them.
func (d *Duty) handOver(ctx context.Context, holder string, targets []string, messages []wire.UsageCounts) bool {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	var l []wire.UsageCounts
	for _, m := range messages {
		l = append(l, pieces(m)...)
	}
	type result struct {
		name string
		err  error
	}
	results := make(chan result, len(targets))
	for _, name := range targets {
		go supervise.Guard(d.Logger, "counts", func() {
			results <- result{name, d.callPieces(ctx, name, l, d.Peers.Request)}
		})
	}
	delivered := false
	for range targets {
		select {
		case r := <-results:
			delivered = delivered || r.err == nil && (holder == "" || r.name == holder)
		case <-ctx.Done():
			return delivered
		}
	}
	return delivered
}
