package agent

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"dogwoodfold/internal/place"
	"dogwoodfold/internal/plat"
	"dogwoodfold/internal/wire/wirepb"
)

// maxPlaceStateInterval is the longest time between two memory state messages
// to the entries.
const maxPlaceStateInterval = 2 * time.Second

// placement is the part of the reducer's state that controls which weights the
// engine holds.
type placement struct {
	replicas *place.ReplicaManager
	// pinRelays maps the sequence number of a pin to the session of the entry
	// that relays it.
	pinRelays map[uint64]uint64
	// configOffset is the newest configuration on which an entry has based a
	// placement request.
	configOffset uint64
	lastState    *wirepb.Envelope
	stateSentAt  time.Time
}

func newPlacement(settings CoreSettings) placement {
	return placement{
		replicas:  place.NewReplicaManager(settings.Host, settings.Incarnation, settings.MaxOrderDelay),
		pinRelays: make(map[uint64]uint64),
	}
}

// handleReport applies a report of the engine and sends the entries the load
// and, if it has changed or is due, the memory state.
func (c *Core) handleReport(now time.Time, e ReportRead) []Effect {
	c.report, c.reportedAt = e.Report, e.RequestedAt
	c.placement.replicas.ApplyReport(now, e.RequestedAt, e.Report)
	effects := append(c.advanceUnloads(now), c.broadcastLoad(now)...)
	state := c.placeStateMessage()
	if proto.Equal(state, c.placement.lastState) && now.Sub(c.placement.stateSentAt) < maxPlaceStateInterval {
		return effects
	}
	c.placement.lastState, c.placement.stateSentAt = state, now
	return append(effects, Broadcast{Message: state})
}

// handleMessage dispatches a control message other than an outcome query.
func (c *Core) handleMessage(now time.Time, e MessageReceived) []Effect {
	if configMessage := e.Message.GetFold(); configMessage != nil {
		return c.handleConfigMessage(now, configMessage)
	}
	if e.Message.GetShare() != nil {
		return c.handleShareMessage(now, e)
	}
	message := e.Message.GetPlace()
	if message == nil || c.plainService {
		return nil
	}
	replicas := c.placement.replicas
	switch body := message.GetBody().(type) {
	case *wirepb.PlaceMessage_Wish:
		return c.handleWish(now, e.Session, body.Wish)
	case *wirepb.PlaceMessage_PinAsk:
		return []Effect{placeMessage(e.Session, &wirepb.PlaceMessage{Body: &wirepb.PlaceMessage_PinReply{
			PinReply: &wirepb.PinReply{
				Pin:     body.PinAsk,
				Granted: replicas.GrantPin(now, pinFromWire(body.PinAsk)),
			},
		}})}
	case *wirepb.PlaceMessage_PinReply:
		replicas.HandlePinReply(pinFromWire(body.PinReply.GetPin()), body.PinReply.GetGranted())
		return c.advanceUnloads(now)
	case *wirepb.PlaceMessage_PinRelease:
		replicas.HandlePinRelease(pinFromWire(body.PinRelease))
	}
	return nil
}

// handleWish carries out a planner's load or unload request if the ledger and
// the pins allow it. A request is refused if an earlier request was based on a
// newer configuration, since it may treat weights as unlisted that have been
// listed again.
func (c *Core) handleWish(now time.Time, session uint64, wish *wirepb.Wish) []Effect {
	artifact := place.FromWire(wish.GetWeights())
	err := place.ErrStaleConfig
	var actions []place.Action
	if wish.GetConfigOffset() >= c.placement.configOffset {
		c.placement.configOffset = wish.GetConfigOffset()
		if wish.GetLoad() {
			actions, err = c.placement.replicas.Load(now, artifact, wish.GetBytes())
		} else {
			actions, err = c.placement.replicas.Unload(now, artifact, wish.GetKeeper(), wish.GetKeepVersion())
		}
	}
	if err != nil {
		return []Effect{placeMessage(session, &wirepb.PlaceMessage{Body: &wirepb.PlaceMessage_Refused{
			Refused: &wirepb.WishRefused{
				Load:    wish.GetLoad(),
				Weights: wish.GetWeights(),
				Reason:  err.Error(),
			},
		}})}
	}
	return c.placementEffects(session, actions)
}

// advanceUnloads advances the unloads in progress.
func (c *Core) advanceUnloads(now time.Time) []Effect {
	if c.plainService {
		return nil
	}
	return c.placementEffects(0, c.placement.replicas.Step(now, c.isUnused))
}

// placementEffects returns the effects of placement actions. session is the
// entry's session that relays new pin requests.
func (c *Core) placementEffects(session uint64, actions []place.Action) []Effect {
	var effects []Effect
	for _, action := range actions {
		switch a := action.(type) {
		case place.SendOrder:
			effects = append(effects, SendOrder{Order: a.Order})
		case place.RequestPin:
			c.placement.pinRelays[a.Pin.Sequence] = session
			effects = append(effects, placeMessage(session, &wirepb.PlaceMessage{
				Body: &wirepb.PlaceMessage_PinAsk{PinAsk: pinToWire(a.Pin)},
			}))
		case place.ReleasePin:
			relaySession := c.placement.pinRelays[a.Pin.Sequence]
			delete(c.placement.pinRelays, a.Pin.Sequence)
			effects = append(effects, placeMessage(relaySession, &wirepb.PlaceMessage{
				Body: &wirepb.PlaceMessage_PinRelease{PinRelease: pinToWire(a.Pin)},
			}))
		case place.ReportRefusal:
			effects = append(effects, LogWarning{
				Message: fmt.Sprintf("unload of %v refused", a.Artifact),
				Err:     a.Err,
			})
		}
	}
	return effects
}

// isUnused reports whether no call, running or queued, uses an artifact.
func (c *Core) isUnused(artifact place.Artifact) bool {
	for _, call := range c.calls {
		request := call.Request
		if request.GetModel() != artifact.Model || request.GetVersion() != artifact.Version {
			continue
		}
		if artifact.Adapter == "" || artifact.Adapter == request.GetAdapter() {
			return false
		}
	}
	return true
}

// servingResidents returns the residents that accept new calls.
func (c *Core) servingResidents() []plat.Resident {
	var serving []plat.Resident
	for _, resident := range c.report.Residents {
		artifact := place.Artifact{
			Model:   resident.Model,
			Version: resident.Version,
			Adapter: resident.Adapter,
		}
		if c.placement.replicas.AcceptsCalls(artifact) {
			serving = append(serving, resident)
		}
	}
	return serving
}

// placeStateMessage returns a message with the state of the engine's memory.
func (c *Core) placeStateMessage() *wirepb.Envelope {
	replicas := c.placement.replicas
	state := &wirepb.PlaceState{
		Memory: replicas.TotalBytes(),
		Free:   replicas.FreeBytes(),
	}
	for _, allocation := range replicas.Allocations() {
		state.Held = append(state.Held, &wirepb.HeldWeights{
			Weights: allocation.ToWire(),
			Bytes:   allocation.Bytes,
			Ready:   replicas.Ready(allocation.Artifact),
			Staying: replicas.AcceptsCalls(allocation.Artifact) && replicas.Retains(allocation.Artifact),
		})
	}
	return &wirepb.Envelope{Body: &wirepb.Envelope_Place{Place: &wirepb.PlaceMessage{
		Body: &wirepb.PlaceMessage_State{State: state},
	}}}
}

func placeMessage(session uint64, message *wirepb.PlaceMessage) SendMessage {
	return SendMessage{
		Session: session,
		Message: &wirepb.Envelope{Body: &wirepb.Envelope_Place{Place: message}},
	}
}

func pinToWire(pin place.Pin) *wirepb.Pin {
	wirePin := &wirepb.Pin{
		From:        pin.From,
		To:          pin.To,
		Incarnation: pin.Incarnation,
		Sequence:    pin.Sequence,
	}
	for _, artifact := range pin.Artifacts {
		wirePin.Weights = append(wirePin.Weights, artifact.ToWire())
	}
	return wirePin
}

func pinFromWire(wirePin *wirepb.Pin) place.Pin {
	pin := place.Pin{
		From:        wirePin.GetFrom(),
		To:          wirePin.GetTo(),
		Incarnation: wirePin.GetIncarnation(),
		Sequence:    wirePin.GetSequence(),
	}
	for _, weights := range wirePin.GetWeights() {
		pin.Artifacts = append(pin.Artifacts, place.FromWire(weights))
	}
	return pin
}
