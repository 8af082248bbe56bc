// Package gate decides for an entry that calls endpoints directly: which
// requests it admits, which endpoint gets them, when they are sent again or
// refused, and, while it leads the fleet, who may spend which customer's tokens
// and which engine holds which model. It is a reducer without I/O or clock.
package gate

import (
	"net/netip"
	"time"

	"dogwoodfold/internal/lease"
	"dogwoodfold/internal/pick"
	"dogwoodfold/internal/stock"
	"dogwoodfold/internal/topo"
	"dogwoodfold/internal/wire/wirepb"
)

// CallID names a request within the process.
type CallID uint64

// Request is what decides on a client's request.
type Request struct {
	// ID is the client's name of the request.
	ID   string
	Host string
	Path string
	Key  string
	// Model and Adapter name what must be held to run the request.
	Model   string
	Adapter string
	// Tokens is the most that the request may use, 0 if it doesn't tell.
	Tokens float64
	// PromptTokens is the length of the prompt, Parts its pieces.
	PromptTokens int
	Parts        []pick.PromptPart
	// Patience is how long the client waits, 0 if it doesn't tell.
	Patience time.Duration
	Arrived  time.Time
}

// Event is something that happened.
type Event interface{ event() }

// Arrived is a request that was read whole.
type Arrived struct {
	Call    CallID
	Request *Request
}

// FirstByte tells that an endpoint has begun to answer.
type FirstByte struct{ Call CallID }

// Ended tells how an attempt ended.
type Ended struct {
	Call   CallID
	Result Result
}

// Left tells that the client has closed its connection.
type Left struct{ Call CallID }

// ConfigRead is an answer of the store. Config is nil if it has no newer one.
type ConfigRead struct {
	Config *topo.Config
	SentAt time.Time
}

// EndpointsRead is an answer of the store. Full answers hold all endpoints.
type EndpointsRead struct {
	Changes []topo.EndpointChange
	Full    bool
	SentAt  time.Time
}

// ConfigFetched ends a FetchConfig.
type ConfigFetched struct{}

// StoreFailed tells that the registry could not be read.
type StoreFailed struct{}

// LeaseRead is the newest record of the lease.
type LeaseRead struct {
	Record lease.Record
	Offset int64
	End    int64
	Exists bool
	SentAt time.Time
	Err    error
}

// AppendResult says what became of an append.
type AppendResult int

// The results of appends.
const (
	AppendUnknown AppendResult = iota
	AppendDone
	AppendConflict
	AppendRefused
)

// LeaseAppended tells what became of an append to the lease.
type LeaseAppended struct {
	Record lease.Record
	At     int64
	Result AppendResult
}

// LinkUp tells that the session to the leader is open.
type LinkUp struct{ Host string }

// LinkDown tells that the session to the leader has ended.
type LinkDown struct{ Host string }

// StateReceived is a message of the leader.
type StateReceived struct {
	Host  string
	State *wirepb.GateState
}

// PeerUp tells that another entry has opened a session to this one.
type PeerUp struct{ Host string }

// PeerDown tells that the session of another entry has ended.
type PeerDown struct{ Host string }

// ReportReceived is a message of another entry to the leader.
type ReportReceived struct {
	Host   string
	Report *wirepb.GateReport
}

// AssignmentAsked is another entry's question to the leader.
type AssignmentAsked struct {
	Host string
	Ask  *wirepb.GateAssignmentAsk
}

// AssignmentReceived is the leader's answer to AskAssignment.
type AssignmentReceived struct {
	Host       string
	Assignment *wirepb.GateAssignment
}

// OrderEnded tells what became of an order.
type OrderEnded struct {
	Order   stock.Order
	Outcome stock.Outcome
}

// EngineReported is an engine's account; Report is nil if it gave none.
type EngineReported struct {
	Engine string
	Report *stock.Report
}

// Tick tells that time has passed.
type Tick struct{}

// Reloaded tells that the settings have changed. The lease keeps its timing.
type Reloaded struct{ Settings Settings }

// Stop begins a graceful shutdown.
type Stop struct{}

// StatusAsked asks for a summary.
type StatusAsked struct{ Reply chan<- Status }

// Status is a summary for readiness, metrics and logs.
type Status struct {
	Ready         bool
	ConfigVersion int64
	ConfigAge     time.Duration
	RegistryAge   time.Duration
	Endpoints     int
	Waiting       int
	Running       int
	Leads         bool
	Leader        string
	Stopping      bool
}

func (Arrived) event()            {}
func (FirstByte) event()          {}
func (Ended) event()              {}
func (Left) event()               {}
func (ConfigRead) event()         {}
func (EndpointsRead) event()      {}
func (ConfigFetched) event()      {}
func (StoreFailed) event()        {}
func (LeaseRead) event()          {}
func (LeaseAppended) event()      {}
func (LinkUp) event()             {}
func (LinkDown) event()           {}
func (StateReceived) event()      {}
func (PeerUp) event()             {}
func (PeerDown) event()           {}
func (ReportReceived) event()     {}
func (AssignmentAsked) event()    {}
func (AssignmentReceived) event() {}
func (OrderEnded) event()         {}
func (EngineReported) event()     {}
func (Tick) event()               {}
func (Reloaded) event()           {}
func (Stop) event()               {}
func (StatusAsked) event()        {}

// Outcome says what became of an attempt.
type Outcome int

// The outcomes of attempts.
const (
	// Unknown attempts may have run; the client got nothing yet.
	Unknown Outcome = iota
	// NotRun attempts are proved not to have run.
	NotRun
	// Complete attempts were answered and the answer was passed on whole.
	Complete
	// Failed attempts were answered with a failure, which is held back.
	Failed
	// Broken attempts ended after a part of the answer was passed on.
	Broken
)

// String returns the label of an outcome in logs and metrics.
func (o Outcome) String() string {
	return [...]string{"mayHaveRun", "notRun", "complete", "failed", "broken"}[o]
}

// Reason says why an attempt was not complete.
type Reason int

// The reasons.
const (
	ReasonNone Reason = iota
	// ReasonDial means that no connection could be opened.
	ReasonDial
	// ReasonFull means that the endpoint refused the request as not run.
	ReasonFull
	// ReasonElsewhere means that another endpoint has the address.
	ReasonElsewhere
	// ReasonMissing means that the endpoint lacks the model or adapter.
	ReasonMissing
	// ReasonStale means that the proof of the configuration had lapsed before
	// the request was sent.
	ReasonStale
	// ReasonReset means that the connection broke.
	ReasonReset
	// ReasonGarbled means that the answer was no answer to the request.
	ReasonGarbled
	// ReasonTimeout means that the time of the request was up.
	ReasonTimeout
	// ReasonStatus means that the endpoint answered with a failure of its own.
	ReasonStatus
	// ReasonCaller means that the client has left.
	ReasonCaller
)

// String returns the label of a reason in logs and metrics.
func (r Reason) String() string {
	return [...]string{
		"none", "dial", "full", "elsewhere", "missing", "stale", "reset", "garbled", "timeout", "status", "caller",
	}[r]
}

// Result is the end of an attempt.
type Result struct {
	Outcome Outcome
	Reason  Reason
	// Status is the endpoint's, 0 if it gave none.
	Status int
	// Pause is the longest time between two parts of the answer.
	Pause time.Duration
}

// Effect is something that the shell must do.
type Effect interface{ effect() }

// Basis is what a decision on a request rests on, for the log.
type Basis struct {
	// Customer is empty before the key's holder is known.
	Customer      string
	ConfigVersion int64
	ConfigAge     time.Duration
	RegistryAge   time.Duration
	// Leader is the host that the entry follows, or its own while it leads.
	Leader string
	// Assigned tells that the leader chose the endpoint.
	Assigned bool
	// Running is how many requests the endpoint was known to have, Expected how
	// soon its first byte was expected.
	Running  int
	Expected time.Duration
}

// Send passes a request to an endpoint.
type Send struct {
	Call     CallID
	Basis    Basis
	Endpoint string
	Address  netip.AddrPort
	Service  string
	Customer string
	Priority int
	Route    *topo.Route
	// Limit is when the request must have its final answer.
	Limit time.Time
	// FreshUntil is until when the request may be passed on, zero for ever.
	FreshUntil time.Time
	// Resume continues a stream after its last event.
	Resume bool
}

// Refuse answers a request with a failure of the entry's own.
type Refuse struct {
	Call  CallID
	Basis Basis
	Err   error
}

// Pass hands on the failure that the endpoint answered with.
type Pass struct{ Call CallID }

// Cut ends an answer so that it doesn't look complete.
type Cut struct{ Call CallID }

// ReadLease reads the newest record of the lease.
type ReadLease struct{}

// AppendLease adds a record if the log ends at At.
type AppendLease struct {
	Record lease.Record
	At     int64
}

// DialLeader opens a session to the leader and closes others. The address is
// not valid if there is none to dial.
type DialLeader struct {
	Host    string
	Address netip.AddrPort
}

// SendReport tells the leader of this entry's requests.
type SendReport struct{ Report *wirepb.GateReport }

// AskAssignment asks the leader for an engine.
type AskAssignment struct{ Ask *wirepb.GateAssignmentAsk }

// SendAssignment answers another entry's question for an engine.
type SendAssignment struct {
	Host       string
	Assignment *wirepb.GateAssignment
}

// SendState tells another entry what the leader knows.
type SendState struct {
	Host  string
	State *wirepb.GateState
}

// GiveOrder sends an order to an engine. It must not be sent after Until.
type GiveOrder struct {
	Order   stock.Order
	Address netip.AddrPort
	Term    int64
	Until   time.Time
}

// AskEngine asks an engine for its account.
type AskEngine struct {
	Engine  string
	Address netip.AddrPort
}

// FollowStore tells which parts of the store this entry must read itself. What
// it reads for all entries must be newer than what it reads for itself alone.
type FollowStore struct {
	Config   bool
	Registry bool
	ForAll   bool
}

// FetchConfig reads the newest configuration once.
type FetchConfig struct{}

// CloseEndpoint closes the connections to an endpoint that is gone.
type CloseEndpoint struct{ Endpoint string }

// Wake posts a Tick after a time.
type Wake struct{ After time.Duration }

// Note is a change of what the entry believes.
type Note struct {
	Text    string
	Subject string
	Detail  string
	Age     time.Duration
}

func (Send) effect()           {}
func (Refuse) effect()         {}
func (Pass) effect()           {}
func (Cut) effect()            {}
func (ReadLease) effect()      {}
func (AppendLease) effect()    {}
func (DialLeader) effect()     {}
func (SendReport) effect()     {}
func (AskAssignment) effect()  {}
func (SendAssignment) effect() {}
func (SendState) effect()      {}
func (GiveOrder) effect()      {}
func (AskEngine) effect()      {}
func (FollowStore) effect()    {}
func (FetchConfig) effect()    {}
func (CloseEndpoint) effect()  {}
func (Wake) effect()           {}
func (Note) effect()           {}
