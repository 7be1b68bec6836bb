package rollout

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"testing"
	"time"

	"bulrushspoke/internal/catalog"
	"bulrushspoke/platform"
)

var start = time.Date(2026, 6, 1, 12, 0, 0, 0, time.UTC)

func engines(n int, versions map[string]int) []catalog.Server {
	var l []catalog.Server
	for i := range n {
		l = append(l, catalog.Server{
			ID: fmt.Sprintf("i-%x", i*7919+13), Service: "v", Address: fmt.Sprintf("10.0.0.%d:80", i), Slots: 8,
			Versions: versions,
		})
	}
	return l
}

// Guards against a model without engines, and against engines that change their models, and so reload weights, whenever
// another engine joins or leaves, or when they restart under another id.
func TestAssignModels(t *testing.T) {
	for _, n := range []int{4, 11, 12, 49, 300} {
		for _, models := range [][]string{{"a", "b"}, {"a", "b", "c"}} {
			l := engines(n, nil)
			before := assignModels(l, models)
			for turn := range maxLag + 1 {
				count := make(map[string]int)
				for _, own := range before {
					count[own[turn]]++
				}
				for _, m := range models {
					if even := n / len(models); count[m] < even || count[m] > even+1 {
						t.Errorf("%d engines, %d models: %s has %d at turn %d", n, len(models), m, count[m], turn)
					}
				}
			}
			for address, own := range before {
				if own[0] == own[1] {
					t.Errorf("the engine at %s is assigned the same model twice", address)
				}
			}
			after := assignModels(l[1:], models)
			moved := make([]int, maxLag+1)
			for address, own := range after {
				for turn, m := range own {
					if before[address][turn] != m {
						moved[turn]++
					}
				}
			}
			for turn, count := range moved {
				if count > len(models) {
					t.Errorf("%d engines, %d models: %d changed their model at turn %d when one left", n, len(models), count, turn)
				}
			}
			shuffled := slices.Clone(l)
			slices.Reverse(shuffled)
			for i := range shuffled {
				shuffled[i].ID = fmt.Sprintf("i-new-%d", i)
			}
			for address, own := range assignModels(shuffled, models) {
				if !slices.Equal(before[address], own) {
					t.Fatal("the models of an engine depend on the order of the list or on ids")
				}
			}
		}
	}
}

// Checks the turns for a new version: engines too far behind for any step load at once, those that can still serve wait
// until they are idle.
func TestTurns(t *testing.T) {
	const n = 10
	published := []catalog.Version{{Model: "m", Number: 5, Revision: 9}}
	l := engines(n, map[string]int{"m": 4})
	for i := range 3 {
		l[i].Versions = map[string]int{"m": 3}
	}
	l[3].Versions = map[string]int{"m": 5}
	urgent, rounds := make(map[int]int), make(map[int]int)
	for i, e := range l {
		turn := newView(published, l, e.Address, e.Versions).turnFor("m")
		switch {
		case i < 3 && (!turn.load || turn.whenIdle):
			t.Errorf("an engine two versions behind has turn %+v", turn)
		case i < 3:
			urgent[turn.round]++
		case i == 3 && turn.load:
			t.Error("an engine that has the version loads it again")
		case i > 3 && (!turn.load || !turn.whenIdle):
			t.Errorf("an engine that can still serve has turn %+v", turn)
		case i > 3:
			rounds[turn.round]++
		}
	}
	if urgent[0] != n/enginesPerLoad {
		t.Errorf("%d engines that are two versions behind load at once, want %d", urgent[0], n/enginesPerLoad)
	}
	for round, count := range rounds {
		if count > n/enginesPerLoad {
			t.Errorf("%d engines load in round %d, want at most %d", count, round, n/enginesPerLoad)
		}
	}
}

// fakeEngine executes orders at once; the responses to the first ones can be lost and their execution delayed.
type fakeEngine struct {
	report        platform.Report
	orders        []platform.Order
	outcome       platform.OrderOutcome
	lostResponses int              // number of orders whose response is lost
	delayed       []platform.Order // lost orders, not executed yet
}

var errLost = fmt.Errorf("no answer")

func (e *fakeEngine) Report(context.Context) (platform.Report, error) {
	r := e.report
	r.Versions = make(map[string]int)
	for m, v := range e.report.Versions {
		r.Versions[m] = v
	}
	return r, nil
}

func (e *fakeEngine) LoadVersion(_ context.Context, o platform.Order) (platform.OrderOutcome, string, error) {
	e.orders = append(e.orders, o)
	if e.lostResponses > 0 {
		e.lostResponses--
		e.delayed = append(e.delayed, o)
		return 0, "", errLost
	}
	if e.outcome != platform.OrderAccepted {
		a := e.outcome
		e.outcome = platform.OrderAccepted
		return a, "i-new", nil
	}
	e.execute(o)
	return platform.OrderAccepted, "", nil
}

func (e *fakeEngine) execute(o platform.Order) {
	if o.ExpectedOrders != e.report.AcceptedOrders {
		return
	}
	e.report.AcceptedOrders++
	e.report.Versions[o.Model] = o.Version
}

func newRollout(e *fakeEngine, n int) (*Rollout, *catalog.Catalog) {
	c := catalog.New(slog.New(slog.DiscardHandler))
	l := engines(n, map[string]int{"m": 1})
	r := New(Options{
		Name: "d", Address: l[0].Address, Service: "v", Engine: e, Catalog: c, Logger: slog.New(slog.DiscardHandler),
		Servers: func(context.Context) ([]catalog.Server, error) { return l, nil },
	})
	return r, c
}

// Guards against fencing tokens that decrease, orders without the condition that makes delayed ones harmless, and a version
// that is not loaded after its order was lost.
func TestOrders(t *testing.T) {
	e := &fakeEngine{report: platform.Report{Versions: map[string]int{"m": 1}}, lostResponses: 1, outcome: platform.OrderAccepted}
	r, c := newRollout(e, 1)
	now := start
	for i := 2; i <= 5; i++ {
		c.ApplyVersion(catalog.Version{Model: "m", Number: i, Revision: int64(10 * i)})
		r.refreshServers(t.Context(), now)
		for range 60 {
			now = now.Add(r.reconcile(t.Context(), c.Versions(), now))
			if e.report.Versions["m"] == i {
				break
			}
		}
		if e.report.Versions["m"] != i {
			t.Fatalf("the engine has version %d, want %d", e.report.Versions["m"], i)
		}
		if i == 3 {
			for _, o := range e.delayed {
				e.execute(o) // the lost order for version 2 is executed now
			}
			if e.report.Versions["m"] != 3 {
				t.Error("a delayed order took the engine back to an older version")
			}
		}
	}
	last := int64(0)
	for _, o := range e.orders {
		if o.Holder != "d" || o.FencingToken < last {
			t.Errorf("order %+v from another holder or with a fencing token below %d", o, last)
		}
		last = o.FencingToken
	}
}

// Guards against orders that are executed by another incarnation than the one whose state was read.
func TestMisplacedOrder(t *testing.T) {
	e := &fakeEngine{report: platform.Report{Versions: map[string]int{"m": 1}}, outcome: platform.OrderMisdirected}
	r, c := newRollout(e, 1)
	c.ApplyVersion(catalog.Version{Model: "m", Number: 3, Revision: 10})
	now := start
	r.refreshServers(t.Context(), now)
	for range 5 {
		now = now.Add(r.reconcile(t.Context(), c.Versions(), now))
	}
	if len(e.orders) != 2 || e.orders[0].Server == "i-new" || e.orders[1].Server != "i-new" {
		t.Errorf("orders are %+v, want one to the old and one to the new incarnation", e.orders)
	}
	if e.report.Versions["m"] != 3 {
		t.Error("the version was not loaded")
	}
}

// Guards against an engine that stops serving for a load while a step needs it.
func TestLoadWaitsUntilIdle(t *testing.T) {
	e := &fakeEngine{report: platform.Report{Versions: map[string]int{"m": 1}, Running: 8}, outcome: platform.OrderAccepted}
	r, c := newRollout(e, 1)
	c.ApplyVersion(catalog.Version{Model: "m", Number: 2, Revision: 10})
	now := start
	r.refreshServers(t.Context(), now)
	for now.Sub(start) < 10*time.Second {
		now = now.Add(r.reconcile(t.Context(), c.Versions(), now))
	}
	if len(e.orders) > 0 {
		t.Fatal("a busy engine that can still serve was ordered to load")
	}
	e.report.Running = 2
	now = now.Add(r.reconcile(t.Context(), c.Versions(), now))
	if len(e.orders) != 1 {
		t.Error("an idle engine was not ordered to load")
	}
	e.report.Running = 8
	c.ApplyVersion(catalog.Version{Model: "m", Number: 4, Revision: 20})
	for range 3 {
		now = now.Add(r.reconcile(t.Context(), c.Versions(), now))
	}
	if e.report.Versions["m"] != 4 {
		t.Error("an engine too far behind for any step waits until it is idle")
	}
}
