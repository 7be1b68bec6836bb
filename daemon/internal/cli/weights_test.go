package cli

import (
	"log/slog"
	"testing"

	"bulrushspoke/daemon/internal/ownership"
	"bulrushspoke/internal/link"
	"bulrushspoke/internal/store"
	"bulrushspoke/wire"
)

func (e *fakeEngine) ordered() []wire.EngineOrder {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]wire.EngineOrder(nil), e.orders...)
}

func (e *fakeEngine) runsVersion(v int64) func() bool {
	return func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.version == v
	}
}

func weighted(t *testing.T, e *fakeEngine, s *fakeStore, fencing bool) (*daemon, *entryLink) {
	t.Helper()
	d := startDaemon(t, e.URL, "", func(c *config) {
		c.Store.URL = s.URL
		c.Servers[0].Fencing = &fencing
	})
	return d, dial(t, d)
}

func (e *entryLink) target(version, fence int64) {
	e.t.Helper()
	if err := e.Notify(link.Target, wire.Target{Model: "plan", Version: version, Fence: fence}); err != nil {
		e.t.Fatalf("target: %v", err)
	}
}

// Guards against a swap that fails partway or an engine that falls back to old weights, and stays there.
func TestTargetIsRepaired(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		e, s := newFakeEngine(t), newFakeStore(t)
		_, c := weighted(t, e, s, fencing)
		e.mu.Lock()
		e.refuse = true
		e.mu.Unlock()
		c.target(8, 100)
		eventually(t, "the first order fails", func() bool { return len(e.ordered()) > 0 })
		e.mu.Lock()
		e.refuse = false
		e.mu.Unlock()
		eventually(t, "the target runs", e.runsVersion(8))
		e.mu.Lock()
		e.version, e.fence = 5, 0
		e.mu.Unlock()
		eventually(t, "the target runs again", e.runsVersion(8))
		if fencing {
			eventually(t, "the engine has the token", func() bool { return e.ordered()[len(e.ordered())-1].Fence == 100 })
		}
	}
}

// Guards against an engine without fencing that is sent back to old weights by a late target.
func TestOlderTargetIsIgnored(t *testing.T) {
	e, s := newFakeEngine(t), newFakeStore(t)
	d, c := weighted(t, e, s, false)
	c.target(9, 200)
	eventually(t, "the target runs", e.runsVersion(9))
	c.target(8, 100)
	c.target(8, 300)
	var f wire.Fate
	c.call(link.Ask, wire.Ask{}, &f) // answered after the targets are taken
	if all := d.targets.All(); len(all) != 1 || all[0].Version != 9 {
		t.Fatalf("targets %+v, want version 9", all)
	}
	for _, o := range e.ordered() {
		if o.Version < 9 {
			t.Fatalf("version %d was ordered", o.Version)
		}
	}
}

// Guards against a process that was paused, lost its server to a newer one and still commands it, and against
// commands while the claim cannot be read.
func TestOnlyTheProcessInChargeCommands(t *testing.T) {
	e, s := newFakeEngine(t), newFakeStore(t)
	_, c := weighted(t, e, s, false)
	own := ""
	eventually(t, "the server is claimed", func() bool {
		s.set(func() { own = s.values["/o/server/e1"] })
		return own != ""
	})
	// A command follows the read of the claim, so one that follows the first read shows before the second.
	asked := func() {
		before := 0
		s.set(func() { before = s.calls })
		eventually(t, "the claim is read twice", func() bool {
			n := 0
			s.set(func() { n = s.calls })
			return n >= before+2 || len(e.ordered()) > 0
		})
	}
	s.set(func() { s.down = true })
	c.target(8, 100)
	asked()
	if n := len(e.ordered()); n != 0 {
		t.Fatalf("%d orders while the claim cannot be read", n)
	}
	s.set(func() {
		s.down = false
		s.write("/o/server/e1", `{"daemon":"d1","inc":"newer"}`)
	})
	asked()
	if n := len(e.ordered()); n != 0 {
		t.Fatalf("%d orders although another process is in charge", n)
	}
	s.set(func() { s.write("/o/server/e1", own) })
	eventually(t, "the target runs", e.runsVersion(8))
}

// Guards against a process that was paused in its start and takes a server back from a newer one.
func TestNewerProcessKeepsItsServer(t *testing.T) {
	s := newFakeStore(t)
	client := store.New(s.URL, limit, slog.New(slog.DiscardHandler))
	older := ownership.New(client, "d1", "01A", slog.New(slog.DiscardHandler))
	newer := ownership.New(client, "d1", "01B", slog.New(slog.DiscardHandler))
	for _, c := range []*ownership.Ownership{older, newer, older} {
		if err := c.Take(t.Context(), "e1"); err != nil {
			t.Fatalf("take: %v", err)
		}
	}
	if mine, err := older.Check(t.Context(), "e1"); mine || err != nil {
		t.Fatalf("the older process is in charge: %t, %v", mine, err)
	}
	if mine, err := newer.Check(t.Context(), "e1"); !mine || err != nil {
		t.Fatalf("the newer process is in charge: %t, %v", mine, err)
	}
}
