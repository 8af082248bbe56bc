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
	// pinReplyTimeout bounds the wait for a keeper's answer.
	pinReplyTimeout = 2 * time.Second
	// pinLifetime bounds how long a keeper keeps a copy for another holder.
	// Only work is lost when a pin ends early: the holder it was given to
	// still refuses to keep the copy for anybody.
	pinLifetime = time.Minute
)

// Pin is a holder's question to another one, the keeper: keep these copies,
// since I am about to unload mine.
type Pin struct {
	From string
	To   string
	// Incarnation and Sequence name the holder's attempt to unload.
	Incarnation uint64
	Sequence    uint64
	Artifacts   []Artifact
}

// Action is something that a holder wants done.
type Action interface{ isAction() }

// Actions.
type (
	// SendOrder sends an order to the engine.
	SendOrder struct{ Order plat.Order }
	// RequestPin asks a keeper.
	RequestPin struct{ Pin Pin }
	// ReleasePin ends a pin that is not needed any more.
	ReleasePin struct{ Pin Pin }
)

func (SendOrder) isAction()  {}
func (RequestPin) isAction() {}
func (ReleasePin) isAction() {}

// unloadStage is how far an unload has come.
type unloadStage int

const (
	awaitingPin unloadStage = iota
	draining
	orderSent
)

// unloadAttempt is a copy that the holder is about to unloadAttempt. As long as it stands,
// the holder keeps the copy for nobody.
type unloadAttempt struct {
	pin       Pin
	stage     unloadStage
	startedAt time.Time
}

// grantedPin is a pin that this holder has granted.
type grantedPin struct {
	pin       Pin
	expiresAt time.Time
}

// ReplicaManager is the state of an agent whose engine holds copies.
type ReplicaManager struct {
	*Ledger
	self        string
	sequence    uint64
	unloads     map[Artifact]*unloadAttempt
	grantedPins map[string]grantedPin
	leaving     bool
}

// NewReplicaManager returns the state of a fresh agent named self.
func NewReplicaManager(self string, incarnation uint64, maxOrderDelay time.Duration) *ReplicaManager {
	return &ReplicaManager{
		Ledger:      NewLedger(incarnation, maxOrderDelay),
		self:        self,
		unloads:     make(map[Artifact]*unloadAttempt),
		grantedPins: make(map[string]grantedPin),
	}
}

// Leave makes the holder refuse to keep copies and to load any.
func (m *ReplicaManager) Leave() { m.leaving = true }

// Load begins to load a copy.
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

// Unload begins to unload a copy. A keeper must first promise to keep the model
// in the version keep; it may be this holder, in another version. Without a
// keeper nobody is asked, which is safe only for copies that are not listed any
// more.
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

// artifactsToPin returns what callers lose with a copy, in the version to keep: an
// adapter, or a model and its adapters.
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

// GrantPin reports whether this holder keeps the copies of a pin, and notes it.
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

// retainsAll reports whether all of some copies are here and stay.
func (m *ReplicaManager) retainsAll(artifacts []Artifact) bool {
	return !slices.ContainsFunc(artifacts, func(a Artifact) bool { return !m.Retains(a) || m.findUnload(a) != nil })
}

// HandlePinReply takes a keeper's answer. One to an earlier attempt, or to an earlier
// agent, is dropped.
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

// HandlePinRelease ends a pin.
func (m *ReplicaManager) HandlePinRelease(p Pin) {
	granted := m.grantedPins[p.From].pin
	if granted.Incarnation == p.Incarnation && granted.Sequence == p.Sequence {
		delete(m.grantedPins, p.From)
	}
}

// AcceptsCalls reports whether new calls for a copy are taken: it is ready and does
// not drain.
func (m *ReplicaManager) AcceptsCalls(a Artifact) bool {
	u := m.findUnload(a)
	return m.Ready(a) && (u == nil || u.stage == awaitingPin)
}

// Step moves all unloads on. idle reports whether no call uses a copy.
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

// advanceUnload moves one unload on.
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

// endUnload forgets an unload, whether it has come about or not.
func (m *ReplicaManager) endUnload(a Artifact) []Action {
	u := m.unloads[a]
	delete(m.unloads, a)
	if u.pin.To == "" {
		return nil
	}
	return []Action{ReleasePin{Pin: u.pin}}
}

// findUnload returns the unload that a copy is subject to, nil if there is none.
func (m *ReplicaManager) findUnload(a Artifact) *unloadAttempt {
	if u := m.unloads[a]; u != nil {
		return u
	}
	return m.unloads[a.Base()]
}

// isPinned reports whether a copy, or an adapter on it, is kept for another
// holder.
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

// compareArtifacts orders copies by name.
func compareArtifacts(a, b Artifact) int {
	return cmp.Or(
		strings.Compare(a.Model, b.Model),
		strings.Compare(a.Version, b.Version),
		strings.Compare(a.Adapter, b.Adapter),
	)
}
