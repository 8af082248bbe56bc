// Package plat holds the interfaces to what the platform gives, and a client
// of each in the HTTP and JSON shape that docs/PLATFORM.md describes.
//
// There is none to the weight store: engines fetch weights from it by
// themselves after an order, and need no permission. Planners keep their loads
// within its rate and slots, which the entries' settings name.
package plat

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"
)

// The streams of the log that the system uses.
const (
	StreamConfig = "config"
	StreamFleet  = "fleet"
	StreamClaims = "claims"
)

// Record is one record of a stream of the log.
type Record struct {
	Offset uint64          `json:"offset"`
	Time   time.Time       `json:"time"`
	Data   json.RawMessage `json:"data"`
}

// Page is a run of records. First is the oldest offset that the log still
// keeps, Next the offset that the next append will get.
type Page struct {
	First   uint64   `json:"first"`
	Next    uint64   `json:"next"`
	Records []Record `json:"records"`
	// RequestedAt is when the reader asked; the page is no older.
	RequestedAt time.Time `json:"-"`
}

// Log is the platform's append-only log. Offsets in a stream start at 1.
type Log interface {
	// Append adds a record. After an error it may or may not be in the log.
	Append(ctx context.Context, stream string, data []byte) (offset uint64, err error)
	// Read returns records from an offset on, waiting up to wait for one.
	Read(ctx context.Context, stream string, from uint64, wait time.Duration) (Page, error)
}

// HostState is what the platform says of a host.
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

// Host is one host of the platform's list.
type Host struct {
	Name    string         `json:"name"`
	Role    string         `json:"role"`
	Zone    string         `json:"zone"`
	Service string         `json:"service"`
	Address netip.AddrPort `json:"address"`
	State   HostState      `json:"state"`
}

// Hosts is the platform's lagging list of hosts.
type Hosts interface {
	List(ctx context.Context) ([]Host, error)
}

// Resident is a model or an adapter in an engine's memory.
type Resident struct {
	Model       string `json:"model"`
	Version     string `json:"version"`
	Adapter     string `json:"adapter,omitempty"`
	MemoryBytes int64  `json:"memoryBytes"`
	// Ready is false while the weights are still being loaded.
	Ready bool `json:"ready"`
}

// Report is what an engine says of itself.
type Report struct {
	// AsOf is the engine's time of the report.
	AsOf time.Time `json:"asOf"`
	// Sequence rises with each report; 0 after the engine started.
	Sequence    uint64     `json:"sequence"`
	MemoryBytes int64      `json:"memoryBytes"`
	Residents   []Resident `json:"residents"`
	Running     int        `json:"running"`
	Waiting     int        `json:"waiting"`
	Slots       int        `json:"slots"`
	// Fence is the highest fencing number seen, ChecksFence whether lower
	// ones are refused.
	Fence       uint64 `json:"fence"`
	ChecksFence bool   `json:"checksFence"`
	// PrefillPerSecond and DecodePerSecond are rates in tokens.
	PrefillPerSecond float64 `json:"prefillPerSecond"`
	DecodePerSecond  float64 `json:"decodePerSecond"`
}

// Action is what an order asks of an engine.
type Action string

// The actions of orders.
const (
	ActionLoad   Action = "load"
	ActionUnload Action = "unload"
)

// Order asks an engine to change what it holds.
type Order struct {
	Fence       uint64 `json:"fence"`
	ID          string `json:"id"`
	Action      Action `json:"action"`
	Model       string `json:"model"`
	Version     string `json:"version"`
	Adapter     string `json:"adapter,omitempty"`
	MemoryBytes int64  `json:"memoryBytes"`
}

// Engine is the control side of a model engine.
type Engine interface {
	Report(ctx context.Context) (Report, error)
	// Order sends an order. After an error it may still take effect.
	Order(ctx context.Context, o Order) error
}
