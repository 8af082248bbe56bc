// Package topo describes a deployment as an entry knows it: the routes, services and
// customers that the operator configures, and the endpoints that run.
package topo

import (
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Kind tells how often a request of a route may run.
type Kind int

// Kinds of routes. The zero value is the strictest.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run again.
	Idempotent
	// Stream requests are answered by a stream of events and run at most once,
	// unless the route is resumable.
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

// Target is a service that receives a part of a route's requests, by weight.
type Target struct {
	Service string
	Weight  int
}

// Route is a rule for requests to one host whose path begins with a prefix.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Timeout is the maximum duration of a request.
	Timeout time.Duration
	// LatencyObjective is the latency within which a response, or the first event
	// of a stream, has its full value.
	LatencyObjective time.Duration
	// GapObjective is the longest time between two events of a stream that still
	// meets the objective.
	GapObjective time.Duration
	// Priority is the priority of the requests; 0 is the most urgent.
	Priority int
	Targets  []Target
	// MaxAttempts is the number of endpoints that a request may be sent to.
	MaxAttempts int
	// Public routes require no key.
	Public bool
	// Resumable streams may be continued by another endpoint after their last event.
	Resumable bool
	// AllowedRegions are those whose endpoints may get the requests; all if empty.
	AllowedRegions []string
}

// MayRepeat reports whether a request may run more than once.
func (r *Route) MayRepeat() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Customer is the owner of API keys that share a rate limit.
type Customer struct {
	Name     string
	Keys     []string
	Priority int
	// Rate is in tokens per second, Burst in tokens; a Rate of 0 means no limit.
	Rate  float64
	Burst float64
	// DefaultTokens is the cost of a request that doesn't state its tokens. It is 1
	// if requests are counted instead of tokens.
	DefaultTokens float64
	ByTokens      bool
	// AllowedRegions are those whose endpoints may get the customer's requests; all if empty.
	AllowedRegions []string
}

// Model describes a model that the engines of a service may hold.
type Model struct {
	Name string
	// SizeMB is the size of the weights in MB.
	SizeMB float64
	// StoreLoadTime, DiskLoadTime and MemoryLoadTime are how long a load takes from
	// the weight store, from the engine's disk and from its memory.
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
	// LoadsPerSecond limits the loads from the weight store by all engines together.
	LoadsPerSecond float64
}

// Service is a set of endpoints that do the same work.
type Service struct {
	Name       string
	HealthPath string
	MaxConns   int
	// ColdPerSecond is how many requests per second a cold endpoint takes from all entries
	// together, 0 if that isn't limited. ColdStart is how long an endpoint is cold.
	ColdPerSecond float64
	ColdStart     time.Duration
	// Engine is nil for services that don't run models.
	Engine *EngineSpec
}

// Limits bounds the size of client requests and the time to wait for them.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the operator's configuration. It is not changed after
// BuildIndex.
type Config struct {
	Version   int64
	Routes    []*Route
	Services  map[string]*Service
	Customers map[string]*Customer
	Limits    Limits
	// Record is the operator's record as it was read, to hand on to other entries.
	Record []byte

	routesByHost   map[string][]*Route
	customersByKey map[string]*Customer
}

// BuildIndex builds the lookup tables of the configuration and returns it.
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

// MatchRoute returns the route at host with the longest prefix that matches path, or
// nil if there is none.
func (c *Config) MatchRoute(host, path string) *Route {
	for _, r := range c.routesByHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// CustomerByKey returns the owner of a key, or nil if there is none.
func (c *Config) CustomerByKey(key string) *Customer { return c.customersByKey[key] }

// Holding is a model that an endpoint holds, and the adapters of it that it holds.
type Holding struct {
	Model    string
	Adapters []string
}

// Endpoint is one incarnation of a model engine, or of an instance of a service that
// runs no models.
type Endpoint struct {
	ID      string
	Service string
	Address netip.AddrPort
	Zone    string
	// SoftwareVersion is the version of the endpoint's software. Events that
	// different versions write do not fit together in one stream.
	SoftwareVersion string
	Slots           int
	// Sequence numbers the registry records of one incarnation.
	Sequence int64
	// Incarnation distinguishes successive runs under the same ID; it is larger for
	// a later run.
	Incarnation int64
	// Draining endpoints get no new requests.
	Draining bool
	// ColdRemaining is how much longer the endpoint will be slow after its start.
	ColdRemaining time.Duration
	Holdings      []Holding
	InMemory      []string
	OnDisk        []string
}

// EndpointChange is a change of one endpoint's record in the registry.
type EndpointChange struct {
	ID string
	// Endpoint is nil if the record was removed or, with Err set, is invalid.
	Endpoint *Endpoint
	Err      error
}

// ZoneChange is a record of the operator that evacuates a zone or ends its evacuation.
type ZoneChange struct {
	Zone      string
	Evacuated bool
	// Offset is that of the record in the operator's topic.
	Offset int64
}

// OlderThan reports whether a record of an endpoint was written before another.
func (e *Endpoint) OlderThan(other *Endpoint) bool {
	if e.Incarnation != other.Incarnation {
		return e.Incarnation < other.Incarnation
	}
	return e.Sequence < other.Sequence
}
