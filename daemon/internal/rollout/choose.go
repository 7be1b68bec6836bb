package rollout

import (
	"maps"
	"slices"
	"strings"
	"time"

	"bulrushspoke/internal/catalog"
)

const (
	// maxLag is how many versions an engine may be behind the newest one: a step accepts the version before its own.
	maxLag = 1
	// enginesPerLoad is the number of engines per concurrent load. More concurrent loads saturate the weight store, and
	// every load takes longer.
	enginesPerLoad = 5
	// defaultLoadTime is the assumed duration of a load until one has been measured.
	defaultLoadTime = time.Second
)

// view is the input of a decision: the newest versions and the engines of the service, sorted by address.
type view struct {
	published []catalog.Version
	engines   []catalog.Server
	self      string              // address of this engine
	models    []string            // sorted
	assigned  map[string][]string // models assigned to an engine, by its address
}

// newView returns a view in which the list entry of this engine has the versions that the engine has just reported.
func newView(published []catalog.Version, engines []catalog.Server, self string, have map[string]int) view {
	v := view{published: published, self: self, models: slices.Sorted(maps.Keys(have))}
	found := false
	for _, e := range engines {
		if e.Address == self {
			e.Versions, found = have, true
		}
		v.engines = append(v.engines, e)
	}
	if !found {
		v.engines = append(v.engines, catalog.Server{Address: self, Versions: have})
	}
	slices.SortFunc(v.engines, func(a, b catalog.Server) int { return strings.Compare(a.Address, b.Address) })
	v.assigned = assignModels(v.engines, v.models)
	return v
}

// newest returns the newest version of a model, or 1, with which engines start, if none was published.
func (v view) newest(model string) int {
	for _, n := range v.published {
		if n.Model == model {
			return n.Number
		}
	}
	return 1
}

// lag returns by how many versions of a model an engine lags.
func (v view) lag(e catalog.Server, model string) int {
	return max(v.newest(model)-e.Versions[model], 0)
}

// serves reports whether a model is assigned to the engine at an address.
func (v view) serves(address, model string) bool { return slices.Contains(v.assigned[address], model) }

// turn describes whether and when an engine loads the newest version of a model.
type turn struct {
	load     bool
	whenIdle bool // only while the engine is idle
	round    int  // number of load rounds that come first
}

// startTime returns when the load starts, given how long a load takes.
func (t turn) startTime(now time.Time, loadTime time.Duration) time.Time {
	now = now.Add(time.Duration(t.round) * loadTime)
	if t.whenIdle {
		now = now.Add(idleLoadDelay)
	}
	return now
}

// turnFor returns this engine's turn for the newest version of a model.
//
// Trainers may publish versions faster than the weight store can deliver them to all engines at once, and a step needs
// many engines when it begins. Since a step accepts the version before its own, only these engines of a model load at
// once: those whose turn the version is, and those that are further behind. They load in rounds that the weight store can
// serve, as more concurrent loads would not end sooner. The others keep serving with the previous version. If it is no
// engine's turn, they load while the last items of a step run elsewhere, in rounds that leave capacity for the other
// models.
func (v view) turnFor(model string) turn {
	var urgent, deferrable []string
	anyTurn := false // whether it is the turn of any engine of the model
	for _, e := range v.engines {
		position := slices.Index(v.assigned[e.Address], model)
		if position < 0 {
			continue
		}
		turns := len(v.assigned[e.Address])
		switch b := v.lag(e, model); {
		case b > maxLag, b == maxLag && turns > 1 && v.newest(model)%turns == position:
			urgent = append(urgent, e.Address)
		case b == maxLag:
			deferrable = append(deferrable, e.Address)
		}
		anyTurn = anyTurn || turns > 1 && v.newest(model)%turns == position
	}
	atOnce := (len(v.engines) + enginesPerLoad - 1) / enginesPerLoad
	if i := slices.Index(urgent, v.self); i >= 0 {
		return turn{load: true, round: i / atOnce}
	}
	if i := slices.Index(deferrable, v.self); i >= 0 && !anyTurn {
		return turn{load: true, whenIdle: true, round: i / max(atOnce/max(len(v.models), 1), 1)}
	}
	return turn{}
}
