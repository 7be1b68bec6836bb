package rollout

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"bulrushspoke/internal/catalog"
)

// share assigns the engines their models, by address: an engine that is replaced or starts anew keeps its models, and
// with them the versions that its steps need.
//
// It answers a load in which trainers name versions faster than the weight store can bring each to all engines, while a
// step does best with many engines to choose from. A step allows as many versions before its own as skip says, so an
// engine that loads each second version serves every step. Each engine is for that many models, one for each of its
// turns: at the place that a model has in its list the engine loads the versions of that remainder. So a version goes to
// as many engines as if they were shared out evenly, and each model has twice as many.
//
// It depends on addresses only, so all daemons that know the same engines agree, and it changes for few engines when one
// comes or leaves: each has a model by the hash of its address, and those with the highest hashes of a model with too
// many go to one with too few.
func share(engines []catalog.Server, models []string) map[string][]string {
	shares := make(map[string][]string, len(engines))
	for range min(skip+1, len(models)) {
		assign(engines, models, shares)
	}
	return shares
}

// assign gives each engine one more model, so that the models differ by one engine at most in what they get where that
// is possible.
func assign(engines []catalog.Server, models []string, shares map[string][]string) {
	groups := make([][]string, len(models))
	type hashed struct {
		address string
		hash    uint64
	}
	order := make([]hashed, 0, len(engines))
	for _, e := range engines {
		order = append(order, hashed{address: e.Address, hash: hash(e.Address, len(shares[e.Address]))})
	}
	slices.SortFunc(order, func(a, b hashed) int { return cmp.Compare(a.hash, b.hash) })
	for _, h := range order {
		a, i := h.address, int(h.hash%uint64(len(models)))
		for slices.Contains(shares[a], models[i]) {
			i = (i + 1) % len(models)
		}
		groups[i] = append(groups[i], a)
	}
	for level(groups, func(address string, model int) bool { return !slices.Contains(shares[address], models[model]) }) {
	}
	for i, g := range groups {
		for _, a := range g {
			shares[a] = append(shares[a], models[i])
		}
	}
}

// hash orders the engines for the model that each is to get at a turn.
func hash(address string, turn int) uint64 {
	return xxhash.Sum64String(strconv.Itoa(turn) + " " + address)
}

// level moves one engine from a group to one with at least two fewer that may have it; false if there is none.
func level(groups [][]string, may func(address string, group int) bool) bool {
	for most := range groups {
		for least := range groups {
			if len(groups[most])-len(groups[least]) < 2 {
				continue
			}
			for k := len(groups[most]) - 1; k >= 0; k-- {
				if a := groups[most][k]; may(a, least) {
					groups[most] = slices.Delete(groups[most], k, k+1)
					groups[least] = append(groups[least], a)
					return true
				}
			}
		}
	}
	return false
}
