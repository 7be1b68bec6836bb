// Package admit decides the order of work on one server.
//
// # Usage
//
//	p := admit.NewFair(admit.DefaultConfig(slots), random)
//	err := p.Push(now, item)          // *BusyError if the queue is full
//	for d, ok := p.Next(now); ok; d, ok = p.Next(now) {
//		// start, preempt or refuse d.Item
//	}
//	p.Done(now, item)                 // a started item has ended
//	p.Requeue(now, item)              // a started item was preempted
//
// A policy is a plain struct without goroutines, clocks or locks: the caller passes the present time and serializes
// the calls. The same sequence of calls gives the same decisions.
package admit

import (
	"fmt"
	"time"
)

// Class is the urgency of an item.
type Class uint8

// Classes in order of urgency.
const (
	Live Class = iota
	Train
)

// Spec describes a piece of work.
type Spec struct {
	Class       Class
	Predicted   int       // tokens that the answer probably has
	Solo        bool      // must run alone on the server
	Preemptible bool      // can be preempted and resumed later
	Deadline    time.Time // zero for none
}

// Item is a piece of work that waits for the server or runs on it. It belongs to one policy at a time.
type Item struct {
	spec    Spec
	value   any
	state   state
	arrived time.Time
	started time.Time
	rank    time.Time // order among items of the same class
	seq     uint64    // order among equal ranks
	place   int       // index in the heap of its kind
	expiry  int       // index in the heap of deadlines
	protect bool      // started because of its age, must not be preempted
}

type state uint8

const (
	idle state = iota
	waiting
	running
	preempting // asked to stop, still holds its slot
)

// NewItem returns an item that carries a value of the caller.
func NewItem(s Spec, value any) *Item { return &Item{spec: s, value: value} }

// Spec returns the description of the item.
func (i *Item) Spec() Spec { return i.spec }

// Value returns the value of the caller.
func (i *Item) Value() any { return i.value }

// Kind is what a decision asks for.
type Kind uint8

const (
	// Start asks to start the item.
	Start Kind = iota
	// Preempt asks to stop the running item and to call Requeue once it has stopped.
	Preempt
	// Expire asks to refuse the item, whose deadline has passed before it was started.
	Expire
)

// Decision is one thing to do now.
type Decision struct {
	Kind Kind
	Item *Item
}

// BusyError tells that the queue is full.
type BusyError struct {
	class   Class
	waiting int
	retry   time.Duration
}

// Retry returns the time after which a new try makes sense; it is spread so that refused callers do not return
// together.
func (e *BusyError) Retry() time.Duration { return e.retry }

// Error implements error.
func (e *BusyError) Error() string {
	return fmt.Sprintf("admit: %d items of class %d wait already", e.waiting, e.class)
}

// Policy is an order of work on one server.
type Policy interface {
	// Push queues an item, or returns a *BusyError.
	Push(now time.Time, i *Item) error
	// Next returns the next thing to do now; call it until it returns false.
	Next(now time.Time) (Decision, bool)
	// Done takes back a started item that has ended.
	Done(now time.Time, i *Item)
	// Requeue takes back a started item that was stopped and is to be resumed; it keeps its place by age.
	Requeue(now time.Time, i *Item)
	// Remove takes a waiting item out of the queue; it returns false if the item does not wait.
	Remove(i *Item) bool
	// Wake returns the time at which Next may decide something although no call was made.
	Wake(now time.Time) (time.Time, bool)
	// Len returns the numbers of waiting and running items.
	Len() (waiting, running int)
}
