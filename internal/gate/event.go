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
	// MaxTokens is the most that the request may use, 0 if it doesn't tell.
	MaxTokens float64
	// PromptTokens is the length of the prompt, Parts its pieces.
	PromptTokens int
	PromptParts  []pick.PromptPart
	// ClientTimeout is how long the client waits, 0 if it doesn't tell.
	ClientTimeout time.Duration
	ArrivedAt     time.Time
}

// Event is something that happened.
type Event interface{ event() }

// RequestArrived is a request that was read whole.
type RequestArrived struct {
	Call    CallID
	Request *Request
}

// FirstByteReceived tells that an endpoint has begun to answer.
type FirstByteReceived struct{ Call CallID }

// AttemptEnded tells how an attempt ended.
type AttemptEnded struct {
	Call   CallID
	Result Result
}

// ClientDisconnected tells that the client has closed its connection.
type ClientDisconnected struct{ Call CallID }

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

// ConfigFetchEnded ends a FetchConfig.
type ConfigFetchEnded struct{}

// RegistryReadFailed tells that the registry could not be read.
type RegistryReadFailed struct{}

// LeaseRead is the newest record of the lease.
type LeaseRead struct {
	Record    lease.Record
	Offset    int64
	EndOffset int64
	Exists    bool
	SentAt    time.Time
	Err       error
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

// LeaseAppendEnded tells what became of an append to the lease.
type LeaseAppendEnded struct {
	Record lease.Record
	Offset int64
	Result AppendResult
}

// LeaderConnected tells that the session to the leader is open.
type LeaderConnected struct{ Host string }

// LeaderDisconnected tells that the session to the leader has ended.
type LeaderDisconnected struct{ Host string }

// StateReceived is a message of the leader.
type StateReceived struct {
	Host  string
	State *wirepb.GateState
}

// PeerConnected tells that another entry has opened a session to this one.
type PeerConnected struct{ Host string }

// PeerDisconnected tells that the session of another entry has ended.
type PeerDisconnected struct{ Host string }

// ReportReceived is a message of another entry to the leader.
type ReportReceived struct {
	Host   string
	Report *wirepb.GateReport
}

// AssignmentRequested is another entry's question to the leader.
type AssignmentRequested struct {
	Host    string
	Request *wirepb.GateAssignmentAsk
}

// AssignmentReceived is the leader's answer to AskAssignment.
type AssignmentReceived struct {
	Host       string
	Assignment *wirepb.GateAssignment
}

// OrderAnswered tells what became of an order.
type OrderAnswered struct {
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

// SettingsReloaded tells that the settings have changed. The lease keeps its timing.
type SettingsReloaded struct{ Settings Settings }

// ShutdownRequested begins a graceful shutdown.
type ShutdownRequested struct{}

// StatusRequested asks for a summary.
type StatusRequested struct{ Reply chan<- Status }

// Status is a summary for readiness, metrics and logs.
type Status struct {
	Ready         bool
	ConfigVersion int64
	ConfigAge     time.Duration
	RegistryAge   time.Duration
	Endpoints     int
	Waiting       int
	Running       int
	IsLeader      bool
	Leader        string
	Stopping      bool
}

func (RequestArrived) event()      {}
func (FirstByteReceived) event()   {}
func (AttemptEnded) event()        {}
func (ClientDisconnected) event()  {}
func (ConfigRead) event()          {}
func (EndpointsRead) event()       {}
func (ConfigFetchEnded) event()    {}
func (RegistryReadFailed) event()  {}
func (LeaseRead) event()           {}
func (LeaseAppendEnded) event()    {}
func (LeaderConnected) event()     {}
func (LeaderDisconnected) event()  {}
func (StateReceived) event()       {}
func (PeerConnected) event()       {}
func (PeerDisconnected) event()    {}
func (ReportReceived) event()      {}
func (AssignmentRequested) event() {}
func (AssignmentReceived) event()  {}
func (OrderAnswered) event()       {}
func (EngineReported) event()      {}
func (Tick) event()                {}
func (SettingsReloaded) event()    {}
func (ShutdownRequested) event()   {}
func (StatusRequested) event()     {}

// Outcome says what became of an attempt.
type Outcome int

// The outcomes of attempts.
const (
	// OutcomeMayHaveRun attempts may have run; the client got nothing yet.
	OutcomeMayHaveRun Outcome = iota
	// OutcomeNotRun attempts are proved not to have run.
	OutcomeNotRun
	// OutcomeComplete attempts were answered and the answer was passed on whole.
	OutcomeComplete
	// OutcomeFailed attempts were answered with a failure, which is held back.
	OutcomeFailed
	// OutcomeTruncated attempts ended after a part of the answer was passed on.
	OutcomeTruncated
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
	// ReasonRefused means that the endpoint refused the request as not run.
	ReasonRefused
	// ReasonAddressReused means that another endpoint has the address.
	ReasonAddressReused
	// ReasonModelMissing means that the endpoint lacks the model or adapter.
	ReasonModelMissing
	// ReasonConfigStale means that the proof of the configuration had lapsed before
	// the request was sent.
	ReasonConfigStale
	// ReasonReset means that the connection broke.
	ReasonReset
	// ReasonMalformed means that the answer was no answer to the request.
	ReasonMalformed
	// ReasonTimeout means that the time of the request was up.
	ReasonTimeout
	// ReasonStatus means that the endpoint answered with a failure of its own.
	ReasonStatus
	// ReasonClientGone means that the client has left.
	ReasonClientGone
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
	// MaxGap is the longest time between two parts of the answer.
	MaxGap time.Duration
}

// Effect is something that the shell must do.
type Effect interface{ effect() }

// DecisionContext is what a decision on a request rests on, for the log.
type DecisionContext struct {
	// Customer is empty before the key's holder is known.
	Customer      string
	ConfigVersion int64
	ConfigAge     time.Duration
	RegistryAge   time.Duration
	// Leader is the host that the entry follows, or its own while it leads.
	Leader string
	// AssignedByLeader tells that the leader chose the endpoint.
	AssignedByLeader bool
	// Running is how many requests the endpoint was known to have, Expected how
	// soon its first byte was expected.
	Running  int
	Expected time.Duration
}

// Send passes a request to an endpoint.
type Send struct {
	Call     CallID
	Basis    DecisionContext
	Endpoint string
	Address  netip.AddrPort
	Service  string
	Customer string
	Priority int
	Route    *topo.Route
	// Deadline is when the request must have its final answer.
	Deadline time.Time
	// ConfigValidUntil is until when the request may be passed on, zero for ever.
	ConfigValidUntil time.Time
	// Resume continues a stream after its last event.
	Resume bool
}

// Refuse answers a request with a failure of the entry's own.
type Refuse struct {
	Call  CallID
	Basis DecisionContext
	Err   error
}

// PassFailure hands on the failure that the endpoint answered with.
type PassFailure struct{ Call CallID }

// AbortResponse ends an answer so that it doesn't look complete.
type AbortResponse struct{ Call CallID }

// ReadLease reads the newest record of the lease.
type ReadLease struct{}

// AppendLease adds a record if the log ends at At.
type AppendLease struct {
	Record lease.Record
	Offset int64
}

// DialLeader opens a session to the leader and closes others. The address is
// not valid if there is none to dial.
type DialLeader struct {
	Host    string
	Address netip.AddrPort
}

// SendReport tells the leader of this entry's requests.
type SendReport struct{ Report *wirepb.GateReport }

// RequestAssignment asks the leader for an engine.
type RequestAssignment struct{ Request *wirepb.GateAssignmentAsk }

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

// SendOrder sends an order to an engine. It must not be sent after Until.
type SendOrder struct {
	Order   stock.Order
	Address netip.AddrPort
	Term    int64
	Until   time.Time
}

// QueryEngine asks an engine for its account.
type QueryEngine struct {
	Engine  string
	Address netip.AddrPort
}

// WatchStore tells which parts of the store this entry must read itself. What
// it reads for all entries must be newer than what it reads for itself alone.
type WatchStore struct {
	Config   bool
	Registry bool
	ForPeers bool
}

// FetchConfig reads the newest configuration once.
type FetchConfig struct{}

// CloseEndpoint closes the connections to an endpoint that is gone.
type CloseEndpoint struct{ Endpoint string }

// ScheduleTick posts a Tick after a time.
type ScheduleTick struct{ After time.Duration }

// LogChange is a change of what the entry believes.
type LogChange struct {
	Message string
	Subject string
	Detail  string
	Age     time.Duration
}

func (Send) effect()              {}
func (Refuse) effect()            {}
func (PassFailure) effect()       {}
func (AbortResponse) effect()     {}
func (ReadLease) effect()         {}
func (AppendLease) effect()       {}
func (DialLeader) effect()        {}
func (SendReport) effect()        {}
func (RequestAssignment) effect() {}
func (SendAssignment) effect()    {}
func (SendState) effect()         {}
func (SendOrder) effect()         {}
func (QueryEngine) effect()       {}
func (WatchStore) effect()        {}
func (FetchConfig) effect()       {}
func (CloseEndpoint) effect()     {}
func (ScheduleTick) effect()      {}
func (LogChange) effect()         {}
