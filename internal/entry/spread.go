package entry

import (
	"time"

	"dogwoodfold/internal/plat"
	"dogwoodfold/internal/relay"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/config"
)

// tellVersion tells some entries which configuration is in force here and asks
// for theirs.
func (c *Core) tellVersion(now time.Time) []Effect {
	var names []string
	for _, peer := range c.fleet.Peers(plat.RoleEntry) {
		if peer.Linked() {
			names = append(names, peer.Host.Name)
		}
	}
	c.relay.SetPeers(now, names)
	var effects []Effect
	for _, name := range c.relay.StartRound(now) {
		effects = append(effects, tellStatus(name, c.relay.Status(now, 0)))
	}
	return effects
}

// foldMessage handles what another entry says of its configuration.
func (c *Core) foldMessage(now time.Time, host string, m *wirepb.FoldMessage) []Effect {
	switch body := m.GetBody().(type) {
	case *wirepb.FoldMessage_Status:
		return c.heardStatus(now, host, body.Status)
	case *wirepb.FoldMessage_Ask:
		return []Effect{tellState(host, c.fold.Since(body.Ask.GetAccepted()))}
	case *wirepb.FoldMessage_State:
		return c.adopt(now, host, body.State)
	default:
		return nil
	}
}

func (c *Core) heardStatus(now time.Time, host string, s *wirepb.FoldStatus) []Effect {
	c.relay.HandleStatus(now, host, relay.Status{
		Accepted:    s.GetAccepted(),
		Next:        s.GetNext(),
		LogEndKnown: s.GetInformed(),
		LogEndAge:   time.Duration(s.GetAgeMs()) * time.Millisecond,
		Sequence:    s.GetSequence(),
		Echo:        s.GetEcho(),
	})
	if s.GetSequence() == 0 {
		return nil
	}
	return []Effect{tellStatus(host, c.relay.Status(now, s.GetSequence()))}
}

// pull asks a peer that is ahead.
func (c *Core) pull(now time.Time) []Effect {
	name, ok := c.relay.NextPull(now)
	if !ok {
		return nil
	}
	ask := &wirepb.FoldAsk{Accepted: c.fold.Accepted}
	return []Effect{tellFold(name, &wirepb.FoldMessage{Body: &wirepb.FoldMessage_Ask{Ask: ask}})}
}

// adopt takes over a peer's configuration if it is newer.
func (c *Core) adopt(now time.Time, host string, m *wirepb.FoldState) []Effect {
	state := config.State{
		Base:     m.GetBase(),
		Accepted: m.GetAccepted(),
		Next:     m.GetNext(),
		Sum:      m.GetSum(),
	}
	for _, step := range m.GetSteps() {
		state.Steps = append(state.Steps, config.Step{
			Offset: step.GetOffset(),
			Text:   step.GetText(),
			Patch:  step.GetPatch(),
		})
	}
	before := c.fold.Accepted
	if _, err := c.fold.Adopt(state); err != nil {
		c.relay.PullRejected(now, host)
		return []Effect{Note{
			Text: "configuration of " + host + " refused",
			Err:  err,
		}}
	}
	c.relay.PullAnswered(host)
	return append(c.folded(now, before), c.judgeReady(now)...)
}

// tellState returns the answer to an ask.
func tellState(host string, s config.State) Effect {
	state := &wirepb.FoldState{
		Base:     s.Base,
		Accepted: s.Accepted,
		Next:     s.Next,
		Sum:      s.Sum,
	}
	for _, step := range s.Steps {
		state.Steps = append(state.Steps, &wirepb.FoldStep{
			Offset: step.Offset,
			Text:   step.Text,
			Patch:  step.Patch,
		})
	}
	return tellFold(host, &wirepb.FoldMessage{Body: &wirepb.FoldMessage_State{State: state}})
}

func tellStatus(host string, s relay.Status) Effect {
	return tellFold(host, &wirepb.FoldMessage{Body: &wirepb.FoldMessage_Status{Status: &wirepb.FoldStatus{
		Accepted: s.Accepted,
		Next:     s.Next,
		Informed: s.LogEndKnown,
		AgeMs:    uint32(s.LogEndAge.Milliseconds()) + 1,
		Sequence: s.Sequence,
		Echo:     s.Echo,
	}}})
}

func tellFold(host string, m *wirepb.FoldMessage) Effect {
	return Tell{
		Host:    host,
		Message: &wirepb.Envelope{Body: &wirepb.Envelope_Fold{Fold: m}},
	}
}
