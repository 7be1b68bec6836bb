package rollout

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

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

// view is what the decisions know: the newest versions and the engines of the service, in order of their ids.
type view struct {
	named   []catalog.Version
	engines []catalog.Server
	self    string            // id of this engine
	models  []string          // in order
	model   map[string]string // model that each engine is for; empty if every engine is for all
}

// newView returns a view in which the entry of this engine carries its fresh versions.
func newView(named []catalog.Version, engines []catalog.Server, self string, have map[string]int) view {
	v := view{named: named, self: self, models: slices.Sorted(maps.Keys(have))}
	found := false
	for _, e := range engines {
		if e.ID == self {
			e.Versions, found = have, true
		}
		v.engines = append(v.engines, e)
	}
	if !found {
		v.engines = append(v.engines, catalog.Server{ID: self, Versions: have})
	}
	slices.SortFunc(v.engines, func(a, b catalog.Server) int { return strings.Compare(a.ID, b.ID) })
	// With few engines none can be set aside for one model.
	if len(v.models) > 1 && len(v.engines) >= 2*len(v.models) {
		v.model = assign(v.engines, v.models)
	}
	return v
}

// assign shares the engines out evenly among the models. It depends on their ids only, so all daemons that know the same
// engines agree, and it changes for few engines when one comes or leaves: each has a model by the hash of its id, and
// those with the highest hashes of a model with too many go to one with too few.
func assign(engines []catalog.Server, models []string) map[string]string {
	groups := make([][]string, len(models))
	ids := make([]string, 0, len(engines))
	for _, e := range engines {
		ids = append(ids, e.ID)
	}
	slices.SortFunc(ids, func(a, b string) int { return cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)) })
	for _, id := range ids {
		i := xxhash.Sum64String(id) % uint64(len(models))
		groups[i] = append(groups[i], id)
	}
	for {
		most, least := 0, 0
		for i := range groups {
			if len(groups[i]) > len(groups[most]) {
				most = i
			}
			if len(groups[i]) < len(groups[least]) {
				least = i
			}
		}
		if len(groups[most])-len(groups[least]) < 2 {
			break
		}
		last := len(groups[most]) - 1
		groups[least] = append(groups[least], groups[most][last])
		groups[most] = groups[most][:last]
	}
	model := make(map[string]string, len(engines))
	for i, g := range groups {
		for _, id := range g {
			model[id] = models[i]
		}
	}
	return model
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

// serves reports whether an engine is for a model.
func (v view) serves(id, model string) bool { return len(v.model) == 0 || v.model[id] == model }

// turn says when an engine loads the newest version of a model.
type turn struct {
	load  bool
	quiet bool // only while the engine has little to do
	after int  // rounds of loads that come before
}

// turnFor returns this engine's turn for the newest version of a model.
//
// It answers a load in which trainers name versions faster than the weight store can bring them to all engines at once,
// and in which a step needs every engine when it begins and few at its end. A step allows the version before its own. So
// an engine that is further behind loads as soon as the weight store has room for it: more orders at once would not end
// sooner, and until its round it serves a step before that may still be open. One that is a single version behind goes on
// serving, and loads while the last items of the step run elsewhere, in rounds that leave room for the other models; it
// is ready when the next step begins.
func (v view) turnFor(model string) turn {
	var must, may []string
	for _, e := range v.engines {
		if !v.serves(e.ID, model) {
			continue
		}
		switch b := v.behind(e, model); {
		case b > skip:
			must = append(must, e.ID)
		case b == skip:
			may = append(may, e.ID)
		}
	}
	atOnce := max(len(v.engines)/perLoad, 1)
	if i := slices.Index(must, v.self); i >= 0 {
		return turn{load: true, after: i / atOnce}
	}
	if i := slices.Index(may, v.self); i >= 0 {
		return turn{load: true, quiet: true, after: i / max(atOnce/max(len(v.models), 1), 1)}
	}
	return turn{}
}
