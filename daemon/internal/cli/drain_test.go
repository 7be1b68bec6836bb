package cli

import (
	"testing"
	"time"

	"bulrushspoke/internal/link"
	"bulrushspoke/internal/settings"
	"bulrushspoke/wire"
)

// Guards against a drain that cuts off streams, takes new work, or ends before its results are taken.
func TestDrainFinishesWhatItAccepted(t *testing.T) {
	for _, by := range []string{"signal", "message"} {
		t.Run(by, func(t *testing.T) {
			e := newFakeEngine(t)
			d := startDaemon(t, e.URL, "", oneSlot)
			// The queued sample is to be started within the grace period, however busy the machine is.
			d.grace = time.Minute
			c := dial(t, d)
			c.work(completion("running", 2))
			sample := completion("queued", 1)
			sample.Class, sample.Slot = "train", &wire.Slot{Run: "r", Step: 1, Group: "g"}
			c.work(sample)
			if by == "signal" {
				d.stop()
			} else if err := c.Notify(link.Drain, wire.Drain{Reason: "test"}); err != nil {
				t.Fatalf("drain: %v", err)
			}
			for {
				var s wire.State
				_ = c.next(link.State).Decode(&s)
				if s.Leaving {
					break
				}
			}
			if r := c.refused(completion("late", 1)); r.Code != "leaving" || r.Ran != "no" {
				t.Fatalf("late work is refused with %s, ran %s", r.Code, r.Ran)
			}
			d.stays(t, "its work was done")
			e.let(3)
			if r := c.read("running", 0); r.done == nil || len(r.tokens) != 2 {
				t.Fatalf("the stream in flight was cut off: %+v", r.refuse)
			}
			if r := c.read("queued", 0); r.done == nil {
				t.Fatalf("the queued sample was not made: %+v", r.refuse)
			}
			d.stays(t, "its results were taken")
			if err := c.Notify(link.Drop, wire.Drop{Attempts: []string{"running", "queued"}}); err != nil {
				t.Fatalf("drop: %v", err)
			}
			if err := <-d.ended; err != nil {
				t.Fatalf("drain: %v", err)
			}
			<-c.Done()
		})
	}
}

// Guards against work that waits in a long queue and reaches a server long after it was told to leave.
func TestLeavingServerGetsNoQueuedWork(t *testing.T) {
	e := newFakeEngine(t)
	d := startDaemon(t, e.URL, "", oneSlot)
	d.grace = 0
	c := dial(t, d)
	c.work(completion("running", 2))
	c.work(completion("queued", 1))
	d.stop()
	var r wire.Refuse
	_ = c.next(link.Refuse).Decode(&r)
	if r.Attempt != "queued" || r.Code != "leaving" || r.Ran != "no" {
		t.Fatalf("refusal %+v, want leaving as not run", r)
	}
	e.let(3)
	if r := c.read("running", 0); r.done == nil || len(r.tokens) != 2 {
		t.Fatalf("the stream in flight was cut off: %+v", r.refuse)
	}
	if err := c.Notify(link.Drop, wire.Drop{Attempts: []string{"running"}}); err != nil {
		t.Fatalf("drop: %v", err)
	}
	if err := <-d.ended; err != nil {
		t.Fatalf("drain: %v", err)
	}
}

// stays fails if the daemon ends; the pause only gives a wrong end the time to show.
func (d *daemon) stays(t *testing.T, before string) {
	t.Helper()
	select {
	case err := <-d.ended:
		t.Fatalf("the daemon ended before %s: %v", before, err)
	case <-time.After(2 * linger):
	}
}

// Guards against a drain without end: at its limit, streams are given back in part so that another server resumes
// them.
func TestDrainLimitGivesStreamsBack(t *testing.T) {
	e := newFakeEngine(t)
	d := startDaemon(t, e.URL, "", func(c *config) { c.Drain = settings.Duration(1) })
	c := dial(t, d)
	c.work(completion("a", 9))
	e.let(2)
	c.next(link.Chunk)
	d.stop()
	r := c.read("a", 1)
	if r.refuse == nil || r.refuse.Ran != "partial" {
		t.Fatalf("end %+v %+v, want a partial refusal", r.done, r.refuse)
	}
	if err := <-d.ended; err != nil {
		t.Fatalf("drain: %v", err)
	}
}
