package batch

import (
	"github.com/cespare/xxhash/v2"
)

// strongShare is the part of the most processor time among entries that one must have to run jobs beside the strongest.
const strongShare = 0.5

// candidate is an entry that may run jobs.
type candidate struct {
	name  string
	inc   string
	cores float64 // processor time; 0 if unknown
}

// choose returns the candidate that runs the jobs of a model: of the strongest ones always the same, so that it knows the
// pace of the model's engines and the texts of groups that come again. It is the zero value if there is none.
//
// It answers a load in which a trainer's step streams thousands of events a second to one entry, while most entries have
// a small part of a core: on one of those the events wait for the processor, and with them the step.
func choose(model string, l []candidate) candidate {
	var most float64
	for _, c := range l {
		most = max(most, c.cores)
	}
	var chosen candidate
	var best uint64
	for _, c := range l {
		if c.cores < strongShare*most {
			continue
		}
		if r := rank(model, c.name); chosen.name == "" || r > best {
			chosen, best = c, r
		}
	}
	return chosen
}

// rank orders the entries for a model.
func rank(model, name string) uint64 { return xxhash.Sum64String(model + "\x00" + name) }
