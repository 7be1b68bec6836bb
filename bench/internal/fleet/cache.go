package fleet

import "container/list"

// cacheGroups is the number of groups whose prompts fit into an engine's prefix cache.
const cacheGroups = 8

// cache is a prefix cache that forgets the group not used for the longest time.
type cache struct {
	order  *list.List
	groups map[uint64]*list.Element
}

func newCache() *cache {
	return &cache{order: list.New(), groups: make(map[uint64]*list.Element)}
}

// use reports whether the group is cached, and caches it.
func (c *cache) use(group uint64) bool {
	if e, ok := c.groups[group]; ok {
		c.order.MoveToFront(e)
		return true
	}
	c.groups[group] = c.order.PushFront(group)
	if c.order.Len() > cacheGroups {
		last := c.order.Back()
		delete(c.groups, last.Value.(uint64))
		c.order.Remove(last)
	}
	return false
}
