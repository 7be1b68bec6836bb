package admit

import (
	"time"
)

// FIFO starts items first come, first served, without classes and preemption. The benchmarks compare Fair with it.
type FIFO struct {
	slots       int
	maxWaiting  int
	items       []*Item
	running     int
	soloRunning bool
}

// NewFIFO returns a policy for a server that runs slots items concurrently, with at most maxWaiting waiting items.
func NewFIFO(slots, maxWaiting int) *FIFO {
	return &FIFO{slots: slots, maxWaiting: maxWaiting}
}

// Push implements Policy.
func (b *FIFO) Push(now time.Time, i *Item) error {
	if len(b.items) >= b.maxWaiting {
		return &BusyError{class: i.spec.Class, waiting: b.maxWaiting, retry: time.Second}
	}
	i.arrived = now
	i.state = waiting
	b.items = append(b.items, i)
	return nil
}

// Next implements Policy.
func (b *FIFO) Next(now time.Time) (Decision, bool) {
	for n, i := range b.items {
		if !i.spec.Deadline.IsZero() && !now.Before(i.spec.Deadline) {
			b.removeAt(n)
			i.state = idle
			return Decision{Kind: Expire, Item: i}, true
		}
	}
	if len(b.items) == 0 || b.running >= b.slots || b.soloRunning {
		return Decision{}, false
	}
	i := b.items[0]
	if i.spec.Solo && b.running > 0 {
		return Decision{}, false
	}
	b.removeAt(0)
	b.running++
	b.soloRunning = i.spec.Solo
	i.state = running
	i.started = now
	return Decision{Kind: Start, Item: i}, true
}

func (b *FIFO) removeAt(n int) {
	b.items = append(b.items[:n], b.items[n+1:]...)
}

// Done implements Policy.
func (b *FIFO) Done(_ time.Time, i *Item) {
	b.running--
	b.soloRunning = false
	i.state = idle
}

// Requeue implements Policy.
func (b *FIFO) Requeue(now time.Time, i *Item) {
	b.Done(now, i)
	i.state = waiting
	b.items = append([]*Item{i}, b.items...)
}

// Remove implements Policy.
func (b *FIFO) Remove(i *Item) bool {
	for n, other := range b.items {
		if other == i {
			b.removeAt(n)
			i.state = idle
			return true
		}
	}
	return false
}

// Wake implements Policy.
func (b *FIFO) Wake(time.Time) (time.Time, bool) {
	var at time.Time
	for _, i := range b.items {
		if d := i.spec.Deadline; !d.IsZero() && (at.IsZero() || d.Before(at)) {
			at = d
		}
	}
	return at, !at.IsZero()
}

// Len implements Policy.
func (b *FIFO) Len() (waiting, running int) { return len(b.items), b.running }
