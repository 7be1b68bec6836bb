package cli

import (
	"testing"
	"time"

	"bulrushspoke/internal/link"
	"bulrushspoke/internal/settings"
	"bulrushspoke/wire"
)

// Guards against a drain that aborts streams, accepts new work, or ends before entries have taken the results.
func TestDrainFinishesWhatItAccepted(t *testing.T) {
	for _, trigger := range []string{"signal", "message"} {
		t.Run(trigger, func(t *testing.T) {
			e := newFakeEngine(t)
			d := startDaemon(t, e.URL, "", oneSlot)
			// A long grace period lets the queued sample start even on a heavily loaded machine.
			d.drainGrace = time.Minute
			c := dialDaemon(t, d)
			c.submit(completionWork("running", 2))
			sample := completionWork("queued", 1)
			sample.Class, sample.Slot = "train", &wire.Slot{Run: "r", Step: 1, Group: "g"}
			c.submit(sample)
			if trigger == "signal" {
				d.stop()
			} else if err := c.Notify(link.Drain, wire.Drain{Reason: "test"}); err != nil {
				t.Fatalf("drain: %v", err)
			}
			for {
				var s wire.State
				_ = c.nextFrame(link.State).Decode(&s)
				if s.Leaving {
					break
				}
			}
			if r := c.submitRefused(completionWork("late", 1)); r.Code != "leaving" || r.Ran != "no" {
				t.Fatalf("work sent during the drain was refused with code %s, ran %s; want leaving, no", r.Code, r.Ran)
			}
			d.expectRunning(t, "its work was finished")
			e.allowTokens(3)
			if r := c.readResult("running", 0); r.done == nil || len(r.tokens) != 2 {
				t.Fatalf("the running stream was aborted: %+v", r.refuse)
			}
			if r := c.readResult("queued", 0); r.done == nil {
				t.Fatalf("the queued sample was not completed: %+v", r.refuse)
			}
			d.expectRunning(t, "its results were taken")
			if err := c.Notify(link.Drop, wire.Drop{Attempts: []string{"running", "queued"}}); err != nil {
				t.Fatalf("drop: %v", err)
			}
			if err := <-d.exited; err != nil {
				t.Fatalf("drain: %v", err)
			}
			<-c.Done()
		})
	}
}

// Guards against queued work that reaches a server long after that server was asked to leave.
func TestLeavingServerGetsNoQueuedWork(t *testing.T) {
	e := newFakeEngine(t)
	d := startDaemon(t, e.URL, "", oneSlot)
	d.drainGrace = 0
	c := dialDaemon(t, d)
	c.submit(completionWork("running", 2))
	c.submit(completionWork("queued", 1))
	d.stop()
	var r wire.Refuse
	_ = c.nextFrame(link.Refuse).Decode(&r)
	if r.Attempt != "queued" || r.Code != "leaving" || r.Ran != "no" {
		t.Fatalf("refusal %+v, want code leaving and ran no", r)
	}
	e.allowTokens(3)
	if r := c.readResult("running", 0); r.done == nil || len(r.tokens) != 2 {
		t.Fatalf("the running stream was aborted: %+v", r.refuse)
	}
	if err := c.Notify(link.Drop, wire.Drop{Attempts: []string{"running"}}); err != nil {
		t.Fatalf("drop: %v", err)
	}
	if err := <-d.exited; err != nil {
		t.Fatalf("drain: %v", err)
	}
}

// expectRunning fails if the daemon exits; the pause gives a premature exit time to occur.
func (d *testDaemon) expectRunning(t *testing.T, before string) {
	t.Helper()
	select {
	case err := <-d.exited:
		t.Fatalf("the daemon exited before %s: %v", before, err)
	case <-time.After(2 * closeDelay):
	}
}

// Guards against a drain that never ends. At the drain limit, running streams are refused as partial so that another
// server can resume them.
func TestDrainLimitReturnsPartialStreams(t *testing.T) {
	e := newFakeEngine(t)
	d := startDaemon(t, e.URL, "", func(c *config) { c.Drain = settings.Duration(1) })
	c := dialDaemon(t, d)
	c.submit(completionWork("a", 9))
	e.allowTokens(2)
	c.nextFrame(link.Chunk)
	d.stop()
	r := c.readResult("a", 1)
	if r.refuse == nil || r.refuse.Ran != "partial" {
		t.Fatalf("end %+v %+v, want a refusal with ran partial", r.done, r.refuse)
	}
	if err := <-d.exited; err != nil {
		t.Fatalf("drain: %v", err)
	}
}
