package entry

import (
	"time"

	"dogwoodfold/internal/plat"
	"dogwoodfold/internal/poison"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/fault"
)

const (
	// answeredTime is the time after its first part from which a streamed response
	// shows that its prompt doesn't crash the engine.
	answeredTime = time.Second
	// trialRetryAfter is the Retry-After of a call whose prompt may crash engines,
	// while another such call is on trial.
	trialRetryAfter = 1500 * time.Millisecond
)

// crashWatch holds what an entry knows of prompts that crash engines.
type crashWatch struct {
	log *poison.Log
	// trials are the calls on trial, by suspect part.
	trials map[poison.Part]string
	// shared is what each of the other entries has been sent, by host.
	shared map[string]sharedRevision
}

// sharedRevision is the revision of the log that a process of another entry has been
// sent.
type sharedRevision struct {
	incarnation uint64
	revision    uint64
}

func newCrashWatch() crashWatch {
	return crashWatch{
		log:    poison.NewLog(),
		trials: make(map[poison.Part]string),
		shared: make(map[string]sharedRevision),
	}
}

// checkQuarantine returns why a call's prompt keeps it from all engines, if it does.
func (c *Core) checkQuarantine(now time.Time, call *activeCall) error {
	judgment := c.crashes.log.Judge(now, call.PromptParts)
	switch {
	case judgment.Verdict == poison.Quarantined:
		err := fault.New(fault.NotRun, fault.CodeQuarantine, "a part of the prompt crashes engines")
		return fault.WithRetryAfter(err, judgment.Until.Sub(now))
	case judgment.Verdict == poison.Trial && (call.attempt > 0 || c.crashes.onTrial(judgment.Suspects)):
		err := fault.New(fault.NotRun, fault.CodeQuarantine, "a part of the prompt may crash engines")
		return fault.WithRetryAfter(err, trialRetryAfter)
	}
	call.suspects = judgment.Suspects
	return nil
}

// onTrial reports whether a call with one of the parts is on trial.
func (w *crashWatch) onTrial(suspects []poison.Part) bool {
	for _, p := range suspects {
		if _, found := w.trials[p]; found {
			return true
		}
	}
	return false
}

func (w *crashWatch) startTrial(call *activeCall) {
	for _, p := range call.suspects {
		w.trials[p] = call.ID
	}
}

func (w *crashWatch) endTrial(id string) {
	for p, onTrial := range w.trials {
		if onTrial == id {
			delete(w.trials, p)
		}
	}
}

// recordPromptOutcome records what the end of an attempt says about the call's prompt.
func (c *Core) recordPromptOutcome(now time.Time, call *activeCall, outcome Outcome) {
	streamed := !call.streamStartedAt.IsZero() && now.Sub(call.streamStartedAt) >= answeredTime
	if outcome.Err == nil || streamed {
		c.crashes.log.AddAnswer(now, call.PromptParts)
		return
	}
	if run := fault.EndedRunOf(outcome.Err); run > 0 {
		c.crashes.log.AddCrash(now, poison.Crash{
			Run: poison.Run{
				Engine:      call.host,
				Incarnation: int64(call.agentIncarnation ^ run),
			},
			At:    now,
			Parts: call.PromptParts,
		})
	}
}

// sharePoison sends the other entries what this one has observed since.
func (c *Core) sharePoison(now time.Time) []Effect {
	var effects []Effect
	for _, peer := range c.fleet.Peers(plat.RoleEntry) {
		if !peer.Linked() {
			continue
		}
		shared := c.crashes.shared[peer.Host.Name]
		if shared.incarnation != peer.Incarnation {
			shared = sharedRevision{incarnation: peer.Incarnation}
		}
		message := poison.Encode(now, c.crashes.log.OwnSince(shared.revision))
		shared.revision = c.crashes.log.Revision()
		c.crashes.shared[peer.Host.Name] = shared
		if message == nil {
			continue
		}
		effects = append(effects, SendMessage{
			Host: peer.Host.Name,
			Message: &wirepb.Envelope{Body: &wirepb.Envelope_Gate{Gate: &wirepb.GateMessage{
				Body: &wirepb.GateMessage_Poison{Poison: message},
			}}},
		})
	}
	return effects
}

// mergePoison adds what another entry has observed.
func (c *Core) mergePoison(now time.Time, message *wirepb.GatePoison) {
	if message != nil {
		c.crashes.log.Merge(now, poison.Decode(now, message))
	}
}
