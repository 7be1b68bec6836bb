package rollout

import (
	"slices"

	"bulrushspoke/internal/catalog"
)

// skip is how many versions behind the newest an engine may be: a step allows the version before its own.
const skip = 1

// choose returns the version that an engine is to load next, given the versions named, those that it has, and its rank
// among count engines.
//
// It answers a load in which trainers name versions faster than the weight store can bring them to every engine. The
// engines are shared out by model. Of the engines for a model every second one loads a version at once and the others
// the next one, since a step allows the version before its own: half of them serve while the other half loads, and each
// loads every second version only.
func choose(named []catalog.Version, have map[string]int, rank, count int) (catalog.Version, bool) {
	models := make([]string, 0, len(have))
	for m := range have {
		models = append(models, m)
	}
	slices.Sort(models)
	if len(models) == 0 {
		return catalog.Version{}, false
	}
	share := len(models)
	if count < 2*share {
		share = 1 // too few engines to set some aside for each model
	}
	for _, v := range named {
		i := slices.Index(models, v.Model)
		if i < 0 || have[v.Model] >= v.Number || i%share != rank%share {
			continue
		}
		behind := v.Number - have[v.Model]
		if behind <= skip && (rank/share)%2 != v.Number%2 && count >= 2*share {
			continue
		}
		return v, true
	}
	return catalog.Version{}, false
}
