package rollout

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"bulrushspoke/internal/catalog"
)

// assignModels assigns models to engines by address, so an engine that is replaced or restarted keeps its models, and with
// them the versions that their steps need.
//
// Trainers may publish versions faster than the weight store can deliver each to all engines, while a step benefits from
// many engines to choose from. A step accepts up to maxLag versions before its own, so an engine that loads one version in
// maxLag+1, every second one, can serve every step. Each engine therefore gets maxLag+1 models and loads them in turns:
// of the model at index i of its list it loads the versions whose remainder modulo the length of the list is i. A version
// is thus loaded by as many engines as if each engine had one model, while each model has twice as many engines.
//
// The result depends on the addresses only, so all daemons that know the same engines agree, and it changes for few
// engines when one joins or leaves: each engine gets a model by the hash of its address, and the engines with the highest
// hashes of a model that has too many are reassigned to one that has too few.
func assignModels(engines []catalog.Server, models []string) map[string][]string {
	assigned := make(map[string][]string, len(engines))
	for range min(maxLag+1, len(models)) {
		assignTurn(engines, models, assigned)
	}
	return assigned
}

// assignTurn assigns one more model to each engine. Where possible, the numbers of engines that the models get differ by
// one at most.
func assignTurn(engines []catalog.Server, models []string, assigned map[string][]string) {
	byModel := make([][]string, len(models))
	type hashed struct {
		address string
		hash    uint64
	}
	order := make([]hashed, 0, len(engines))
	for _, e := range engines {
		order = append(order, hashed{address: e.Address, hash: hash(e.Address, len(assigned[e.Address]))})
	}
	slices.SortFunc(order, func(a, b hashed) int { return cmp.Compare(a.hash, b.hash) })
	for _, h := range order {
		a, i := h.address, int(h.hash%uint64(len(models)))
		for slices.Contains(assigned[a], models[i]) {
			i = (i + 1) % len(models)
		}
		byModel[i] = append(byModel[i], a)
	}
	for rebalance(byModel, func(address string, model int) bool { return !slices.Contains(assigned[address], models[model]) }) {
	}
	for i, g := range byModel {
		for _, a := range g {
			assigned[a] = append(assigned[a], models[i])
		}
	}
}

// hash returns the hash that determines the model of an engine at a turn.
func hash(address string, turn int) uint64 {
	return xxhash.Sum64String(strconv.Itoa(turn) + " " + address)
}

// rebalance moves one engine to a model that has at least two engines fewer and may be assigned to it; false if there is
// no such engine.
func rebalance(byModel [][]string, eligible func(address string, group int) bool) bool {
	for most := range byModel {
		for least := range byModel {
			if len(byModel[most])-len(byModel[least]) < 2 {
				continue
			}
			for k := len(byModel[most]) - 1; k >= 0; k-- {
				if a := byModel[most][k]; eligible(a, least) {
					byModel[most] = slices.Delete(byModel[most], k, k+1)
					byModel[least] = append(byModel[least], a)
					return true
				}
			}
		}
	}
	return false
}
