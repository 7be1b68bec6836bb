package cli

import (
	"testing"

	"bulrushspoke/internal/link"
	"bulrushspoke/wire"
)

func (e *entryLink) askKey(key string, d *testDaemon, era int) wire.Fate {
	e.t.Helper()
	var fate wire.Fate
	e.call(link.Ask, wire.Ask{Key: key, Inc: d.links.Hello().Inc, Era: era}, &fate)
	return fate
}

// Guards against a ledger write that runs after an entry was told that it never will, because the work message arrives
// after the ask.
func TestAskedKeyIsNeverStartedLater(t *testing.T) {
	s := newFakeService(t)
	d := startDaemon(t, "", s.URL, nil)
	c := dialDaemon(t, d)
	era := c.Peer().Era
	if f := c.askKey("t.k", d, era); f.State != "none" {
		t.Fatalf("fate %q, want none", f.State)
	}
	if r := c.submitRefused(ledgerWork("a", "t.k", era)); r.Code != "tombstoned" || r.Ran != "no" {
		t.Fatalf("work after the ask was refused with code %s, ran %s; want tombstoned, no", r.Code, r.Ran)
	}
	if n := s.count(); n != 0 {
		t.Fatalf("%d calls, want none", n)
	}
}

// Guards against two copies of a request, sent through two entries, that block each other: the second entry finds the
// claim of the first and asks about the key before the work of the first has arrived.
func TestAskWaitsForWorkInTransit(t *testing.T) {
	s := newFakeService(t)
	d := startDaemon(t, "", s.URL, func(c *config) { c.askGrace = testTimeout })
	c, other := dialDaemon(t, d), dialDaemon(t, d)
	era := c.Peer().Era
	asked := make(chan wire.Fate, 1)
	go func() { asked <- other.askKey("t.k", d, era) }()
	c.submit(ledgerWork("a", "t.k", era))
	if f := <-asked; f.State != "running" {
		t.Fatalf("fate %q, want running", f.State)
	}
	s.permits <- struct{}{}
	c.readResult("a", 0)
}

// Guards against running a key twice, with the same or another attempt id, over the same or another link.
func TestKeyRunsOnceAndItsResultIsKept(t *testing.T) {
	s := newFakeService(t)
	d := startDaemon(t, "", s.URL, nil)
	c, other := dialDaemon(t, d), dialDaemon(t, d)
	era := c.Peer().Era
	c.submit(ledgerWork("a", "t.k", era))
	eventually(t, "the call is running", func() bool { return s.count() == 1 })
	if f := other.askKey("t.k", d, era); f.State != "running" || f.Attempt != "a" {
		t.Fatalf("fate %+v, want running", f)
	}
	if r := other.submitRefused(ledgerWork("b", "t.k", era)); r.Code != "conflict" || r.Ran != "unknown" {
		t.Fatalf("second attempt was refused with code %s, ran %s; want conflict, unknown", r.Code, r.Ran)
	}
	other.submit(ledgerWork("a", "t.k", era))
	s.permits <- struct{}{}
	if r := other.readResult("a", 0); r.done == nil || r.done.Reply.Status != 201 {
		t.Fatalf("no reply over the new link: %+v", r.refuse)
	}
	if err := other.Notify(link.Drop, wire.Drop{Attempts: []string{"a"}}); err != nil {
		t.Fatalf("drop: %v", err)
	}
	if f := other.askKey("t.k", d, era); f.State != "finished" || f.Reply == nil || string(f.Reply.Body) != "POST log?x=1 1" {
		t.Fatalf("fate %+v, want the first result", f)
	}
	if n := s.count(); n != 1 {
		t.Fatalf("%d calls, want 1", n)
	}
}

// Guards against reporting a call as not run when the response of the service was lost, and against calling it again.
func TestLostAnswerIsUnknown(t *testing.T) {
	s := newFakeService(t)
	d := startDaemon(t, "", s.URL, nil)
	c := dialDaemon(t, d)
	era := c.Peer().Era
	c.submit(ledgerWork("a", "t.k", era))
	eventually(t, "the call is running", func() bool { return s.count() == 1 })
	s.CloseClientConnections()
	r := c.readResult("a", 0)
	if r.refuse == nil || r.refuse.Code != "outcome_unknown" || r.refuse.Ran != "unknown" {
		t.Fatalf("end %+v %+v, want outcome_unknown", r.done, r.refuse)
	}
	if f := c.askKey("t.k", d, era); f.State != "unknown" {
		t.Fatalf("fate %q, want unknown", f.State)
	}
	if n := s.count(); n != 1 {
		t.Fatalf("%d calls, want 1", n)
	}
}

// Guards against reporting an unknown outcome for a call that never reached the service: a refused connection proves
// that nothing ran.
func TestRefusedConnectionIsNotRun(t *testing.T) {
	s := newFakeService(t)
	d := startDaemon(t, "", s.URL, func(c *config) { c.Poll *= 1000 })
	c := dialDaemon(t, d)
	era := c.Peer().Era
	_ = s.Listener.Close()
	c.submit(ledgerWork("a", "t.k", era))
	if r := c.readResult("a", 0); r.refuse == nil || r.refuse.Ran != "no" {
		t.Fatalf("end %+v %+v, want a refusal with ran no", r.done, r.refuse)
	}
	if f := c.askKey("t.k", d, era); f.State != "none" {
		t.Fatalf("fate %q, want none", f.State)
	}
}

// Guards against accepting a claim with an era or incarnation that this process has no record of.
func TestForeignClaimIsUnknown(t *testing.T) {
	s := newFakeService(t)
	d := startDaemon(t, "", s.URL, nil)
	c := dialDaemon(t, d)
	era := c.Peer().Era
	if r := c.submitRefused(ledgerWork("a", "t.k", era-1)); r.Code != "outcome_unknown" || r.Ran != "unknown" {
		t.Fatalf("work of an old era was refused with code %s, ran %s; want outcome_unknown, unknown", r.Code, r.Ran)
	}
	if f := c.askKey("t.k", d, era-1); f.State != "unknown" {
		t.Fatalf("fate %q, want unknown", f.State)
	}
	var f wire.Fate
	c.call(link.Ask, wire.Ask{Key: "t.k", Inc: "another", Era: era}, &f)
	if f.State != "unknown" {
		t.Fatalf("fate of another incarnation %q, want unknown", f.State)
	}
	if n := s.count(); n != 0 {
		t.Fatalf("%d calls, want none", n)
	}
}
