package engine

import (
	"container/list"
	"hash/fnv"
)

// blockBytes is the length of a prompt block in bytes; real engines cache blocks of about 16 tokens.
const blockBytes = 64

// prefixCache is a prefix cache with LRU eviction. The key of a block is the hash of the prompt up to the end of the
// block, so that equal blocks after different prefixes have different keys.
type prefixCache struct {
	maxBlocks int
	recency   *list.List // of uint64, most recently used first
	blocks    map[uint64]*list.Element
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{maxBlocks: limit, recency: list.New(), blocks: map[uint64]*list.Element{}}
}

// insert caches all blocks of the prompt. It returns the number of leading blocks that were cached and the number of
// remaining ones.
func (p *prefixCache) insert(prompt string) (hits, misses int) {
	h := fnv.New64a()
	for start := 0; start < len(prompt); start += blockBytes {
		_, _ = h.Write([]byte(prompt[start:min(start+blockBytes, len(prompt))]))
		key := h.Sum64()
		if el, ok := p.blocks[key]; ok && misses == 0 {
			p.recency.MoveToFront(el)
			hits++
			continue
		}
		misses++
		p.insertBlock(key)
	}
	return hits, misses
}

func (p *prefixCache) insertBlock(key uint64) {
	if p.maxBlocks <= 0 {
		return
	}
	if el, ok := p.blocks[key]; ok {
		p.recency.MoveToFront(el)
		return
	}
	p.blocks[key] = p.recency.PushFront(key)
	for p.recency.Len() > p.maxBlocks {
		last := p.recency.Back()
		p.recency.Remove(last)
		delete(p.blocks, last.Value.(uint64))
	}
}
