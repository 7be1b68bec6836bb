// Package fairness divides the capacity of a service among the workspaces that compete for it. All decisions are pure: the
// caller passes the current time and serializes the calls.
//
// # Usage
//
//	q := fairness.NewQueue(share, entries)  // one for each service at each entry
//	d := q.Admit(now, request)              // Go, Wait with a ticket, or Refuse with a time to come back
//	t, ok := q.Next(now)                    // a ticket whose turn it is, or whose time has run out
//	at, ok := q.Wake(now)                   // call Next again at this time
//	q.Answered(now, route, duration)        // a server has answered a request
//	q.Refused(now)                          // no server had room for a request
//	r, ok := q.Report(now)                  // to be sent to the other entries, which call Apply
//
//	s := fairness.NewSlots()                // the same shares for work that holds slots for seconds
//	s.Begin(now, slots)
//	f, ok := s.Next(now, candidates)        // whose item is to be started next
//
// # Load
//
// The package is designed for about a hundred workspaces with a few levels of urgency, tens of entries that hear each other
// within a fraction of a second, and services of a few to a few hundred slots whose requests take milliseconds to a second.
// Rates are measured over half a second: services that give fewer than about ten answers in that time are divided less evenly.
//
// # Shares
//
// Allocate is the one rule for all work. A third of the capacity is divided in proportion to demand, so that no workspace
// and no level is served less than a quarter as often as all. The rest goes to the levels in order of urgency, and within
// one level to the workspaces by their weights; what a workspace does not ask for goes to the others.
//
// Each entry computes the same division from its own demand and the reports of the others, and uses the part of each
// workspace's rate that corresponds to its part of that workspace's demand. There is no coordinator. Reports that do not
// arrive expire, and the entry goes by what it observes itself.
package fairness

import (
	"cmp"
	"math"
)

// FloorShare is the share of the capacity that is divided in proportion to demand. Callers are promised that no workspace
// and no kind of request is served less than a quarter as often as all. The rest is a margin: refused requests that return
// count as demand, and those of the flows that are served more often return sooner.
const FloorShare = 1.0 / 3

// Flow identifies work that competes as one: that of a workspace at a level of urgency.
type Flow struct {
	Workspace string
	Level     int // 0 is the most urgent; those above maxLevel count as one
}

// maxLevel is the least urgent level that is told apart: that of X-Request-Priority. Each level costs a pass over the demands.
const maxLevel = 9

// level returns the level at which a flow competes.
func (f Flow) level() int { return min(f.Level, maxLevel) }

// compare orders flows by level and workspace.
func (f Flow) compare(o Flow) int {
	return cmp.Or(cmp.Compare(f.Level, o.Level), cmp.Compare(f.Workspace, o.Workspace))
}

// Demand is what a flow asks for, in the unit of the capacity.
type Demand struct {
	Flow   Flow
	Amount float64
	Weight float64 // 0 stands for 1
}

// Allocate divides a capacity. The result has the order of the demands; it exceeds no demand, and its sum is the capacity
// or the sum of the demands, whichever is lower.
func Allocate(capacity float64, demands []Demand) []float64 {
	granted := make([]float64, len(demands))
	total := 0.0
	for _, d := range demands {
		total += d.Amount
	}
	if total <= capacity {
		for i, d := range demands {
			granted[i] = d.Amount
		}
		return granted
	}
	for i, d := range demands {
		granted[i] = FloorShare * capacity * d.Amount / total
	}
	rest := (1 - FloorShare) * capacity
	for level, ok := nextLevel(demands, math.MinInt); ok && rest > 0; level, ok = nextLevel(demands, level) {
		rest -= fill(rest, level, demands, granted)
	}
	return granted
}

// nextLevel returns the lowest level above a level that has a demand.
func nextLevel(demands []Demand, above int) (int, bool) {
	level, ok := 0, false
	for _, d := range demands {
		if d.Flow.level() > above && (!ok || d.Flow.level() < level) {
			level, ok = d.Flow.level(), true
		}
	}
	return level, ok
}

// fill raises the grants of the flows of a level to a common water-filling level for each unit of weight, but no grant above
// its demand, and returns how much of rest it has used.
func fill(rest float64, level int, demands []Demand, granted []float64) float64 {
	// increase returns how much a water-filling level adds to the grants.
	increase := func(waterLevel float64) float64 {
		sum := 0.0
		for i, d := range demands {
			if d.Flow.level() == level {
				sum += grantAt(waterLevel, d, granted[i]) - granted[i]
			}
		}
		return sum
	}
	high := 0.0
	for _, d := range demands {
		if d.Flow.level() == level {
			high = max(high, d.Amount/d.weight())
		}
	}
	waterLevel := high
	if increase(high) > rest {
		const (
			steps      = 40   // halvings of the interval at most; the error is below a millionth of the largest demand
			negligible = 1e-5 // part of rest that may be left; capacities are measured far less precisely
		)
		low := 0.0
		for range steps {
			waterLevel = (low + high) / 2
			sum := increase(waterLevel)
			if sum > rest {
				high = waterLevel
				continue
			}
			if low = waterLevel; rest-sum <= negligible*rest {
				break
			}
		}
		waterLevel = low
	}
	used := 0.0
	for i, d := range demands {
		if d.Flow.level() == level {
			before := granted[i]
			granted[i] = grantAt(waterLevel, d, before)
			used += granted[i] - before
		}
	}
	return used
}

// grantAt returns the grant of a demand at a water-filling level.
func grantAt(waterLevel float64, d Demand, granted float64) float64 {
	return max(granted, min(d.Amount, waterLevel*d.weight()))
}

func (d Demand) weight() float64 {
	if d.Weight == 0 {
		return 1
	}
	return d.Weight
}
