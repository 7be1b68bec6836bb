package cli

import (
	"log/slog"
	"testing"

	"bulrushspoke/daemon/internal/ownership"
	"bulrushspoke/internal/link"
	"bulrushspoke/internal/store"
	"bulrushspoke/wire"
)

func (e *fakeEngine) loadOrders() []wire.EngineLoadRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]wire.EngineLoadRequest(nil), e.orders...)
}

func (e *fakeEngine) runsVersion(v int64) func() bool {
	return func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.version == v
	}
}

func startWithStore(t *testing.T, e *fakeEngine, s *fakeStore, fencing bool) (*testDaemon, *entryLink) {
	t.Helper()
	d := startDaemon(t, e.URL, "", func(c *config) {
		c.Store.URL = s.URL
		c.Servers[0].Fencing = &fencing
	})
	return d, dialDaemon(t, d)
}

func (e *entryLink) sendTarget(version, fence int64) {
	e.t.Helper()
	if err := e.Notify(link.Target, wire.Target{Model: "plan", Version: version, Fence: fence}); err != nil {
		e.t.Fatalf("target: %v", err)
	}
}

// Guards against an engine that stays on old weights after a failed load or after it reverted to them.
func TestTargetIsRepaired(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		e, s := newFakeEngine(t), newFakeStore(t)
		_, c := startWithStore(t, e, s, fencing)
		e.mu.Lock()
		e.refuseLoads = true
		e.mu.Unlock()
		c.sendTarget(8, 100)
		eventually(t, "the first order was rejected", func() bool { return len(e.loadOrders()) > 0 })
		e.mu.Lock()
		e.refuseLoads = false
		e.mu.Unlock()
		eventually(t, "the engine runs the target version", e.runsVersion(8))
		e.mu.Lock()
		e.version, e.fence = 5, 0
		e.mu.Unlock()
		eventually(t, "the engine runs the target version again", e.runsVersion(8))
		if fencing {
			eventually(t, "the last order carries the fencing token", func() bool { return e.loadOrders()[len(e.loadOrders())-1].Fence == 100 })
		}
	}
}

// Guards against a delayed target message that makes an engine without fencing load old weights.
func TestOlderTargetIsIgnored(t *testing.T) {
	e, s := newFakeEngine(t), newFakeStore(t)
	d, c := startWithStore(t, e, s, false)
	c.sendTarget(9, 200)
	eventually(t, "the engine runs the target version", e.runsVersion(9))
	c.sendTarget(8, 100)
	c.sendTarget(8, 300)
	var f wire.Fate
	c.call(link.Ask, wire.Ask{}, &f) // answered after the targets have been processed
	if all := d.targets.All(); len(all) != 1 || all[0].Version != 9 {
		t.Fatalf("targets %+v, want version 9", all)
	}
	for _, o := range e.loadOrders() {
		if o.Version < 9 {
			t.Fatalf("version %d was ordered", o.Version)
		}
	}
}

// Guards against a paused process that keeps sending orders after a newer process has taken over its server, and
// against orders while the claim cannot be read.
func TestOnlyTheProcessInChargeCommands(t *testing.T) {
	e, s := newFakeEngine(t), newFakeStore(t)
	_, c := startWithStore(t, e, s, false)
	claim := ""
	eventually(t, "the daemon has claimed the server", func() bool {
		s.locked(func() { claim = s.values["/o/server/e1"] })
		return claim != ""
	})
	// An order is sent after the claim is read, so an order that follows the first read is seen before the second read.
	waitForClaimReads := func() {
		before := 0
		s.locked(func() { before = s.calls })
		eventually(t, "the claim is read twice", func() bool {
			n := 0
			s.locked(func() { n = s.calls })
			return n >= before+2 || len(e.loadOrders()) > 0
		})
	}
	s.locked(func() { s.down = true })
	c.sendTarget(8, 100)
	waitForClaimReads()
	if n := len(e.loadOrders()); n != 0 {
		t.Fatalf("%d orders while the claim cannot be read", n)
	}
	s.locked(func() {
		s.down = false
		s.write("/o/server/e1", `{"daemon":"d1","inc":"newer"}`)
	})
	waitForClaimReads()
	if n := len(e.loadOrders()); n != 0 {
		t.Fatalf("%d orders although another process owns the server", n)
	}
	s.locked(func() { s.write("/o/server/e1", claim) })
	eventually(t, "the engine runs the target version", e.runsVersion(8))
}

// Guards against a process that was paused during startup and takes a server back from a newer process.
func TestNewerProcessKeepsItsServer(t *testing.T) {
	s := newFakeStore(t)
	client := store.New(s.URL, testTimeout, slog.New(slog.DiscardHandler))
	older := ownership.New(client, "d1", "01A", slog.New(slog.DiscardHandler))
	newer := ownership.New(client, "d1", "01B", slog.New(slog.DiscardHandler))
	for _, c := range []*ownership.Ownership{older, newer, older} {
		if err := c.Take(t.Context(), "e1"); err != nil {
			t.Fatalf("take: %v", err)
		}
	}
	if mine, err := older.Check(t.Context(), "e1"); mine || err != nil {
		t.Fatalf("the older process owns the server: %t, %v; want false", mine, err)
	}
	if mine, err := newer.Check(t.Context(), "e1"); !mine || err != nil {
		t.Fatalf("the newer process owns the server: %t, %v; want true", mine, err)
	}
}
