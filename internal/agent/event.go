package agent

import (
	"time"

	"dogwoodfold/internal/dedup"
	"dogwoodfold/internal/plat"
	"dogwoodfold/internal/wire/wirepb"
)

// Event is an input of an agent's reducer.
type Event interface{ isEvent() }

// Call is one attempt of a call at this agent.
type Call struct {
	// Key is unique among the calls of this process.
	Key     uint64
	Request *wirepb.CallRequest
}

// The events.
type (
	// CallArrived reports that an entry has sent a call.
	CallArrived struct{ Call Call }
	// FirstData reports that the first data of a started call's response has
	// arrived.
	FirstData struct{ Key uint64 }
	// CallEnded reports that a started call has ended. The outcome of a
	// non-idempotent call is stored.
	CallEnded struct {
		Key     uint64
		Outcome dedup.Outcome
		// Tokens is the work of a call with a complete response, 0 without one.
		Tokens int
	}
	// CallCanceled reports that the entry closed a call before its end.
	CallCanceled struct{ Key uint64 }
	// ReportRead delivers a report of the engine.
	ReportRead struct {
		Report plat.Report
		// RequestedAt is when the request for the report was sent.
		RequestedAt time.Time
	}
	// CacheRead delivers the events of the engine's prefix cache that were read
	// from event number From on.
	CacheRead struct {
		From uint64
		Page plat.CacheEventPage
	}
	// SessionOpened reports that an entry has connected.
	SessionOpened struct {
		Session uint64
		Hello   *wirepb.Hello
	}
	// SessionClosed reports that an entry's session has ended.
	SessionClosed struct{ Session uint64 }
	// MessageReceived delivers a control message of an entry.
	MessageReceived struct {
		Session uint64
		Message *wirepb.Envelope
	}
	// HostsRead delivers the platform's list of hosts.
	HostsRead struct{ Hosts []plat.Host }
	// LogRead delivers a page of a log stream.
	LogRead struct {
		Stream string
		Page   plat.Page
	}
	// LogReadFailed reports that reading a log stream failed.
	LogReadFailed struct {
		Stream string
		Err    error
	}
	// AppendEnded reports the result of an append. Even after an error the
	// record may be in the log.
	AppendEnded struct {
		Tag    string
		Offset uint64
		Err    error
	}
	// ShutdownRequested begins a graceful shutdown.
	ShutdownRequested struct{}
	// Tick lets the reducer act on the passage of time.
	Tick struct{}
)

func (CallArrived) isEvent()       {}
func (FirstData) isEvent()         {}
func (CallEnded) isEvent()         {}
func (CallCanceled) isEvent()      {}
func (ReportRead) isEvent()        {}
func (CacheRead) isEvent()         {}
func (SessionOpened) isEvent()     {}
func (SessionClosed) isEvent()     {}
func (MessageReceived) isEvent()   {}
func (HostsRead) isEvent()         {}
func (LogRead) isEvent()           {}
func (LogReadFailed) isEvent()     {}
func (AppendEnded) isEvent()       {}
func (ShutdownRequested) isEvent() {}
func (Tick) isEvent()              {}

// Effect is an action that an agent's reducer requests.
type Effect interface{ isEffect() }

// The effects.
type (
	// Start forwards a call to the endpoint.
	Start struct{ Key uint64 }
	// Refuse fails a call with an error.
	Refuse struct {
		Key uint64
		Err error
		// Holder is the process that holds the claim of the call's idempotency
		// key, if that is the reason for the refusal.
		Holder dedup.Process
	}
	// Replay answers a call with the complete response to another attempt.
	Replay struct {
		Key     uint64
		Outcome dedup.Outcome
	}
	// ScheduleTick posts a Tick after a delay.
	ScheduleTick struct{ After time.Duration }
	// SendMessage sends a control message to one entry.
	SendMessage struct {
		Session uint64
		Message *wirepb.Envelope
	}
	// Broadcast sends a control message to every entry.
	Broadcast struct{ Message *wirepb.Envelope }
	// AppendRecord appends a record to a log stream. AppendEnded returns its
	// Tag.
	AppendRecord struct {
		Tag    string
		Stream string
		Data   []byte
	}
	// SendOrder sends an order to the engine.
	SendOrder struct{ Order plat.Order }
	// ShutdownFinished reports that a graceful shutdown is complete.
	ShutdownFinished struct{}
	// LogWarning writes a warning to the process log.
	LogWarning struct {
		Message string
		Err     error
	}
)

func (Start) isEffect()            {}
func (Refuse) isEffect()           {}
func (Replay) isEffect()           {}
func (ScheduleTick) isEffect()     {}
func (SendMessage) isEffect()      {}
func (Broadcast) isEffect()        {}
func (AppendRecord) isEffect()     {}
func (SendOrder) isEffect()        {}
func (ShutdownFinished) isEffect() {}
func (LogWarning) isEffect()       {}
