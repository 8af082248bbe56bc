package route

import "dogwoodfold/internal/fleet"

// holderIndex caches the agents that can take a call, by what the call needs,
// until the fleet changes.
type holderIndex struct {
	version uint64
	byKey   map[holderKey][]*fleet.Peer
}

// holderKey is what a call needs an agent to hold.
type holderKey struct {
	service, model, version, adapter string
}

// holders returns the agents that can take a call. Agents that are missing from
// the platform's host list are returned only if no others hold what the call
// needs. The caller must not modify the slice.
func (x *holderIndex) holders(f *fleet.Fleet, q Query) []*fleet.Peer {
	if x.byKey == nil || x.version != f.Version() {
		x.version = f.Version()
		x.byKey = make(map[holderKey][]*fleet.Peer)
	}
	key := holderKey{q.Service, q.Model, q.Version, q.Adapter}
	peers, known := x.byKey[key]
	if known {
		return peers
	}
	peers = selectHolders(f, q)
	x.byKey[key] = peers
	return peers
}

// selectHolders returns the agents that hold what a call needs: those that are listed,
// or else those that aren't.
func selectHolders(f *fleet.Fleet, q Query) []*fleet.Peer {
	var listed, unlisted []*fleet.Peer
	for _, p := range f.AvailableAgents(q.Service) {
		switch {
		case p.Load == nil || (q.Model != "" && !p.Serves(q.Model, q.Version, q.Adapter)):
		case p.Unlisted:
			unlisted = append(unlisted, p)
		default:
			listed = append(listed, p)
		}
	}
	if len(listed) == 0 {
		return unlisted
	}
	return listed
}
