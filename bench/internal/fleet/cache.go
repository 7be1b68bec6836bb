package fleet

import "container/list"

// cacheGroups is the capacity of an engine's prefix cache, in groups.
const cacheGroups = 8

// cache is a prefix cache with LRU eviction.
type cache struct {
	recency *list.List
	groups  map[uint64]*list.Element
}

func newCache() *cache {
	return &cache{recency: list.New(), groups: make(map[uint64]*list.Element)}
}

// touch reports whether the group is cached and marks it as the most recently used one, adding it if needed.
func (c *cache) touch(group uint64) bool {
	if e, ok := c.groups[group]; ok {
		c.recency.MoveToFront(e)
		return true
	}
	c.groups[group] = c.recency.PushFront(group)
	if c.recency.Len() > cacheGroups {
		last := c.recency.Back()
		delete(c.groups, last.Value.(uint64))
		c.recency.Remove(last)
	}
	return false
}
