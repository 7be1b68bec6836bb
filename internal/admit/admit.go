// Package admit implements admission control and scheduling for one server: a bounded queue and the order in which its
// items are started, preempted or refused.
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
//	at, ok := p.Wake(now)             // call Next again at this time
//
// A policy has no goroutines, clocks or locks: the caller passes the current time and serializes the calls. The same
// sequence of calls gives the same decisions.
package admit

import (
	"fmt"
	"time"
)

// Class is the priority class of an item.
type Class uint8

// Classes in descending order of priority.
const (
	Live Class = iota
	Train
)

// Spec describes the work of an item.
type Spec struct {
	Class           Class
	PredictedTokens int       // predicted output tokens
	Solo            bool      // must run alone on the server
	Preemptible     bool      // can be preempted and resumed later
	Deadline        time.Time // zero for none
}

// Item is a unit of work that is queued for the server or runs on it. It belongs to one policy at a time.
type Item struct {
	spec          Spec
	value         any
	state         state
	arrived       time.Time
	started       time.Time
	rank          time.Time // order among items of the same class, ascending
	seq           uint64    // sequence number that breaks ties between equal ranks
	index         int       // index in the heap of its kind
	deadlineIndex int       // index in the heap of deadlines
	pinned        bool      // started because of its age; is not preempted
}

type state uint8

const (
	idle       state = iota // not in the policy
	waiting                 // in the queue
	running                 // holds a slot
	preempting              // asked to stop, still holds its slot
)

// NewItem returns an item with an arbitrary value of the caller.
func NewItem(s Spec, value any) *Item { return &Item{spec: s, value: value} }

// Spec returns the description of the work.
func (i *Item) Spec() Spec { return i.spec }

// Value returns the value that was passed to NewItem.
func (i *Item) Value() any { return i.value }

// Kind is the kind of a decision.
type Kind uint8

const (
	// Start asks to start the item.
	Start Kind = iota
	// Preempt asks to stop the running item and to call Requeue once it has stopped, or Done if it has ended.
	Preempt
	// Expire asks to refuse the item because its deadline passed before it was started.
	Expire
)

// Decision is an action that the caller is to take now.
type Decision struct {
	Kind Kind
	Item *Item
}

// BusyError is returned by Push if the queue of the class is full or its predicted wait is too long.
type BusyError struct {
	class   Class
	waiting int
	retry   time.Duration
}

// Retry returns the time after which to retry. It has a random part, so that refused callers do not return at the same
// time.
func (e *BusyError) Retry() time.Duration { return e.retry }

// Error implements error.
func (e *BusyError) Error() string {
	return fmt.Sprintf("admit: %d items of class %d wait already", e.waiting, e.class)
}

// Policy decides when the items of one server are started, preempted or refused.
type Policy interface {
	// Push queues an item, or returns a *BusyError.
	Push(now time.Time, i *Item) error
	// Next returns the next decision. Call it until it returns false, and again after each other call.
	Next(now time.Time) (Decision, bool)
	// Done removes a started item that has ended.
	Done(now time.Time, i *Item)
	// Requeue returns a started item that was stopped to the queue; it keeps its rank.
	Requeue(now time.Time, i *Item)
	// Remove removes a waiting item from the queue. It returns false if the item is not waiting.
	Remove(i *Item) bool
	// Wake returns the next time at which Next may return a decision without any call in between, or false if there is
	// none.
	Wake(now time.Time) (time.Time, bool)
	// Len returns the numbers of waiting and running items.
	Len() (waiting, running int)
}
