// Package fleet tracks the hosts that a process knows: from the platform's
// lagging list, from its own sessions and from what peers say of themselves.
package fleet

import (
	"maps"
	"slices"
	"time"

	"dogwoodfold/internal/plat"
	"dogwoodfold/internal/wire/wirepb"
)

// Peer is one known host.
type Peer struct {
	Host plat.Host
	// Incarnation is the peer's running process, 0 while there is no session.
	Incarnation uint64
	// Leaving is set by the list or by the peer, whichever is first.
	Leaving bool
	// HeardAt is when the last message came.
	HeardAt time.Time
	// ConfigOffset is the configuration that the peer said it runs.
	ConfigOffset uint64
	// Load is the last load report, nil before the first.
	Load   *wirepb.LoadReport
	LoadAt time.Time
}

// Linked reports whether there is a session to the peer.
func (p *Peer) Linked() bool { return p.Incarnation != 0 }

// Serves reports whether the peer's endpoint holds a model.
func (p *Peer) Serves(model, version, adapter string) bool {
	for _, held := range p.Load.GetModels() {
		if held.GetModel() != model || held.GetVersion() != version {
			continue
		}
		if adapter == "" || slices.Contains(held.GetAdapters(), adapter) {
			return true
		}
	}
	return false
}

// Fleet is the set of known hosts.
type Fleet struct {
	self string
	// version rises with each change of who can take what.
	version uint64
	peers   map[string]*Peer
}

// New returns a fleet that knows only the host named self.
func New(self string) *Fleet {
	return &Fleet{
		self:  self,
		peers: make(map[string]*Peer),
	}
}

// Version changes whenever Agents, or what an agent serves, may have changed.
func (f *Fleet) Version() uint64 { return f.version }

// Listed takes over the platform's list.
func (f *Fleet) Listed(hosts []plat.Host) {
	f.version++
	listed := make(map[string]bool)
	for _, host := range hosts {
		if host.Name == f.self {
			continue
		}
		listed[host.Name] = true
		p, known := f.peers[host.Name]
		if !known || p.Host.Address != host.Address {
			p = &Peer{}
			f.peers[host.Name] = p
		}
		p.Host = host
		p.Leaving = p.Leaving || host.State == plat.HostLeaving
	}
	maps.DeleteFunc(f.peers, func(name string, _ *Peer) bool { return !listed[name] })
}

// Up notes a new session.
func (f *Fleet) Up(now time.Time, name string, hello *wirepb.Hello) {
	p, known := f.peers[name]
	if !known {
		return
	}
	if p.Incarnation != hello.GetIncarnation() {
		p.Leaving = p.Host.State == plat.HostLeaving
		p.Load = nil
		p.ConfigOffset = 0
	}
	p.Incarnation = hello.GetIncarnation()
	p.HeardAt = now
	f.version++
}

// Down notes the end of a session of an incarnation.
func (f *Fleet) Down(name string, incarnation uint64) {
	if p, known := f.peers[name]; known && p.Incarnation == incarnation {
		p.Incarnation = 0
		f.version++
	}
}

// Heard takes over a heartbeat.
func (f *Fleet) Heard(now time.Time, name string, beat *wirepb.Heartbeat) {
	p, known := f.peers[name]
	if !known {
		return
	}
	p.HeardAt = now
	p.ConfigOffset = max(p.ConfigOffset, beat.GetConfigOffset())
	f.leave(p, beat.GetLeaving())
}

// Reported takes over a load report; an older one than the last is dropped.
func (f *Fleet) Reported(now time.Time, name string, report *wirepb.LoadReport) {
	p, known := f.peers[name]
	if !known || report.GetSequence() <= p.Load.GetSequence() {
		return
	}
	p.HeardAt = now
	if p.Load == nil || !sameModels(p.Load.GetModels(), report.GetModels()) {
		f.version++
	}
	p.Load = report
	p.LoadAt = now
	f.leave(p, report.GetLeaving())
}

// leave notes that a peer has said that it leaves.
func (f *Fleet) leave(p *Peer, leaving bool) {
	if leaving && !p.Leaving {
		p.Leaving = true
		f.version++
	}
}

// sameModels reports whether two reports hold the same in the same order.
func sameModels(a, b []*wirepb.HeldModel) bool {
	return slices.EqualFunc(a, b, func(x, y *wirepb.HeldModel) bool {
		return x.GetModel() == y.GetModel() && x.GetVersion() == y.GetVersion() &&
			slices.Equal(x.GetAdapters(), y.GetAdapters())
	})
}

// Peer returns a known host, nil if there is none of that name.
func (f *Fleet) Peer(name string) *Peer { return f.peers[name] }

// Peers returns the known hosts of a role, ordered by name.
func (f *Fleet) Peers(role string) []*Peer {
	var peers []*Peer
	for _, name := range slices.Sorted(maps.Keys(f.peers)) {
		if p := f.peers[name]; p.Host.Role == role {
			peers = append(peers, p)
		}
	}
	return peers
}

// Agents returns the agents of a service that can take new work, by name.
func (f *Fleet) Agents(service string) []*Peer {
	return slices.DeleteFunc(f.Peers(plat.RoleAgent), func(p *Peer) bool {
		return p.Host.Service != service || !p.Linked() || p.Leaving
	})
}
