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
	stepCount    = 2
	stepGroups   = 512
	stepsTimeout = 30 * time.Minute
	// trainerTime is the time that the trainer takes between the end of a step and the start of the next one.
	trainerTime = 15 * time.Second
	// groupSigma is the standard deviation of the logarithm of the median lengths of groups, memberSigma that of the
	// lengths within a group.
	groupSigma  = 0.8
	memberSigma = 0.4
)

// stepRun executes the steps of one trainer.
type stepRun struct {
	loop          *sim.Loop
	fleet         *fleet.Fleet
	config        schedule.Config
	plan          *schedule.Plan
	groups        []wire.Group
	lengths       []int
	jobs          map[[2]int]*fleet.Job
	slots         int // of all engines
	window        int
	inFlight      int
	remaining     int
	openedAt      time.Time
	idle          time.Duration
	lowerBound    time.Duration // sum of the lower bounds on the durations of the steps
	usedTokens    int
	wastedTokens  int
	finishedSteps int
	finished      bool
	capacity      float64
}

// runSteps executes stepCount steps, with a quarter of the engines slowed down at any time if slow is true.
func runSteps(seed uint64, p fleet.Policies, c schedule.Config, slow bool) *stepRun {
	l := sim.NewLoop(seed)
	d := sim.Berges(l)
	s := &stepRun{loop: l, fleet: fleet.New(l, d, p), config: c, capacity: d.Capacity()}
	for _, site := range d.Sites {
		s.slots += site.Engine.Slots()
	}
	s.window = int(schedule.InflightPerSlot * float64(s.slots))
	if slow {
		slowDown(l, d, len(d.Sites)/slowedFraction)
	}
	s.begin(l.Now())
	l.Every(100*time.Millisecond, func(now time.Time) bool {
		s.tick(now)
		return !s.finished
	})
	l.RunUntil(stepsTimeout, func() bool { return s.finished })
	return s
}

// begin starts the next step.
func (s *stepRun) begin(now time.Time) {
	r := s.loop.Random()
	s.groups, s.lengths = nil, nil
	s.jobs = make(map[[2]int]*fleet.Job)
	longest, total := 0, 0.0
	for g := range stepGroups {
		s.groups = append(s.groups, wire.Group{Name: fmt.Sprint(g), Samples: groupSize, Tokens: maxSampleTokens})
		median := float64(sim.RandomLength(r, sampleMedian, groupSigma, maxSampleTokens))
		for range groupSize {
			n := sim.RandomLength(r, median, memberSigma, maxSampleTokens)
			s.lengths = append(s.lengths, n)
			longest = max(longest, n)
			total += float64(n)
		}
	}
	s.lowerBound += max(time.Duration(total/s.capacity*float64(time.Second)),
		time.Duration(float64(longest)/loneSpeed*float64(time.Second)))
	s.plan = schedule.New(s.groups, s.config)
	s.remaining = len(s.lengths)
	s.openedAt = now
	s.fill(now)
}

// loneSpeed is the speed of a lone stream on an engine of package sim, in tokens per second.
const loneSpeed = 60

func (s *stepRun) fill(now time.Time) {
	for s.inFlight < s.window && s.remaining > 0 {
		slot, ok := 0, false
		if s.inFlight < s.slots {
			slot, ok = s.plan.NextRerun(now, s.slots)
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
		Class: admit.Train, PredictedTokens: plan.Predict(slot), PromptTokens: samplePromptTokens,
		Group: uint64(s.finishedSteps*stepGroups+group) + 1, Region: s.fleet.Regions()[0], OutputTokens: s.lengths[slot],
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
		s.inFlight--
		delete(s.jobs, [2]int{slot, n})
		plan.Fail(slot, n)
	}
	if !s.fleet.Submit(now, j) {
		return false
	}
	n = plan.Start(slot, now)
	s.jobs[[2]int{slot, n}] = j
	s.inFlight++
	return true
}

func (s *stepRun) done(now time.Time, plan *schedule.Plan, slot, n int, j *fleet.Job) {
	if plan != s.plan || s.jobs[[2]int{slot, n}] != j {
		return
	}
	s.inFlight--
	delete(s.jobs, [2]int{slot, n})
	if other := s.jobs[[2]int{slot, 1 - n}]; other != nil {
		s.inFlight--
		delete(s.jobs, [2]int{slot, 1 - n})
		plan.Progress(slot, 1-n, other.Tokens())
		s.fleet.Cancel(now, other)
	}
	plan.Finish(slot, n, j.OutputTokens, now)
	s.usedTokens += j.OutputTokens
	s.remaining--
	if s.remaining > 0 {
		s.fill(now)
		return
	}
	s.idle += now.Sub(s.openedAt)
	s.wastedTokens += plan.Wasted()
	s.finishedSteps++
	if s.finishedSteps == stepCount {
		s.finished = true
		return
	}
	s.loop.After(trainerTime, s.begin)
}

// tick reports progress to the plan, cancels reruns beyond the limit on wasted tokens and fills free slots.
func (s *stepRun) tick(now time.Time) {
	if s.remaining == 0 {
		return
	}
	for slot := range s.lengths {
		for n := range 2 {
			if j := s.jobs[[2]int{slot, n}]; j != nil {
				s.plan.Progress(slot, n, j.Tokens())
			}
		}
	}
	for slot, n, ok := s.plan.AttemptToStop(); ok; slot, n, ok = s.plan.AttemptToStop() {
		s.fleet.Cancel(now, s.jobs[[2]int{slot, n}])
		delete(s.jobs, [2]int{slot, n})
		s.inFlight--
		s.plan.Stop(slot, n)
	}
	s.fill(now)
}

// steps compares the duration of steps with its lower bound and with first come, first served.
func steps(t *table, seed uint64) {
	a := runSteps(seed, productionPolicies(), schedule.Defaults(), false)
	b := runSteps(seed, firstComePolicies(), schedule.FIFO(), false)
	ratio := func(s *stepRun) float64 {
		if !s.finished {
			return math.Inf(1)
		}
		return float64(s.idle) / float64(s.lowerBound)
	}
	t.atMost("steps: time of steps / lower bound", "ratio", ratio(a), ratio(b), 1.10)
	t.add("steps: trainer idle time", "s", a.idle.Seconds(), b.idle.Seconds())
	t.atMost("steps: wasted tokens / all", "ratio", float64(a.wastedTokens)/float64(a.usedTokens+a.wastedTokens), 0, 0.05)
	slowA := runSteps(seed, productionPolicies(), schedule.Defaults(), true)
	slowB := runSteps(seed, firstComePolicies(), schedule.FIFO(), true)
	t.atMost("steps: trainer idle time with slowed upstreams / baseline", "ratio",
		float64(slowA.idle)/float64(slowB.idle), 1, 0.7)
	t.add("steps: trainer idle time with slowed upstreams", "s", slowA.idle.Seconds(), slowB.idle.Seconds())
	t.atMost("steps: wasted tokens / all with slowed upstreams", "ratio",
		float64(slowA.wastedTokens)/float64(slowA.usedTokens+slowA.wastedTokens), 0, 0.05)
}
