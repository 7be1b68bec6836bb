package main

import (
	"context"
	"fmt"
	"math/rand/v2"
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
	faultSeries      = 2
	faultSeriesTime  = 5 * time.Second // duration of each series of faults
	quietTime        = 7 * time.Second // between the series, so that rules with a time bound apply
	minFaultInterval = 100 * time.Millisecond
	maxFaultInterval = 450 * time.Millisecond
	minDown          = 200 * time.Millisecond
	maxDown          = 2 * time.Second
	maxFaultTime     = 4 * time.Second
	drainLinger      = 1500 * time.Millisecond // how long a server runs on after drainLag
	relayDelayMS     = 300
	crashRequestTime = 7 * time.Second // how long a request that crashes its servers is repeated
	lateWriteDelay   = 3 * time.Second // after which the store applies a late write
)

const (
	ownerFaults      = 6                      // number of faults of owners in a run
	ownerFaultPause  = 300 * time.Millisecond // after each of them
	ownerFaultStream = 4                      // first stream of their random numbers
	creationTimeout  = 2 * time.Second        // within which a job is expected to list results
	maxCutDelay      = 150 * time.Millisecond // between the unanswered creation and the cut
	minCut           = time.Second            // duration of the cut, or of the time in which links flap
	maxCut           = 2200 * time.Millisecond
	minFlap          = 50 * time.Millisecond // time between two changes of flapping links
	maxFlap          = 350 * time.Millisecond
)

// kindRecords is the prefix of the kinds of objects that hold the results of a job.
const kindRecords = "results-"

// fault is a fault injected from outside. inject returns once the fault has been undone.
type fault struct {
	name   string
	weight int
	inject func(ctx context.Context, e *env)
}

func faults() []fault {
	return []fault{
		{"entry killed", 4, func(ctx context.Context, e *env) {
			e.restart(ctx, entryName(e.intN(e.size.entries)), syscall.SIGKILL, e.randomDuration(minDown, maxDown))
		}},
		{"entry stopped", 4, func(ctx context.Context, e *env) {
			e.restart(ctx, entryName(e.intN(e.size.entries)), syscall.SIGTERM, e.randomDuration(minDown, maxDown))
		}},
		{"entry paused", 4, func(ctx context.Context, e *env) {
			e.suspend(ctx, entryName(e.intN(e.size.entries)), e.randomDuration(minDown, maxFaultTime))
		}},
		{"entry gets SIGHUP", 2, func(_ context.Context, e *env) { e.sendHangup(entryName(e.intN(e.size.entries))) }},
		{"daemon killed", 2, func(ctx context.Context, e *env) {
			e.restart(ctx, e.randomDaemon(), syscall.SIGKILL, e.randomDuration(minDown, maxDown))
		}},
		{"daemon stopped", 1, func(ctx context.Context, e *env) { e.restart(ctx, e.randomDaemon(), syscall.SIGTERM, minDown) }},
		{"daemon paused", 2, func(ctx context.Context, e *env) {
			e.suspend(ctx, e.randomDaemon(), e.randomDuration(minDown, maxFaultTime))
		}},
		{"keeper killed", 1, func(ctx context.Context, e *env) { e.restart(ctx, "keeper", syscall.SIGKILL, minDown) }},
		{"store unavailable", 2, storeFault(objects.Fault{Unavailable: true})},
		{"store silent", 2, storeFault(objects.Fault{NoResponse: true})},
		{"store loses responses", 3, storeFault(objects.Fault{LostResponses: 8})},
		{"store applies writes late", 3, storeFault(objects.Fault{DelayedWrites: 8, WriteDelay: lateWriteDelay})},
		{"store drops history", 2, func(_ context.Context, e *env) { e.objects.Compact() }},
		{"store unavailable to one process", 3, func(ctx context.Context, e *env) {
			e.setForRandomTime(ctx, &e.storeHandlers[e.randomEntryOrDaemon()].refuse)
		}},
		{"store slow for one process", 2, func(ctx context.Context, e *env) {
			e.setForRandomTime(ctx, &e.storeHandlers[e.randomEntryOrDaemon()].slow)
		}},
		{"store connection disrupted", 4, func(ctx context.Context, e *env) { e.impair(ctx, "store "+e.randomEntryOrDaemon(), false) }},
		{"links disrupted", 4, func(ctx context.Context, e *env) { e.impair(ctx, "link "+entryName(e.intN(e.size.entries)), false) }},
		{"client connections disrupted", 2, func(ctx context.Context, e *env) {
			e.impair(ctx, "client "+entryName(e.intN(e.size.entries)), true)
		}},
		{"server crashes", 4, func(ctx context.Context, e *env) {
			e.crashServer(ctx, e.servers[e.intN(len(e.servers))], e.randomDuration(minDown, maxDown))
		}},
		{"server replaced", 3, func(ctx context.Context, e *env) { e.replaceServer(ctx) }},
		{"server misbehaves", 8, func(ctx context.Context, e *env) {
			s := e.servers[e.intN(len(e.servers))]
			s.setBehaviour(behaviour(1 + e.intN(int(delayedOrder))))
			pause(ctx, e.randomDuration(minDown, maxFaultTime))
			s.setBehaviour(correct)
		}},
		{"request crashes servers", 2, func(ctx context.Context, e *env) {
			ctx, cancel := context.WithTimeout(ctx, crashRequestTime)
			defer cancel()
			c := newClient(e, 0, 100+e.intN(1<<20))
			c.sendCrashing(ctx, crashBodyPrefix+c.name)
		}},
		{"server records expire", 1, func(ctx context.Context, e *env) { e.expireServers(ctx) }},
		{"configuration changes", 4, func(_ context.Context, e *env) { e.changeRoutes() }},
	}
}

// storeFault returns a fault of the store that all processes see.
func storeFault(f objects.Fault) func(context.Context, *env) {
	return func(ctx context.Context, e *env) {
		end := e.checker.disturb(storeIndex, false)
		defer end()
		e.objects.SetFault(f)
		pause(ctx, e.randomDuration(minDown, maxFaultTime))
		e.objects.SetFault(objects.Fault{})
		if f.DelayedWrites > 0 {
			pause(ctx, lateWriteDelay)
		}
	}
}

// ownerFault makes the store apply the creations of records and leave them unanswered, and cuts the links of the entry that
// wrote the first of them.
type ownerFault struct {
	delay    time.Duration // between the lost creation and the cut
	duration time.Duration // of the cut
	flaps    bool          // the links are cut and admitted in turn
	random   *rand.Rand    // of the times between two changes of flapping links
}

// newOwnerFault returns fault n of a run; its schedule depends on nothing but the seed and n.
func newOwnerFault(seed uint64, n int) ownerFault {
	random := rand.New(rand.NewPCG(seed, ownerFaultStream+uint64(n)))
	return ownerFault{
		delay:    time.Duration(random.Int64N(int64(maxCutDelay))),
		duration: minCut + time.Duration(random.Int64N(int64(maxCut-minCut))),
		flaps:    random.IntN(2) == 0,
		random:   random,
	}
}

func (f ownerFault) String() string {
	if f.flaps {
		return "record creations unanswered, links of the owner flap"
	}
	return "record creations unanswered, links of the owner cut"
}

// inject injects the fault. It returns once the fault has been undone, or if no job lists results.
func (f ownerFault) inject(ctx context.Context, e *env) {
	end := e.checker.disturb(storeIndex, false)
	defer end()
	lost := &lostCreations{writers: make(chan string, 1)}
	e.lostCreations.Store(lost)
	defer e.lostCreations.Store(nil)
	limit := time.NewTimer(creationTimeout)
	defer limit.Stop()
	select {
	case owner := <-lost.writers:
		pause(ctx, f.delay)
		f.disconnect(ctx, e, owner)
	case <-limit.C:
	case <-ctx.Done():
	}
}

// disconnect cuts the links of an entry for the duration of the fault.
func (f ownerFault) disconnect(ctx context.Context, e *env, name string) {
	end := e.disturbProcess(name)
	defer end()
	defer e.cutLinks(name, false)
	until := time.Now().Add(f.duration)
	for cut := true; ctx.Err() == nil && time.Now().Before(until); cut = !cut {
		e.cutLinks(name, cut)
		next := f.duration
		if f.flaps {
			next = minFlap + time.Duration(f.random.Int64N(int64(maxFlap-minFlap)))
		}
		pause(ctx, min(next, time.Until(until)))
	}
}

// isolateOwners injects the faults of owners of a run one after the other.
func (e *env) isolateOwners(ctx context.Context, seed uint64, record func(string)) {
	for n := range ownerFaults {
		f := newOwnerFault(seed, n)
		record(f.String())
		f.inject(ctx, e)
		pause(ctx, ownerFaultPause)
	}
}

// cutLinks closes the links of an entry and refuses new ones, or admits them again.
func (e *env) cutLinks(name string, cut bool) {
	e.relays["link "+name].SetRefusing(cut)
	for _, r := range e.outgoing[name] {
		r.SetRefusing(cut)
	}
}

// setForRandomTime sets a fault of a storeHandler for a random time.
func (e *env) setForRandomTime(ctx context.Context, fault *atomic.Bool) {
	fault.Store(true)
	pause(ctx, e.randomDuration(minDown, maxFaultTime))
	fault.Store(false)
}

func (e *env) randomDaemon() string { return fmt.Sprintf("daemon%d", e.intN(e.size.engines)) }

// randomEntryOrDaemon returns the name of an entry or, less often, of a daemon.
func (e *env) randomEntryOrDaemon() string {
	if e.intN(3) > 0 {
		return entryName(e.intN(e.size.entries))
	}
	return e.randomDaemon()
}

// disturbProcess records that a process is disturbed until the returned function is called, if it is an entry.
func (e *env) disturbProcess(name string) (end func()) {
	if i, ok := entryIndex(name); ok {
		return e.checker.disturb(i, false)
	}
	return func() {}
}

// suspend pauses a process for a time.
func (e *env) suspend(ctx context.Context, name string, d time.Duration) {
	p, err := e.rig.Process(name)
	if err != nil {
		return
	}
	end := e.disturbProcess(name)
	defer end()
	thawed := e.notePause(name)
	_ = p.Signal(syscall.SIGSTOP) // the process may have exited
	pause(ctx, d)
	e.checker.recordThaw(name, time.Now())
	_ = p.Signal(syscall.SIGCONT)
	thawed()
}

func (e *env) sendHangup(name string) {
	if p, err := e.rig.Process(name); err == nil {
		_ = p.Signal(syscall.SIGHUP) // the process may have exited
	}
}

// impair resets, delays or silences the connections of a relay. Client connections are only reset or delayed: a client
// on a silent connection gets no response at all.
func (e *env) impair(ctx context.Context, name string, clients bool) {
	_, process, _ := strings.Cut(name, " ")
	end := e.disturbProcess(process)
	defer end()
	r := e.relays[name]
	kinds := []string{"reset", "delay", relay.SilentExisting, relay.SilentAll, relay.SilentUp, relay.SilentDown}
	if clients {
		kinds = kinds[:2]
	}
	switch kind := kinds[e.intN(len(kinds))]; kind {
	case "reset":
		r.Control(report.RelayControl{Cut: true})
	case "delay":
		r.SetDelay(relayDelayMS, relayDelayMS)
		pause(ctx, e.randomDuration(minDown, maxFaultTime))
		r.SetDelay(0, 0)
	default:
		r.Control(report.RelayControl{Silent: &kind})
		pause(ctx, e.randomDuration(minDown, maxFaultTime))
		none := ""
		r.Control(report.RelayControl{Silent: &none})
	}
}

// crashServer stops a server without a drain and starts it again under another ID after a downtime. The record of the
// crashed server is removed after serverExpiry.
func (e *env) crashServer(ctx context.Context, s *server, downtime time.Duration) {
	id := s.crash()
	e.checker.recordServerCrash(time.Now())
	time.AfterFunc(serverExpiry, func() { e.objects.Remove(platformtest.Servers, id) })
	pause(ctx, downtime)
	e.startServer(s)
}

// replaceServer drains and stops a server, and starts another one at its address. In half of the cases the drain is
// announced by removing the record of the server.
func (e *env) replaceServer(ctx context.Context) {
	s := e.servers[e.intN(len(e.servers))]
	deregister := e.intN(2) == 0
	s.mu.Lock()
	s.draining, s.deregistered = true, deregister
	id := s.id
	s.mu.Unlock()
	if deregister {
		e.objects.Remove(platformtest.Servers, id)
	}
	s.publish()
	e.checker.recordDrain(id, time.Now())
	pause(ctx, drainLag+drainLinger)
	s.crash()
	e.checker.recordServerCrash(time.Now())
	e.objects.Remove(platformtest.Servers, id)
	pause(ctx, minDown)
	e.startServer(s)
}

// startServer starts a server again unless another fault has done so, which may be about to do so at the same moment.
func (e *env) startServer(s *server) {
	s.starting.Lock()
	defer s.starting.Unlock()
	s.mu.Lock()
	up := s.up
	s.mu.Unlock()
	if up {
		return
	}
	if err := s.start(time.Now()); err != nil {
		e.checker.report("SOAK", "restart of a server failed: %v", err)
	}
}

// expireServers removes the records of half of the servers during an outage of the store, as if they had expired. The
// records are back within 2 s.
func (e *env) expireServers(ctx context.Context) {
	end := e.checker.disturb(storeIndex, false)
	defer end()
	e.objects.SetFault(objects.Fault{Unavailable: true})
	pause(ctx, serverExpiry)
	for i, s := range e.servers {
		if i%2 == 0 {
			s.mu.Lock()
			id := s.id
			s.mu.Unlock()
			e.objects.Remove(platformtest.Servers, id)
		}
	}
	e.objects.SetFault(objects.Fault{})
	pause(ctx, heartbeatInterval) // the next heartbeats write the records again
}

// routeShares are the services of the routes "safe" and "items" that configurations choose from. The service "absent" has no
// servers.
var routeShares = []struct{ safe, items []catalog.Share }{
	{safe: []catalog.Share{{Service: "cards", Weight: 1}}},
	{safe: []catalog.Share{{Service: "tables", Weight: 1}}},
	{safe: []catalog.Share{{Service: "cards", Weight: 1}, {Service: "tables", Weight: 1}}},
	{
		safe:  []catalog.Share{{Service: "absent", Weight: 1}, {Service: "tables", Weight: 1}},
		items: []catalog.Share{{Service: "absent", Weight: 9}, {Service: "engines", Weight: 1}},
	},
}

// changeRoutes applies a configuration with random services for the routes "safe" and "items", and with or without the route
// "late".
func (e *env) changeRoutes() {
	shares, withLate := routeShares[e.intN(len(routeShares))], e.intN(2) == 0
	e.applyConfig(func(c *catalog.Config) {
		for i, r := range c.Routes {
			switch {
			case r.Name == "items" && shares.items != nil:
				c.Routes[i].Shares = shares.items
			case r.Name == "safe":
				c.Routes[i].Shares = shares.safe
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
func (e *env) injectFaults(ctx context.Context, d time.Duration, record func(string)) {
	var all []fault
	for _, f := range faults() {
		all = append(all, slices.Repeat([]fault{f}, f.weight)...)
	}
	var g sync.WaitGroup
	for until := time.Now().Add(d); time.Now().Before(until) && pause(ctx, e.randomDuration(minFaultInterval, maxFaultInterval)); {
		f := all[e.intN(len(all))]
		record(f.name)
		g.Go(func() { f.inject(ctx, e) })
	}
	g.Wait()
}
