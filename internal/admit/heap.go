package admit

import "container/heap"

// itemHeap is a heap of waiting items. It stores the index of each item in the item, so that items can be removed.
type itemHeap struct {
	items []*Item
	less  func(i, j *Item) bool
	index func(*Item) *int
}

// newRankHeap returns a heap that orders items by rank.
func newRankHeap() *itemHeap {
	return &itemHeap{less: (*Item).before, index: func(i *Item) *int { return &i.index }}
}

// newDeadlineHeap returns a heap that orders items by deadline; items without a deadline must not be added.
func newDeadlineHeap() *itemHeap {
	return &itemHeap{less: (*Item).dueBefore, index: func(i *Item) *int { return &i.deadlineIndex }}
}

func (h *itemHeap) Len() int { return len(h.items) }

func (h *itemHeap) Less(i, j int) bool { return h.less(h.items[i], h.items[j]) }

func (h *itemHeap) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.index(h.items[i]), *h.index(h.items[j]) = i, j
}

// Push implements heap.Interface.
func (h *itemHeap) Push(x any) {
	i := x.(*Item)
	*h.index(i) = len(h.items)
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

// peek returns the first item, or nil if the heap is empty.
func (h *itemHeap) peek() *Item {
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

func (i *Item) dueBefore(j *Item) bool {
	if c := i.spec.Deadline.Compare(j.spec.Deadline); c != 0 {
		return c < 0
	}
	return i.seq < j.seq
}

var _ heap.Interface = (*itemHeap)(nil)
