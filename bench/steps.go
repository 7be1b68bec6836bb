package main

import (
	"fmt"
	"math"
	"time"

	"bulrushspoke/bench/internal/fleet"
	"bulrushspoke/bench/internal/sim"
	"bulrushspoke/internal/admit"
	"bulrushspoke/internal/schedule"
	"bulrushspoke/wire"
)

const (
	stepsCount  = 2
	stepsGroups = 512
	stepsLimit  = 30 * time.Minute
	// stepsTrain is how long the trainer works on a step before it opens the next one.
	stepsTrain = 15 * time.Second
	// groupSpread is the spread of lengths between groups, memberSpread that within a group.
	groupSpread  = 0.8
	memberSpread = 0.4
)

// stepRun makes the steps of one trainer.
type stepRun struct {
	loop     *sim.Loop
	fleet    *fleet.Fleet
	config   schedule.Config
	plan     *schedule.Plan
	groups   []wire.Group
	lengths  []int
	jobs     map[[2]int]*fleet.Job
	slots    int // of all engines
	window   int
	open     int
	left     int
	opened   time.Time
	idle     time.Duration
	bound    time.Duration // sum of the lower bounds of the steps' times
	tokens   int
	wasted   int
	steps    int
	finished bool
	capacity float64
}

// runSteps makes stepsCount steps, with a quarter of the upstreams slowed at a time if slow is true.
func runSteps(seed uint64, p fleet.Policies, c schedule.Config, slow bool) *stepRun {
	l := sim.NewLoop(seed)
	d := sim.Berges(l)
	s := &stepRun{loop: l, fleet: fleet.New(l, d, p), config: c, capacity: d.Capacity()}
	for _, site := range d.Sites {
		s.slots += site.Engine.Slots()
	}
	s.window = int(schedule.Window * float64(s.slots))
	if slow {
		spells(l, d, len(d.Sites)/slowedShare)
	}
	s.begin(l.Now())
	l.Every(100*time.Millisecond, func(now time.Time) bool {
		s.tick(now)
		return !s.finished
	})
	l.RunUntil(stepsLimit, func() bool { return s.finished })
	return s
}

// begin opens the next step.
func (s *stepRun) begin(now time.Time) {
	r := s.loop.Random()
	s.groups, s.lengths = nil, nil
	s.jobs = make(map[[2]int]*fleet.Job)
	longest, total := 0, 0.0
	for g := range stepsGroups {
		s.groups = append(s.groups, wire.Group{Name: fmt.Sprint(g), Samples: groupSize, Tokens: mostSample})
		median := float64(sim.RandomLength(r, sampleTokens, groupSpread, mostSample))
		for range groupSize {
			n := sim.RandomLength(r, median, memberSpread, mostSample)
			s.lengths = append(s.lengths, n)
			longest = max(longest, n)
			total += float64(n)
		}
	}
	s.bound += max(time.Duration(total/s.capacity*float64(time.Second)),
		time.Duration(float64(longest)/loneSpeed*float64(time.Second)))
	s.plan = schedule.New(s.groups, s.config)
	s.left = len(s.lengths)
	s.opened = now
	s.fill(now)
}

// loneSpeed is the tokens a second of a stream that runs alone on an engine of package sim.
const loneSpeed = 60

func (s *stepRun) fill(now time.Time) {
	for s.open < s.window && s.left > 0 {
		slot, ok := 0, false
		if s.open < s.slots {
			slot, ok = s.plan.Rerun(now, s.slots)
		}
		if !ok {
			slot, ok = s.plan.Next()
		}
		if !ok || !s.submit(now, slot) {
			return
		}
	}
}

func (s *stepRun) submit(now time.Time, slot int) bool {
	group := slot / groupSize
	plan := s.plan
	j := &fleet.Job{
		Class: admit.Train, PredictedTokens: plan.Predict(slot), PromptTokens: samplePrompt,
		Group: uint64(s.steps*stepsGroups+group) + 1, Region: s.fleet.Regions()[0], OutputTokens: s.lengths[slot],
	}
	if other := s.jobs[[2]int{slot, 0}]; other != nil {
		j.Exclude = append(j.Exclude, other.Server())
	}
	if other := s.jobs[[2]int{slot, 1}]; other != nil {
		j.Exclude = append(j.Exclude, other.Server())
	}
	n := -1
	j.Done = func(now time.Time) { s.done(now, plan, slot, n, j) }
	j.Refused = func(now time.Time, _ time.Duration) {
		s.open--
		delete(s.jobs, [2]int{slot, n})
		plan.Fail(slot, n)
	}
	if !s.fleet.Submit(now, j) {
		return false
	}
	n = plan.Start(slot, now)
	s.jobs[[2]int{slot, n}] = j
	s.open++
	return true
}

func (s *stepRun) done(now time.Time, plan *schedule.Plan, slot, n int, j *fleet.Job) {
	if plan != s.plan || s.jobs[[2]int{slot, n}] != j {
		return
	}
	s.open--
	delete(s.jobs, [2]int{slot, n})
	if other := s.jobs[[2]int{slot, 1 - n}]; other != nil {
		s.open--
		delete(s.jobs, [2]int{slot, 1 - n})
		plan.Progress(slot, 1-n, other.Tokens())
		s.fleet.Cancel(now, other)
	}
	plan.Finish(slot, n, j.OutputTokens, now)
	s.tokens += j.OutputTokens
	s.left--
	if s.left > 0 {
		s.fill(now)
		return
	}
	s.idle += now.Sub(s.opened)
	s.wasted += plan.Wasted()
	s.steps++
	if s.steps == stepsCount {
		s.finished = true
		return
	}
	s.loop.After(stepsTrain, s.begin)
}

// tick reports progress to the plan, stops reruns that waste too much and fills free slots.
func (s *stepRun) tick(now time.Time) {
	if s.left == 0 {
		return
	}
	for slot := range s.lengths {
		for n := range 2 {
			if j := s.jobs[[2]int{slot, n}]; j != nil {
				s.plan.Progress(slot, n, j.Tokens())
			}
		}
	}
	for slot, n, ok := s.plan.Excess(); ok; slot, n, ok = s.plan.Excess() {
		s.fleet.Cancel(now, s.jobs[[2]int{slot, n}])
		delete(s.jobs, [2]int{slot, n})
		s.open--
		s.plan.Stop(slot, n)
	}
	s.fill(now)
}

// steps compares the time of steps with its lower bound and with first come, first served.
func steps(t *table, seed uint64) {
	a := runSteps(seed, production(), schedule.Defaults(), false)
	b := runSteps(seed, firstCome(), schedule.FirstCome(), false)
	over := func(s *stepRun) float64 {
		if !s.finished {
			return math.Inf(1)
		}
		return float64(s.idle) / float64(s.bound)
	}
	t.most("steps: time of steps / lower bound", "ratio", over(a), over(b), 1.10)
	t.add("steps: trainer idle time", "s", a.idle.Seconds(), b.idle.Seconds())
	t.most("steps: wasted tokens / all", "ratio", float64(a.wasted)/float64(a.tokens+a.wasted), 0, 0.05)
	slowA := runSteps(seed, production(), schedule.Defaults(), true)
	slowB := runSteps(seed, firstCome(), schedule.FirstCome(), true)
	t.most("steps: trainer idle time with slowed upstreams / baseline", "ratio",
		float64(slowA.idle)/float64(slowB.idle), 1, 0.7)
	t.add("steps: trainer idle time with slowed upstreams", "s", slowA.idle.Seconds(), slowB.idle.Seconds())
	t.most("steps: wasted tokens / all with slowed upstreams", "ratio",
		float64(slowA.wasted)/float64(slowA.tokens+slowA.wasted), 0, 0.05)
}
