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
	limit  int
	notify func(model, prefix string, stored bool)
	recent *list.List
	// byName finds a prefix by model and name.
	byName map[[2]string]*list.Element
	size   int
}

func newCache(s Settings) cache {
	notify := s.Cached
	if notify == nil {
		notify = func(string, string, bool) {}
	}
	return cache{
		limit:  s.CacheTokens,
		notify: notify,
		recent: list.New(),
		byName: make(map[[2]string]*list.Element),
	}
}

// hit returns the cached tokens of a request's prefix and caches the prefix.
func (c *cache) hit(r Request) int {
	if r.Prefix == "" {
		return 0
	}
	key := [2]string{r.Model, r.Prefix}
	if element, ok := c.byName[key]; ok {
		c.recent.MoveToFront(element)
		return min(r.PrefixTokens, r.Prompt)
	}
	c.byName[key] = c.recent.PushFront(cachedPrefix{
		model:  r.Model,
		prefix: r.Prefix,
		tokens: r.PrefixTokens,
	})
	c.size += r.PrefixTokens
	c.notify(r.Model, r.Prefix, true)
	for c.size > c.limit && c.recent.Len() > 1 {
		last := c.recent.Remove(c.recent.Back()).(cachedPrefix)
		delete(c.byName, [2]string{last.model, last.prefix})
		c.size -= last.tokens
		c.notify(last.model, last.prefix, false)
	}
	return 0
}
