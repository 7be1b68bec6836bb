package admit

import "container/heap"

// rankHeap orders waiting items by rank.
type rankHeap []*Item

func (h rankHeap) Len() int { return len(h) }

func (h rankHeap) Less(i, j int) bool { return h[i].before(h[j]) }

func (h rankHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i, j
}

// Push implements heap.Interface.
func (h *rankHeap) Push(x any) {
	i := x.(*Item)
	i.place = len(*h)
	*h = append(*h, i)
}

// Pop implements heap.Interface.
func (h *rankHeap) Pop() any {
	old := *h
	n := len(old) - 1
	i := old[n]
	old[n] = nil
	*h = old[:n]
	return i
}

func (h rankHeap) head() *Item {
	if len(h) == 0 {
		return nil
	}
	return h[0]
}

func (i *Item) before(j *Item) bool {
	if c := i.rank.Compare(j.rank); c != 0 {
		return c < 0
	}
	return i.seq < j.seq
}

// deadlineHeap orders waiting items by deadline; items without one are not in it.
type deadlineHeap []*Item

func (h deadlineHeap) Len() int { return len(h) }

func (h deadlineHeap) Less(i, j int) bool {
	if c := h[i].spec.Deadline.Compare(h[j].spec.Deadline); c != 0 {
		return c < 0
	}
	return h[i].seq < h[j].seq
}

func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].expiry, h[j].expiry = i, j
}

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) {
	i := x.(*Item)
	i.expiry = len(*h)
	*h = append(*h, i)
}

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	old := *h
	n := len(old) - 1
	i := old[n]
	old[n] = nil
	*h = old[:n]
	return i
}

var (
	_ heap.Interface = (*rankHeap)(nil)
	_ heap.Interface = (*deadlineHeap)(nil)
)
