package route

import "dogwoodfold/internal/fleet"

// holderIndex keeps the holders of each model until the fleet changes.
type holderIndex struct {
	version uint64
	byKey   map[holderKey][]*fleet.Peer
}

// holderKey is what an agent must hold to be asked.
type holderKey struct {
	service, model, version, adapter string
}

// holders returns the agents that can take a call; those that the platform's
// list has lost only if no other holds what the call needs. The caller must not change
// the slice.
func (idx *holderIndex) holders(f *fleet.Fleet, q Query) []*fleet.Peer {
	if idx.byKey == nil || idx.version != f.Version() {
		idx.version = f.Version()
		idx.byKey = make(map[holderKey][]*fleet.Peer)
	}
	key := holderKey{q.Service, q.Model, q.Version, q.Adapter}
	peers, known := idx.byKey[key]
	if known {
		return peers
	}
	var unlisted []*fleet.Peer
	for _, p := range f.AvailableAgents(q.Service) {
		switch {
		case p.Load == nil || (q.Model != "" && !p.Serves(q.Model, q.Version, q.Adapter)):
		case p.Unlisted:
			unlisted = append(unlisted, p)
		default:
			peers = append(peers, p)
		}
	}
	if len(peers) == 0 {
		peers = unlisted
	}
	idx.byKey[key] = peers
	return peers
}
