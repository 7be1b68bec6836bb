package admit

import "container/heap"

// itemHeap is a heap of waiting items; each item knows its place in it.
type itemHeap struct {
	items []*Item
	less  func(i, j *Item) bool
	place func(*Item) *int
}

// newRankHeap returns a heap that orders items by rank.
func newRankHeap() *itemHeap {
	return &itemHeap{less: (*Item).before, place: func(i *Item) *int { return &i.place }}
}

// newDeadlineHeap returns a heap that orders items by deadline; items without one must not be put in.
func newDeadlineHeap() *itemHeap {
	return &itemHeap{less: (*Item).due, place: func(i *Item) *int { return &i.expiry }}
}

func (h *itemHeap) Len() int { return len(h.items) }

func (h *itemHeap) Less(i, j int) bool { return h.less(h.items[i], h.items[j]) }

func (h *itemHeap) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.place(h.items[i]), *h.place(h.items[j]) = i, j
}

// Push implements heap.Interface.
func (h *itemHeap) Push(x any) {
	i := x.(*Item)
	*h.place(i) = len(h.items)
	h.items = append(h.items, i)
}

// Pop implements heap.Interface.
func (h *itemHeap) Pop() any {
	n := len(h.items) - 1
	i := h.items[n]
	h.items[n] = nil
	h.items = h.items[:n]
	return i
}

func (h *itemHeap) head() *Item {
	if len(h.items) == 0 {
		return nil
	}
	return h.items[0]
}

func (i *Item) before(j *Item) bool {
	if c := i.rank.Compare(j.rank); c != 0 {
		return c < 0
	}
	return i.seq < j.seq
}

func (i *Item) due(j *Item) bool {
	if c := i.spec.Deadline.Compare(j.spec.Deadline); c != 0 {
		return c < 0
	}
	return i.seq < j.seq
}

var _ heap.Interface = (*itemHeap)(nil)
