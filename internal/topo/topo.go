// Package topo holds what an entry knows of its surroundings: the operator's
// routes, services and customers, and the endpoints that run.
package topo

import (
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Kind says how often a request of a route may run.
type Kind int

// The kinds of routes. The zero value is the strictest.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run again.
	Idempotent
	// Stream requests are answered by a series of events and run at most once,
	// unless the route may be resumed.
	Stream
)

// String returns the label of a kind in logs and metrics.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Stream:
		return "stream"
	default:
		return "nonIdempotent"
	}
}

// Target is a service that a route sends a part of its requests to.
type Target struct {
	Service string
	Weight  int
}

// Route is a rule for requests of one host whose path begins with a prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a request may take.
	Timeout time.Duration
	// Objective is the latency within which an answer, or the first event of a
	// stream, has its full worth.
	Objective time.Duration
	// GapObjective is the longest pause between events that is still on time.
	GapObjective time.Duration
	// Priority is the rank of the requests; 0 is the most urgent.
	Priority int
	Targets  []Target
	// Attempts is how many endpoints a request may be sent to.
	Attempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another endpoint after their last event.
	Resumable bool
}

// MayRepeat reports whether a request may run more than once.
func (r *Route) MayRepeat() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Customer is a holder of keys with a rate.
type Customer struct {
	Name     string
	Keys     []string
	Priority int
	// Rate and Burst are tokens per second and tokens; a Rate of 0 is no limit.
	Rate  float64
	Burst float64
	// PlainTokens is the cost of a request that doesn't tell its tokens. It is 1
	// where requests are counted instead of tokens.
	PlainTokens float64
	ByTokens    bool
}

// Model is a set of weights that engines of a service may hold.
type Model struct {
	Name string
	// Size is the size of the weights in MB.
	Size float64
	// LoadTime, DiskTime and WarmTime are how long a load takes from the weight
	// store, from the engine's disk and from its memory.
	LoadTime    time.Duration
	DiskTime    time.Duration
	WarmTime    time.Duration
	AdapterSize float64
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots        int
	KVTokens     int
	Models       map[string]*Model
	WeightSpace  float64
	AdapterSlots int
	// LoadsPerSecond bounds the loads from the weight store over all engines.
	LoadsPerSecond float64
}

// Service is a set of endpoints that do the same work.
type Service struct {
	Name       string
	HealthPath string
	MaxConns   int
	// Engine is nil for plain services.
	Engine *Engine
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the operator's configuration. It is not changed
// after New.
type Config struct {
	Version   int64
	Routes    []*Route
	Services  map[string]*Service
	Customers map[string]*Customer
	Limits    Limits

	byHost map[string][]*Route
	byKey  map[string]*Customer
}

// Index prepares the look-ups of a configuration and returns it.
func (c *Config) Index() *Config {
	c.byHost = make(map[string][]*Route)
	for _, r := range c.Routes {
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
	}
	for _, routes := range c.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	c.byKey = make(map[string]*Customer)
	for _, t := range c.Customers {
		for _, key := range t.Keys {
			c.byKey[key] = t
		}
	}
	return c
}

// Route returns the route with the longest prefix of path at host, nil if there
// is none.
func (c *Config) Route(host, path string) *Route {
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Customer returns the holder of a key, nil if there is none.
func (c *Config) Customer(key string) *Customer { return c.byKey[key] }

// Holding is a model that an endpoint holds, with its adapters.
type Holding struct {
	Model    string
	Adapters []string
}

// Endpoint is one run of a model engine or of a plain service.
type Endpoint struct {
	ID      string
	Service string
	Address netip.AddrPort
	Zone    string
	Slots   int
	// Sequence numbers the records of one run.
	Sequence int64
	// Born tells one run of an ID from the next.
	Born int64
	// Draining endpoints get no new requests.
	Draining bool
	// ColdLeft is how much longer the endpoint is slow after its start.
	ColdLeft time.Duration
	Holdings []Holding
	InMemory []string
	OnDisk   []string
}

// Change is a change of one endpoint in the registry.
type Change struct {
	ID string
	// Endpoint is nil if the record is gone or, with Err, unreadable.
	Endpoint *Endpoint
	Err      error
}

// Older reports whether an account of an endpoint was written before another.
func (e *Endpoint) Older(than *Endpoint) bool {
	if e.Born != than.Born {
		return e.Born < than.Born
	}
	return e.Sequence < than.Sequence
}
