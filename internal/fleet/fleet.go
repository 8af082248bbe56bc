// Package fleet tracks the hosts known to a process. It combines three sources:
// the platform's host list, which may lag, the process's own sessions, and the
// state that peers report about themselves.
package fleet

import (
	"maps"
	"slices"
	"time"

	"dogwoodfold/internal/plat"
	"dogwoodfold/internal/wire/wirepb"
)

const (
	// suspectTimeout is how long a linked host may send nothing before it
	// stops receiving new work.
	suspectTimeout = 3 * time.Second
	// pauseThreshold is the interval between ticks at or above which this
	// process is assumed to have been paused itself. The silence of its peers
	// during a pause is not evidence of failure.
	pauseThreshold = time.Second
)

// Fleet is the set of known hosts.
type Fleet struct {
	// version is incremented whenever the set of available agents, or the
	// models they serve, may have changed.
	version uint64
	self    string
	peers   map[string]*Peer
	// unlistedSessions holds the greetings of hosts that have a session and are
	// not listed, by name.
	unlistedSessions map[string]*wirepb.Hello
	// byRole caches the peers of each role, sorted by name. It is nil after a
	// change of the set of peers.
	byRole map[string][]*Peer
	// lastTick is the time of the last call of Tick.
	lastTick time.Time
}

// New returns an empty fleet. The host named self is never added to it.
func New(self string) *Fleet {
	return &Fleet{
		self:             self,
		peers:            make(map[string]*Peer),
		unlistedSessions: make(map[string]*wirepb.Hello),
	}
}

// Version returns a number that changes whenever the result of AvailableAgents,
// or the set of models that an agent serves, may have changed.
func (f *Fleet) Version() uint64 { return f.version }

// UpdateHosts applies the platform's host list. An empty list is treated as a
// fault of the list and ignored. A host missing from the list is kept while it
// is linked, so that a lagging list does not interrupt calls.
func (f *Fleet) UpdateHosts(hosts []plat.Host) {
	if len(hosts) == 0 {
		return
	}
	f.version++
	listedNames := make(map[string]bool)
	for _, host := range hosts {
		if host.Name != f.self {
			listedNames[host.Name] = true
			f.updateHost(host)
		}
	}
	for name, p := range f.peers {
		p.Unlisted = !listedNames[name]
	}
	maps.DeleteFunc(f.peers, func(_ string, p *Peer) bool { return p.Unlisted && !p.Linked() })
	f.byRole = nil
}

// updateHost applies an entry of the host list. A host with a new address is a new peer.
func (f *Fleet) updateHost(host plat.Host) {
	p, ok := f.peers[host.Name]
	if !ok || p.Host.Address != host.Address {
		p = &Peer{}
		f.peers[host.Name] = p
	}
	p.Host = host
	p.Unlisted = false
	p.updateLeaving()
	if hello := f.unlistedSessions[host.Name]; hello != nil {
		delete(f.unlistedSessions, host.Name)
		f.SessionUp(f.lastTick, host.Name, hello)
	}
}

// SessionUp records a new session with a host. State reported by an earlier
// process of the host is discarded, as it does not apply to the new one.
func (f *Fleet) SessionUp(now time.Time, name string, hello *wirepb.Hello) {
	p, ok := f.peers[name]
	if !ok {
		f.unlistedSessions[name] = hello
		return
	}
	if p.lastIncarnation != hello.GetIncarnation() {
		p.leavingReported = false
		p.Load = nil
		p.ConfigOffset = 0
	}
	p.Incarnation = hello.GetIncarnation()
	p.lastIncarnation = p.Incarnation
	f.version++
	p.recordMessage(now, false)
}

// SessionDown records the end of a session with the given incarnation. It
// reports whether the host has been removed, which happens if it is missing from
// the host list as well.
func (f *Fleet) SessionDown(name string, incarnation uint64) (removed bool) {
	if hello := f.unlistedSessions[name]; hello.GetIncarnation() == incarnation {
		delete(f.unlistedSessions, name)
	}
	p, ok := f.peers[name]
	if !ok || p.Incarnation != incarnation {
		return false
	}
	p.Incarnation = 0
	f.version++
	if p.Unlisted {
		delete(f.peers, name)
		f.byRole = nil
	}
	return p.Unlisted
}

// IsCurrent reports whether a message of the given incarnation comes from the
// process that the host runs now. An unknown incarnation on either side counts
// as current; an unknown host does not.
func (f *Fleet) IsCurrent(name string, incarnation uint64) bool {
	p, ok := f.peers[name]
	return ok && (incarnation == 0 || p.Incarnation == 0 || p.Incarnation == incarnation)
}

// HandleHeartbeat processes a heartbeat.
func (f *Fleet) HandleHeartbeat(now time.Time, name string, heartbeat *wirepb.Heartbeat) {
	p, ok := f.peers[name]
	if !ok {
		return
	}
	p.ConfigOffset = max(p.ConfigOffset, heartbeat.GetConfigOffset())
	f.messageReceived(now, p, heartbeat.GetLeaving())
}

// HandleLoadReport processes a load report. A report that is not newer than the
// last one is dropped.
func (f *Fleet) HandleLoadReport(now time.Time, name string, report *wirepb.LoadReport) {
	p, ok := f.peers[name]
	if !ok || report.GetSequence() <= p.Load.GetSequence() {
		return
	}
	if p.Load == nil || !sameModels(p.Load.GetModels(), report.GetModels()) {
		f.version++
	}
	p.Load = report
	p.LoadReceivedAt = now
	f.messageReceived(now, p, report.GetLeaving())
}

// messageReceived records a message from a known host and increments the version
// if it changes the host's availability.
func (f *Fleet) messageReceived(now time.Time, p *Peer, leaving bool) {
	before := *p
	p.recordMessage(now, leaving)
	if before.Leaving != p.Leaving || before.Suspect != p.Suspect {
		f.version++
	}
}

// sameModels reports whether two reports list the same models in the same order.
func sameModels(a, b []*wirepb.HeldModel) bool {
	return slices.EqualFunc(a, b, func(x, y *wirepb.HeldModel) bool {
		return x.GetModel() == y.GetModel() && x.GetVersion() == y.GetVersion() &&
			slices.Equal(x.GetAdapters(), y.GetAdapters())
	})
}

// Tick marks hosts suspect that have been silent for suspectTimeout. A pause of
// this process is not counted as silence, because messages that arrived during
// it may still be unread.
func (f *Fleet) Tick(now time.Time) {
	pause := now.Sub(f.lastTick)
	if f.lastTick.IsZero() || pause < pauseThreshold {
		pause = 0
	}
	f.lastTick = now
	for _, p := range f.peers {
		p.LastMessageAt = p.LastMessageAt.Add(pause)
		suspect := p.Linked() && now.Sub(p.LastMessageAt) >= suspectTimeout
		if p.Suspect != suspect {
			p.Suspect = suspect
			f.version++
		}
	}
}

// Peer returns the host with the given name, or nil if it is unknown.
func (f *Fleet) Peer(name string) *Peer { return f.peers[name] }

// Peers returns the known hosts of a role, sorted by name.
func (f *Fleet) Peers(role string) []*Peer {
	if f.byRole == nil {
		f.byRole = make(map[string][]*Peer)
		for _, name := range slices.Sorted(maps.Keys(f.peers)) {
			p := f.peers[name]
			f.byRole[p.Host.Role] = append(f.byRole[p.Host.Role], p)
		}
	}
	return slices.Clone(f.byRole[role])
}

// PreferredAgents returns the agents of a service that can take new work, sorted
// by name. Unlisted agents are included only if no listed one is available.
func (f *Fleet) PreferredAgents(service string) []*Peer {
	available := f.AvailableAgents(service)
	listed := slices.DeleteFunc(slices.Clone(available), func(p *Peer) bool { return p.Unlisted })
	if len(listed) == 0 {
		return available
	}
	return listed
}

// AvailableAgents returns the agents of a service that can take new work, sorted
// by name, including unlisted ones.
func (f *Fleet) AvailableAgents(service string) []*Peer {
	return slices.DeleteFunc(f.Peers(plat.RoleAgent), func(p *Peer) bool {
		return p.Host.Service != service || !p.Linked() || p.Leaving || p.Suspect
	})
}
