package main

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"bulrushspoke/internal/catalog"
	"bulrushspoke/platform/platformtest"
	"bulrushspoke/standin/objects"
	"bulrushspoke/standin/relay"
	"bulrushspoke/standin/report"
)

const (
	faultSeriesTime  = 5 * time.Second // duration of each of the two series of faults
	quietTime        = 7 * time.Second // between the series, so that rules with a time bound apply
	minFaultInterval = 100 * time.Millisecond
	maxFaultInterval = 450 * time.Millisecond
	minDowntime      = 200 * time.Millisecond
	maxDowntime      = 2 * time.Second
	maxFaultTime     = 4 * time.Second
	drainLinger      = 1500 * time.Millisecond // how long a server runs on after drainLag
	relayDelayMS     = 300
	crashRequestTime = 7 * time.Second // how long a request that crashes its servers is repeated
	lateWriteDelay   = 3 * time.Second // after which the store applies a late write
)

// fault is a fault injected from outside. inject returns once the fault has been undone.
type fault struct {
	name   string
	weight int
	inject func(ctx context.Context, tb *testbed)
}

func faults() []fault {
	return []fault{
		{"entry killed", 4, func(ctx context.Context, tb *testbed) {
			tb.restart(ctx, entryName(tb.randomInt(tb.size.entries)), syscall.SIGKILL, tb.randomDuration(minDowntime, maxDowntime))
		}},
		{"entry stopped", 4, func(ctx context.Context, tb *testbed) {
			tb.restart(ctx, entryName(tb.randomInt(tb.size.entries)), syscall.SIGTERM, tb.randomDuration(minDowntime, maxDowntime))
		}},
		{"entry paused", 4, func(ctx context.Context, tb *testbed) { tb.suspend(ctx, entryName(tb.randomInt(tb.size.entries))) }},
		{"entry gets SIGHUP", 2, func(_ context.Context, tb *testbed) { tb.sendHangup(entryName(tb.randomInt(tb.size.entries))) }},
		{"daemon killed", 2, func(ctx context.Context, tb *testbed) {
			tb.restart(ctx, tb.randomDaemon(), syscall.SIGKILL, tb.randomDuration(minDowntime, maxDowntime))
		}},
		{"daemon stopped", 1, func(ctx context.Context, tb *testbed) {
			tb.restart(ctx, tb.randomDaemon(), syscall.SIGTERM, minDowntime)
		}},
		{"daemon paused", 2, func(ctx context.Context, tb *testbed) { tb.suspend(ctx, tb.randomDaemon()) }},
		{"keeper killed", 1, func(ctx context.Context, tb *testbed) { tb.restart(ctx, "keeper", syscall.SIGKILL, minDowntime) }},
		{"store unavailable", 2, storeFault(objects.Fault{Refuse: true})},
		{"store silent", 2, storeFault(objects.Fault{Silent: true})},
		{"store loses responses", 3, storeFault(objects.Fault{Lose: 8})},
		{"store applies writes late", 3, storeFault(objects.Fault{Late: 8, LateBy: lateWriteDelay})},
		{"store drops history", 2, func(_ context.Context, tb *testbed) { tb.objects.Compact() }},
		{"store unavailable to one process", 3, func(ctx context.Context, tb *testbed) {
			tb.setForRandomTime(ctx, &tb.storeHandlers[tb.randomEntryOrDaemon()].refuse)
		}},
		{"store slow for one process", 2, func(ctx context.Context, tb *testbed) {
			tb.setForRandomTime(ctx, &tb.storeHandlers[tb.randomEntryOrDaemon()].slow)
		}},
		{"store connection disrupted", 4, func(ctx context.Context, tb *testbed) { tb.disruptRelay(ctx, "store "+tb.randomEntryOrDaemon(), false) }},
		{"links disrupted", 4, func(ctx context.Context, tb *testbed) {
			tb.disruptRelay(ctx, "link "+entryName(tb.randomInt(tb.size.entries)), false)
		}},
		{"client connections disrupted", 2, func(ctx context.Context, tb *testbed) {
			tb.disruptRelay(ctx, "client "+entryName(tb.randomInt(tb.size.entries)), true)
		}},
		{"server crashes", 4, func(ctx context.Context, tb *testbed) {
			tb.crashServer(ctx, tb.servers[tb.randomInt(len(tb.servers))], tb.randomDuration(minDowntime, maxDowntime))
		}},
		{"server replaced", 3, func(ctx context.Context, tb *testbed) { tb.replaceServer(ctx) }},
		{"server misbehaves", 8, func(ctx context.Context, tb *testbed) {
			s := tb.servers[tb.randomInt(len(tb.servers))]
			s.setBehaviour(behaviour(1 + tb.randomInt(int(delayedOrder))))
			pause(ctx, tb.randomDuration(minDowntime, maxFaultTime))
			s.setBehaviour(correct)
		}},
		{"request crashes servers", 2, func(ctx context.Context, tb *testbed) {
			ctx, cancel := context.WithTimeout(ctx, crashRequestTime)
			defer cancel()
			c := newClient(tb, 0, 100+tb.randomInt(1<<20))
			c.sendCrashing(ctx, crashBodyPrefix+c.name)
		}},
		{"server records expire", 1, func(ctx context.Context, tb *testbed) { tb.expireServers(ctx) }},
		{"configuration changes", 4, func(_ context.Context, tb *testbed) { tb.changeRoutes() }},
	}
}

// storeFault returns a fault of the store that all processes see.
func storeFault(f objects.Fault) func(context.Context, *testbed) {
	return func(ctx context.Context, tb *testbed) {
		end := tb.checker.disturb(storeIndex, false)
		defer end()
		tb.objects.Fault(f)
		pause(ctx, tb.randomDuration(minDowntime, maxFaultTime))
		tb.objects.Fault(objects.Fault{})
		if f.Late > 0 {
			pause(ctx, lateWriteDelay)
		}
	}
}

// setForRandomTime sets a fault of a storeHandler for a random time.
func (tb *testbed) setForRandomTime(ctx context.Context, fault *atomic.Bool) {
	fault.Store(true)
	pause(ctx, tb.randomDuration(minDowntime, maxFaultTime))
	fault.Store(false)
}

func (tb *testbed) randomDaemon() string {
	return fmt.Sprintf("daemon%d", tb.randomInt(tb.size.engines))
}

// randomEntryOrDaemon returns the name of an entry or, less often, of a daemon.
func (tb *testbed) randomEntryOrDaemon() string {
	if tb.randomInt(3) > 0 {
		return entryName(tb.randomInt(tb.size.entries))
	}
	return tb.randomDaemon()
}

// disturbProcess records that a process is disturbed until the returned function is called, if it is an entry.
func (tb *testbed) disturbProcess(name string) (end func()) {
	if e, ok := entryIndex(name); ok {
		return tb.checker.disturb(e, false)
	}
	return func() {}
}

// suspend pauses a process for a random time.
func (tb *testbed) suspend(ctx context.Context, name string) {
	p, err := tb.rig.Process(name)
	if err != nil {
		return
	}
	end := tb.disturbProcess(name)
	defer end()
	_ = p.Signal(syscall.SIGSTOP) // the process may have exited
	pause(ctx, tb.randomDuration(minDowntime, maxFaultTime))
	_ = p.Signal(syscall.SIGCONT)
}

func (tb *testbed) sendHangup(name string) {
	if p, err := tb.rig.Process(name); err == nil {
		_ = p.Signal(syscall.SIGHUP) // the process may have exited
	}
}

// disruptRelay resets, delays or silences the connections of a relay. Client connections are only reset or delayed: a client
// on a silent connection gets no response at all.
func (tb *testbed) disruptRelay(ctx context.Context, name string, clients bool) {
	_, process, _ := strings.Cut(name, " ")
	end := tb.disturbProcess(process)
	defer end()
	r := tb.relays[name]
	kinds := []string{"reset", "delay", relay.Existing, relay.All, relay.Up, relay.Down}
	if clients {
		kinds = kinds[:2]
	}
	switch kind := kinds[tb.randomInt(len(kinds))]; kind {
	case "reset":
		r.Control(report.RelayControl{Cut: true})
	case "delay":
		r.SetDelay(relayDelayMS, relayDelayMS)
		pause(ctx, tb.randomDuration(minDowntime, maxFaultTime))
		r.SetDelay(0, 0)
	default:
		r.Control(report.RelayControl{Silent: &kind})
		pause(ctx, tb.randomDuration(minDowntime, maxFaultTime))
		none := ""
		r.Control(report.RelayControl{Silent: &none})
	}
}

// crashServer stops a server without a drain and starts it again under another ID after a downtime. The record of the
// crashed server is removed after serverExpiry.
func (tb *testbed) crashServer(ctx context.Context, s *server, downtime time.Duration) {
	id := s.crash()
	time.AfterFunc(serverExpiry, func() { tb.objects.Remove(platformtest.Servers, id) })
	pause(ctx, downtime)
	tb.startServer(s)
}

// replaceServer drains and stops a server, and starts another one at its address. In half of the cases the drain is
// announced by removing the record of the server.
func (tb *testbed) replaceServer(ctx context.Context) {
	s := tb.servers[tb.randomInt(len(tb.servers))]
	deregister := tb.randomInt(2) == 0
	s.mu.Lock()
	s.draining, s.deregistered = true, deregister
	id := s.id
	s.mu.Unlock()
	if deregister {
		tb.objects.Remove(platformtest.Servers, id)
	}
	s.publish()
	tb.checker.recordDrain(id, time.Now())
	pause(ctx, drainLag+drainLinger)
	s.crash()
	tb.objects.Remove(platformtest.Servers, id)
	pause(ctx, minDowntime)
	tb.startServer(s)
}

// startServer starts a server again unless another fault has done so.
func (tb *testbed) startServer(s *server) {
	s.mu.Lock()
	up := s.up
	s.mu.Unlock()
	if up {
		return
	}
	if err := s.start(time.Now()); err != nil {
		tb.checker.report("SOAK", "restart of a server failed: %v", err)
	}
}

// expireServers removes the records of half of the servers during an outage of the store, as if they had expired. The
// records are back within 2 s.
func (tb *testbed) expireServers(ctx context.Context) {
	end := tb.checker.disturb(storeIndex, false)
	defer end()
	tb.objects.Fault(objects.Fault{Refuse: true})
	pause(ctx, serverExpiry)
	for i, s := range tb.servers {
		if i%2 == 0 {
			s.mu.Lock()
			id := s.id
			s.mu.Unlock()
			tb.objects.Remove(platformtest.Servers, id)
		}
	}
	tb.objects.Fault(objects.Fault{})
	pause(ctx, heartbeatInterval) // the next heartbeats write the records again
}

// changeRoutes applies a configuration with a random service for the route "safe", and with or without the route "late".
func (tb *testbed) changeRoutes() {
	service, withLate := []string{"cards", "tables"}[tb.randomInt(2)], tb.randomInt(2) == 0
	tb.applyConfig(func(c *catalog.Config) {
		for i, r := range c.Routes {
			if r.Name == "safe" {
				c.Routes[i].Shares = []catalog.Share{{Service: service, Weight: 1}}
				if withLate {
					r.Name, r.Prefix = "late", "/late/"
					r.Shares = []catalog.Share{{Service: "tables", Weight: 1}}
					c.Routes = append(c.Routes, r)
				}
			}
		}
	})
}

// injectFaults starts faults at random intervals for a time and waits until all are undone. Faults may overlap.
func (tb *testbed) injectFaults(ctx context.Context, d time.Duration, record func(string)) {
	var all []fault
	for _, f := range faults() {
		all = append(all, slices.Repeat([]fault{f}, f.weight)...)
	}
	var g sync.WaitGroup
	for until := time.Now().Add(d); time.Now().Before(until) && pause(ctx, tb.randomDuration(minFaultInterval, maxFaultInterval)); {
		f := all[tb.randomInt(len(all))]
		record(f.name)
		g.Go(func() { f.inject(ctx, tb) })
	}
	g.Wait()
}
