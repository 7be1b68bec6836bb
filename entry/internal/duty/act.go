package duty

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"bulrushspoke/internal/event"
	"bulrushspoke/internal/link"
	"bulrushspoke/internal/meter"
	"bulrushspoke/internal/metering"
	"bulrushspoke/internal/store"
	"bulrushspoke/internal/supervise"
	"bulrushspoke/internal/upstream"
	"bulrushspoke/wire"
)

// metrics are the instruments of a Duty.
type metrics struct {
	reports *meter.Counter
	missing *meter.Counter
	changes *meter.Counter
	delay   *meter.Histogram
}

func newMetrics(m *meter.Meter, d *Duty) metrics {
	gauge := func(name, description string, read func() float64) {
		m.Gauge(name, description, func() float64 {
			d.mu.Lock()
			defer d.mu.Unlock()
			return read()
		})
	}
	gauge("usage_holder", "1 if this entry sends the usage reports.", func() float64 {
		if d.seat.Holding() {
			return 1
		}
		return 0
	})
	gauge("usage_reports_waiting", "Usage reports that the platform has not confirmed to this entry.",
		func() float64 { return float64(d.seat.Waiting()) })
	gauge("usage_reports_dropped", "Usage reports that were given up.", func() float64 { return float64(d.seat.Dropped()) })
	gauge("usage_requests_late", "Requests that became known after the counts of their window had been written.",
		func() float64 {
			if d.counter == nil {
				return 0
			}
			return float64(d.counter.Late())
		})
	return metrics{
		reports: m.Counter("usage_reports", "Calls for usage reports by result: confirmed, late, failed or rejected.", "result"),
		missing: m.Counter("usage_entries_missing", "Entries whose counts were missing when a window was closed.", "entry"),
		changes: m.Counter("usage_seat_changes", "Times that this entry took the duty over or lost it.", "change"),
		delay:   m.Histogram("usage_delay", "s", "Time from the end of a window to the confirmation of its report."),
	}
}

// act makes the calls that the seat asks for. The caller holds mu.
func (d *Duty) act(ctx context.Context, connected, running []string, reachable bool, now time.Duration) {
	v := View{
		Rank:         slices.Index(d.line(connected), d.Name),
		HolderLinked: d.holderLinked(connected, now),
		Quorum:       reachable,
		Alone:        len(connected) == 0,
		FirstWindow:  d.window(d.started),
	}
	if first, ok := d.all.First(); ok {
		v.FirstWindow = min(v.FirstWindow, first)
	}
	// Another process may have written all windows that can have been closed.
	v.Overdue = d.window(now-d.Bounds.UsageDelay) - 1
	v.FirstWindow = max(v.FirstWindow, d.window(now-d.settle))
	if c, ok := d.seat.NextStore(now, v, func(after int64) []wire.DutyReport { return d.closed(after, running, now) }); ok {
		go supervise.Guard(d.Logger, "seat", func() { d.callStore(ctx, c) })
	}
	if c, ok := d.seat.NextCall(now); ok {
		go supervise.Guard(d.Logger, "report", func() { d.callAPI(ctx, c) })
	}
}

// holderLinked reports whether the link to the holder's process is open or was so a moment ago.
func (d *Duty) holderLinked(connected []string, now time.Duration) bool {
	holder, inc := d.seat.Holder(), d.seat.HolderIncarnation()
	if slices.Contains(connected, holder) && d.Peers.Incarnation(holder) == inc {
		d.linkedTo, d.linkedAt = inc, now
	}
	return d.linkedTo == inc && now-d.linkedAt < linkGrace
}

// closed returns the reports of the windows that may be closed. The caller holds mu.
func (d *Duty) closed(after int64, running []string, now time.Duration) []wire.DutyReport {
	reports := d.all.Closed(after, metering.Closing{
		Now: now + d.times.Offset(now), Length: d.Bounds.ReportWindow, Settle: d.settle, Deadline: d.closeDeadline,
		Expected: d.expected(running), MayOmitMissing: d.seat.Held(now) >= collectTime,
	})
	l := make([]wire.DutyReport, 0, len(reports))
	for _, r := range reports {
		body, err := d.Encode(r.Window, r.Counts)
		if err != nil {
			event.UsageCallFailed.Log(d.Logger, "call", "encode", "window", r.Window, "cause", err.Error())
			break
		}
		l = append(l, wire.DutyReport{Window: r.Window, Body: string(body)})
		d.missing[r.Window] = r.Missing
	}
	return l
}

// applyLast drops the counts of written windows and logs a change of the holder; held tells whether this entry was the
// holder before. The caller holds mu.
func (d *Duty) applyLast(held bool) {
	last := d.seat.Last()
	d.all.Written(last)
	if d.counter != nil {
		d.counter.Written(last)
	}
	switch holding := d.seat.Holding(); {
	case holding && !held:
		event.DutyTaken.Log(d.Logger, "token", d.seat.Token(), "last", last, "waiting", d.seat.Waiting())
		d.metrics.changes.Add(1, "taken")
	case held && !holding:
		event.DutyLost.Log(d.Logger, "token", d.seat.Token(), "holder", d.seat.Holder())
		d.metrics.changes.Add(1, "lost")
	}
}

// callStore makes a call for the seat's object and reports its result to the seat.
func (d *Duty) callStore(parent context.Context, c StoreCall) {
	ctx, cancel := context.WithTimeout(parent, storeTimeout)
	defer cancel()
	var revision int64
	var read store.Record
	var err error
	spec, encodeErr := json.Marshal(c.Spec)
	switch {
	case encodeErr != nil:
		err = encodeErr
	case c.Op == Read:
		read, err = d.Store.Get(ctx, kindSeat, nameSeat)
		revision = read.Revision
	case c.Op == Create:
		revision, err = d.Store.Create(ctx, kindSeat, nameSeat, spec)
	default:
		revision, err = d.Store.Update(ctx, kindSeat, nameSeat, spec, c.Revision)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	held, before := d.seat.Holding(), d.seat.Notice()
	d.storeResult(parent, c, revision, read.Spec, err)
	d.applyLast(held)
	if err == nil {
		for _, w := range c.tooLarge {
			event.UsageTooLarge.Log(d.Logger, "window", w, "max", d.seat.timing.MaxBytes)
		}
	}
	if d.seat.Holding() && !held {
		// Entries that could reach no other one at their end have left their counts in the store.
		go supervise.Guard(d.Logger, "counts", func() { d.listCounts(parent) })
	}
	// What a read has shown is passed on as well, so that the other entries need not read.
	if n := d.seat.Notice(); n.Rev != before.Rev && n.Rev > 0 {
		if d.seat.Holding() {
			d.logClosed(n.Last)
		}
		d.Peers.Broadcast(link.Seat, n)
	}
}

// storeResult reports the result of a call to the seat. The caller holds mu.
func (d *Duty) storeResult(ctx context.Context, c StoreCall, revision int64, read []byte, err error) {
	now := d.Boot()
	var absent *store.NotFoundError
	var conflict *store.ConflictError
	var down *store.UnavailableError
	switch {
	case err == nil && revision > 0 && c.Op != Read:
		d.seat.Wrote(c, revision, now)
	case err == nil && revision > 0:
		d.seat.Saw(c, d.decodeSeat(read), revision, now)
	case errors.As(err, &absent):
		d.seat.Absent(now)
	case errors.As(err, &conflict) && conflict.Current().Version > 0:
		d.seat.Saw(c, d.decodeSeat(conflict.Current().Value), conflict.Current().Version, now)
	default:
		// Errors other than those of an unavailable store tell nothing about a write.
		ambiguous := !errors.As(err, &down) || down.Ambiguous()
		d.seat.Failed(c, ambiguous, now)
		if ctx.Err() == nil && !d.seat.Stopping() { // otherwise this process will not try again
			d.Peers.Broadcast(link.Seat, wire.DutyNotice{Sender: d.Name, Trying: true})
		}
	}
}

// decodeSeat returns an empty seat for an object that another writer has made invalid; it is replaced at the next takeover.
func (d *Duty) decodeSeat(spec []byte) wire.DutySeat {
	var s wire.DutySeat
	if err := json.Unmarshal(spec, &s); err != nil || s.Holder == "" || s.Token <= 0 || s.Last < 0 {
		event.ObjectInvalid.Log(d.Logger, "kind", kindSeat, "name", nameSeat)
		return wire.DutySeat{Token: d.seat.Token(), Last: d.seat.Last()}
	}
	return s
}

// logClosed logs the windows up to the last written one that were closed without the counts of some entries. The caller
// holds mu.
func (d *Duty) logClosed(last int64) {
	for _, w := range slices.Sorted(maps.Keys(d.missing)) {
		if missing := d.missing[w]; w <= last && len(missing) > 0 {
			event.UsageIncomplete.Log(d.Logger, "window", w, "entries", strings.Join(missing, " "))
			for _, name := range missing {
				d.metrics.missing.Add(1, name)
			}
		}
	}
	clear(d.missing)
}

// callAPI sends a report and reports the result to the seat.
func (d *Duty) callAPI(ctx context.Context, c APICall) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	status, err := d.API.ReportUsage(ctx, d.Name, c.Token, []byte(c.Report.Body), func() bool {
		// The process may have been suspended since the decision, and ctx does not count that.
		left := c.Until - d.Boot()
		time.AfterFunc(left+callGrace, cancel)
		return left > 0
	})
	result, text := judge(status, err)
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Boot()
	if givenUp := d.seat.Called(result, now); givenUp {
		event.UsageDropped.Log(d.Logger, "window", c.Report.Window, "status", status)
	}
	delay := d.windowAge(c.Report.Window, now)
	switch {
	case result != Confirmed:
		cause := ""
		if err != nil {
			cause = err.Error()
		}
		event.UsageCallFailed.Log(d.Logger, "call", "usage", "window", c.Report.Window, "token", c.Token, "status", status, "cause", cause)
	case delay > d.Bounds.UsageDelay:
		text = "late"
		event.UsageLate.Log(d.Logger, "window", c.Report.Window, "token", c.Token, "ms", delay.Milliseconds())
	default:
		event.UsageReported.Log(d.Logger, "window", c.Report.Window, "token", c.Token, "ms", delay.Milliseconds())
	}
	d.metrics.reports.Add(1, text)
	if result == Confirmed {
		d.metrics.delay.Record("", "", delay.Seconds())
	}
}

// judge returns what the answer to a report means, and its name in the metrics.
func judge(status int, err error) (CallResult, string) {
	var failed *upstream.Error
	switch {
	case errors.Is(err, upstream.ErrNotReady):
		return Expired, "failed"
	case errors.As(err, &failed) && !failed.Sent():
		return Unreached, "failed"
	case err != nil:
		return Unanswered, "failed"
	case status >= http.StatusOK && status < http.StatusMultipleChoices:
		return Confirmed, "confirmed"
	case status == http.StatusBadRequest, status == http.StatusRequestEntityTooLarge, status == http.StatusUnprocessableEntity:
		return Rejected, "rejected"
	default:
		return Unconfirmed, "failed"
	}
}
