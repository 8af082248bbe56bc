package place

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"dogwoodfold/internal/plat"
)

const (
	// pinReplyTimeout bounds the wait for a keeper's reply.
	pinReplyTimeout = 2 * time.Second
	// pinLifetime bounds how long a keeper retains artifacts for another agent.
	// A pin that expires early only wastes work and can't lose the last
	// replica: the agent that it was granted to still refuses all pins for what
	// it is unloading.
	pinLifetime = time.Minute
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

// Action is something that a ReplicaManager needs its caller to do.
type Action interface{ isAction() }

// Implementations of Action.
type (
	// SendOrder sends an order to the engine.
	SendOrder struct{ Order plat.Order }
	// RequestPin asks a keeper to grant a pin.
	RequestPin struct{ Pin Pin }
	// ReleasePin tells a keeper that a pin is no longer needed.
	ReleasePin struct{ Pin Pin }
)

func (SendOrder) isAction()  {}
func (RequestPin) isAction() {}
func (ReleasePin) isAction() {}

// unloadStage is the progress of an attempt to unload.
type unloadStage int

const (
	awaitingPin unloadStage = iota
	draining
	orderSent
)

// unloadAttempt is an attempt to unload an artifact. While it exists, the agent
// grants no pin for the artifact or an adapter for it.
type unloadAttempt struct {
	pin       Pin
	stage     unloadStage
	startedAt time.Time
}

// grantedPin is a pin that this agent has granted as the keeper.
type grantedPin struct {
	pin       Pin
	expiresAt time.Time
}

// ReplicaManager manages the replicas that the engine of one agent holds. It
// unloads a replica only after a keeper has agreed to retain another one, except
// for artifacts that are no longer listed.
type ReplicaManager struct {
	*Ledger
	self        string
	sequence    uint64
	unloads     map[Artifact]*unloadAttempt
	grantedPins map[string]grantedPin
	leaving     bool
}

// NewReplicaManager returns the manager of a newly started agent named self.
func NewReplicaManager(self string, incarnation uint64, maxOrderDelay time.Duration) *ReplicaManager {
	return &ReplicaManager{
		Ledger:      NewLedger(incarnation, maxOrderDelay),
		self:        self,
		unloads:     make(map[Artifact]*unloadAttempt),
		grantedPins: make(map[string]grantedPin),
	}
}

// Leave makes the manager refuse all further pins and loads.
func (m *ReplicaManager) Leave() { m.leaving = true }

// Load starts to load an artifact.
func (m *ReplicaManager) Load(now time.Time, a Artifact, bytes int64) ([]Action, error) {
	if m.leaving {
		return nil, ErrBusy
	}
	if u := m.findUnload(a); u != nil {
		return nil, ErrBusy
	}
	o, err := m.Ledger.Load(now, a, bytes)
	if err != nil {
		return nil, err
	}
	return []Action{SendOrder{Order: o}}, nil
}

// Unload starts to unload an artifact. A keeper must first agree to retain it
// in the version keepVersion; the keeper may be this agent if that is another
// version. Without a keeper no agent is asked, which is safe only for artifacts
// that are no longer listed.
func (m *ReplicaManager) Unload(now time.Time, a Artifact, keeper, keepVersion string) ([]Action, error) {
	switch {
	case !m.Synced():
		return nil, ErrNotSynced
	case !m.isResident(a):
		return nil, ErrNotLoaded
	case m.findUnload(a) != nil || m.isPinned(now, a):
		return nil, ErrBusy
	}
	m.sequence++
	u := &unloadAttempt{
		pin: Pin{
			From:        m.self,
			To:          keeper,
			Incarnation: m.incarnation,
			Sequence:    m.sequence,
			Artifacts:   m.artifactsToPin(a, keepVersion),
		},
		startedAt: now,
	}
	m.unloads[a] = u
	if keeper == m.self && !m.retainsAll(u.pin.Artifacts) {
		delete(m.unloads, a)
		return nil, ErrBusy
	}
	if keeper == "" || keeper == m.self {
		u.pin.To = ""
		u.stage = draining
		return nil, nil
	}
	return []Action{RequestPin{Pin: u.pin}}, nil
}

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

// AcceptsCalls reports whether new calls for an artifact are accepted: it is
// ready, and an attempt to unload it, if any, is still awaiting its pin.
func (m *ReplicaManager) AcceptsCalls(a Artifact) bool {
	u := m.findUnload(a)
	return m.Ready(a) && (u == nil || u.stage == awaitingPin)
}

// Step advances all attempts to unload, removes expired pins and returns the
// actions to take, including a barrier if one is due. idle reports whether no
// call uses an artifact.
func (m *ReplicaManager) Step(now time.Time, idle func(Artifact) bool) []Action {
	var actions []Action
	for _, a := range slices.SortedFunc(maps.Keys(m.unloads), compareArtifacts) {
		actions = append(actions, m.advanceUnload(now, a, idle)...)
	}
	maps.DeleteFunc(m.grantedPins, func(_ string, g grantedPin) bool { return !now.Before(g.expiresAt) })
	if o, due := m.Barrier(now); due {
		actions = append(actions, SendOrder{Order: o})
	}
	return actions
}

// advanceUnload advances one attempt to unload.
func (m *ReplicaManager) advanceUnload(now time.Time, a Artifact, idle func(Artifact) bool) []Action {
	u := m.unloads[a]
	switch {
	case u.stage == awaitingPin && now.Sub(u.startedAt) >= pinReplyTimeout:
		return m.endUnload(a)
	case u.stage == draining && idle(a):
		o, err := m.Ledger.Unload(now, a)
		if err != nil {
			return m.endUnload(a)
		}
		u.stage = orderSent
		return []Action{SendOrder{Order: o}}
	case u.stage == orderSent && !m.hasPendingUnload(a):
		return m.endUnload(a)
	case u.stage == orderSent && m.Synced() && !m.isResident(a):
		return m.endUnload(a)
	}
	return nil
}

// endUnload removes an attempt to unload, successful or not, and releases its
// pin.
func (m *ReplicaManager) endUnload(a Artifact) []Action {
	u := m.unloads[a]
	delete(m.unloads, a)
	if u.pin.To == "" {
		return nil
	}
	return []Action{ReleasePin{Pin: u.pin}}
}

// findUnload returns the attempt to unload an artifact or its base model, nil
// if there is none.
func (m *ReplicaManager) findUnload(a Artifact) *unloadAttempt {
	if u := m.unloads[a]; u != nil {
		return u
	}
	return m.unloads[a.Base()]
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

// compareArtifacts orders artifacts by model, version and adapter.
func compareArtifacts(a, b Artifact) int {
	return cmp.Or(
		strings.Compare(a.Model, b.Model),
		strings.Compare(a.Version, b.Version),
		strings.Compare(a.Adapter, b.Adapter),
	)
}
