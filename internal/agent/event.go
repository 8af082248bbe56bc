package agent

import (
	"time"

	"dogwoodfold/internal/dedup"
	"dogwoodfold/internal/plat"
	"dogwoodfold/internal/wire/wirepb"
)

// Event is something that happened to an agent.
type Event interface{ isEvent() }

// Call names one attempt of a call at this agent.
type Call struct {
	// Key is unique among the calls of this process.
	Key     uint64
	Request *wirepb.CallRequest
}

// Events.
type (
	// CallArrived says that an entry sent a call.
	CallArrived struct{ Call Call }
	// FirstData says that the first part of a started call's answer has come.
	FirstData struct{ Key uint64 }
	// CallEnded says that a started call is over. Its outcome is kept if the call
	// may not be repeated.
	CallEnded struct {
		Key     uint64
		Outcome dedup.Outcome
		// Tokens is the work in tokens of a whole answer, 0 without one.
		Tokens int
	}
	// CallCanceled says that the entry closed a call before its end.
	CallCanceled struct{ Key uint64 }
	// ReportRead brings the endpoint's own report.
	ReportRead struct {
		Report plat.Report
		// RequestedAt is when the report was asked for.
		RequestedAt time.Time
	}
	// CacheRead brings events of the engine's prefix cache from a number on.
	CacheRead struct {
		From uint64
		Page plat.CachePage
	}
	// SessionOpened says that an entry has connected.
	SessionOpened struct {
		Session uint64
		Hello   *wirepb.Hello
	}
	// SessionClosed says that an entry's session has ended.
	SessionClosed struct{ Session uint64 }
	// MessageReceived brings a control message.
	MessageReceived struct {
		Session uint64
		Message *wirepb.Envelope
	}
	// HostsRead brings the platform's list of hosts.
	HostsRead struct{ Hosts []plat.Host }
	// LogRead brings a page of a stream of the log.
	LogRead struct {
		Stream string
		Page   plat.Page
	}
	// LogReadFailed says that a stream could not be read.
	LogReadFailed struct {
		Stream string
		Err    error
	}
	// LogAppended says how an append has ended. After an error the record may
	// be in the log all the same.
	LogAppended struct {
		Tag    string
		Offset uint64
		Err    error
	}
	// StopRequested asks for a graceful shutdown.
	StopRequested struct{}
	// Tick passes time.
	Tick struct{}
)

func (CallArrived) isEvent()     {}
func (FirstData) isEvent()       {}
func (CallEnded) isEvent()       {}
func (CallCanceled) isEvent()    {}
func (ReportRead) isEvent()      {}
func (CacheRead) isEvent()       {}
func (SessionOpened) isEvent()   {}
func (SessionClosed) isEvent()   {}
func (MessageReceived) isEvent() {}
func (HostsRead) isEvent()       {}
func (LogRead) isEvent()         {}
func (LogReadFailed) isEvent()   {}
func (LogAppended) isEvent()     {}
func (StopRequested) isEvent()   {}
func (Tick) isEvent()            {}

// Effect is something that an agent's reducer wants done.
type Effect interface{ isEffect() }

// Effects.
type (
	// Start forwards a call to the endpoint.
	Start struct{ Key uint64 }
	// Refuse answers a call with an error.
	Refuse struct {
		Key uint64
		Err error
		// Holder is the process that holds the claim of the call's key, if
		// that is why.
		Holder dedup.Process
	}
	// Replay answers a call with the whole answer to another attempt.
	Replay struct {
		Key     uint64
		Outcome dedup.Outcome
	}
	// ScheduleTick asks for a tick after a time.
	ScheduleTick struct{ After time.Duration }
	// SendMessage sends a control message to one entry.
	SendMessage struct {
		Session uint64
		Message *wirepb.Envelope
	}
	// Broadcast sends a control message to every entry.
	Broadcast struct{ Message *wirepb.Envelope }
	// AppendLog adds a record to a stream of the log; Tag comes back with
	// Appended.
	AppendLog struct {
		Tag    string
		Stream string
		Data   []byte
	}
	// SendOrder sends an order to the engine.
	SendOrder struct{ Order plat.Order }
	// Drained says that a graceful shutdown has nothing left to wait for.
	Drained struct{}
)

func (Start) isEffect()        {}
func (Refuse) isEffect()       {}
func (Replay) isEffect()       {}
func (ScheduleTick) isEffect() {}
func (SendMessage) isEffect()  {}
func (Broadcast) isEffect()    {}
func (AppendLog) isEffect()    {}
func (SendOrder) isEffect()    {}
func (Drained) isEffect()      {}
