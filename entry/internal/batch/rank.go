package batch

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bulrushspoke/wire"
)

const (
	// minCoresShare is the number of cores that an entry needs to run jobs, as a share of the most that any candidate has.
	minCoresShare = 0.5
	// equalCoresShare is the share of the cores of another entry from which an entry is as strong.
	equalCoresShare = 0.9
	// equalUtilization is the ratio up to which the utilizations of two entries, or their items, count as equal. The numbers of
	// items of the jobs of a trainer differ by less.
	equalUtilization = 1.25
	// runningTime is how long an entry counts as running a model after the last start of a job of it: trainers start one
	// every few seconds, and one that has fallen behind needs up to twelve for a step.
	runningTime = 20 * time.Second
	// itemCores and itemRate are what a running item takes of its owner: about 25 events a second of 50 µs processor time
	// and 250 bytes each.
	itemCores = 25 * 50e-6
	itemRate  = 25 * 250.0 // bytes per second
)

// candidate is an entry that may run jobs.
type candidate struct {
	name    string
	inc     string
	cores   float64        // CPU cores; 0 if unknown
	rate    float64        // bandwidth in bytes per second; 0 if unknown
	running map[string]int // number of items of its last job, for each model that it runs
}

// utilization returns the part of the scarcest resource of an entry that running items take.
func (c candidate) utilization(items int) float64 {
	u := float64(items) * itemCores / cmp.Or(c.cores, 1)
	if c.rate > 0 {
		u = max(u, float64(items)*itemRate/c.rate)
	}
	return u
}

// others returns how many items of other models than the given one an entry runs.
func (c candidate) others(model string) int {
	n := 0
	for other, items := range c.running {
		if other != model {
			n += items
		}
	}
	return n
}

// strongest returns the candidates that have enough CPU to run jobs.
//
// The step of a trainer streams thousands of events a second to the owner, while most entries have a small part of a
// core: on one of those the events, and with them the step, would wait for the CPU.
func strongest(l []candidate) []candidate {
	var maxCores float64
	for _, c := range l {
		maxCores = max(maxCores, c.cores)
	}
	var strong []candidate
	for _, c := range l {
		if c.cores >= minCoresShare*maxCores {
			strong = append(strong, c)
		}
	}
	return strong
}

// chooseOwner returns the candidate that runs the jobs of a model, whose newest job has the given number of items. It is the
// same entry for all jobs of a model while the models that the candidates run are the same, so that it knows the speed of
// the model's engines and the texts of carried groups. The result is the zero value if there are no candidates.
//
// All models that the candidates run are assigned in the order of their names. Each goes to a strong candidate that is among the
// least utilized ones, of several to the one with the highest hash. So two models share an entry only if there are more models
// than strong entries, and with one model the choice is by hash alone. The order does not depend on the numbers of items, which
// differ a little from job to job: two models of about the same size would swap their owners with each job.
func chooseOwner(model string, items int, l []candidate) candidate {
	strong := strongest(l)
	type demand struct {
		model string
		items int
	}
	demands := []demand{{model, items}}
	for _, c := range strong {
		for m, n := range c.running {
			i := slices.IndexFunc(demands, func(d demand) bool { return d.model == m })
			if i < 0 {
				demands = append(demands, demand{m, n})
				continue
			}
			demands[i].items = max(demands[i].items, n)
		}
	}
	slices.SortFunc(demands, func(a, b demand) int { return cmp.Compare(a.model, b.model) })
	assigned := make(map[string]int, len(strong)) // items by entry
	for _, d := range demands {
		chosen := leastUtilized(d.model, strong, assigned)
		if d.model == model || chosen.name == "" {
			return chosen
		}
		assigned[chosen.name] += d.items
	}
	return candidate{}
}

// leastUtilized returns the candidate that a model is assigned to, given the items that they have been assigned.
func leastUtilized(model string, l []candidate, assigned map[string]int) candidate {
	least := math.Inf(1)
	for _, c := range l {
		least = min(least, c.utilization(assigned[c.name]))
	}
	var chosen candidate
	for _, c := range l {
		if c.utilization(assigned[c.name]) > equalUtilization*least {
			continue
		}
		if chosen.name == "" || rank(model, c.name) > rank(model, chosen.name) {
			chosen = c
		}
	}
	return chosen
}

// rank returns the weight of an entry for a model.
func rank(model, name string) uint64 { return xxhash.Sum64String(model + "\x00" + name) }

// chooseInRegion returns the candidate that runs the jobs of a model: that of the failure domain, unless other models run there
// and the one chosen among all entries of the region is as strong and runs about as many of them or fewer. The load balancer spreads the
// jobs of all trainers over all failure domains, some of which have a single strong entry.
func chooseInRegion(model string, items int, domain, region []candidate) candidate {
	local := chooseOwner(model, items, domain)
	if local.others(model) == 0 {
		return local
	}
	regional := chooseOwner(model, items, region)
	if float64(regional.others(model)) > equalUtilization*float64(local.others(model)) || regional.cores < equalCoresShare*local.cores {
		return local
	}
	return regional
}

// runningModels holds which models the entries run, as they announce it with each job that they start, by entry.
type runningModels map[string]runningEntry

// runningEntry holds the models that one process runs.
type runningEntry struct {
	inc    string
	models map[string]runningModel
}

// runningModel is the last job of a model.
type runningModel struct {
	items     int
	startedAt time.Time
}

// record notes that an entry starts a job, and forgets what all entries have not run for some time.
func (r runningModels) record(entry, inc, model string, items int, now time.Time) {
	for name, e := range r {
		maps.DeleteFunc(e.models, func(_ string, m runningModel) bool { return now.Sub(m.startedAt) > runningTime })
		if len(e.models) == 0 {
			delete(r, name)
		}
	}
	e := r[entry]
	if e.inc != inc || e.models == nil {
		e = runningEntry{inc: inc, models: make(map[string]runningModel)}
		r[entry] = e
	}
	e.models[model] = runningModel{items: items, startedAt: now}
}

// of returns the items by model that a process runs.
func (r runningModels) of(entry, inc string, now time.Time) map[string]int {
	e := r[entry]
	if e.inc != inc || e.models == nil {
		return nil
	}
	items := make(map[string]int, len(e.models))
	for model, l := range e.models {
		if now.Sub(l.startedAt) <= runningTime {
			items[model] = l.items
		}
	}
	return items
}

// recordRunning notes which entry starts a job; an announcement that names no model or no items says nothing about its load.
func (m *Manager) recordRunning(o wire.JobOwner, now time.Time) {
	if o.Model == "" || o.Items == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running.record(o.Owner, o.Inc, o.Model, o.Items, now)
}

// preferredOwner returns the entry that runs a job.
func (m *Manager) preferredOwner(model string, items int, now time.Time) candidate {
	domain := m.candidates(m.Peers.InDomain(m.Self.Domain), now)
	region := m.candidates(m.Peers.InRegion(m.Self.Region), now)
	switch {
	case len(domain) > 0:
		return chooseInRegion(model, items, domain, region)
	case len(region) > 0: // this entry is shutting down and the last one of its failure domain
		return chooseOwner(model, items, region)
	default:
		return chooseOwner(model, items, m.otherRegions())
	}
}

// candidates returns the given entries and this one, unless it is shutting down, as candidates to run jobs.
func (m *Manager) candidates(entries []wire.Hello, now time.Time) []candidate {
	m.mu.Lock()
	defer m.mu.Unlock()
	var l []candidate
	for _, h := range entries {
		l = append(l, candidate{
			name: h.Name, inc: h.Inc, cores: h.Cores, rate: h.Rate, running: m.running.of(h.Name, h.Inc, now),
		})
	}
	if m.closed {
		return l
	}
	return append(l, candidate{
		name: m.Name, inc: m.Self.Inc, cores: m.Cores, rate: m.LinkRate, running: m.running.of(m.Name, m.Self.Inc, now),
	})
}

// otherRegions returns all connected entries, for an entry that is shutting down and is the last one of its region.
func (m *Manager) otherRegions() []candidate {
	var l []candidate
	for _, name := range m.Peers.Connected() {
		if inc := m.Peers.Incarnation(name); inc != "" {
			l = append(l, candidate{name: name, inc: inc})
		}
	}
	return l
}
