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

const (
	// suspectTimeout is how long a linked host may be silent and still get new
	// work.
	suspectTimeout = 3 * time.Second
	// pauseThreshold is the time between ticks from which on the process itself
	// was paused, so that silence says nothing of its peers.
	pauseThreshold = time.Second
)

// Peer is one known host.
type Peer struct {
	Host plat.Host
	// Incarnation is the peer's running process, 0 while there is no session.
	Incarnation uint64
	// Leaving is set by the list or by the peer, whichever is first.
	Leaving bool
	// Unlisted says that the list has lost the host while it was linked. Its
	// running calls go on; it gets no new ones unless nobody else can.
	Unlisted bool
	// Suspect says that the host is linked, but silent.
	Suspect bool
	// LastMessageAt is when the last message came.
	LastMessageAt time.Time
	// ConfigOffset is the configuration that the peer said it runs.
	ConfigOffset uint64
	// Load is the last load report, nil before the first.
	Load           *wirepb.LoadReport
	LoadReceivedAt time.Time

	// leavingReported is Leaving as the process named last said of itself.
	leavingReported bool
	lastIncarnation uint64
}

// Linked reports whether there is a session to the peer.
func (p *Peer) Linked() bool { return p.Incarnation != 0 }

// updateLeaving works out Leaving from the list and from what the peer said.
func (p *Peer) updateLeaving() {
	p.Leaving = p.leavingReported || p.Host.State == plat.HostLeaving
}

// messageReceived notes a message.
func (p *Peer) messageReceived(now time.Time, leaving bool) {
	p.LastMessageAt = now
	p.Suspect = false
	p.leavingReported = p.leavingReported || leaving
	p.updateLeaving()
}

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
	// version rises with each change of who can take what.
	version uint64
	self    string
	peers   map[string]*Peer
	// byRole holds the peers of each role by name; nil after a change.
	byRole   map[string][]*Peer
	lastTick time.Time
}

// New returns a fleet that knows only the host named self.
func New(self string) *Fleet {
	return &Fleet{
		self:  self,
		peers: make(map[string]*Peer),
	}
}

// Version changes whenever Able, or what an agent serves, may have changed.
func (f *Fleet) Version() uint64 { return f.version }

// UpdateHosts takes over the platform's list. An empty one is taken for a fault of
// the list, and changes nothing. A host that has vanished is kept while it is
// linked, since a list that lags must not cut calls.
func (f *Fleet) UpdateHosts(hosts []plat.Host) {
	if len(hosts) == 0 {
		return
	}
	f.version++
	listedNames := make(map[string]bool)
	for _, host := range hosts {
		if host.Name == f.self {
			continue
		}
		listedNames[host.Name] = true
		p, ok := f.peers[host.Name]
		if !ok || p.Host.Address != host.Address {
			p = &Peer{}
			f.peers[host.Name] = p
		}
		p.Host = host
		p.Unlisted = false
		p.updateLeaving()
	}
	for name, p := range f.peers {
		p.Unlisted = !listedNames[name]
	}
	maps.DeleteFunc(f.peers, func(_ string, p *Peer) bool { return p.Unlisted && !p.Linked() })
	f.byRole = nil
}

// SessionUp notes a new session. What an earlier process of the host said of itself
// does not hold for a new one.
func (f *Fleet) SessionUp(now time.Time, name string, hello *wirepb.Hello) {
	p, ok := f.peers[name]
	if !ok {
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
	p.messageReceived(now, false)
}

// SessionDown notes the end of a session of an incarnation. It reports whether the
// host is forgotten, as the list has lost it too.
func (f *Fleet) SessionDown(name string, incarnation uint64) (removed bool) {
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

// IsCurrent reports whether a message of an incarnation is of the process that
// the host now runs, as far as that is known.
func (f *Fleet) IsCurrent(name string, incarnation uint64) bool {
	p, ok := f.peers[name]
	return ok && (incarnation == 0 || p.Incarnation == 0 || p.Incarnation == incarnation)
}

// HandleHeartbeat takes over a heartbeat.
func (f *Fleet) HandleHeartbeat(now time.Time, name string, heartbeat *wirepb.Heartbeat) {
	p, ok := f.peers[name]
	if !ok {
		return
	}
	p.ConfigOffset = max(p.ConfigOffset, heartbeat.GetConfigOffset())
	f.messageReceived(now, p, heartbeat.GetLeaving())
}

// HandleLoadReport takes over a load report; an older one than the last is dropped.
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

// messageReceived notes a message of a known host.
func (f *Fleet) messageReceived(now time.Time, p *Peer, leaving bool) {
	before := *p
	p.messageReceived(now, leaving)
	if before.Leaving != p.Leaving || before.Suspect != p.Suspect {
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

// Tick suspects the hosts that have been silent for too long. After a pause of
// this process their messages may still wait to be read, so the pause does not
// count.
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

// Peer returns a known host, nil if there is none of that name.
func (f *Fleet) Peer(name string) *Peer { return f.peers[name] }

// Peers returns the known hosts of a role, ordered by name.
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

// PreferredAgents returns the agents of a service that can take new work, by name. Ones
// that the list has lost are named only if there are no others.
func (f *Fleet) PreferredAgents(service string) []*Peer {
	available := f.AvailableAgents(service)
	listed := slices.DeleteFunc(slices.Clone(available), func(p *Peer) bool { return p.Unlisted })
	if len(listed) == 0 {
		return available
	}
	return listed
}

// AvailableAgents returns the agents of a service that can take new work, by name, those
// that the list has lost too.
func (f *Fleet) AvailableAgents(service string) []*Peer {
	return slices.DeleteFunc(f.Peers(plat.RoleAgent), func(p *Peer) bool {
		return p.Host.Service != service || !p.Linked() || p.Leaving || p.Suspect
	})
}
