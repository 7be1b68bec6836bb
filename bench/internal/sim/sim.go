// Package sim provides virtual time and simulated engines and networks for the decision benches.
//
// # Usage
//
//	l := sim.NewLoop(seed)
//	l.After(2*time.Second, func(now time.Time) { … })
//	l.Run(10 * time.Minute)
//
// A loop runs its events sequentially in the order of their virtual time, so runs with the same seed give the same
// results. An Engine models the speed of a batching model engine; the network is a delay.
package sim

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// epoch is the virtual start time of each loop.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type event struct {
	at    time.Time
	seq   int
	run   func(now time.Time)
	index int
}

// Timer is a scheduled event that can be cancelled.
type Timer struct {
	loop  *Loop
	event *event
}

// Stop cancels the event if it has not run yet. It does nothing on a nil Timer.
func (t *Timer) Stop() {
	if t == nil || t.event.index < 0 {
		return
	}
	heap.Remove(&t.loop.events, t.event.index)
}

type eventQueue []*event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].seq < q[j].seq
	}
	return q[i].at.Before(q[j].at)
}

func (q eventQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) {
	e := x.(*event)
	e.index = len(*q)
	*q = append(*q, e)
}

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	e.index = -1
	return e
}

// Loop runs events in virtual time.
type Loop struct {
	now     time.Time
	nextSeq int
	events  eventQueue
	random  *rand.Rand
}

// NewLoop returns a loop with a random source of the given seed.
func NewLoop(seed uint64) *Loop {
	return &Loop{now: epoch, random: rand.New(rand.NewPCG(seed, seed))}
}

// Now returns the current virtual time.
func (l *Loop) Now() time.Time { return l.now }

// Elapsed returns the virtual time since the start.
func (l *Loop) Elapsed() time.Duration { return l.now.Sub(epoch) }

// Random returns the seeded random source.
func (l *Loop) Random() *rand.Rand { return l.random }

// After schedules f to run once after d, or immediately if d is negative.
func (l *Loop) After(d time.Duration, f func(now time.Time)) *Timer {
	l.nextSeq++
	e := &event{at: l.now.Add(max(d, 0)), seq: l.nextSeq, run: f}
	heap.Push(&l.events, e)
	return &Timer{loop: l, event: e}
}

// Every runs f at the interval d until f returns false. The first run is after d.
func (l *Loop) Every(d time.Duration, f func(now time.Time) bool) {
	l.After(d, func(now time.Time) {
		if f(now) {
			l.Every(d, f)
		}
	})
}

// Run runs events up to the given virtual time since the start, or until none is left.
func (l *Loop) Run(limit time.Duration) {
	end := epoch.Add(limit)
	for len(l.events) > 0 && !l.events[0].at.After(end) {
		e := heap.Pop(&l.events).(*event)
		l.now = e.at
		e.run(l.now)
	}
}

// RunUntil runs events until done returns true, the limit since the start is reached or no event is left.
func (l *Loop) RunUntil(limit time.Duration, done func() bool) {
	end := epoch.Add(limit)
	for !done() && len(l.events) > 0 && !l.events[0].at.After(end) {
		e := heap.Pop(&l.events).(*event)
		l.now = e.at
		e.run(l.now)
	}
}
