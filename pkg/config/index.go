package config

import (
	"crypto/subtle"
	"slices"
	"strings"
)

// Index looks up the customers and routes of a configuration for requests.
type Index struct {
	Config        *Config
	customerByKey map[Digest]string
	routes        []Route
}

// NewIndex returns an index of a valid configuration.
func NewIndex(cfg *Config) *Index {
	x := &Index{
		Config:        cfg,
		customerByKey: make(map[Digest]string),
	}
	for name, c := range cfg.Customers {
		for _, k := range c.Keys {
			if digest, ok := parseDigest(k.SHA256); ok {
				x.customerByKey[digest] = name
			}
		}
	}
	for _, r := range cfg.Routes {
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

// Customer returns the name of the customer that holds the key with the given
// digest.
func (x *Index) Customer(digest Digest) (name string, ok bool) {
	name, found := x.customerByKey[digest]
	if !found {
		return "", false
	}
	// The map only selects the customer. The deciding comparison takes constant
	// time.
	for _, k := range x.Config.Customers[name].Keys {
		if stored, valid := parseDigest(k.SHA256); valid && subtle.ConstantTimeCompare(stored[:], digest[:]) == 1 {
			ok = true
		}
	}
	return name, ok
}

// Route returns the matching route with the longest path.
func (x *Index) Route(method, path string) (Route, bool) {
	for _, r := range x.routes {
		if hasPathPrefix(r.Path, path) && (len(r.Methods) == 0 || slices.Contains(r.Methods, method)) {
			return r, true
		}
	}
	return Route{}, false
}

// hasPathPrefix reports whether path equals prefix or is below it.
func hasPathPrefix(prefix, path string) bool {
	rest, ok := strings.CutPrefix(path, strings.TrimSuffix(prefix, "/"))
	return ok && (rest == "" || rest[0] == '/')
}

// MayCall reports whether the customer may call a service.
func (c *Customer) MayCall(service string) bool {
	return slices.Contains(c.Services, service)
}

// MayUse reports whether the customer may call a model, given that it may call
// the model's service.
func (c *Customer) MayUse(model string) bool {
	return len(c.Models) == 0 || slices.Contains(c.Models, model)
}
