package entry

import (
	"slices"
	"time"

	"dogwoodfold/internal/fleet"
	"dogwoodfold/internal/plat"
	"dogwoodfold/internal/poison"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/fault"
)

const (
	// answeredTime is the time after its first part from which a streamed response
	// shows that its call doesn't crash the endpoint.
	answeredTime = time.Second
	// trialRetryAfter is the Retry-After of a call that may crash endpoints, while
	// another such call is on trial.
	trialRetryAfter = 1500 * time.Millisecond
	// maxNewAnswersPerSecond bounds the answers recorded of calls that have crashed no
	// endpoint, so that many distinct calls don't displace the answers of those that have.
	maxNewAnswersPerSecond = 10
)

// crashWatch holds what an entry knows of calls that crash their endpoints.
type crashWatch struct {
	// messages has the messages of prompts as its parts, calls the fingerprints of calls.
	// In one log, a repeated prompt and its messages would explain each other's crashes.
	messages *poison.Log
	calls    *poison.Log
	// trials are the calls on trial, by suspect part.
	trials map[poison.Part]string
	// shared is what each of the other entries has been sent, by host.
	shared map[string]sharedRevision
	// newAnswers counts the answers to calls unknown before, since newAnswersSince.
	newAnswers      int
	newAnswersSince time.Time
}

// sharedRevision holds the revisions of the logs that a process of another entry has
// been sent.
type sharedRevision struct {
	incarnation uint64
	messages    uint64
	calls       uint64
}

func newCrashWatch() crashWatch {
	return crashWatch{
		messages: poison.NewLog(),
		calls:    poison.NewLog(),
		trials:   make(map[poison.Part]string),
		shared:   make(map[string]sharedRevision),
	}
}

// fingerprints returns the part that stands for the whole call, none if it is not known.
func (c *Call) fingerprints() []poison.Part {
	if c.Fingerprint == 0 {
		return nil
	}
	return []poison.Part{c.Fingerprint}
}

// checkQuarantine returns why a call is kept from all endpoints, if it is. It puts a
// suspect call that may be sent on trial.
func (c *Core) checkQuarantine(now time.Time, call *activeCall) error {
	messages := c.crashes.messages.Judge(now, call.PromptParts)
	if err := c.crashes.refusal(now, call, messages, "a part of the prompt"); err != nil {
		return err
	}
	whole := c.crashes.calls.Judge(now, call.fingerprints())
	if err := c.crashes.refusal(now, call, whole, "this call"); err != nil {
		return err
	}
	call.suspects = slices.Concat(messages.Suspects, whole.Suspects)
	return nil
}

// refusal returns the error that a judgment demands for a call, nil if there is none.
func (w *crashWatch) refusal(now time.Time, call *activeCall, judgment poison.Judgment, subject string) error {
	switch {
	case judgment.Verdict == poison.Quarantined:
		err := fault.New(fault.NotRun, fault.CodeQuarantine, subject+" crashes its endpoints")
		return fault.WithRetryAfter(err, judgment.Until.Sub(now))
	case judgment.Verdict == poison.Trial && (call.isRepeat() || w.onTrial(judgment.Suspects, call.ID)):
		err := fault.New(fault.NotRun, fault.CodeQuarantine, subject+" may crash its endpoint")
		return fault.WithRetryAfter(err, trialRetryAfter)
	default:
		return nil
	}
}

// isRepeat reports whether the next attempt repeats an earlier one, rather than sends the
// call on to the holder of its claim.
func (a *activeCall) isRepeat() bool { return a.attempt > 0 && a.claimHolder.Incarnation == 0 }

// onTrial reports whether another call with one of the parts is on trial.
func (w *crashWatch) onTrial(suspects []poison.Part, id string) bool {
	for _, p := range suspects {
		if trial, found := w.trials[p]; found && trial != id {
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

// recordCrashEvidence records what the end of an attempt says about the call.
func (c *Core) recordCrashEvidence(now time.Time, call *activeCall, outcome Outcome) {
	streamed := !call.streamStartedAt.IsZero() && now.Sub(call.streamStartedAt) >= answeredTime
	if outcome.Err == nil || streamed {
		c.crashes.recordAnswer(now, call)
		return
	}
	if run := fault.EndedRunOf(outcome.Err); run > 0 {
		c.crashes.recordCrash(now, call, run)
	}
}

func (w *crashWatch) recordAnswer(now time.Time, call *activeCall) {
	w.messages.AddAnswer(now, call.PromptParts)
	known := w.calls.ResolvedSince(call.Fingerprint, time.Time{})
	if known || w.allowNewAnswer(now) {
		w.calls.AddAnswer(now, call.fingerprints())
	}
}

// allowNewAnswer reports whether to record an answer to a call of which nothing is known.
func (w *crashWatch) allowNewAnswer(now time.Time) bool {
	if now.Sub(w.newAnswersSince) >= time.Second {
		w.newAnswersSince, w.newAnswers = now, 0
	}
	w.newAnswers++
	return w.newAnswers <= maxNewAnswersPerSecond
}

// recordCrash records the end of an endpoint's run, as its agent has numbered it.
func (w *crashWatch) recordCrash(now time.Time, call *activeCall, run uint64) {
	ended := poison.Run{
		Engine:      call.host,
		Incarnation: int64(call.agentIncarnation ^ run),
	}
	w.messages.AddCrash(now, poison.Crash{
		Run:   ended,
		At:    now,
		Parts: call.PromptParts,
	})
	w.calls.AddCrash(now, poison.Crash{
		Run:   ended,
		At:    now,
		Parts: call.fingerprints(),
	})
}

// sharePoison sends the other entries what this one has observed since.
func (c *Core) sharePoison(now time.Time) []Effect {
	var effects []Effect
	for _, peer := range c.fleet.Peers(plat.RoleEntry) {
		if peer.Linked() {
			effects = append(effects, c.crashes.share(now, peer)...)
		}
	}
	return effects
}

// share returns the messages that tell another entry what this one has observed since
// the last ones.
func (w *crashWatch) share(now time.Time, peer *fleet.Peer) []Effect {
	host := peer.Host.Name
	shared := w.shared[host]
	if shared.incarnation != peer.Incarnation {
		shared = sharedRevision{incarnation: peer.Incarnation}
	}
	w.shared[host] = sharedRevision{
		incarnation: peer.Incarnation,
		messages:    w.messages.Revision(),
		calls:       w.calls.Revision(),
	}
	var effects []Effect
	if news := poison.Encode(now, w.messages.OwnSince(shared.messages)); news != nil {
		effects = append(effects, poisonMessage(host, &wirepb.GateMessage{
			Body: &wirepb.GateMessage_Poison{Poison: news},
		}))
	}
	if news := poison.Encode(now, w.calls.OwnSince(shared.calls)); news != nil {
		effects = append(effects, poisonMessage(host, &wirepb.GateMessage{
			Body: &wirepb.GateMessage_CallPoison{CallPoison: news},
		}))
	}
	return effects
}

func poisonMessage(host string, message *wirepb.GateMessage) Effect {
	return SendMessage{
		Host:    host,
		Message: &wirepb.Envelope{Body: &wirepb.Envelope_Gate{Gate: message}},
	}
}

// mergePoison adds what another entry has observed.
func (c *Core) mergePoison(now time.Time, message *wirepb.GateMessage) {
	if news := message.GetPoison(); news != nil {
		c.crashes.messages.Merge(now, poison.Decode(now, news))
	}
	if news := message.GetCallPoison(); news != nil {
		c.crashes.calls.Merge(now, poison.Decode(now, news))
	}
}
