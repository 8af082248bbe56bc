package agent

import (
	"time"

	"google.golang.org/protobuf/proto"

	"dogwoodfold/internal/place"
	"dogwoodfold/internal/plat"
	"dogwoodfold/internal/wire/wirepb"
)

// stateInterval is how often entries are told of the memory at least.
const stateInterval = 2 * time.Second

// placement is the part of an agent's state that decides what its engine holds.
type placement struct {
	holder *place.ReplicaManager
	// via names the session of the entry that relays a pin, by its sequence.
	via map[uint64]uint64
	// offset is the newest configuration that an entry has rested a wish on.
	offset uint64
	told   *wirepb.Envelope
	toldAt time.Time
}

func newPlacement(s CoreSettings) placement {
	return placement{
		holder: place.NewReplicaManager(s.Host, s.Incarnation, s.MaxOrderDelay),
		via:    make(map[uint64]uint64),
	}
}

// reported takes over the engine's report.
func (c *Core) reported(now time.Time, e Reported) []Effect {
	c.report, c.reportAt = e.Report, e.TookOff
	c.placement.holder.ApplyReport(now, e.TookOff, e.Report)
	effects := append(c.place(now), c.tell(now)...)
	state := c.placeState()
	if proto.Equal(state, c.placement.told) && now.Sub(c.placement.toldAt) < stateInterval {
		return effects
	}
	c.placement.told, c.placement.toldAt = state, now
	return append(effects, Broadcast{Message: state})
}

// received passes a control message to the part that it belongs to.
func (c *Core) received(now time.Time, e Received) []Effect {
	if fold := e.Message.GetFold(); fold != nil {
		return c.foldMessage(now, fold)
	}
	if e.Message.GetShare() != nil {
		return c.shareReceived(now, e)
	}
	message := e.Message.GetPlace()
	if message == nil || c.plain {
		return nil
	}
	holder := c.placement.holder
	switch body := message.GetBody().(type) {
	case *wirepb.PlaceMessage_Wish:
		return c.wished(now, e.Session, body.Wish)
	case *wirepb.PlaceMessage_PinAsk:
		return []Effect{tellPlace(e.Session, &wirepb.PlaceMessage{Body: &wirepb.PlaceMessage_PinReply{
			PinReply: &wirepb.PinReply{
				Pin:     body.PinAsk,
				Granted: holder.GrantPin(now, pinFromWire(body.PinAsk)),
			},
		}})}
	case *wirepb.PlaceMessage_PinReply:
		holder.HandlePinReply(pinFromWire(body.PinReply.GetPin()), body.PinReply.GetGranted())
		return c.place(now)
	case *wirepb.PlaceMessage_PinRelease:
		holder.HandlePinRelease(pinFromWire(body.PinRelease))
	}
	return nil
}

// wished follows a planner's wish if the ledger and the pins allow it. A wish
// that rests on an older configuration than another one is refused, since it
// may take weights for unlisted that are listed again.
func (c *Core) wished(now time.Time, session uint64, w *wirepb.Wish) []Effect {
	weights := place.FromWire(w.GetWeights())
	err := place.ErrStaleConfig
	var actions []place.Action
	if w.GetConfigOffset() >= c.placement.offset {
		c.placement.offset = w.GetConfigOffset()
		if w.GetLoad() {
			actions, err = c.placement.holder.Load(now, weights, w.GetBytes())
		} else {
			actions, err = c.placement.holder.Unload(now, weights, w.GetKeeper(), w.GetKeepVersion())
		}
	}
	if err != nil {
		return []Effect{tellPlace(session, &wirepb.PlaceMessage{Body: &wirepb.PlaceMessage_Refused{
			Refused: &wirepb.WishRefused{
				Load:    w.GetLoad(),
				Weights: w.GetWeights(),
				Reason:  err.Error(),
			},
		}})}
	}
	return c.act(session, actions)
}

// place moves unloads on.
func (c *Core) place(now time.Time) []Effect {
	if c.plain {
		return nil
	}
	return c.act(0, c.placement.holder.Step(now, c.idle))
}

// act turns a holder's actions into effects.
func (c *Core) act(session uint64, actions []place.Action) []Effect {
	var effects []Effect
	for _, action := range actions {
		switch a := action.(type) {
		case place.SendOrder:
			effects = append(effects, Order{Order: a.Order})
		case place.RequestPin:
			c.placement.via[a.Pin.Sequence] = session
			effects = append(effects, tellPlace(session, &wirepb.PlaceMessage{
				Body: &wirepb.PlaceMessage_PinAsk{PinAsk: pinToWire(a.Pin)},
			}))
		case place.ReleasePin:
			via := c.placement.via[a.Pin.Sequence]
			delete(c.placement.via, a.Pin.Sequence)
			effects = append(effects, tellPlace(via, &wirepb.PlaceMessage{
				Body: &wirepb.PlaceMessage_PinRelease{PinRelease: pinToWire(a.Pin)},
			}))
		}
	}
	return effects
}

// idle reports whether no call, running or waiting, uses a copy.
func (c *Core) idle(weights place.Artifact) bool {
	for _, call := range c.calls {
		r := call.Request
		if r.GetModel() != weights.Model || r.GetVersion() != weights.Version {
			continue
		}
		if weights.Adapter == "" || weights.Adapter == r.GetAdapter() {
			return false
		}
	}
	return true
}

// serving returns the residents that take new calls.
func (c *Core) serving() []plat.Resident {
	var serving []plat.Resident
	for _, r := range c.report.Residents {
		copied := place.Artifact{
			Model:   r.Model,
			Version: r.Version,
			Adapter: r.Adapter,
		}
		if c.placement.holder.AcceptsCalls(copied) {
			serving = append(serving, r)
		}
	}
	return serving
}

// placeState returns what entries are told of the memory.
func (c *Core) placeState() *wirepb.Envelope {
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

func tellPlace(session uint64, message *wirepb.PlaceMessage) Tell {
	return Tell{
		Session: session,
		Message: &wirepb.Envelope{Body: &wirepb.Envelope_Place{Place: message}},
	}
}

func pinToWire(p place.Pin) *wirepb.Pin {
	pin := &wirepb.Pin{
		From:        p.From,
		To:          p.To,
		Incarnation: p.Incarnation,
		Sequence:    p.Sequence,
	}
	for _, c := range p.Artifacts {
		pin.Weights = append(pin.Weights, c.ToWire())
	}
	return pin
}

func pinFromWire(p *wirepb.Pin) place.Pin {
	pin := place.Pin{
		From:        p.GetFrom(),
		To:          p.GetTo(),
		Incarnation: p.GetIncarnation(),
		Sequence:    p.GetSequence(),
	}
	for _, w := range p.GetWeights() {
		pin.Artifacts = append(pin.Artifacts, place.FromWire(w))
	}
	return pin
}
