package agent

import (
	"time"

	"google.golang.org/protobuf/proto"

	"dogwoodfold/internal/place"
	"dogwoodfold/internal/plat"
	"dogwoodfold/internal/wire/wirepb"
)

// maxPlaceStateInterval is how often entries are told of the memory at least.
const maxPlaceStateInterval = 2 * time.Second

// placementState is the part of an agent's state that decides what its engine holds.
type placementState struct {
	holder *place.ReplicaManager
	// pinRelays names the session of the entry that relays a pin, by its sequence.
	pinRelays map[uint64]uint64
	// configOffset is the newest configuration that an entry has rested a wish on.
	configOffset uint64
	lastState    *wirepb.Envelope
	stateSentAt  time.Time
}

func newPlacementState(settings CoreSettings) placementState {
	return placementState{
		holder:    place.NewReplicaManager(settings.Host, settings.Incarnation, settings.MaxOrderDelay),
		pinRelays: make(map[uint64]uint64),
	}
}

// handleReport takes over the engine's report.
func (c *Core) handleReport(now time.Time, e ReportRead) []Effect {
	c.report, c.reportedAt = e.Report, e.RequestedAt
	c.placement.holder.ApplyReport(now, e.RequestedAt, e.Report)
	effects := append(c.advanceUnloads(now), c.broadcastLoad(now)...)
	state := c.placeStateMessage()
	if proto.Equal(state, c.placement.lastState) && now.Sub(c.placement.stateSentAt) < maxPlaceStateInterval {
		return effects
	}
	c.placement.lastState, c.placement.stateSentAt = state, now
	return append(effects, Broadcast{Message: state})
}

// handleMessage passes a control message to the part that it belongs to.
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
	holder := c.placement.holder
	switch body := message.GetBody().(type) {
	case *wirepb.PlaceMessage_Wish:
		return c.handleWish(now, e.Session, body.Wish)
	case *wirepb.PlaceMessage_PinAsk:
		return []Effect{placeMessageTo(e.Session, &wirepb.PlaceMessage{Body: &wirepb.PlaceMessage_PinReply{
			PinReply: &wirepb.PinReply{
				Pin:     body.PinAsk,
				Granted: holder.GrantPin(now, pinFromWire(body.PinAsk)),
			},
		}})}
	case *wirepb.PlaceMessage_PinReply:
		holder.HandlePinReply(pinFromWire(body.PinReply.GetPin()), body.PinReply.GetGranted())
		return c.advanceUnloads(now)
	case *wirepb.PlaceMessage_PinRelease:
		holder.HandlePinRelease(pinFromWire(body.PinRelease))
	}
	return nil
}

// handleWish follows a planner's wish if the ledger and the pins allow it. A wish
// that rests on an older configuration than another one is refused, since it
// may take weights for unlisted that are listed again.
func (c *Core) handleWish(now time.Time, session uint64, wish *wirepb.Wish) []Effect {
	weights := place.FromWire(wish.GetWeights())
	err := place.ErrStaleConfig
	var actions []place.Action
	if wish.GetConfigOffset() >= c.placement.configOffset {
		c.placement.configOffset = wish.GetConfigOffset()
		if wish.GetLoad() {
			actions, err = c.placement.holder.Load(now, weights, wish.GetBytes())
		} else {
			actions, err = c.placement.holder.Unload(now, weights, wish.GetKeeper(), wish.GetKeepVersion())
		}
	}
	if err != nil {
		return []Effect{placeMessageTo(session, &wirepb.PlaceMessage{Body: &wirepb.PlaceMessage_Refused{
			Refused: &wirepb.WishRefused{
				Load:    wish.GetLoad(),
				Weights: wish.GetWeights(),
				Reason:  err.Error(),
			},
		}})}
	}
	return c.placementEffects(session, actions)
}

// advanceUnloads moves unloads on.
func (c *Core) advanceUnloads(now time.Time) []Effect {
	if c.plainService {
		return nil
	}
	return c.placementEffects(0, c.placement.holder.Step(now, c.isUnused))
}

// placementEffects turns a holder's actions into effects.
func (c *Core) placementEffects(session uint64, actions []place.Action) []Effect {
	var effects []Effect
	for _, action := range actions {
		switch a := action.(type) {
		case place.SendOrder:
			effects = append(effects, SendOrder{Order: a.Order})
		case place.RequestPin:
			c.placement.pinRelays[a.Pin.Sequence] = session
			effects = append(effects, placeMessageTo(session, &wirepb.PlaceMessage{
				Body: &wirepb.PlaceMessage_PinAsk{PinAsk: pinToWire(a.Pin)},
			}))
		case place.ReleasePin:
			relaySession := c.placement.pinRelays[a.Pin.Sequence]
			delete(c.placement.pinRelays, a.Pin.Sequence)
			effects = append(effects, placeMessageTo(relaySession, &wirepb.PlaceMessage{
				Body: &wirepb.PlaceMessage_PinRelease{PinRelease: pinToWire(a.Pin)},
			}))
		}
	}
	return effects
}

// isUnused reports whether no call, running or waiting, uses a copy.
func (c *Core) isUnused(weights place.Artifact) bool {
	for _, call := range c.calls {
		request := call.Request
		if request.GetModel() != weights.Model || request.GetVersion() != weights.Version {
			continue
		}
		if weights.Adapter == "" || weights.Adapter == request.GetAdapter() {
			return false
		}
	}
	return true
}

// servingResidents returns the residents that take new calls.
func (c *Core) servingResidents() []plat.Resident {
	var serving []plat.Resident
	for _, resident := range c.report.Residents {
		weights := place.Artifact{
			Model:   resident.Model,
			Version: resident.Version,
			Adapter: resident.Adapter,
		}
		if c.placement.holder.AcceptsCalls(weights) {
			serving = append(serving, resident)
		}
	}
	return serving
}

// placeStateMessage returns what entries are told of the memory.
func (c *Core) placeStateMessage() *wirepb.Envelope {
	holder := c.placement.holder
	state := &wirepb.PlaceState{
		Memory: holder.TotalBytes(),
		Free:   holder.FreeBytes(),
	}
	for _, charge := range holder.Allocations() {
		state.Held = append(state.Held, &wirepb.HeldWeights{
			Weights: charge.ToWire(),
			Bytes:   charge.Bytes,
			Ready:   holder.Ready(charge.Artifact),
			Staying: holder.AcceptsCalls(charge.Artifact) && holder.Retains(charge.Artifact),
		})
	}
	return &wirepb.Envelope{Body: &wirepb.Envelope_Place{Place: &wirepb.PlaceMessage{
		Body: &wirepb.PlaceMessage_State{State: state},
	}}}
}

func placeMessageTo(session uint64, message *wirepb.PlaceMessage) SendMessage {
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
	for _, weights := range pin.Artifacts {
		wirePin.Weights = append(wirePin.Weights, weights.ToWire())
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
