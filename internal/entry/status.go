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

// Inspect asks for the reducer's status.
type Inspect struct {
	// Reply takes the status; it must have room for one.
	Reply chan<- Status
}

// Inspected answers Inspect.
type Inspected struct {
	Reply  chan<- Status
	Status Status
}

func (Inspect) isEvent()    {}
func (Inspected) isEffect() {}

// Status is what an entry shows to operators.
type Status struct {
	Host         string       `json:"host"`
	Ready        bool         `json:"ready"`
	Leaving      bool         `json:"leaving"`
	ConfigOffset uint64       `json:"configOffset"`
	Calls        int          `json:"calls"`
	Peers        []PeerStatus `json:"peers"`
	// Rates shows the shares of the customers' rates, nil if they are fixed.
	Rates *quota.Status `json:"rates,omitempty"`
	// Models counts the ready endpoints of each listed model.
	Models map[string]int `json:"models"`
}

// PeerStatus is what an entry knows of another host.
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

// inspect returns the status of this moment.
func (c *Core) inspect(now time.Time, e Inspect) []Effect {
	s := Status{
		Host:         c.host,
		Ready:        c.ready,
		Leaving:      c.leaving,
		ConfigOffset: c.fold.Accepted,
		Calls:        len(c.calls),
		Models:       make(map[string]int),
	}
	if c.shares.node != nil {
		standing := c.shares.node.Status(now)
		s.Rates = &standing
	}
	if c.index != nil {
		for _, name := range slices.Sorted(maps.Keys(c.index.Text.Models)) {
			s.Models[name] = c.holders(name)
		}
	}
	for _, role := range []string{plat.RoleAgent, plat.RoleEntry} {
		for _, p := range c.fleet.Peers(role) {
			s.Peers = append(s.Peers, peerStatus(now, p))
		}
	}
	return []Effect{Inspected{
		Reply:  e.Reply,
		Status: s,
	}}
}

// holders counts the endpoints that serve the listed version of a model.
func (c *Core) holders(name string) int {
	model := c.index.Text.Models[name]
	count := 0
	for _, p := range c.fleet.PreferredAgents(model.Service) {
		if p.Serves(name, model.Version, "") {
			count++
		}
	}
	return count
}

func peerStatus(now time.Time, p *fleet.Peer) PeerStatus {
	s := PeerStatus{
		Host:         p.Host.Name,
		Role:         p.Host.Role,
		Zone:         p.Host.Zone,
		Service:      p.Host.Service,
		Linked:       p.Linked(),
		Leaving:      p.Leaving,
		SilentMs:     -1,
		ConfigOffset: p.ConfigOffset,
		Running:      p.Load.GetRunning(),
		Queued:       p.Load.GetQueued(),
	}
	if !p.LastMessageAt.IsZero() {
		s.SilentMs = now.Sub(p.LastMessageAt).Milliseconds()
	}
	for _, m := range p.Load.GetModels() {
		s.Models = append(s.Models, m.GetModel()+"/"+m.GetVersion())
	}
	return s
}

// Status asks the reducer for its status.
func (s *Server) Status(ctx context.Context) (any, error) {
	return loop.Ask(ctx, s.loop, func(reply chan<- Status) Event { return Inspect{Reply: reply} })
}
