package gate

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"dogwoodfold/internal/wire/wirepb"
)

const (
	// maxCrashRelays is the number of entries that may become the crash relay after the
	// end of the leader.
	maxCrashRelays = 3
	// crashRelayTimeout is how long an entry tries to reach one of them before it tries
	// the next.
	crashRelayTimeout = 2 * time.Second
)

// crashRelays are the entries of which the first one that answers becomes the crash relay
// if nobody leads, in order of their hosts. The leader chooses them and tells all entries.
type crashRelays struct {
	list []crashRelay
	// revision counts the leader's changes, from 1 on.
	revision uint64
}

type crashRelay struct {
	host    string
	address netip.AddrPort
}

// recordPeerAddress records where a peer accepts sessions, if its report says so.
func (c *Core) recordPeerAddress(host string, peer *peer, text string) {
	if text == "" {
		return
	}
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		c.logChange("peer's address is invalid", host, text, 0)
		return
	}
	peer.address = address
	c.updateCrashRelays(host)
}

// updateCrashRelays chooses the crash relays anew after a change of one peer, unless the
// change can't matter.
func (c *Core) updateCrashRelays(host string) {
	list := c.crashRelays.list
	if c.leader == nil || len(list) == maxCrashRelays && host > list[len(list)-1].host {
		return
	}
	c.setCrashRelays()
}

// setCrashRelays chooses the crash relays among the peers with sessions.
func (c *Core) setCrashRelays() {
	var list []crashRelay
	for _, host := range slices.Sorted(maps.Keys(c.peers)) {
		peer := c.peers[host]
		if !peer.connected || !peer.address.IsValid() {
			continue
		}
		list = append(list, crashRelay{
			host:    host,
			address: peer.address,
		})
		if len(list) == maxCrashRelays {
			break
		}
	}
	if slices.Equal(list, c.crashRelays.list) {
		return
	}
	c.crashRelays.list = list
	c.crashRelays.revision++
}

// drainCrashRelays returns the crash relays if a peer doesn't know them.
func (c *Core) drainCrashRelays(peer *peer) []*wirepb.GatePeer {
	if peer.crashRelaysSent == c.crashRelays.revision {
		return nil
	}
	peer.crashRelaysSent = c.crashRelays.revision
	out := make([]*wirepb.GatePeer, 0, len(c.crashRelays.list))
	for _, relay := range c.crashRelays.list {
		out = append(out, &wirepb.GatePeer{
			Host:    relay.host,
			Address: relay.address.String(),
		})
	}
	return out
}

// applyCrashRelays replaces the crash relays by those of the leader, if it has told any.
func (c *Core) applyCrashRelays(told []*wirepb.GatePeer) {
	if len(told) == 0 {
		return
	}
	c.crashRelays.list = nil
	for _, peer := range told {
		address, err := netip.ParseAddrPort(peer.GetAddress())
		if err != nil {
			c.logChange("crash relay's address is invalid", peer.GetHost(), peer.GetAddress(), 0)
			continue
		}
		c.crashRelays.list = append(c.crashRelays.list, crashRelay{
			host:    peer.GetHost(),
			address: address,
		})
	}
}

// followCrashRelay makes this entry follow the first crash relay that answers, while
// nobody leads and it has no session with the entry that led. One that is a crash relay
// itself follows only those before it, so that they don't follow each other in a circle.
func (c *Core) followCrashRelay(now time.Time) {
	if !c.lacksLeader(now) {
		return
	}
	link := &c.leaderLink
	if link.host == "" && c.hasFollowers() || link.crashRelay && now.Sub(link.triedSince) < crashRelayTimeout {
		return
	}
	next := c.nextCrashRelay()
	if link.crashRelay && link.host == next.host {
		return
	}
	c.leaderLink = leaderLink{
		host:       next.host,
		crashRelay: true,
		triedSince: now,
	}
	c.dialedIncarnation = 0
	c.logChange("following crash relay", next.host, "", now.Sub(c.follower.lastHeard))
	c.emit(DialLeader{
		Host:    next.host,
		Address: next.address,
	})
}

// lacksLeader reports whether the last term is over, no leader has been heard for so long
// that nobody can tell when there will be one, and this entry follows nobody.
func (c *Core) lacksLeader(now time.Time) bool {
	return !c.leaderLink.connected && !c.lease.Holds(now) && len(c.crashRelays.list) > 0 &&
		now.Sub(c.follower.lastHeard) >= leaderChangeTime && !now.Before(c.lease.TermEnd())
}

// nextCrashRelay returns the crash relay to try after the one that this entry has tried,
// or none if this entry is the first.
func (c *Core) nextCrashRelay() crashRelay {
	earlier := c.crashRelays.list
	own := slices.IndexFunc(earlier, func(r crashRelay) bool { return r.host == c.settings.Host })
	if own >= 0 {
		earlier = earlier[:own]
	}
	if len(earlier) == 0 {
		return crashRelay{}
	}
	tried := slices.IndexFunc(earlier, func(r crashRelay) bool { return r.host == c.leaderLink.host })
	return earlier[(tried+1)%len(earlier)]
}

// applyCrashRelayState takes from a crash relay that has begun to lead only what it tells
// of crashes. This entry follows it as the leader once it has read so in the lease.
func (c *Core) applyCrashRelayState(now time.Time, state *wirepb.GateState) {
	c.handlePoisonReceived(now, PoisonReceived{
		Host:   c.leaderLink.host,
		Poison: state.GetPoison(),
	})
}
