package route

import "dogwoodfold/internal/fleet"

// index keeps the holders of each model until the fleet changes.
type index struct {
	version uint64
	byModel map[holding][]*fleet.Peer
}

// holding is what an agent must hold to be asked.
type holding struct {
	service, model, version, adapter string
}

// holders returns the agents that can take a call; those that the platform's
// list has lost only if no other holds what the call needs. The caller must not change
// the slice.
func (x *index) holders(f *fleet.Fleet, q Query) []*fleet.Peer {
	if x.byModel == nil || x.version != f.Version() {
		x.version = f.Version()
		x.byModel = make(map[holding][]*fleet.Peer)
	}
	key := holding{q.Service, q.Model, q.Version, q.Adapter}
	peers, known := x.byModel[key]
	if known {
		return peers
	}
	var unlisted []*fleet.Peer
	for _, p := range f.Able(q.Service) {
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
	x.byModel[key] = peers
	return peers
}
