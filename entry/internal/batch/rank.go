package batch

import (
	"github.com/cespare/xxhash/v2"
)

// minCoresShare is the number of cores that an entry needs to run jobs, as a share of the most that any candidate has.
const minCoresShare = 0.5

// candidate is an entry that may run jobs.
type candidate struct {
	name  string
	inc   string
	cores float64 // CPU cores; 0 if unknown
}

// chooseOwner returns the candidate that runs the jobs of a model, by rendezvous hashing among those with the most CPU.
// It is the same entry for all jobs of a model, so that it knows the speed of the model's engines and the texts of
// carried groups. The result is the zero value if there are no candidates.
//
// The step of a trainer streams thousands of events a second to the owner, while most entries have a small part of a
// core: on one of those the events, and with them the step, would wait for the CPU.
func chooseOwner(model string, l []candidate) candidate {
	var maxCores float64
	for _, c := range l {
		maxCores = max(maxCores, c.cores)
	}
	var chosen candidate
	var best uint64
	for _, c := range l {
		if c.cores < minCoresShare*maxCores {
			continue
		}
		if r := rank(model, c.name); chosen.name == "" || r > best {
			chosen, best = c, r
		}
	}
	return chosen
}

// rank returns the weight of an entry for a model.
func rank(model, name string) uint64 { return xxhash.Sum64String(model + "\x00" + name) }
