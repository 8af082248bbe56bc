package place

import (
	"maps"
	"slices"
	"time"

	"dogwoodfold/internal/plat"
)

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
	// ReportRefusal reports that the ledger refused to unload an artifact that no
	// call used any more, so that the attempt has ended.
	ReportRefusal struct {
		Artifact Artifact
		Err      error
	}
)

func (SendOrder) isAction()     {}
func (RequestPin) isAction()    {}
func (ReleasePin) isAction()    {}
func (ReportRefusal) isAction() {}

// unloadStage is the progress of an attempt to unload.
type unloadStage int

const (
	// awaitingPin means that the keeper hasn't replied yet.
	awaitingPin unloadStage = iota
	// draining means that calls still use the artifact.
	draining
	// orderSent means that the engine was ordered to unload.
	orderSent
)

// unloadAttempt is an attempt to unload an artifact. While it exists, the agent
// grants no pin for the artifact or an adapter for it.
type unloadAttempt struct {
	pin       Pin
	stage     unloadStage
	startedAt time.Time
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
			refusal := ReportRefusal{
				Artifact: a,
				Err:      err,
			}
			return append([]Action{refusal}, m.endUnload(a)...) // the planner asks again if the artifact is still to go
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
