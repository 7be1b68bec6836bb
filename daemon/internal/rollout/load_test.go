package rollout

import (
	"context"
	"slices"
	"testing"
	"time"

	"bulrushspoke/internal/catalog"
	"bulrushspoke/platform"
)

// The simulated weight store completes up to two concurrent loads in loadTime; more share its bandwidth. The simulated
// late trainers publish two versions pairGap apart, every eight seconds.
const (
	engineCount       = 9
	loadTime          = 900 * time.Millisecond
	maxFullSpeedLoads = 2
	tick              = 50 * time.Millisecond
	pairInterval      = 8 * time.Second
	pairGap           = 500 * time.Millisecond
	pairCount         = 8
	// enoughEngines is the number of engines that run the longest items of a step, which start first.
	enoughEngines = 2
)

// simEngine is a simulated engine with its load in progress.
type simEngine struct {
	server    catalog.Server
	model     string // being loaded; empty if none
	version   int
	remaining time.Duration // remaining load time at full bandwidth
	due       map[string]time.Time
	decided   map[string]int // newest version for which a turn was chosen, by model
}

// policy assigns models to engines and chooses the turn of an engine.
type policy struct {
	assign func(engines []catalog.Server, models []string) map[string][]string
	turn   func(v view, model string) turn
}

// meanWait simulates trainers that publish versions. It returns the mean time that steps wait until enough engines have an
// accepted version of the model and are not loading another version of it.
func meanWait(t *testing.T, p policy) time.Duration {
	t.Helper()
	models := []string{"a", "b", "c"}
	var engines []*simEngine
	for _, s := range simServers() {
		engines = append(engines, &simEngine{server: s, due: map[string]time.Time{}, decided: map[string]int{}})
	}
	published := map[string]int{"a": 1, "b": 1, "c": 1}
	type step struct {
		model       string
		min         int
		submittedAt time.Time
		done        bool
	}
	var steps []*step
	var total time.Duration
	end := start.Add(pairCount * pairInterval)
	for now := start; now.Before(end) || slices.ContainsFunc(steps, func(s *step) bool { return !s.done }); now = now.Add(tick) {
		if now.Sub(end) > pairInterval {
			t.Fatal("a step never got enough engines")
		}
		for i, m := range models {
			since := now.Sub(start) - time.Duration(i)*pairInterval/3
			if now.Before(end) && since >= 0 && (since%pairInterval == 0 || since%pairInterval == pairGap) {
				published[m]++
				steps = append(steps, &step{model: m, min: published[m] - 1, submittedAt: now})
			}
		}
		loads := 0
		for _, e := range engines {
			e.decide(p, view{published: versions(published), engines: servers(engines), models: models}, now)
			if e.model != "" {
				loads++
			}
		}
		for _, e := range engines {
			if e.model == "" {
				continue
			}
			if e.remaining -= tick * maxFullSpeedLoads / time.Duration(max(loads, maxFullSpeedLoads)); e.remaining <= 0 {
				e.server.Versions[e.model], e.model = e.version, ""
			}
		}
		for _, s := range steps {
			ready := 0
			for _, e := range engines {
				if e.server.Versions[s.model] >= s.min && e.model != s.model {
					ready++
				}
			}
			if !s.done && ready >= enoughEngines {
				s.done = true
				total += now.Sub(s.submittedAt)
			}
		}
	}
	return total / time.Duration(len(steps))
}

// decide chooses the turns for new versions and starts a load that is due.
func (e *simEngine) decide(p policy, v view, now time.Time) {
	v.self, v.assigned = e.server.Address, p.assign(v.engines, v.models)
	for _, n := range v.published {
		if e.decided[n.Model] != n.Number {
			e.decided[n.Model] = n.Number
			delete(e.due, n.Model)
			if t := p.turn(v, n.Model); t.load {
				e.due[n.Model] = t.startTime(now, loadTime)
			}
		}
		if at, ok := e.due[n.Model]; ok && e.model == "" && !now.Before(at) {
			e.model, e.version, e.remaining = n.Model, n.Number, loadTime
			delete(e.due, n.Model)
		}
	}
}

func simServers() []catalog.Server {
	l := engines(engineCount, nil)
	for i := range l {
		l[i].Versions = map[string]int{"a": 1, "b": 1, "c": 1}
	}
	return l
}

func servers(engines []*simEngine) []catalog.Server {
	var l []catalog.Server
	for _, e := range engines {
		l = append(l, e.server)
	}
	return l
}

func versions(published map[string]int) []catalog.Version {
	var l []catalog.Version
	for _, m := range []string{"a", "b", "c"} {
		l = append(l, catalog.Version{Model: m, Number: published[m]})
	}
	return l
}

// Compares the assignment of two models to each engine with one model each, for late trainers that publish versions in
// pairs. With one model each, engines load every version, and the second step of a pair accepts none that they have.
func TestPairedVersionsFindEngines(t *testing.T) {
	oneModelEach := policy{
		assign: func(l []catalog.Server, models []string) map[string][]string {
			shares := make(map[string][]string)
			assignTurn(l, models, shares)
			return shares
		},
		turn: func(v view, model string) turn {
			var urgent, deferrable []string
			for _, e := range v.engines {
				switch b := v.lag(e, model); {
				case !v.serves(e.Address, model):
				case b > maxLag:
					urgent = append(urgent, e.Address)
				case b == maxLag:
					deferrable = append(deferrable, e.Address)
				}
			}
			if i := slices.Index(urgent, v.self); i >= 0 {
				return turn{load: true, round: i / max(len(v.engines)/enginesPerLoad, 1)}
			}
			if i := slices.Index(deferrable, v.self); i >= 0 {
				return turn{load: true, whenIdle: true, round: i}
			}
			return turn{}
		},
	}
	without := meanWait(t, oneModelEach)
	with := meanWait(t, policy{assign: assignModels, turn: view.turnFor})
	t.Logf("mean wait of steps is %s, %s with one model per engine", with, without)
	if with > without/2 {
		t.Errorf("mean wait of steps is %s, want at most half of the %s with one model per engine", with, without)
	}
}

// Guards against a version that is never loaded by engines whose turn it is not, while the trainer waits for a step that
// accepts only this version.
func TestOverdueVersion(t *testing.T) {
	e := &fakeEngine{report: platform.Report{Versions: map[string]int{"a": 1, "b": 1}}, outcome: platform.OrderAccepted}
	r, c := newRollout(e, 1)
	now := start
	for i, m := range []string{"a", "b"} {
		c.ApplyVersion(catalog.Version{Model: m, Number: 2, Revision: int64(10 + i)})
	}
	r.refreshServers(t.Context(), now)
	for range 200 {
		now = now.Add(min(r.reconcile(t.Context(), c.Versions(), now), checkInterval))
	}
	if got := e.report.Versions; got["a"] != 2 || got["b"] != 2 {
		t.Errorf("the engine has versions %v, want 2 of each model", got)
	}
}

// Guards against versions that count as overdue after a usual interval.
func TestCadence(t *testing.T) {
	c := &cadence{}
	now := start
	for i := range 10 {
		c.observe(i+2, now)
		c.observe(i+2, now.Add(time.Second))
		if c.overdue(now.Add(8*time.Second)) && i > 0 {
			t.Fatal("a version is overdue after 8 s although one is published every 8 s")
		}
		now = now.Add(8 * time.Second)
	}
	if !c.overdue(now.Add(8 * time.Second)) {
		t.Error("a version is not overdue after twice the usual interval")
	}
}

// Guards against decisions that are based on a server list from before an outage and stay until the next version.
func TestStaleServerList(t *testing.T) {
	e := &fakeEngine{report: platform.Report{Versions: map[string]int{"m": 1}}, outcome: platform.OrderMisdirected}
	r, c := newRollout(e, 3)
	now := start
	c.ApplyVersion(catalog.Version{Model: "m", Number: 3, Revision: 10})
	r.refreshServers(t.Context(), now)
	r.reconcile(t.Context(), c.Versions(), now)
	if !r.listStale {
		t.Error("the list counts as current although another incarnation of the engine has answered")
	}
	if len(r.planned) == 0 {
		t.Fatal("no load was scheduled")
	}
	l := engines(5, map[string]int{"m": 1})
	r.Servers = func(context.Context) ([]catalog.Server, error) { return l, nil }
	r.refreshServers(t.Context(), now)
	if len(r.planned) > 0 {
		t.Error("loads scheduled for three engines are kept for five")
	}
	if r.listStale {
		t.Error("a list that contains the engine does not count as current")
	}
	r.Servers = func(context.Context) ([]catalog.Server, error) { return l[1:], nil }
	r.refreshServers(t.Context(), now)
	if !r.listStale {
		t.Error("a list without the engine counts as current")
	}
}
