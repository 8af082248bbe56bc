package fleet

import (
	"slices"
	"time"

	"dogwoodfold/internal/plat"
	"dogwoodfold/internal/wire/wirepb"
)

// Peer is the state of one known host.
type Peer struct {
	Host plat.Host
	// Incarnation identifies the peer's running process. It is 0 while there
	// is no session.
	Incarnation uint64
	// Leaving reports whether the host is shutting down, according to the
	// host list or to the peer itself, whichever says so first.
	Leaving bool
	// Unlisted reports whether the host has disappeared from the host list
	// while linked. Its running calls continue; it receives new ones only if
	// no listed host can take them.
	Unlisted bool
	// Suspect reports whether the host is linked but has sent nothing for
	// suspectTimeout.
	Suspect bool
	// LastMessageAt is the time the last message was received. Tick moves it
	// forward by pauses of this process.
	LastMessageAt time.Time
	// ConfigOffset is the highest log offset of a configuration that the peer
	// has reported to be in effect.
	ConfigOffset uint64
	// Load is the last load report, or nil if none has been received.
	Load           *wirepb.LoadReport
	LoadReceivedAt time.Time

	// leavingReported is set once the process identified by lastIncarnation
	// has reported that it is leaving.
	leavingReported bool
	lastIncarnation uint64
}

// Linked reports whether there is a session with the peer.
func (p *Peer) Linked() bool { return p.Incarnation != 0 }

// updateLeaving derives Leaving from the host list and the peer's own reports.
func (p *Peer) updateLeaving() {
	p.Leaving = p.leavingReported || p.Host.State == plat.HostLeaving
}

// recordMessage records that a message has arrived from the peer.
func (p *Peer) recordMessage(now time.Time, leaving bool) {
	p.LastMessageAt = now
	p.Suspect = false
	p.leavingReported = p.leavingReported || leaving
	p.updateLeaving()
}

// Serves reports whether the peer's endpoint holds the given model version and,
// unless it is empty, the given adapter.
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
