package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"dogwoodfold/internal/strict"
)

// ErrFormat reports a text in a format that a later release has brought.
var ErrFormat = errors.New("the text's format is of a later release")

// parsers hold the decoder and checks of each format. What a format accepts
// never changes once released, so that two releases can't fold one log to
// different results; another rule needs another format.
var parsers = map[int]func(d *document, old *parsed) (*Text, error){
	1: decode1,
}

// Parse decodes and checks a text by the rules of its own format. All faults
// are reported at once, each with its path.
func Parse(text []byte) (*Text, error) {
	d, err := split(text)
	if err != nil {
		return nil, err
	}
	p, err := parse(d, nil)
	if err != nil {
		return nil, err
	}
	return p.text, nil
}

// parse decodes and checks a document, with the help of an earlier one of the
// same format if there is one.
func parse(d *document, old *parsed) (*parsed, error) {
	var format int
	if err := json.Unmarshal(d.fields["format"], &format); err != nil || format < 1 {
		return nil, strict.Faults{"format: is missing or not a version from 1 on"}
	}
	decode, known := parsers[format]
	if !known {
		return nil, fmt.Errorf("format %d, this release reads up to %d: %w", format, Format, ErrFormat)
	}
	if old != nil && old.text.Format != format {
		old = nil
	}
	text, err := decode(d, old)
	if err != nil {
		return nil, err
	}
	return &parsed{
		text: text,
		doc:  d,
	}, nil
}

func (t *Text) checkServices(faults *strict.Faults) {
	for name, s := range t.Services {
		path := "services." + name
		if s.Kind != KindModel && s.Kind != KindPlain {
			faults.Add(path+".kind", "is %q, want %q or %q", s.Kind, KindModel, KindPlain)
		}
		if s.Target.Objective < 0 || s.Target.Objective >= 1 {
			faults.Add(path+".target.objective", "is %v, want 0 or more and less than 1", s.Target.Objective)
		}
		if s.Target.FirstToken < 0 || s.Target.BetweenTokens < 0 {
			faults.Add(path+".target", "has a negative duration")
		}
	}
}

func (t *Text) checkModels(faults *strict.Faults) {
	for name, m := range t.Models {
		path := "models." + name
		if strings.Contains(name, ":") {
			faults.Add(path, "a model's name must not contain a colon")
		}
		if s, ok := t.Services[m.Service]; !ok || s.Kind != KindModel {
			faults.Add(path+".service", "%q is not a model service", m.Service)
		}
		if _, ok := m.Versions[m.Version]; !ok {
			faults.Add(path+".version", "%q is not among the model's versions", m.Version)
		}
		for version, v := range m.Versions {
			if v.MemoryBytes <= 0 {
				faults.Add(path+".versions."+version+".memoryBytes", "must be more than 0")
			}
		}
		for adapter, a := range m.Adapters {
			if a.MemoryBytes <= 0 {
				faults.Add(path+".adapters."+adapter+".memoryBytes", "must be more than 0")
			}
		}
	}
}

func (t *Text) checkCustomers(faults *strict.Faults) {
	owners := make(map[Digest]string)
	for name, c := range t.Customers {
		path := "customers." + name
		if c.RatePerSecond < 0 || c.BurstTokens < 0 || c.Weight < 0 {
			faults.Add(path, "has a negative rate, burst or weight")
		}
		for _, service := range c.Services {
			if _, ok := t.Services[service]; !ok {
				faults.Add(path+".services", "%q is not a service", service)
			}
		}
		for _, model := range c.Models {
			if _, ok := t.Models[model]; !ok {
				faults.Add(path+".models", "%q is not a model", model)
			}
		}
		for key, k := range c.Keys {
			t.checkKey(path+".keys."+key+".sha256", k, name, owners, faults)
		}
	}
}

func (t *Text) checkKey(path string, k Key, customer string, owners map[Digest]string, faults *strict.Faults) {
	digest, ok := parseDigest(k.SHA256)
	if !ok {
		faults.Add(path, "is not a SHA-256 digest in hex")
		return
	}
	if owner, taken := owners[digest]; taken && owner != customer {
		faults.Add(path, "another customer has the same key")
	}
	owners[digest] = customer
}

func (t *Text) checkRoutes(faults *strict.Faults) {
	paths := make(map[string]bool)
	for name, r := range t.Routes {
		path := "routes." + name
		if !strings.HasPrefix(r.Path, "/") {
			faults.Add(path+".path", "must start with a slash")
		}
		if paths[r.Path] {
			faults.Add(path+".path", "another route has the same path")
		}
		paths[r.Path] = true
		if _, ok := t.Services[r.Service]; !ok {
			faults.Add(path+".service", "%q is not a service", r.Service)
		}
		if r.Access != AccessKeyed && r.Access != AccessOpen {
			faults.Add(path+".access", "is %q, want %q or %q", r.Access, AccessKeyed, AccessOpen)
		}
		if r.Priority != PriorityInteractive && r.Priority != PriorityBatch {
			faults.Add(path+".priority", "is %q, want %q or %q", r.Priority, PriorityInteractive, PriorityBatch)
		}
		if r.TokensPerCall < 0 || r.Timeout < 0 {
			faults.Add(path, "has a negative cost or timeout")
		}
		r.checkHeaders(path, faults)
	}
}

// secretHeaders may carry a caller's key and are never passed on.
var secretHeaders = map[string]bool{
	"authorization":       true,
	"proxy-authorization": true,
	"x-api-key":           true,
	"cookie":              true,
}

func (r *Route) checkHeaders(path string, faults *strict.Faults) {
	for _, h := range r.Headers {
		if secretHeaders[strings.ToLower(h)] {
			faults.Add(path+".headers", "%q may carry a key and can't be passed on", h)
		}
	}
}
