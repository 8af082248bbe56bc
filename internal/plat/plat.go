// Package plat defines interfaces to the platform's services and implements a
// client of each for the JSON over HTTP protocol in docs/PLATFORM.md.
//
// There is no client of the weight store: engines fetch weights from it
// themselves after an order, without asking for permission. Planners keep the
// loads that they order within the store's rate and slots, which are set in the
// entries' settings.
package plat

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"
)

// The log streams that the system uses.
const (
	StreamConfig = "config"
	StreamFleet  = "fleet"
	StreamClaims = "claims"
)

// Record is a record in a log stream.
type Record struct {
	Offset uint64          `json:"offset"`
	Time   time.Time       `json:"time"`
	Data   json.RawMessage `json:"data"`
}

// Page is a contiguous range of records in a stream. First is the oldest offset
// that the log retains, and Next is the offset of the next append.
type Page struct {
	First   uint64   `json:"first"`
	Next    uint64   `json:"next"`
	Records []Record `json:"records"`
	// RequestedAt is the time at which the reader sent the request. The page is
	// at least as recent.
	RequestedAt time.Time `json:"-"`
}

// Log is the platform's append-only log. Offsets in a stream start at 1.
type Log interface {
	// Append appends a record. After an error, the record may or may not be in
	// the log.
	Append(ctx context.Context, stream string, data []byte) (offset uint64, err error)
	// Read returns the records from an offset on. If there are none, it waits up
	// to wait for one.
	Read(ctx context.Context, stream string, from uint64, wait time.Duration) (Page, error)
}

// HostState is a host's state according to the platform.
type HostState string

// The states of a listed host.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// The roles of a listed host.
const (
	RoleEntry = "entry"
	RoleAgent = "agent"
)

// Host is an item of the platform's host list.
type Host struct {
	Name    string         `json:"name"`
	Role    string         `json:"role"`
	Zone    string         `json:"zone"`
	Service string         `json:"service"`
	Address netip.AddrPort `json:"address"`
	State   HostState      `json:"state"`
}

// Hosts is the platform's host list, which may lag behind the actual hosts.
type Hosts interface {
	List(ctx context.Context) ([]Host, error)
}

// Resident is a model or an adapter that occupies an engine's memory.
type Resident struct {
	Model       string `json:"model"`
	Version     string `json:"version"`
	Adapter     string `json:"adapter,omitempty"`
	MemoryBytes int64  `json:"memoryBytes"`
	// Ready is false until the weights have been loaded.
	Ready bool `json:"ready"`
}

// Report is an engine's report of its own state.
type Report struct {
	// AsOf is the time of the report by the engine's clock.
	AsOf time.Time `json:"asOf"`
	// Sequence increases with each report. It restarts at 0 with the engine.
	Sequence    uint64     `json:"sequence"`
	MemoryBytes int64      `json:"memoryBytes"`
	Residents   []Resident `json:"residents"`
	Running     int        `json:"running"`
	Waiting     int        `json:"waiting"`
	Slots       int        `json:"slots"`
	// Fence is the highest fencing token that the engine has seen. ChecksFence
	// says whether the engine rejects orders with lower ones.
	Fence       uint64 `json:"fence"`
	ChecksFence bool   `json:"checksFence"`
	// PrefillPerSecond and DecodePerSecond are rates in tokens per second.
	PrefillPerSecond float64 `json:"prefillPerSecond"`
	DecodePerSecond  float64 `json:"decodePerSecond"`
}

// Action is the kind of an order.
type Action string

// The actions that an order can request.
const (
	ActionLoad   Action = "load"
	ActionUnload Action = "unload"
)

// Order instructs an engine to load or unload a model or an adapter.
type Order struct {
	Fence       uint64 `json:"fence"`
	ID          string `json:"id"`
	Action      Action `json:"action"`
	Model       string `json:"model"`
	Version     string `json:"version"`
	Adapter     string `json:"adapter,omitempty"`
	MemoryBytes int64  `json:"memoryBytes"`
}

// Engine is the control interface of a model engine.
type Engine interface {
	Report(ctx context.Context) (Report, error)
	// Order sends an order. After an error, the order may still take effect.
	Order(ctx context.Context, o Order) error
}
