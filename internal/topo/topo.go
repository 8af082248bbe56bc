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
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Timeout is the longest time that a request may take.
	Timeout time.Duration
	// LatencyObjective is the latency within which an answer, or the first event of a
	// stream, has its full worth.
	LatencyObjective time.Duration
	// GapObjective is the longest pause between events that is still on time.
	GapObjective time.Duration
	// Priority is the rank of the requests; 0 is the most urgent.
	Priority int
	Targets  []Target
	// MaxAttempts is how many endpoints a request may be sent to.
	MaxAttempts int
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
	// DefaultTokens is the cost of a request that doesn't tell its tokens. It is 1
	// where requests are counted instead of tokens.
	DefaultTokens float64
	ByTokens      bool
}

// Model is a set of weights that engines of a service may hold.
type Model struct {
	Name string
	// SizeMB is the size of the weights in MB.
	SizeMB float64
	// StoreLoadTime, DiskTime and WarmTime are how long a load takes from the weight
	// store, from the engine's disk and from its memory.
	StoreLoadTime  time.Duration
	DiskLoadTime   time.Duration
	MemoryLoadTime time.Duration
	AdapterSizeMB  float64
}

// EngineSpec describes the model engines of a service.
type EngineSpec struct {
	Slots          int
	KVCacheTokens  int
	Models         map[string]*Model
	WeightMemoryMB float64
	AdapterSlots   int
	// LoadsPerSecond bounds the loads from the weight store over all engines.
	LoadsPerSecond float64
}

// Service is a set of endpoints that do the same work.
type Service struct {
	Name       string
	HealthPath string
	MaxConns   int
	// Engine is nil for plain services.
	Engine *EngineSpec
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

	routesByHost   map[string][]*Route
	customersByKey map[string]*Customer
}

// BuildIndex prepares the look-ups of a configuration and returns it.
func (c *Config) BuildIndex() *Config {
	c.routesByHost = make(map[string][]*Route)
	for _, r := range c.Routes {
		c.routesByHost[r.Host] = append(c.routesByHost[r.Host], r)
	}
	for _, routes := range c.routesByHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	c.customersByKey = make(map[string]*Customer)
	for _, customer := range c.Customers {
		for _, key := range customer.Keys {
			c.customersByKey[key] = customer
		}
	}
	return c
}

// MatchRoute returns the route with the longest prefix of path at host, nil if there
// is none.
func (c *Config) MatchRoute(host, path string) *Route {
	for _, r := range c.routesByHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// CustomerByKey returns the holder of a key, nil if there is none.
func (c *Config) CustomerByKey(key string) *Customer { return c.customersByKey[key] }

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
	// Incarnation tells one run of an ID from the next.
	Incarnation int64
	// Draining endpoints get no new requests.
	Draining bool
	// ColdRemaining is how much longer the endpoint is slow after its start.
	ColdRemaining time.Duration
	Holdings      []Holding
	InMemory      []string
	OnDisk        []string
}

// EndpointChange is a change of one endpoint in the registry.
type EndpointChange struct {
	ID string
	// Endpoint is nil if the record is gone or, with Err, unreadable.
	Endpoint *Endpoint
	Err      error
}

// OlderThan reports whether an account of an endpoint was written before another.
func (e *Endpoint) OlderThan(other *Endpoint) bool {
	if e.Incarnation != other.Incarnation {
		return e.Incarnation < other.Incarnation
	}
	return e.Sequence < other.Sequence
}
