package batch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"bulrushspoke/wire"
)

// candidates returns the entries of a failure domain: a few with much CPU and more with little.
func candidates() []candidate {
	var l []candidate
	for i := range 3 {
		l = append(l, candidate{name: fmt.Sprintf("strong-%d", i), cores: 0.8})
	}
	for i := range 6 {
		l = append(l, candidate{name: fmt.Sprintf("weak-%d", i), cores: 0.144})
	}
	return l
}

// Simulates the events of a step at the entry that runs it, for fifty models: 150 streams with one event in 40 ms each.
// An event must not wait for the CPU for as long as an engine takes to generate one. The baseline chooses the owner by
// hash alone.
func TestStepsRunWhereThereIsProcessorTime(t *testing.T) {
	const (
		models  = 50
		streams = 150
		event   = 40 * time.Millisecond
		work    = 50 * time.Microsecond // CPU time per event
		step    = 200                   // events per stream
	)
	// waits returns how long the last event of a step waits at an entry with the given cores.
	waits := func(cores float64) time.Duration {
		free := time.Duration(0)
		last := time.Duration(0)
		for i := range step {
			for n := range streams {
				at := time.Duration(i)*event + time.Duration(n)*event/streams
				free = max(free, at) + time.Duration(float64(work)/cores)
				last = free - at
			}
		}
		return last
	}
	late, baseline := 0, 0
	for i := range models {
		model := fmt.Sprintf("m%d", i)
		if waits(chooseOwner(model, 150, candidates()).cores) > event {
			late++
		}
		var first candidate
		for _, c := range candidates() {
			if first.name == "" || rank(model, c.name) > rank(model, first.name) {
				first = c
			}
		}
		if waits(first.cores) > event {
			baseline++
		}
	}
	t.Logf("%d of %d models have late events, %d with the baseline", late, models, baseline)
	if late > 0 || baseline == 0 {
		t.Errorf("%d of %d models have late events, %d with the baseline; want 0 and more", late, models, baseline)
	}
}

// Guards against steps of one model that run on different entries, against one entry that runs all models, and against
// candidates of unknown CPU that are never chosen.
func TestChoose(t *testing.T) {
	seen := make(map[string]int)
	for i := range 60 {
		model := fmt.Sprintf("m%d", i)
		first := chooseOwner(model, 150, candidates())
		reversed := candidates()
		for a, b := 0, len(reversed)-1; a < b; a, b = a+1, b-1 {
			reversed[a], reversed[b] = reversed[b], reversed[a]
		}
		if again := chooseOwner(model, 150, reversed); again.name != first.name {
			t.Fatalf("model %s is run by %s and by %s", model, first.name, again.name)
		}
		seen[first.name]++
	}
	if len(seen) != 3 {
		t.Errorf("sixty models are run by %v, want 3 entries", seen)
	}
	if c := chooseOwner("m", 150, []candidate{{name: "a"}, {name: "b"}}); c.name == "" {
		t.Error("no candidate of unknown CPU is chosen")
	}
	if c := chooseOwner("m", 150, nil); c.name != "" {
		t.Errorf("without candidates %q is chosen", c.name)
	}
}

// Guards against a job whose owner has crashed and that is then run by the entry that received the next read, although
// that has little CPU.
func TestOrphanGoesToStrongest(t *testing.T) {
	e := newEngine(t, 1)
	e.gap = 20 * time.Millisecond
	r := newRig(t, e)
	m, crash := r.manager("a", "a1")
	strong, _ := r.manager("s", "s1")
	weak, _ := r.manager("w", "w1")
	r.submit(m, "j", payload(1, "g-1", "h-60"))
	r.collect(m, "j", 1)
	crash()
	r.cut("a", true)
	r.mesh.mu.Lock()
	r.mesh.delegation = true
	r.mesh.cores = map[string]float64{"s": 0.8, "w": 0.1}
	r.mesh.mu.Unlock()
	strong.Cores, weak.Cores = 0.8, 0.1
	checkTexts(t, r.collect(weak, "j", 2), "g-1", "h-60")
	if strong.local("j") == nil || weak.local("j") != nil {
		t.Error("the job is not run by the entry with the most CPU")
	}
}

// Simulates the trainers of four models that submit a job of 150 to 161 items every four seconds through a random one of the entries
// of six failure domains, each with a strong entry or two, while announcements arrive after a second. Once all models are
// known, no model may share its owner with another one while a strong entry of the region is idle, and the jobs of a model
// must stay with few owners. The baseline chooses by hash in the failure domain of the receiver.
func TestBusyTrainersDoNotShareAnOwner(t *testing.T) {
	const (
		rounds  = 60
		settled = 10
		delay   = time.Second
		period  = 4 * time.Second
	)
	domains := make([][]candidate, 6)
	for i := range domains {
		for k := range 1 + i%2 {
			domains[i] = append(domains[i], candidate{name: fmt.Sprintf("strong-%d-%d", i, k), cores: 0.8, rate: 25e6})
		}
		for k := range 3 {
			domains[i] = append(domains[i], candidate{name: fmt.Sprintf("weak-%d-%d", i, k), cores: 0.144, rate: 6e6})
		}
	}
	simulate := func(seed uint64, choose func(model string, items int, domain, region []candidate) candidate) (shared, owned int) {
		random := rand.New(rand.NewPCG(seed, 2))
		type start struct {
			at           time.Time
			owner, model string
			items        int
		}
		var starts []start
		owners := make(map[string]bool)
		now := time.Now()
		for round := range rounds {
			for _, model := range []string{"long", "medium", "other", "short"} {
				now = now.Add(period / 4)
				known := make(runningModels)
				for _, s := range starts {
					if now.Sub(s.at) > delay {
						known.record(s.owner, "", s.model, s.items, s.at)
					}
				}
				view := func(l []candidate) []candidate {
					l = slices.Clone(l)
					for i := range l {
						l[i].running = known.of(l[i].name, "", now)
					}
					return l
				}
				items := 150 + random.IntN(12)
				c := choose(model, items, view(domains[random.IntN(6)]), view(slices.Concat(domains...)))
				if round >= settled {
					owners[model+c.name] = true
					if slices.ContainsFunc(starts, func(s start) bool { return s.owner == c.name && s.model != model && now.Sub(s.at) < 2*period }) {
						shared++
					}
				}
				starts = append(starts, start{now, c.name, model, items})
			}
		}
		return shared, len(owners)
	}
	policies := []func(model string, items int, domain, region []candidate) candidate{
		func(model string, items int, domain, _ []candidate) candidate {
			for i := range domain {
				domain[i].running = nil
			}
			return chooseOwner(model, items, domain)
		},
		func(model string, items int, domain, region []candidate) candidate {
			return chooseInRegion(model, items, domain, region)
		},
	}
	var shared, owned [2]int
	const seeds = 10
	for seed := range uint64(seeds) {
		for i, choose := range policies {
			n, o := simulate(seed, choose)
			shared[i], owned[i] = shared[i]+n, owned[i]+o
		}
	}
	t.Logf("of %d jobs %d share their owner with another model, %d by hash; %.1f owners of four models, %.1f by hash",
		4*(rounds-settled)*seeds, shared[1], shared[0], float64(owned[1])/seeds, float64(owned[0])/seeds)
	if shared[1]*20 > shared[0] || owned[1] > owned[0] {
		t.Errorf("%d jobs share their owner with another model, %d by hash; %d owners, %d by hash", shared[1], shared[0], owned[1], owned[0])
	}
}

// Guards against a choice that ignores the cores and the link of entries which run something already, and against
// announcements of a former process, or old ones, that count as load.
func TestLoadOfOwners(t *testing.T) {
	now := time.Now()
	r := make(runningModels)
	r.record("a", "a1", "n", 150, now)
	if r.of("a", "a2", now) != nil || len(r.of("a", "a1", now)) != 1 || len(r.of("a", "a1", now.Add(runningTime+1))) != 0 {
		t.Error("a former process or an old job counts")
	}
	r.record("b", "b1", "n", 150, now.Add(runningTime+1))
	if len(r) != 1 {
		t.Errorf("%d entries are kept, want only that of the new job", len(r))
	}
	busy := map[string]int{"n": 100, "o": 100}
	for name, l := range map[string][]candidate{
		"cores": {{name: "a", cores: 0.5, running: busy}, {name: "b", cores: 0.8}},
		"link":  {{name: "a", cores: 0.8, rate: 1e6, running: busy}, {name: "b", cores: 0.8, rate: 25e6}},
	} {
		// Of three models, two are assigned to one entry each, and the third to the less utilized one.
		if c := chooseOwner("z", 50, l); c.name != "b" {
			t.Errorf("%s: the third model is run by %s, want b", name, c.name)
		}
	}
}

// Simulates models whose numbers of items differ a little from job to job, at a few equal entries. Once all models are known,
// hardly any job may change its owner, or two models would swap their owners with each job.
func TestOwnersDoNotChangeWithItems(t *testing.T) {
	const (
		seeds   = 200
		rounds  = 20
		settled = 2
	)
	entries := []string{"e1", "e2", "e3"}
	for _, models := range []int{2, 3, 5} {
		random := rand.New(rand.NewPCG(1, uint64(models)))
		changes, shared, jobs := 0, 0, 0
		for seed := range seeds {
			now := time.Now()
			r := make(runningModels)
			last := make(map[string]string) // owner by model
			for round := range rounds {
				now = now.Add(4 * time.Second)
				for i := range models {
					model, items := fmt.Sprintf("m%d-%d", seed, i), 160+random.IntN(5)
					var l []candidate
					for _, name := range entries {
						l = append(l, candidate{name: name, cores: 0.8, running: r.of(name, "", now)})
					}
					c := chooseOwner(model, items, l)
					r.record(c.name, "", model, items, now)
					if round >= settled {
						jobs++
						if last[model] != c.name {
							changes++
						}
						for other, owner := range last {
							if other != model && owner == c.name {
								shared++
								break
							}
						}
					}
					last[model] = c.name
				}
			}
		}
		t.Logf("%d models at %d entries: of %d jobs %d change their owner, %d share it", models, len(entries), jobs, changes, shared)
		if changes*200 > jobs || models <= len(entries) && shared*200 > jobs {
			t.Errorf("%d models: of %d jobs %d change their owner, %d share it", models, jobs, changes, shared)
		}
	}
}

// regionPeers has connected entries in the region of this one, but none in its failure domain.
type regionPeers struct {
	Peers
	region []wire.Hello
}

func (regionPeers) InDomain(string) []wire.Hello { return nil }

func (p regionPeers) InRegion(string) []wire.Hello { return p.region }

func (regionPeers) Connected() []string { return []string{"far-1", "far-2", "far-3", "far-4", "near"} }

func (regionPeers) Incarnation(name string) string { return name + "-1" }

// Guards against an entry that shuts down and passes its jobs to another region although its own has entries.
func TestShutdownPrefersRegion(t *testing.T) {
	m, _ := newRig(t, newEngine(t, 1)).manager("a", "a1")
	p := regionPeers{Peers: m.Peers, region: []wire.Hello{{Name: "near", Inc: "near-1", Cores: 0.1}}}
	m.mu.Lock()
	m.closed, m.Peers = true, p
	m.mu.Unlock()
	for i := range 20 {
		if c := m.preferredOwner(fmt.Sprint("m", i), 150, time.Now()); c.name != "near" {
			t.Fatalf("the job goes to %s", c.name)
		}
	}
	m.Peers = regionPeers{Peers: p.Peers}
	if c := m.preferredOwner("m", 150, time.Now()); c.name == "" {
		t.Error("without entries in the region no other one is chosen")
	}
}

// Guards against an entry that counts as running a model because a job was submitted to it again, although another one runs it.
func TestRepeatedSubmissionRunsAtItsOwner(t *testing.T) {
	e := newEngine(t, 1)
	e.gap = 50 * time.Millisecond
	r := newRig(t, e)
	a, _ := r.manager("a", "a1")
	b, _ := r.manager("b", "b1")
	r.submit(a, "j", payload(1, "g-60", "h-60"))
	r.submit(b, "j", payload(1, "g-60", "h-60"))
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if n := b.running.of("b", "b1", now); len(n) > 0 || len(b.running.of("a", "a1", now)) != 1 {
		t.Errorf("b counts as running %v, a as %v", n, b.running.of("a", "a1", now))
	}
}
