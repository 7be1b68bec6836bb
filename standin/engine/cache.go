package engine

import (
	"container/list"
	"hash/fnv"
)

// blockSize is the length of a prompt block in bytes; real engines cache blocks of some 16 tokens.
const blockSize = 64

// prefixes is a prefix cache that drops the block unused for the longest time. A block is known by the hash of the
// whole prompt up to its end, so that equal blocks after different beginnings differ.
type prefixes struct {
	limit  int
	order  *list.List // of uint64, most recently used first
	blocks map[uint64]*list.Element
}

func newPrefixes(limit int) *prefixes {
	return &prefixes{limit: limit, order: list.New(), blocks: map[uint64]*list.Element{}}
}

// add returns how many leading blocks of the prompt were cached and how many were not, and caches all of them.
func (p *prefixes) add(prompt string) (found, missed int) {
	h := fnv.New64a()
	for start := 0; start < len(prompt); start += blockSize {
		_, _ = h.Write([]byte(prompt[start:min(start+blockSize, len(prompt))]))
		key := h.Sum64()
		if el, ok := p.blocks[key]; ok && missed == 0 {
			p.order.MoveToFront(el)
			found++
			continue
		}
		missed++
		p.put(key)
	}
	return found, missed
}

func (p *prefixes) put(key uint64) {
	if p.limit <= 0 {
		return
	}
	if el, ok := p.blocks[key]; ok {
		p.order.MoveToFront(el)
		return
	}
	p.blocks[key] = p.order.PushFront(key)
	for p.order.Len() > p.limit {
		last := p.order.Back()
		p.order.Remove(last)
		delete(p.blocks, last.Value.(uint64))
	}
}
