// Package gate implements the decisions of an entry, a gateway process that
// clients connect to and that calls endpoints directly. It decides which
// requests are admitted, which endpoint each of them is sent to, and when
// requests are retried or refused. In the entry that leads the fleet it also
// grants the customers' tokens to entries and assigns models to engines. It is
// a reducer, which maps events to effects: it does no I/O and reads no clock.
package gate

import (
	"time"

	"dogwoodfold/internal/lease"
	"dogwoodfold/internal/pick"
	"dogwoodfold/internal/poison"
	"dogwoodfold/internal/stock"
	"dogwoodfold/internal/topo"
	"dogwoodfold/internal/wire/wirepb"
)

// CallID identifies a request within the process.
type CallID uint64

// Request holds the properties of a client's request that decisions depend on.
type Request struct {
	// ID is the request ID given by the client.
	ID   string
	Host string
	Path string
	Key  string
	// Model and Adapter must be loaded by the endpoint that runs the request.
	Model   string
	Adapter string
	// MaxTokens is the largest number of tokens that the request may use, 0 if
	// it is not given.
	MaxTokens float64
	// PromptTokens is the length of the prompt, PromptParts its consecutive
	// parts.
	PromptTokens int
	// PromptPrefix names the parts of the prompt as the client did, for the log.
	PromptPrefix string
	PromptParts  []pick.PromptPart
	// SharedParts are the parts of the prompt that other requests may share, which
	// are all but the last.
	SharedParts []poison.Part
	// Content is a hash of what an endpoint is sent, without the headers that differ
	// between attempts and callers. It is empty if it isn't known.
	Content string
	// LastEventID is the last event that the client has of a stream that it
	// resumes, ResumedRequest the ID of the request that brought the first one.
	// Both are empty for new requests.
	LastEventID    string
	ResumedRequest string
	// ClientTimeout is how long the client waits, 0 if it is not given.
	ClientTimeout time.Duration
	ArrivedAt     time.Time
}

// Event is an input of the reducer.
type Event interface{ event() }

// RequestArrived reports a request that was read completely.
type RequestArrived struct {
	Call    CallID
	Request *Request
}

// FirstByteReceived reports that an endpoint has begun its response, a stream with its first
// whole event. Unlimited is true if the response names no limit.
type FirstByteReceived struct {
	Call      CallID
	Unlimited bool
}

// LimitNamed reports that an endpoint has named its limit in an answer, in requests per
// second.
type LimitNamed struct {
	Endpoint    string
	Incarnation int64
	PerSecond   float64
}

// AnswerContinues reports that an endpoint still writes its response some time after
// the first event.
type AnswerContinues struct{ Call CallID }

// EngineProbed reports whether an incarnation of an endpoint was still running when it
// was probed.
type EngineProbed struct {
	Run     poison.Run
	Running bool
	// AnyRun is true if what runs at the address may be another run, which proves nothing of
	// this one.
	AnyRun bool
	// Ended is true if the probe proves that the run is over, whoever asks: nothing
	// listens at the address, or another run answers there.
	Ended bool
	// Cold is how much longer the endpoint is cold by its answer, if ColdKnown.
	Cold      time.Duration
	ColdKnown bool
}

// CrashesRead reports what entries had told the store of crashes when this one started.
type CrashesRead struct{ Evidence []lease.CrashEvidence }

// CrashesRecorded reports whether the store has acknowledged a RecordCrashes.
type CrashesRecorded struct{ Acknowledged bool }

// EndpointLeaving reports that an endpoint has said in an answer that it leaves.
type EndpointLeaving struct {
	Endpoint    string
	Incarnation int64
}

// AttemptEnded reports the result of an attempt.
type AttemptEnded struct {
	Call   CallID
	Result Result
}

// ClientDisconnected reports that the client has closed its connection.
type ClientDisconnected struct{ Call CallID }

// ConfigRead reports a read of the configuration from the store. Config is nil
// if there is no newer one.
type ConfigRead struct {
	Config *topo.Config
	SentAt time.Time
	// Era is the era of the store. It rises when the store comes back from a copy.
	Era int64
	// Zones is what the read has of evacuated zones, nil if that isn't known.
	Zones *ZonesRead
}

// EndpointsRead reports a read of the endpoint registry. Full is true if
// Changes holds all endpoints, Restored if the registry has just come back without
// its newest records.
type EndpointsRead struct {
	Changes  []topo.EndpointChange
	Full     bool
	Restored bool
	SentAt   time.Time
}

// ConfigReadFailed reports that the store has failed a read of the configuration, or has not
// answered it in time.
type ConfigReadFailed struct{ SentAt time.Time }

// ConfigFetchEnded reports that a FetchConfig has ended, whether or not it
// succeeded.
type ConfigFetchEnded struct{}

// RegistryReadFailed reports that the registry could not be read.
type RegistryReadFailed struct{}

// LeaseRead reports the newest record of the lease log, or the error of the
// read.
type LeaseRead struct {
	lease.Read
	SentAt time.Time
	Err    error
}

// AppendResult is the result of an append to the lease log.
type AppendResult int

// Results of appends. AppendUnknown means that the record may or may not have
// been written.
const (
	AppendUnknown AppendResult = iota
	AppendDone
	AppendConflict
	AppendRefused
)

// LeaseAppendEnded reports the result of an AppendLease.
type LeaseAppendEnded struct {
	Record lease.Record
	Offset int64
	// Era is the era of the store in which the append was done.
	Era    int64
	Result AppendResult
}

// LeaderConnected reports that the session to the leader is open.
type LeaderConnected struct{ Host string }

// LeaderDisconnected reports that the session to the leader has ended.
type LeaderDisconnected struct{ Host string }

// StateReceived reports a state message from the leader. Config is the configuration in it,
// nil if it has none.
type StateReceived struct {
	Host   string
	State  *wirepb.GateState
	Config *topo.Config
}

// PoisonReceived reports what the entry that this one follows, which doesn't lead, has told
// of crashes.
type PoisonReceived struct {
	Host   string
	Poison *wirepb.GatePoison
}

// PeerConnected reports that another entry has opened a session to this one.
type PeerConnected struct{ Host string }

// PeerDisconnected reports that the session of another entry has ended.
type PeerDisconnected struct{ Host string }

// ReportReceived reports a message from another entry to the leader.
type ReportReceived struct {
	Host   string
	Report *wirepb.GateReport
}

// AssignmentRequested reports another entry's request to the leader for an
// engine.
type AssignmentRequested struct {
	Host    string
	Request *wirepb.GateAssignmentAsk
}

// AssignmentReceived reports the leader's reply to a RequestAssignment.
type AssignmentReceived struct {
	Host       string
	Assignment *wirepb.GateAssignment
}

// OrderAnswered reports the outcome of an order.
type OrderAnswered struct {
	Order   stock.Order
	Outcome stock.Outcome
}

// EngineReported reports an engine's reply to a RequestEngineReport, which was sent at
// SentAt. Report is nil if there was none.
type EngineReported struct {
	Engine string
	SentAt time.Time
	Report *stock.Report
}

// Tick triggers all work that is due.
type Tick struct{}

// SettingsReloaded replaces the settings. Of the timing of the lease only the quiet period
// changes.
type SettingsReloaded struct{ Settings Settings }

// ShutdownRequested starts a graceful shutdown.
type ShutdownRequested struct{}

// StatusRequested requests a summary of the entry's state on Reply.
type StatusRequested struct{ Reply chan<- Status }

// Status is a summary of the entry's state for readiness checks, metrics and
// logs.
type Status struct {
	Ready         bool
	ConfigVersion int64
	// NewestVersion is the newest version of the configuration of which the entry knows,
	// and which it may not have read.
	NewestVersion int64
	ConfigAge     time.Duration
	RegistryAge   time.Duration
	Endpoints     int
	// Evacuated is the number of evacuated zones, Cold that of endpoints that have a limit
	// since they are cold.
	Evacuated int
	Cold      int
	Waiting   int
	Running   int
	IsLeader  bool
	Leader    string
	Stopping  bool
}

func (RequestArrived) event()      {}
func (FirstByteReceived) event()   {}
func (AnswerContinues) event()     {}
func (CrashesRead) event()         {}
func (CrashesRecorded) event()     {}
func (EngineProbed) event()        {}
func (EndpointLeaving) event()     {}
func (LimitNamed) event()          {}
func (AttemptEnded) event()        {}
func (ClientDisconnected) event()  {}
func (ConfigRead) event()          {}
func (EndpointsRead) event()       {}
func (ConfigReadFailed) event()    {}
func (ConfigFetchEnded) event()    {}
func (RegistryReadFailed) event()  {}
func (LeaseRead) event()           {}
func (LeaseAppendEnded) event()    {}
func (LeaderConnected) event()     {}
func (LeaderDisconnected) event()  {}
func (StateReceived) event()       {}
func (PoisonReceived) event()      {}
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
func (BeliefsRequested) event()    {}
func (ExplainRequested) event()    {}
