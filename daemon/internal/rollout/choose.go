package rollout

import (
	"maps"
	"slices"
	"strings"
	"time"

	"bulrushspoke/internal/catalog"
)

const (
	// skip is how many versions behind the newest an engine may be: a step allows the version before its own.
	skip = 1
	// perLoad is the number of engines for each load that the weight store bears at the same time; with more, every load
	// takes longer.
	perLoad = 5
	// firstLoad is assumed for the time of a load before one was seen.
	firstLoad = time.Second
)

// view is what the decisions know: the newest versions and the engines of the service, in order of their addresses.
type view struct {
	named   []catalog.Version
	engines []catalog.Server
	self    string              // address of this engine
	models  []string            // in order
	shares  map[string][]string // models that the engine at an address is for
}

// newView returns a view in which the entry of this engine carries its fresh versions.
func newView(named []catalog.Version, engines []catalog.Server, self string, have map[string]int) view {
	v := view{named: named, self: self, models: slices.Sorted(maps.Keys(have))}
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
	v.shares = share(v.engines, v.models)
	return v
}

// newest returns the newest version of a model; an engine that was never told otherwise has the first.
func (v view) newest(model string) int {
	for _, n := range v.named {
		if n.Model == model {
			return n.Number
		}
	}
	return 1
}

func (v view) behind(e catalog.Server, model string) int {
	return max(v.newest(model)-e.Versions[model], 0)
}

// serves reports whether the engine at an address is for a model.
func (v view) serves(address, model string) bool { return slices.Contains(v.shares[address], model) }

// turn says when an engine loads the newest version of a model.
type turn struct {
	load  bool
	quiet bool // only while the engine has little to do
	after int  // rounds of loads that come before
}

// at returns when the engine loads, given how long a load takes.
func (t turn) at(now time.Time, took time.Duration) time.Time {
	now = now.Add(time.Duration(t.after) * took)
	if t.quiet {
		now = now.Add(quietAfter)
	}
	return now
}

// turnFor returns this engine's turn for the newest version of a model.
//
// It answers a load in which trainers name versions faster than the weight store can bring them to all engines at once,
// and in which a step needs many engines when it begins. A step allows the version before its own. So of the engines of a
// model those load whose turn the version is, and those that are further behind, as soon as the weight store has room for
// them: more orders at once would not end sooner. The others go on serving with the version before. Where no
// engine has its turn, they load while the last items of a step run elsewhere, in rounds that leave room for the other
// models.
func (v view) turnFor(model string) turn {
	var must, may []string
	own := false // some engine of the model has its turn
	for _, e := range v.engines {
		place := slices.Index(v.shares[e.Address], model)
		if place < 0 {
			continue
		}
		turns := len(v.shares[e.Address])
		switch b := v.behind(e, model); {
		case b > skip, b == skip && turns > 1 && v.newest(model)%turns == place:
			must = append(must, e.Address)
		case b == skip:
			may = append(may, e.Address)
		}
		own = own || turns > 1 && v.newest(model)%turns == place
	}
	atOnce := (len(v.engines) + perLoad - 1) / perLoad
	if i := slices.Index(must, v.self); i >= 0 {
		return turn{load: true, after: i / atOnce}
	}
	if i := slices.Index(may, v.self); i >= 0 && !own {
		return turn{load: true, quiet: true, after: i / max(atOnce/max(len(v.models), 1), 1)}
	}
	return turn{}
}
