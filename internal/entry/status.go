package entry

import (
	"context"
	"maps"
	"slices"
	"time"

	"dogwoodfold/internal/fleet"
	"dogwoodfold/internal/loop"
	"dogwoodfold/internal/plat"
	"dogwoodfold/internal/quota"
)

// StatusRequested requests the status of the reducer.
type StatusRequested struct {
	// Reply receives the status. It must have room for one value, because the
	// loop must not block.
	Reply chan<- Status
}

// ReplyStatus answers a StatusRequested.
type ReplyStatus struct {
	Reply  chan<- Status
	Status Status
}

func (StatusRequested) isEvent() {}
func (ReplyStatus) isEffect()    {}

// Status is the status of an entry for operators.
type Status struct {
	Host         string       `json:"host"`
	Ready        bool         `json:"ready"`
	Leaving      bool         `json:"leaving"`
	ConfigOffset uint64       `json:"configOffset"`
	Calls        int          `json:"calls"`
	Peers        []PeerStatus `json:"peers"`
	// Rates is the state of the shares of the customers' rates, nil if they are
	// fixed.
	Rates *quota.Status `json:"rates,omitempty"`
	// Models counts the endpoints that are ready for each configured model.
	Models map[string]int `json:"models"`
}

// PeerStatus is an entry's view of another host.
type PeerStatus struct {
	Host         string   `json:"host"`
	Role         string   `json:"role"`
	Zone         string   `json:"zone"`
	Service      string   `json:"service,omitempty"`
	Linked       bool     `json:"linked"`
	Leaving      bool     `json:"leaving"`
	SilentMs     int64    `json:"silentMs"`
	ConfigOffset uint64   `json:"configOffset,omitempty"`
	Running      uint32   `json:"running"`
	Queued       uint32   `json:"queued"`
	Models       []string `json:"models,omitempty"`
}

// handleStatusRequest returns the current status.
func (c *Core) handleStatusRequest(now time.Time, event StatusRequested) []Effect {
	status := Status{
		Host:         c.host,
		Ready:        c.ready,
		Leaving:      c.leaving,
		ConfigOffset: c.fold.Accepted,
		Calls:        len(c.calls),
		Models:       make(map[string]int),
	}
	if c.quota.node != nil {
		quotaStatus := c.quota.node.Status(now)
		status.Rates = &quotaStatus
	}
	if c.index != nil {
		for _, name := range slices.Sorted(maps.Keys(c.index.Config.Models)) {
			status.Models[name] = c.readyEndpoints(name)
		}
	}
	for _, role := range []string{plat.RoleAgent, plat.RoleEntry} {
		for _, peer := range c.fleet.Peers(role) {
			status.Peers = append(status.Peers, peerStatus(now, peer))
		}
	}
	return []Effect{ReplyStatus{
		Reply:  event.Reply,
		Status: status,
	}}
}

// readyEndpoints counts the endpoints that serve the configured version of a
// model.
func (c *Core) readyEndpoints(name string) int {
	model := c.index.Config.Models[name]
	count := 0
	for _, peer := range c.fleet.PreferredAgents(model.Service) {
		if peer.Serves(name, model.Version, "") {
			count++
		}
	}
	return count
}

func peerStatus(now time.Time, peer *fleet.Peer) PeerStatus {
	status := PeerStatus{
		Host:         peer.Host.Name,
		Role:         peer.Host.Role,
		Zone:         peer.Host.Zone,
		Service:      peer.Host.Service,
		Linked:       peer.Linked(),
		Leaving:      peer.Leaving,
		SilentMs:     -1,
		ConfigOffset: peer.ConfigOffset,
		Running:      peer.Load.GetRunning(),
		Queued:       peer.Load.GetQueued(),
	}
	if !peer.LastMessageAt.IsZero() {
		status.SilentMs = now.Sub(peer.LastMessageAt).Milliseconds()
	}
	for _, model := range peer.Load.GetModels() {
		status.Models = append(status.Models, model.GetModel()+"/"+model.GetVersion())
	}
	return status
}

// Status returns the status of the reducer.
func (s *Server) Status(ctx context.Context) (any, error) {
	return loop.Ask(ctx, s.loop, func(reply chan<- Status) Event { return StatusRequested{Reply: reply} })
}
