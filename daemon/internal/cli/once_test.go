package cli

import (
	"testing"

	"bulrushspoke/internal/link"
	"bulrushspoke/wire"
)

func (e *entryLink) ask(key string, d *daemon, era int) wire.Fate {
	e.t.Helper()
	var fate wire.Fate
	e.call(link.Ask, wire.Ask{Key: key, Inc: d.links.Hello().Inc, Era: era}, &fate)
	return fate
}

// Guards against a ledger write that runs although an entry was told that it never will: the work arrives late, after
// the question.
func TestAskedKeyIsNeverStartedLater(t *testing.T) {
	s := newFakeService(t)
	d := startDaemon(t, "", s.URL, nil)
	c := dial(t, d)
	era := c.Peer().Era
	if f := c.ask("t.k", d, era); f.State != "none" {
		t.Fatalf("fate %q, want none", f.State)
	}
	if r := c.refused(ledger("a", "t.k", era)); r.Code != "tombstoned" || r.Ran != "no" {
		t.Fatalf("late work is refused with %s, ran %s", r.Code, r.Ran)
	}
	if n := s.count(); n != 0 {
		t.Fatalf("%d calls, want none", n)
	}
}

// Guards against two copies of a request through two entries that deny each other: the second entry finds the claim
// and asks before the work of the first has arrived.
func TestQuestionWaitsForWorkOnItsWay(t *testing.T) {
	s := newFakeService(t)
	d := startDaemon(t, "", s.URL, func(c *config) { c.grace = limit })
	c, other := dial(t, d), dial(t, d)
	era := c.Peer().Era
	asked := make(chan wire.Fate, 1)
	go func() { asked <- other.ask("t.k", d, era) }()
	c.work(ledger("a", "t.k", era))
	if f := <-asked; f.State != "running" {
		t.Fatalf("fate %q, want running", f.State)
	}
	s.let <- struct{}{}
	c.read("a", 0)
}

// Guards against a key that runs twice, under the same or another attempt id, over the same or another link.
func TestKeyRunsOnceAndItsResultIsKept(t *testing.T) {
	s := newFakeService(t)
	d := startDaemon(t, "", s.URL, nil)
	c, other := dial(t, d), dial(t, d)
	era := c.Peer().Era
	c.work(ledger("a", "t.k", era))
	eventually(t, "the call runs", func() bool { return s.count() == 1 })
	if f := other.ask("t.k", d, era); f.State != "running" || f.Attempt != "a" {
		t.Fatalf("fate %+v, want running", f)
	}
	if r := other.refused(ledger("b", "t.k", era)); r.Code != "conflict" || r.Ran != "unknown" {
		t.Fatalf("second attempt is refused with %s, ran %s", r.Code, r.Ran)
	}
	other.work(ledger("a", "t.k", era))
	s.let <- struct{}{}
	if r := other.read("a", 0); r.done == nil || r.done.Reply.Status != 201 {
		t.Fatalf("no reply over the new link: %+v", r.refuse)
	}
	if err := other.Notify(link.Drop, wire.Drop{Attempts: []string{"a"}}); err != nil {
		t.Fatalf("drop: %v", err)
	}
	if f := other.ask("t.k", d, era); f.State != "finished" || f.Reply == nil || string(f.Reply.Body) != "POST log?x=1 1" {
		t.Fatalf("fate %+v, want the first result", f)
	}
	if n := s.count(); n != 1 {
		t.Fatalf("%d calls, want 1", n)
	}
}

// Guards against a lost answer of the service that is reported as not run, and against a second call.
func TestLostAnswerIsUnknown(t *testing.T) {
	s := newFakeService(t)
	d := startDaemon(t, "", s.URL, nil)
	c := dial(t, d)
	era := c.Peer().Era
	c.work(ledger("a", "t.k", era))
	eventually(t, "the call runs", func() bool { return s.count() == 1 })
	s.CloseClientConnections()
	r := c.read("a", 0)
	if r.refuse == nil || r.refuse.Code != "outcome_unknown" || r.refuse.Ran != "unknown" {
		t.Fatalf("end %+v %+v, want outcome_unknown", r.done, r.refuse)
	}
	if f := c.ask("t.k", d, era); f.State != "unknown" {
		t.Fatalf("fate %q, want unknown", f.State)
	}
	if n := s.count(); n != 1 {
		t.Fatalf("%d calls, want 1", n)
	}
}

// Guards against a call that never reached the service and is reported as unknown: a refused connection proves that
// nothing ran.
func TestRefusedConnectionIsNotRun(t *testing.T) {
	s := newFakeService(t)
	d := startDaemon(t, "", s.URL, func(c *config) { c.Poll *= 1000 })
	c := dial(t, d)
	era := c.Peer().Era
	_ = s.Listener.Close()
	c.work(ledger("a", "t.k", era))
	if r := c.read("a", 0); r.refuse == nil || r.refuse.Ran != "no" {
		t.Fatalf("end %+v %+v, want a refusal as not run", r.done, r.refuse)
	}
	if f := c.ask("t.k", d, era); f.State != "none" {
		t.Fatalf("fate %q, want none", f.State)
	}
}

// Guards against a claim that names an era or incarnation which this process knows nothing about.
func TestForeignClaimIsUnknown(t *testing.T) {
	s := newFakeService(t)
	d := startDaemon(t, "", s.URL, nil)
	c := dial(t, d)
	era := c.Peer().Era
	if r := c.refused(ledger("a", "t.k", era-1)); r.Code != "outcome_unknown" || r.Ran != "unknown" {
		t.Fatalf("work of an old era is refused with %s, ran %s", r.Code, r.Ran)
	}
	if f := c.ask("t.k", d, era-1); f.State != "unknown" {
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
