// Package config defines the configuration that operators publish, validates it,
// and computes the current configuration from the records in the log.
package config

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// Format is the newest version of the configuration format that this release
// supports.
const Format = 2

// Config is a decoded configuration document.
type Config struct {
	Format    int                 `json:"format"`
	Services  map[string]Service  `json:"services"`
	Models    map[string]Model    `json:"models"`
	Customers map[string]Customer `json:"customers"`
	Routes    map[string]Route    `json:"routes"`
	// EvacuatedZones are the zones whose agents get no calls, from format 2 on.
	EvacuatedZones map[string]EvacuatedZone `json:"evacuatedZones"`
}

// ServiceKind distinguishes model services from plain HTTP services.
type ServiceKind string

// The service kinds.
const (
	KindModel ServiceKind = "model"
	KindPlain ServiceKind = "plain"
)

// Service is a group of equivalent endpoints.
type Service struct {
	Kind   ServiceKind `json:"kind"`
	Target Target      `json:"target"`
}

// Target is the service level objective of a service.
type Target struct {
	// FirstToken bounds the time to the first token, or to the response of a
	// plain service.
	FirstToken time.Duration `json:"firstToken"`
	// BetweenTokens bounds the mean time between the tokens of a stream.
	BetweenTokens time.Duration `json:"betweenTokens"`
	// Objective is the fraction of calls that must meet both bounds. It is at
	// least 0 and less than 1.
	Objective float64 `json:"objective"`
}

// Model is a model served by a model service.
type Model struct {
	Service string `json:"service"`
	// Version is the version that serves calls.
	Version  string             `json:"version"`
	Versions map[string]Version `json:"versions"`
	Adapters map[string]Adapter `json:"adapters"`
}

// Version is a version of a model's weights.
type Version struct {
	MemoryBytes int64 `json:"memoryBytes"`
}

// Adapter is a small set of weights applied on top of a model.
type Adapter struct {
	MemoryBytes int64 `json:"memoryBytes"`
}

// Customer is a holder of API keys with a rate limit and permissions.
type Customer struct {
	// Keys are named so that a merge patch can revoke a single one.
	Keys map[string]Key `json:"keys"`
	// RatePerSecond is the sustained rate limit in tokens per second.
	RatePerSecond float64 `json:"ratePerSecond"`
	// BurstTokens is the number of tokens that may be spent at once.
	BurstTokens float64 `json:"burstTokens"`
	// Weight is the customer's weight in fair queueing; 0 means 1.
	Weight float64 `json:"weight"`
	// Services lists the services that the customer may call.
	Services []string `json:"services"`
	// Models lists the models that the customer may call. If it is empty, all
	// models of its services are permitted.
	Models []string `json:"models"`
}

// Key is an API key, stored as its hexadecimal SHA-256 digest.
type Key struct {
	SHA256 string `json:"sha256"`
}

// Access says whether a route requires an API key.
type Access string

// The access modes of a route.
const (
	AccessKeyed Access = "keyed"
	AccessOpen  Access = "open"
)

// Priority is the queueing priority of calls at an endpoint.
type Priority string

// The priorities of a route.
const (
	PriorityInteractive Priority = "interactive"
	PriorityBatch       Priority = "batch"
)

// Route maps request paths to a service.
type Route struct {
	// Path matches as a prefix of whole path segments.
	Path    string   `json:"path"`
	Methods []string `json:"methods"`
	Service string   `json:"service"`
	Access  Access   `json:"access"`
	// Idempotent says that a call may safely be executed more than once.
	Idempotent bool     `json:"idempotent"`
	Priority   Priority `json:"priority"`
	// TokensPerCall is the cost of a call to a plain service.
	TokensPerCall float64 `json:"tokensPerCall"`
	// Headers and Query list the header fields and query parameters that are
	// forwarded to the endpoint.
	Headers []string `json:"headers"`
	Query   []string `json:"query"`
	// Timeout bounds calls whose caller sets no deadline.
	Timeout time.Duration `json:"timeout"`
	// RunWithoutLog admits calls with an Idempotency-Key while the log is
	// unavailable. At-most-once execution is then guaranteed only for the
	// lifetime of one agent process.
	RunWithoutLog bool `json:"runWithoutLog"`
}

// Digest is the SHA-256 digest of a key.
type Digest [sha256.Size]byte

// DigestKey returns the digest of a key in the form that callers present it.
func DigestKey(key []byte) Digest { return sha256.Sum256(key) }

// String returns the digest in the hexadecimal form used in configurations.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// parseDigest parses a hexadecimal digest; ok is false if it is malformed.
func parseDigest(s string) (d Digest, ok bool) {
	decoded, err := hex.DecodeString(s)
	if err != nil || len(decoded) != len(d) {
		return d, false
	}
	copy(d[:], decoded)
	return d, true
}
