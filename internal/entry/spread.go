package entry

import (
	"time"

	"dogwoodfold/internal/plat"
	"dogwoodfold/internal/relay"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/config"
)

// sendConfigStatuses tells some entries which configuration this one has and
// requests their status.
func (c *Core) sendConfigStatuses(now time.Time) []Effect {
	var names []string
	for _, peer := range c.fleet.Peers(plat.RoleEntry) {
		if peer.Linked() {
			names = append(names, peer.Host.Name)
		}
	}
	c.relay.SetPeers(now, names)
	var effects []Effect
	for _, name := range c.relay.StartRound(now) {
		effects = append(effects, configStatusMessage(name, c.relay.Status(now, 0)))
	}
	return effects
}

// handleFoldMessage handles a message of another entry about its configuration.
func (c *Core) handleFoldMessage(now time.Time, host string, message *wirepb.FoldMessage) []Effect {
	switch body := message.GetBody().(type) {
	case *wirepb.FoldMessage_Status:
		return c.handleConfigStatus(now, host, body.Status)
	case *wirepb.FoldMessage_Ask:
		return []Effect{configStateMessage(host, c.fold.Since(body.Ask.GetAccepted()))}
	case *wirepb.FoldMessage_State:
		return c.adoptConfig(now, host, body.State)
	default:
		return nil
	}
}

func (c *Core) handleConfigStatus(now time.Time, host string, status *wirepb.FoldStatus) []Effect {
	c.relay.HandleStatus(now, host, relay.Status{
		Accepted:    status.GetAccepted(),
		Next:        status.GetNext(),
		LogEndKnown: status.GetInformed(),
		LogEndAge:   time.Duration(status.GetAgeMs()) * time.Millisecond,
		Sequence:    status.GetSequence(),
		Echo:        status.GetEcho(),
	})
	if status.GetSequence() == 0 {
		return nil
	}
	return []Effect{configStatusMessage(host, c.relay.Status(now, status.GetSequence()))}
}

// requestConfig requests the configuration of a peer that has a newer one.
func (c *Core) requestConfig(now time.Time) []Effect {
	name, ok := c.relay.NextPull(now)
	if !ok {
		return nil
	}
	ask := &wirepb.FoldAsk{Accepted: c.fold.Accepted}
	return []Effect{foldMessage(name, &wirepb.FoldMessage{Body: &wirepb.FoldMessage_Ask{Ask: ask}})}
}

// adoptConfig adopts a peer's configuration if it is newer.
func (c *Core) adoptConfig(now time.Time, host string, message *wirepb.FoldState) []Effect {
	state := config.State{
		Base:     message.GetBase(),
		Accepted: message.GetAccepted(),
		Next:     message.GetNext(),
		Sum:      message.GetSum(),
	}
	for _, step := range message.GetSteps() {
		state.Steps = append(state.Steps, config.Step{
			Offset: step.GetOffset(),
			Text:   step.GetText(),
			Patch:  step.GetPatch(),
		})
	}
	previous := c.fold.Accepted
	if _, err := c.fold.Adopt(state); err != nil {
		c.relay.PullRejected(now, host)
		return []Effect{LogWarning{
			Message: "configuration of peer " + host + " rejected",
			Err:     err,
		}}
	}
	c.relay.PullAnswered(host)
	return append(c.applyFold(now, previous), c.updateReady(now)...)
}

// configStateMessage returns the response to a configuration request.
func configStateMessage(host string, state config.State) Effect {
	wireState := &wirepb.FoldState{
		Base:     state.Base,
		Accepted: state.Accepted,
		Next:     state.Next,
		Sum:      state.Sum,
	}
	for _, step := range state.Steps {
		wireState.Steps = append(wireState.Steps, &wirepb.FoldStep{
			Offset: step.Offset,
			Text:   step.Text,
			Patch:  step.Patch,
		})
	}
	return foldMessage(host, &wirepb.FoldMessage{Body: &wirepb.FoldMessage_State{State: wireState}})
}

func configStatusMessage(host string, status relay.Status) Effect {
	return foldMessage(host, &wirepb.FoldMessage{Body: &wirepb.FoldMessage_Status{Status: &wirepb.FoldStatus{
		Accepted: status.Accepted,
		Next:     status.Next,
		Informed: status.LogEndKnown,
		AgeMs:    uint32(status.LogEndAge.Milliseconds()) + 1,
		Sequence: status.Sequence,
		Echo:     status.Echo,
	}}})
}

func foldMessage(host string, message *wirepb.FoldMessage) Effect {
	return SendMessage{
		Host:    host,
		Message: &wirepb.Envelope{Body: &wirepb.Envelope_Fold{Fold: message}},
	}
}
