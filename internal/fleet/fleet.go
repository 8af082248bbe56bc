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
	// suspectAfter is how long a linked host may be silent and still get new
	// work.
	suspectAfter = 3 * time.Second
	// pauseAfter is the time between ticks from which on the process itself
	// was paused, so that silence says nothing of its peers.
	pauseAfter = time.Second
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
	// HeardAt is when the last message came.
	HeardAt time.Time
	// ConfigOffset is the configuration that the peer said it runs.
	ConfigOffset uint64
	// Load is the last load report, nil before the first.
	Load   *wirepb.LoadReport
	LoadAt time.Time

	// told is Leaving as the process named last said of itself.
	told bool
	last uint64
}

// Linked reports whether there is a session to the peer.
func (p *Peer) Linked() bool { return p.Incarnation != 0 }

// judge works out Leaving from the list and from what the peer said.
func (p *Peer) judge() {
	p.Leaving = p.told || p.Host.State == plat.HostLeaving
}

// heard notes a message.
func (p *Peer) heard(now time.Time, leaving bool) {
	p.HeardAt = now
	p.Suspect = false
	p.told = p.told || leaving
	p.judge()
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
	// ordered holds the peers of each role by name; nil after a change.
	ordered map[string][]*Peer
	ticked  time.Time
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

// Listed takes over the platform's list. An empty one is taken for a fault of
// the list, and changes nothing. A host that has vanished is kept while it is
// linked, since a list that lags must not cut calls.
func (f *Fleet) Listed(hosts []plat.Host) {
	if len(hosts) == 0 {
		return
	}
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
		p.Unlisted = false
		p.judge()
	}
	for name, p := range f.peers {
		p.Unlisted = !listed[name]
	}
	maps.DeleteFunc(f.peers, func(_ string, p *Peer) bool { return p.Unlisted && !p.Linked() })
	f.ordered = nil
}

// Up notes a new session. What an earlier process of the host said of itself
// does not hold for a new one.
func (f *Fleet) Up(now time.Time, name string, hello *wirepb.Hello) {
	p, known := f.peers[name]
	if !known {
		return
	}
	if p.last != hello.GetIncarnation() {
		p.told = false
		p.Load = nil
		p.ConfigOffset = 0
	}
	p.Incarnation = hello.GetIncarnation()
	p.last = p.Incarnation
	f.version++
	p.heard(now, false)
}

// Down notes the end of a session of an incarnation. It reports whether the
// host is forgotten, as the list has lost it too.
func (f *Fleet) Down(name string, incarnation uint64) (forgotten bool) {
	p, known := f.peers[name]
	if !known || p.Incarnation != incarnation {
		return false
	}
	p.Incarnation = 0
	f.version++
	if p.Unlisted {
		delete(f.peers, name)
		f.ordered = nil
	}
	return p.Unlisted
}

// Current reports whether a message of an incarnation is of the process that
// the host now runs, as far as that is known.
func (f *Fleet) Current(name string, incarnation uint64) bool {
	p, known := f.peers[name]
	return known && (incarnation == 0 || p.Incarnation == 0 || p.Incarnation == incarnation)
}

// Heard takes over a heartbeat.
func (f *Fleet) Heard(now time.Time, name string, beat *wirepb.Heartbeat) {
	p, known := f.peers[name]
	if !known {
		return
	}
	p.ConfigOffset = max(p.ConfigOffset, beat.GetConfigOffset())
	f.heard(now, p, beat.GetLeaving())
}

// Reported takes over a load report; an older one than the last is dropped.
func (f *Fleet) Reported(now time.Time, name string, report *wirepb.LoadReport) {
	p, known := f.peers[name]
	if !known || report.GetSequence() <= p.Load.GetSequence() {
		return
	}
	if p.Load == nil || !sameModels(p.Load.GetModels(), report.GetModels()) {
		f.version++
	}
	p.Load = report
	p.LoadAt = now
	f.heard(now, p, report.GetLeaving())
}

// heard notes a message of a known host.
func (f *Fleet) heard(now time.Time, p *Peer, leaving bool) {
	before := *p
	p.heard(now, leaving)
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
	pause := now.Sub(f.ticked)
	if f.ticked.IsZero() || pause < pauseAfter {
		pause = 0
	}
	f.ticked = now
	for _, p := range f.peers {
		p.HeardAt = p.HeardAt.Add(pause)
		suspect := p.Linked() && now.Sub(p.HeardAt) >= suspectAfter
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
	if f.ordered == nil {
		f.ordered = make(map[string][]*Peer)
		for _, name := range slices.Sorted(maps.Keys(f.peers)) {
			p := f.peers[name]
			f.ordered[p.Host.Role] = append(f.ordered[p.Host.Role], p)
		}
	}
	return slices.Clone(f.ordered[role])
}

// Agents returns the agents of a service that can take new work, by name. Ones
// that the list has lost are named only if there are no others.
func (f *Fleet) Agents(service string) []*Peer {
	able := f.Able(service)
	listed := slices.DeleteFunc(slices.Clone(able), func(p *Peer) bool { return p.Unlisted })
	if len(listed) == 0 {
		return able
	}
	return listed
}

// Able returns the agents of a service that can take new work, by name, those
// that the list has lost too.
func (f *Fleet) Able(service string) []*Peer {
	return slices.DeleteFunc(f.Peers(plat.RoleAgent), func(p *Peer) bool {
		return p.Host.Service != service || !p.Linked() || p.Leaving || p.Suspect
	})
}
