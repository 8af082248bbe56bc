package engsim

import "container/list"

// cachedPrefix is one prefix in the cache.
type cachedPrefix struct {
	model  string
	prefix string
	tokens int
}

// cache keeps the prefixes used last.
type cache struct {
	capacityTokens int
	onChange       func(model, prefix string, stored bool)
	lru            *list.List
	// entries finds a prefix by model and name.
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

// lookup returns the cached tokens of a request's prefix and caches the prefix.
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
