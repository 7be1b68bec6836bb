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
	stormTime  = 5 * time.Second // of each of the two series of faults
	quietTime  = 7 * time.Second // between them, so that rules with a time bound come to hold
	nextLeast  = 100 * time.Millisecond
	nextMost   = 450 * time.Millisecond
	downLeast  = 200 * time.Millisecond
	downMost   = 2 * time.Second
	faultMost  = 4 * time.Second
	lingers    = 1500 * time.Millisecond // of a server that has drained
	linkDelay  = 300                     // milliseconds
	poisonTime = 7 * time.Second         // that a request which crashes its servers comes again
	lateMost   = 3 * time.Second         // of a write that is carried out late
)

// fault is something that is done to the system from outside, and undone before it returns.
type fault struct {
	name   string
	weight int
	inject func(ctx context.Context, w *world)
}

func faults() []fault {
	return []fault{
		{"entry killed", 4, func(ctx context.Context, w *world) {
			w.stop(ctx, entryName(w.draw(w.size.entries)), syscall.SIGKILL, w.between(downLeast, downMost))
		}},
		{"entry stopped", 4, func(ctx context.Context, w *world) {
			w.stop(ctx, entryName(w.draw(w.size.entries)), syscall.SIGTERM, w.between(downLeast, downMost))
		}},
		{"entry paused", 4, func(ctx context.Context, w *world) { w.freeze(ctx, entryName(w.draw(w.size.entries))) }},
		{"entry told of settings", 2, func(_ context.Context, w *world) { w.hangup(entryName(w.draw(w.size.entries))) }},
		{"daemon killed", 2, func(ctx context.Context, w *world) {
			w.stop(ctx, w.daemon(), syscall.SIGKILL, w.between(downLeast, downMost))
		}},
		{"daemon stopped", 1, func(ctx context.Context, w *world) { w.stop(ctx, w.daemon(), syscall.SIGTERM, downLeast) }},
		{"daemon paused", 2, func(ctx context.Context, w *world) { w.freeze(ctx, w.daemon()) }},
		{"keeper killed", 1, func(ctx context.Context, w *world) { w.stop(ctx, "keeper", syscall.SIGKILL, downLeast) }},
		{"store refuses", 2, outage(objects.Fault{Refuse: true})},
		{"store silent", 2, outage(objects.Fault{Silent: true})},
		{"store loses answers", 3, outage(objects.Fault{Lose: 8})},
		{"store writes late", 3, outage(objects.Fault{Late: 8, LateBy: lateMost})},
		{"store forgets", 2, func(_ context.Context, w *world) { w.objects.Compact() }},
		{"store refuses one", 3, func(ctx context.Context, w *world) {
			w.during(ctx, &w.fronts[w.any()].refuse)
		}},
		{"store slow for one", 2, func(ctx context.Context, w *world) {
			w.during(ctx, &w.fronts[w.any()].slow)
		}},
		{"store cut from one", 4, func(ctx context.Context, w *world) { w.cut(ctx, "store "+w.any(), false) }},
		{"links cut", 4, func(ctx context.Context, w *world) { w.cut(ctx, "link "+entryName(w.draw(w.size.entries)), false) }},
		{"clients cut", 2, func(ctx context.Context, w *world) {
			w.cut(ctx, "client "+entryName(w.draw(w.size.entries)), true)
		}},
		{"server crashes", 4, func(ctx context.Context, w *world) {
			w.crash(ctx, w.servers[w.draw(len(w.servers))], w.between(downLeast, downMost))
		}},
		{"server replaced", 3, func(ctx context.Context, w *world) { w.replace(ctx) }},
		{"server misbehaves", 8, func(ctx context.Context, w *world) {
			s := w.servers[w.draw(len(w.servers))]
			s.behave(behaviour(1 + w.draw(int(lateOrder))))
			pause(ctx, w.between(downLeast, faultMost))
			s.behave(sound)
		}},
		{"request crashes servers", 2, func(ctx context.Context, w *world) {
			ctx, cancel := context.WithTimeout(ctx, poisonTime)
			defer cancel()
			c := newClient(w, 0, 100+w.draw(1<<20))
			c.poison(ctx, poisonBody+c.name)
		}},
		{"entries of servers lapse", 1, func(ctx context.Context, w *world) { w.lapseAll(ctx) }},
		{"configuration changes", 4, func(_ context.Context, w *world) { w.reroute() }},
	}
}

// outage returns a fault of the store for all.
func outage(f objects.Fault) func(context.Context, *world) {
	return func(ctx context.Context, w *world) {
		end := w.ledger.disturb(storeEntry, false)
		defer end()
		w.objects.Fault(f)
		pause(ctx, w.between(downLeast, faultMost))
		w.objects.Fault(objects.Fault{})
		if f.Late > 0 {
			pause(ctx, lateMost)
		}
	}
}

// during sets a fault of a process's store for a while.
func (w *world) during(ctx context.Context, fault *atomic.Bool) {
	fault.Store(true)
	pause(ctx, w.between(downLeast, faultMost))
	fault.Store(false)
}

func (w *world) daemon() string { return fmt.Sprintf("daemon%d", w.draw(w.size.engines)) }

// any returns an entry or, less often, a daemon.
func (w *world) any() string {
	if w.draw(3) > 0 {
		return entryName(w.draw(w.size.entries))
	}
	return w.daemon()
}

// touched notes a disturbance of a process, if it is an entry.
func (w *world) touched(name string) (end func()) {
	if e, ok := entryOf(name); ok {
		return w.ledger.disturb(e, false)
	}
	return func() {}
}

// freeze pauses a process.
func (w *world) freeze(ctx context.Context, name string) {
	p, err := w.rig.Process(name)
	if err != nil {
		return
	}
	end := w.touched(name)
	defer end()
	_ = p.Signal(syscall.SIGSTOP) // it may have ended
	pause(ctx, w.between(downLeast, faultMost))
	_ = p.Signal(syscall.SIGCONT)
}

func (w *world) hangup(name string) {
	if p, err := w.rig.Process(name); err == nil {
		_ = p.Signal(syscall.SIGHUP) // it may have ended
	}
}

// cut harms what goes through a relay. Clients are harmed only by resets and delays, since what a client whose connection
// has gone silent sees is no answer at all.
func (w *world) cut(ctx context.Context, name string, clients bool) {
	_, process, _ := strings.Cut(name, " ")
	end := w.touched(process)
	defer end()
	r := w.relays[name]
	kinds := []string{"reset", "delay", relay.Existing, relay.All, relay.Up, relay.Down}
	if clients {
		kinds = kinds[:2]
	}
	switch kind := kinds[w.draw(len(kinds))]; kind {
	case "reset":
		r.Control(report.RelayControl{Cut: true})
	case "delay":
		r.SetDelay(linkDelay, linkDelay)
		pause(ctx, w.between(downLeast, faultMost))
		r.SetDelay(0, 0)
	default:
		r.Control(report.RelayControl{Silent: &kind})
		pause(ctx, w.between(downLeast, faultMost))
		none := ""
		r.Control(report.RelayControl{Silent: &none})
	}
}

// crash ends a server without a word and starts it again under another id.
func (w *world) crash(ctx context.Context, s *server, down time.Duration) {
	id := s.crash()
	time.AfterFunc(lapse, func() { w.objects.Remove(platformtest.Servers, id) })
	pause(ctx, down)
	w.begin(s)
}

// replace announces that a server leaves, ends it and starts another one at its address.
func (w *world) replace(ctx context.Context) {
	s := w.servers[w.draw(len(w.servers))]
	silent := w.draw(2) == 0
	s.mu.Lock()
	s.draining, s.unlisted = true, silent
	id := s.id
	s.mu.Unlock()
	if silent {
		w.objects.Remove(platformtest.Servers, id)
	}
	s.publish()
	w.ledger.drains(id, time.Now())
	pause(ctx, drainLag+lingers)
	s.crash()
	w.objects.Remove(platformtest.Servers, id)
	pause(ctx, downLeast)
	w.begin(s)
}

// begin starts a server again, unless another fault has done so.
func (w *world) begin(s *server) {
	s.mu.Lock()
	up := s.up
	s.mu.Unlock()
	if up {
		return
	}
	if err := s.start(time.Now()); err != nil {
		w.ledger.broken("SOAK", "a server does not start again: %v", err)
	}
}

// lapseAll lets the entries of half of the servers lapse in an outage of the store; they are back within two seconds.
func (w *world) lapseAll(ctx context.Context) {
	end := w.ledger.disturb(storeEntry, false)
	defer end()
	w.objects.Fault(objects.Fault{Refuse: true})
	pause(ctx, lapse)
	for i, s := range w.servers {
		if i%2 == 0 {
			s.mu.Lock()
			id := s.id
			s.mu.Unlock()
			w.objects.Remove(platformtest.Servers, id)
		}
	}
	w.objects.Fault(objects.Fault{})
	pause(ctx, beat) // the next heartbeats write the entries again
}

// reroute puts a configuration in force that moves routes to other services, adds one or removes it.
func (w *world) reroute() {
	service, late := []string{"cards", "tables"}[w.draw(2)], w.draw(2) == 0
	w.configure(func(c *catalog.Config) {
		for i, r := range c.Routes {
			if r.Name == "safe" {
				c.Routes[i].Shares = []catalog.Share{{Service: service, Weight: 1}}
				if late {
					r.Name, r.Prefix = "late", "/late/"
					r.Shares = []catalog.Share{{Service: "tables", Weight: 1}}
					c.Routes = append(c.Routes, r)
				}
			}
		}
	})
}

// storm injects faults for a time, many of them together, and waits until all are undone.
func (w *world) storm(ctx context.Context, d time.Duration, note func(string)) {
	var all []fault
	for _, f := range faults() {
		all = append(all, slices.Repeat([]fault{f}, f.weight)...)
	}
	var g sync.WaitGroup
	for until := time.Now().Add(d); time.Now().Before(until) && pause(ctx, w.between(nextLeast, nextMost)); {
		f := all[w.draw(len(all))]
		note(f.name)
		g.Go(func() { f.inject(ctx, w) })
	}
	g.Wait()
}
