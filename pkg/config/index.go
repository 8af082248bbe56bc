package config

import (
	"crypto/subtle"
	"slices"
	"strings"
)

// Index answers the questions that a request asks of a text.
type Index struct {
	Config        *Config
	customerByKey map[Digest]string
	routes        []Route
}

// NewIndex returns an index over a checked text.
func NewIndex(t *Config) *Index {
	x := &Index{
		Config:        t,
		customerByKey: make(map[Digest]string),
	}
	for name, c := range t.Customers {
		for _, k := range c.Keys {
			if digest, ok := parseDigest(k.SHA256); ok {
				x.customerByKey[digest] = name
			}
		}
	}
	for _, r := range t.Routes {
		x.routes = append(x.routes, r)
	}
	slices.SortFunc(x.routes, func(a, b Route) int {
		if d := len(b.Path) - len(a.Path); d != 0 {
			return d
		}
		return strings.Compare(a.Path, b.Path)
	})
	return x
}

// Customer returns the customer that a key's digest belongs to.
func (x *Index) Customer(digest Digest) (name string, ok bool) {
	name, found := x.customerByKey[digest]
	if !found {
		return "", false
	}
	// The map narrows the search; the comparison that decides takes the same
	// time for each digest.
	for _, k := range x.Config.Customers[name].Keys {
		if stored, valid := parseDigest(k.SHA256); valid && subtle.ConstantTimeCompare(stored[:], digest[:]) == 1 {
			ok = true
		}
	}
	return name, ok
}

// Route returns the route with the longest path that matches.
func (x *Index) Route(method, path string) (Route, bool) {
	for _, r := range x.routes {
		if hasPathPrefix(r.Path, path) && (len(r.Methods) == 0 || slices.Contains(r.Methods, method)) {
			return r, true
		}
	}
	return Route{}, false
}

// hasPathPrefix reports whether path lies under prefix.
func hasPathPrefix(prefix, path string) bool {
	rest, ok := strings.CutPrefix(path, strings.TrimSuffix(prefix, "/"))
	return ok && (rest == "" || rest[0] == '/')
}

// MayCall reports whether a customer may call a service.
func (c *Customer) MayCall(service string) bool {
	return slices.Contains(c.Services, service)
}

// MayUse reports whether a customer may call a model of a service it may call.
func (c *Customer) MayUse(model string) bool {
	return len(c.Models) == 0 || slices.Contains(c.Models, model)
}
