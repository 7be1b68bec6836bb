// Package sim provides virtual time and small fakes for the decision benches.
//
// # Usage
//
//	l := sim.NewLoop(seed)
//	l.After(2*time.Second, func(now time.Time) { … })
//	l.Run(10 * time.Minute)
//
// A loop runs its events one after the other in order of their time, so that a run with the same seed gives the same
// figures each time. The fakes stand at the interfaces of the decision code: an Engine runs streams as a batching
// model engine does, and the network is a delay.
package sim

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// epoch is the virtual time at which each loop starts.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type event struct {
	at    time.Time
	order int
	run   func(now time.Time)
	index int
}

// Timer is an event that can be stopped.
type Timer struct {
	loop  *Loop
	event *event
}

// Stop removes the event if it has not run yet.
func (t *Timer) Stop() {
	if t == nil || t.event.index < 0 {
		return
	}
	heap.Remove(&t.loop.events, t.event.index)
}

type queue []*event

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].order < q[j].order
	}
	return q[i].at.Before(q[j].at)
}

func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface.
func (q *queue) Push(x any) {
	e := x.(*event)
	e.index = len(*q)
	*q = append(*q, e)
}

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	e.index = -1
	return e
}

// Loop runs events in virtual time.
type Loop struct {
	now    time.Time
	next   int
	events queue
	random *rand.Rand
}

// NewLoop returns a loop whose random source has the given seed.
func NewLoop(seed uint64) *Loop {
	return &Loop{now: epoch, random: rand.New(rand.NewPCG(seed, seed))}
}

// Now returns the virtual time.
func (l *Loop) Now() time.Time { return l.now }

// Elapsed returns the virtual time since the start.
func (l *Loop) Elapsed() time.Duration { return l.now.Sub(epoch) }

// Random returns the seeded random source.
func (l *Loop) Random() *rand.Rand { return l.random }

// After runs f once d has passed.
func (l *Loop) After(d time.Duration, f func(now time.Time)) *Timer {
	l.next++
	e := &event{at: l.now.Add(max(d, 0)), order: l.next, run: f}
	heap.Push(&l.events, e)
	return &Timer{loop: l, event: e}
}

// Every runs f each time d has passed, until it returns false.
func (l *Loop) Every(d time.Duration, f func(now time.Time) bool) {
	l.After(d, func(now time.Time) {
		if f(now) {
			l.Every(d, f)
		}
	})
}

// Run runs events until the given time has passed since the start or none is left.
func (l *Loop) Run(limit time.Duration) {
	end := epoch.Add(limit)
	for len(l.events) > 0 && !l.events[0].at.After(end) {
		e := heap.Pop(&l.events).(*event)
		l.now = e.at
		e.run(l.now)
	}
}

// RunUntil runs events until done returns true, the limit has passed or no event is left.
func (l *Loop) RunUntil(limit time.Duration, done func() bool) {
	end := epoch.Add(limit)
	for !done() && len(l.events) > 0 && !l.events[0].at.After(end) {
		e := heap.Pop(&l.events).(*event)
		l.now = e.at
		e.run(l.now)
	}
}
