package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"dogwoodfold/internal/strict"
)

// ErrFormat reports a configuration in a format that only later releases
// support.
var ErrFormat = errors.New("configuration format requires a later release")

// decoderByFormat holds the function that decodes and validates each format. The
// set of documents that a format accepts must not change after its release, so
// that two releases can't compute different results from the same log. A changed
// rule needs a new format.
var decoderByFormat = map[int]func(d *document, previous *parsedConfig) (*Config, error){
	1: decodeFormat1,
	2: decodeFormat2,
}

// Parse decodes and validates a document by the rules of its format. It reports
// all errors found at once, each with its path.
func Parse(data []byte) (*Config, error) {
	d, err := splitDocument(data)
	if err != nil {
		return nil, err
	}
	p, err := parse(d, nil)
	if err != nil {
		return nil, err
	}
	return p.config, nil
}

// parse decodes and validates a document. It reuses unchanged items of the
// previous configuration if that is not nil and has the same format.
func parse(d *document, previous *parsedConfig) (*parsedConfig, error) {
	var format int
	if err := json.Unmarshal(d.fields[fieldFormat], &format); err != nil || format < 1 {
		return nil, strict.FieldErrors{"format: is missing or not a positive integer"}
	}
	decode, known := decoderByFormat[format]
	if !known {
		return nil, fmt.Errorf("format %d, this release supports up to %d: %w", format, Format, ErrFormat)
	}
	if previous != nil && previous.config.Format != format {
		previous = nil
	}
	config, err := decode(d, previous)
	if err != nil {
		return nil, err
	}
	return &parsedConfig{
		config: config,
		doc:    d,
	}, nil
}

// checkServices adds the errors in the services.
func (cf *Config) checkServices(errs *strict.FieldErrors) {
	for name, s := range cf.Services {
		path := "services." + name
		if s.Kind != KindModel && s.Kind != KindPlain {
			errs.Add(path+".kind", "is %q, want %q or %q", s.Kind, KindModel, KindPlain)
		}
		if s.Target.Objective < 0 || s.Target.Objective >= 1 {
			errs.Add(path+".target.objective", "is %v, want 0 or more and less than 1", s.Target.Objective)
		}
		if s.Target.FirstToken < 0 || s.Target.BetweenTokens < 0 {
			errs.Add(path+".target", "has a negative duration")
		}
	}
}

// checkModels adds the errors in the models.
func (cf *Config) checkModels(errs *strict.FieldErrors) {
	for name, m := range cf.Models {
		path := "models." + name
		if strings.Contains(name, ":") {
			errs.Add(path, "a model's name must not contain a colon")
		}
		if s, ok := cf.Services[m.Service]; !ok || s.Kind != KindModel {
			errs.Add(path+".service", "%q is not a model service", m.Service)
		}
		if _, ok := m.Versions[m.Version]; !ok {
			errs.Add(path+".version", "%q is not among the model's versions", m.Version)
		}
		for version, v := range m.Versions {
			if v.MemoryBytes <= 0 {
				errs.Add(path+".versions."+version+".memoryBytes", "must be more than 0")
			}
		}
		for adapter, a := range m.Adapters {
			if a.MemoryBytes <= 0 {
				errs.Add(path+".adapters."+adapter+".memoryBytes", "must be more than 0")
			}
		}
	}
}

// checkCustomers adds the errors in the customers.
func (cf *Config) checkCustomers(errs *strict.FieldErrors) {
	owners := make(map[Digest]string)
	for name, c := range cf.Customers {
		path := "customers." + name
		if c.RatePerSecond < 0 || c.BurstTokens < 0 || c.Weight < 0 {
			errs.Add(path, "has a negative rate, burst or weight")
		}
		for _, service := range c.Services {
			if _, ok := cf.Services[service]; !ok {
				errs.Add(path+".services", "%q is not a service", service)
			}
		}
		for _, model := range c.Models {
			if _, ok := cf.Models[model]; !ok {
				errs.Add(path+".models", "%q is not a model", model)
			}
		}
		for key, k := range c.Keys {
			cf.checkKey(path+".keys."+key+".sha256", k, name, owners, errs)
		}
	}
}

// checkKey adds the errors in a customer's key. owners holds the customers of the keys
// checked so far.
func (cf *Config) checkKey(path string, k Key, customer string, owners map[Digest]string, errs *strict.FieldErrors) {
	digest, ok := parseDigest(k.SHA256)
	if !ok {
		errs.Add(path, "is not a SHA-256 digest in hex")
		return
	}
	if owner, used := owners[digest]; used && owner != customer {
		errs.Add(path, "another customer has the same key")
	}
	owners[digest] = customer
}

// checkRoutes adds the errors in the routes.
func (cf *Config) checkRoutes(errs *strict.FieldErrors) {
	paths := make(map[string]bool)
	for name, r := range cf.Routes {
		path := "routes." + name
		if !strings.HasPrefix(r.Path, "/") {
			errs.Add(path+".path", "must start with a slash")
		}
		if paths[r.Path] {
			errs.Add(path+".path", "another route has the same path")
		}
		paths[r.Path] = true
		if _, ok := cf.Services[r.Service]; !ok {
			errs.Add(path+".service", "%q is not a service", r.Service)
		}
		if r.Access != AccessKeyed && r.Access != AccessOpen {
			errs.Add(path+".access", "is %q, want %q or %q", r.Access, AccessKeyed, AccessOpen)
		}
		if r.Priority != PriorityInteractive && r.Priority != PriorityBatch {
			errs.Add(path+".priority", "is %q, want %q or %q", r.Priority, PriorityInteractive, PriorityBatch)
		}
		if r.TokensPerCall < 0 || r.Timeout < 0 {
			errs.Add(path, "has a negative cost or timeout")
		}
		r.checkHeaders(path, errs)
	}
}

// credentialHeaders lists the headers, in lower case, that may carry a caller's
// key. They are never forwarded.
var credentialHeaders = map[string]bool{
	"authorization":       true,
	"proxy-authorization": true,
	"x-api-key":           true,
	"cookie":              true,
}

// checkHeaders adds an error for each forwarded header that may carry a key.
func (r *Route) checkHeaders(path string, errs *strict.FieldErrors) {
	for _, h := range r.Headers {
		if credentialHeaders[strings.ToLower(h)] {
			errs.Add(path+".headers", "%q may carry a key and can't be forwarded", h)
		}
	}
}
