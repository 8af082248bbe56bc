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
	// Arrived says that an entry sent a call.
	Arrived struct{ Call Call }
	// Begun says that the first part of a started call's answer has come.
	Begun struct{ Key uint64 }
	// Ended says that a started call is over. Its outcome is kept if the call
	// may not be repeated.
	Ended struct {
		Key     uint64
		Outcome dedup.Outcome
		// Used is the work in tokens of a whole answer, 0 without one.
		Used int
	}
	// Abandoned says that the entry closed a call before its end.
	Abandoned struct{ Key uint64 }
	// Reported brings the endpoint's own report.
	Reported struct {
		Report plat.Report
		// TookOff is when the report was asked for.
		TookOff time.Time
	}
	// CacheRead brings events of the engine's prefix cache from a number on.
	CacheRead struct {
		From uint64
		Page plat.CachePage
	}
	// Linked says that an entry has connected.
	Linked struct {
		Session uint64
		Hello   *wirepb.Hello
	}
	// Unlinked says that an entry's session has ended.
	Unlinked struct{ Session uint64 }
	// Received brings a control message.
	Received struct {
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
	// LogFailed says that a stream could not be read.
	LogFailed struct {
		Stream string
		Err    error
	}
	// Appended says how an append has ended. After an error the record may
	// be in the log all the same.
	Appended struct {
		Tag    string
		Offset uint64
		Err    error
	}
	// Stopping asks for a graceful shutdown.
	Stopping struct{}
	// Tick passes time.
	Tick struct{}
)

func (Arrived) isEvent()   {}
func (Begun) isEvent()     {}
func (Ended) isEvent()     {}
func (Abandoned) isEvent() {}
func (Reported) isEvent()  {}
func (CacheRead) isEvent() {}
func (Linked) isEvent()    {}
func (Unlinked) isEvent()  {}
func (Received) isEvent()  {}
func (HostsRead) isEvent() {}
func (LogRead) isEvent()   {}
func (LogFailed) isEvent() {}
func (Appended) isEvent()  {}
func (Stopping) isEvent()  {}
func (Tick) isEvent()      {}

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
	// Wake asks for a tick after a time.
	Wake struct{ After time.Duration }
	// Tell sends a control message to one entry.
	Tell struct {
		Session uint64
		Message *wirepb.Envelope
	}
	// Broadcast sends a control message to every entry.
	Broadcast struct{ Message *wirepb.Envelope }
	// Append adds a record to a stream of the log; Tag comes back with
	// Appended.
	Append struct {
		Tag    string
		Stream string
		Data   []byte
	}
	// Order sends an order to the engine.
	Order struct{ Order plat.Order }
	// Finished says that a graceful shutdown has nothing left to wait for.
	Finished struct{}
)

func (Start) isEffect()     {}
func (Refuse) isEffect()    {}
func (Replay) isEffect()    {}
func (Wake) isEffect()      {}
func (Tell) isEffect()      {}
func (Broadcast) isEffect() {}
func (Append) isEffect()    {}
func (Order) isEffect()     {}
func (Finished) isEffect()  {}
