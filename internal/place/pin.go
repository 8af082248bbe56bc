package place

import (
	"slices"
	"time"
)

// Pin is a request by one agent to another, the keeper, to retain these
// artifacts, since the requester is about to unload its own replicas.
type Pin struct {
	From string
	To   string
	// Incarnation and Sequence identify the requester's attempt to unload.
	Incarnation uint64
	Sequence    uint64
	Artifacts   []Artifact
}

// grantedPin is a pin that this agent has granted as the keeper.
type grantedPin struct {
	pin       Pin
	expiresAt time.Time
}

const (
	// pinReplyTimeout bounds the wait for a keeper's reply.
	pinReplyTimeout = 2 * time.Second
	// pinLifetime bounds how long a keeper retains artifacts for another agent.
	// A pin that expires early only wastes work and can't lose the last
	// replica: the agent that it was granted to still refuses all pins for what
	// it is unloading.
	pinLifetime = time.Minute
)

// artifactsToPin returns what becomes unavailable with an artifact, in the
// version to keep: an adapter, or a model and its adapters.
func (m *ReplicaManager) artifactsToPin(a Artifact, keepVersion string) []Artifact {
	retained := a
	retained.Version = keepVersion
	artifacts := []Artifact{retained}
	if a.Adapter != "" {
		return artifacts
	}
	for _, r := range m.report.Residents {
		if other := residentArtifact(r); other != a && other.Base() == a {
			other.Version = keepVersion
			artifacts = append(artifacts, other)
		}
	}
	return artifacts
}

// GrantPin reports whether this agent agrees to retain the artifacts of a pin,
// and records the pin if it does.
func (m *ReplicaManager) GrantPin(now time.Time, p Pin) bool {
	if m.leaving || p.To != m.self || p.From == m.self {
		return false
	}
	if !m.retainsAll(p.Artifacts) {
		return false
	}
	m.grantedPins[p.From] = grantedPin{
		pin:       p,
		expiresAt: now.Add(pinLifetime),
	}
	return true
}

// retainsAll reports whether all the artifacts are ready here and none is about
// to be unloaded.
func (m *ReplicaManager) retainsAll(artifacts []Artifact) bool {
	return !slices.ContainsFunc(artifacts, func(a Artifact) bool { return !m.Retains(a) || m.findUnload(a) != nil })
}

// HandlePinReply handles a keeper's reply. A reply to an earlier attempt, or to
// an earlier incarnation of the agent, is ignored.
func (m *ReplicaManager) HandlePinReply(p Pin, granted bool) {
	for a, u := range m.unloads {
		if u.stage != awaitingPin || u.pin.Incarnation != p.Incarnation || u.pin.Sequence != p.Sequence {
			continue
		}
		if granted {
			u.stage = draining
		} else {
			delete(m.unloads, a)
		}
	}
}

// HandlePinRelease removes a granted pin, unless a later one has replaced it.
func (m *ReplicaManager) HandlePinRelease(p Pin) {
	granted := m.grantedPins[p.From].pin
	if granted.Incarnation == p.Incarnation && granted.Sequence == p.Sequence {
		delete(m.grantedPins, p.From)
	}
}

// isPinned reports whether an artifact, or an adapter for it, is retained for
// another agent.
func (m *ReplicaManager) isPinned(now time.Time, a Artifact) bool {
	for _, g := range m.grantedPins {
		if !now.Before(g.expiresAt) {
			continue
		}
		if slices.ContainsFunc(g.pin.Artifacts, func(p Artifact) bool { return p == a || p.Base() == a }) {
			return true
		}
	}
	return false
}
