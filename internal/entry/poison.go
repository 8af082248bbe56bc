package entry

import (
	"slices"
	"strconv"
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
	// trialTurn is the time that each entry has for its trial after a quarantine, until the
	// next one may try a call as well.
	trialTurn = 5 * time.Second
	// maxNewPartsPerSecond bounds the parts that become known by their answers, so that
	// many distinct calls don't displace the answers of those that have crashed endpoints.
	maxNewPartsPerSecond = 10
)

// crashWatch holds what an entry knows of calls that crash their endpoints.
type crashWatch struct {
	// messages has the messages of prompts as its parts, calls the fingerprints of calls.
	// In one log, a repeated prompt and its messages would explain each other's crashes.
	messages *partLog
	calls    *partLog
	// trials are the calls on trial, by suspect part.
	trials map[poison.Part]string
	// shared is what each of the other entries has been sent, by host.
	shared map[string]sharedRevision
}

// partLog is a log whose answers are bounded.
type partLog struct {
	*poison.Log
	// newParts counts the parts that became known by answers since newPartsSince.
	newParts      int
	newPartsSince time.Time
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
		messages: &partLog{Log: poison.NewLog()},
		calls:    &partLog{Log: poison.NewLog()},
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
	if wait := c.trialWait(now, call, c.crashes.messages, messages); wait > 0 {
		return quarantineError("a part of the prompt", messages.Verdict, wait)
	}
	whole := c.crashes.calls.Judge(now, call.fingerprints())
	if wait := c.trialWait(now, call, c.crashes.calls, whole); wait > 0 {
		return quarantineError("this call", whole.Verdict, wait)
	}
	call.suspects = slices.Concat(messages.Suspects, whole.Suspects)
	return nil
}

func quarantineError(subject string, verdict poison.Verdict, wait time.Duration) error {
	message := subject + " may crash its endpoint"
	if verdict == poison.Quarantined {
		message = subject + " crashes its endpoints"
	}
	return fault.WithRetryAfter(fault.New(fault.NotRun, fault.CodeQuarantine, message), wait)
}

// trialWait returns how long a call must wait by the judgment of a log, 0 if it may be
// sent.
func (c *Core) trialWait(now time.Time, call *activeCall, log *partLog, judgment poison.Judgment) time.Duration {
	switch {
	case judgment.Verdict == poison.Clear:
		return 0
	case judgment.Verdict == poison.Quarantined:
		return judgment.Until.Sub(now)
	case call.isRepeat() || c.crashes.onTrial(judgment.Suspects, call.ID):
		return trialRetryAfter
	default:
		return c.trialTurnWait(now, log, judgment.Suspects)
	}
}

// trialTurnWait returns how long this entry must leave the trial of parts whose
// quarantine has ended to other entries, 0 if it may try them now.
func (c *Core) trialTurnWait(now time.Time, log *partLog, suspects []poison.Part) time.Duration {
	wait := time.Duration(0)
	for _, quarantine := range log.Quarantines() {
		if slices.Contains(suspects, quarantine.Part) {
			turn := time.Duration(c.trialRank(quarantine.Part)) * trialTurn
			wait = max(wait, quarantine.Until.Add(turn).Sub(now))
		}
	}
	return wait
}

// trialRank returns how many entries may try a part before this one. Rendezvous hashing
// over the live entries gives their order.
func (c *Core) trialRank(part poison.Part) int {
	key := strconv.FormatUint(uint64(part), 16)
	own, rank := rendezvousScore(key, c.host), 0
	for _, peer := range c.fleet.Peers(plat.RoleEntry) {
		if peer.Linked() && !peer.Leaving && rendezvousScore(key, peer.Host.Name) > own {
			rank++
		}
	}
	return rank
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
	if outcome.Replayed {
		return
	}
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
	w.messages.addAnswer(now, call.PromptParts)
	w.calls.addAnswer(now, call.fingerprints())
}

// addAnswer records an answer to a call with the parts, except for new parts beyond the
// bound.
func (l *partLog) addAnswer(now time.Time, parts []poison.Part) {
	l.AddAnswer(now, slices.DeleteFunc(slices.Clone(parts), func(p poison.Part) bool {
		return !l.isKnown(p) && !l.allowNewPart(now)
	}))
}

// isKnown reports whether an answer to a call with the part, or a crash by one, is logged.
func (l *partLog) isKnown(p poison.Part) bool { return l.ResolvedSince(p, time.Time{}) }

// allowNewPart reports whether one more part may become known now.
func (l *partLog) allowNewPart(now time.Time) bool {
	if now.Sub(l.newPartsSince) >= time.Second {
		l.newPartsSince, l.newParts = now, 0
	}
	l.newParts++
	return l.newParts <= maxNewPartsPerSecond
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

// shareAgain lets another entry be told all again, since messages may have been lost with
// the last session to it.
func (w *crashWatch) shareAgain(host string) { delete(w.shared, host) }

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
