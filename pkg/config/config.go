// Package config defines the text that operators publish, checks it, and folds
// the log's records into the configuration in force.
package config

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// Format is the version of the text's format that this release reads.
const Format = 1

// Config is a whole configuration.
type Config struct {
	Format    int                 `json:"format"`
	Services  map[string]Service  `json:"services"`
	Models    map[string]Model    `json:"models"`
	Customers map[string]Customer `json:"customers"`
	Routes    map[string]Route    `json:"routes"`
}

// ServiceKind tells model services from plain ones.
type ServiceKind string

// The kinds of services.
const (
	KindModel ServiceKind = "model"
	KindPlain ServiceKind = "plain"
)

// Service is a group of endpoints that serve the same calls.
type Service struct {
	Kind   ServiceKind `json:"kind"`
	Target Target      `json:"target"`
}

// Target is the service level that a service is to attain.
type Target struct {
	// FirstToken bounds the time to the first token, or to a plain answer.
	FirstToken time.Duration `json:"firstToken"`
	// BetweenTokens bounds the mean time between tokens of a stream.
	BetweenTokens time.Duration `json:"betweenTokens"`
	// Objective is the share of calls, from 0 to 1, that must attain both.
	Objective float64 `json:"objective"`
}

// Model is a model that a service serves.
type Model struct {
	Service string `json:"service"`
	// Version is the version that callers get.
	Version  string             `json:"version"`
	Versions map[string]Version `json:"versions"`
	Adapters map[string]Adapter `json:"adapters"`
}

// Version is one version of a model's weights.
type Version struct {
	MemoryBytes int64 `json:"memoryBytes"`
}

// Adapter is a small set of weights applied on top of a model.
type Adapter struct {
	MemoryBytes int64 `json:"memoryBytes"`
}

// Customer is a holder of keys with a rate and a burst.
type Customer struct {
	// Keys are named, so that a patch can withdraw one.
	Keys map[string]Key `json:"keys"`
	// RatePerSecond is the sustained rate in tokens a second.
	RatePerSecond float64 `json:"ratePerSecond"`
	// BurstTokens is how many tokens may be spent at once.
	BurstTokens float64 `json:"burstTokens"`
	// Weight is the customer's weight in fair queueing, 1 if unset.
	Weight float64 `json:"weight"`
	// Services are the services that the customer may call.
	Services []string `json:"services"`
	// Models are the models that the customer may call, all if empty.
	Models []string `json:"models"`
}

// Key is a caller's key, kept as a digest.
type Key struct {
	SHA256 string `json:"sha256"`
}

// Access tells keyed routes from open ones.
type Access string

// The kinds of access to a route.
const (
	AccessKeyed Access = "keyed"
	AccessOpen  Access = "open"
)

// Priority orders the queue at an endpoint.
type Priority string

// The priorities of a route.
const (
	PriorityInteractive Priority = "interactive"
	PriorityBatch       Priority = "batch"
)

// Route maps callers' paths to a service.
type Route struct {
	// Path is matched as a prefix that ends at a path segment.
	Path    string   `json:"path"`
	Methods []string `json:"methods"`
	Service string   `json:"service"`
	Access  Access   `json:"access"`
	// Idempotent says that a call may be repeated.
	Idempotent bool     `json:"idempotent"`
	Priority   Priority `json:"priority"`
	// TokensPerCall is what a call to a plain service costs.
	TokensPerCall float64 `json:"tokensPerCall"`
	// Headers and Query list the fields that are passed to the endpoint.
	Headers []string `json:"headers"`
	Query   []string `json:"query"`
	// Timeout bounds a call whose caller gave no deadline.
	Timeout time.Duration `json:"timeout"`
	// RunWithoutLog admits calls with an Idempotency-Key while the log is
	// down, when at most one run can be kept only within one agent's life.
	RunWithoutLog bool `json:"runWithoutLog"`
}

// Digest is the SHA-256 digest of a key.
type Digest [sha256.Size]byte

// DigestKey returns the digest of a key as a caller presents it.
func DigestKey(key []byte) Digest { return sha256.Sum256(key) }

// String returns the digest in the form that a text holds.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// parseDigest reads a digest from a text; ok is false if it is malformed.
func parseDigest(s string) (d Digest, ok bool) {
	decoded, err := hex.DecodeString(s)
	if err != nil || len(decoded) != len(d) {
		return d, false
	}
	copy(d[:], decoded)
	return d, true
}
