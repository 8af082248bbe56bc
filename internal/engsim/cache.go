package engsim

import "container/list"

// cachedPrefix is a prompt prefix in the cache.
type cachedPrefix struct {
	model  string
	prefix string
	tokens int
}

// cache is an LRU cache of prompt prefixes.
type cache struct {
	capacityTokens int
	onChange       func(model, prefix string, stored bool)
	// lru holds the prefixes, the most recently used first.
	lru *list.List
	// entries maps a model and the name of a prefix to its element of lru.
	entries    map[[2]string]*list.Element
	usedTokens int
}

func newCache(s Settings) cache {
	onChange := s.OnCacheChange
	if onChange == nil {
		onChange = func(string, string, bool) {}
	}
	return cache{
		capacityTokens: s.CacheCapacityTokens,
		onChange:       onChange,
		lru:            list.New(),
		entries:        make(map[[2]string]*list.Element),
	}
}

// lookup returns the number of prompt tokens of a request that are cached. If the
// prefix is not cached, it is added, and the least recently used ones are evicted
// to make room.
func (c *cache) lookup(r Request) int {
	if r.Prefix == "" {
		return 0
	}
	key := [2]string{r.Model, r.Prefix}
	if element, ok := c.entries[key]; ok {
		c.lru.MoveToFront(element)
		return min(r.PrefixTokens, r.PromptTokens)
	}
	c.entries[key] = c.lru.PushFront(cachedPrefix{
		model:  r.Model,
		prefix: r.Prefix,
		tokens: r.PrefixTokens,
	})
	c.usedTokens += r.PrefixTokens
	c.onChange(r.Model, r.Prefix, true)
	for c.usedTokens > c.capacityTokens && c.lru.Len() > 1 {
		evicted := c.lru.Remove(c.lru.Back()).(cachedPrefix)
		delete(c.entries, [2]string{evicted.model, evicted.prefix})
		c.usedTokens -= evicted.tokens
		c.onChange(evicted.model, evicted.prefix, false)
	}
	return 0
}
