package entry

import (
	"time"

	"dogwoodfold/internal/dedup"
	"dogwoodfold/internal/plat"
	"dogwoodfold/internal/quota"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/config"
	"dogwoodfold/pkg/fault"
)

// Event is something that happened to an entry.
type Event interface{ isEvent() }

// Call is a caller's request as the reducer sees it.
type Call struct {
	ID string
	// Authenticated says that the route asks for a key, Key is that key's digest.
	Authenticated bool
	KeyDigest     config.Digest
	Customer      string
	Route         config.Route
	Model         string
	Version       string
	Adapter       string
	// Tokens is what the call reserves: prompt and answer.
	Tokens float64
	// Reservation is the reservation, once it is made.
	Reservation quota.Reservation
	// HasIdempotencyKey says that the caller gave an idempotency key for a call that may
	// not be repeated; OnceKey is its digest.
	HasIdempotencyKey bool
	IdempotencyKey    dedup.Key
	// PromptTokens is the part of Tokens before the answer, Blocks the hashes of the
	// prompt's blocks.
	PromptTokens int
	PromptBlocks []uint64
	Streaming    bool
	Deadline     time.Time
}

// Outcome is how an attempt, or a whole call, has ended.
type Outcome struct {
	Verdict fault.Verdict
	// Err is nil after a whole answer.
	Err error
	// ResponseStarted says that part of the answer has gone to the caller.
	ResponseStarted bool
	// UsedTokens is the number of tokens that the call has cost.
	UsedTokens float64
	// ClaimHolder is the agent process that holds the claim of the call's key, if
	// that is why the attempt was refused.
	ClaimHolder dedup.Process
}

// Events.
type (
	// CallArrived says that a caller's request has come.
	CallArrived struct{ Call Call }
	// AttemptEnded says how an attempt has ended.
	AttemptEnded struct {
		ID      string
		Attempt int
		Outcome Outcome
	}
	// StreamStarted says that the first part of a streamed answer has come.
	StreamStarted struct {
		ID      string
		Attempt int
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
	// AppendEnded says how an append has ended. After an error the record may
	// be in the log all the same.
	AppendEnded struct {
		Tag    string
		Offset uint64
		Err    error
	}
	// SessionOpened says that a session to a host has come up.
	SessionOpened struct {
		Host  string
		Hello *wirepb.Hello
	}
	// SessionClosed says that a session has ended.
	SessionClosed struct {
		Host        string
		Incarnation uint64
	}
	// MessageReceived brings a control message from a host.
	MessageReceived struct {
		Host string
		// Incarnation is the sending process.
		Incarnation uint64
		Message     *wirepb.Envelope
	}
	// ShutdownRequested asks for a graceful shutdown.
	ShutdownRequested struct{}
	// Tick passes time.
	Tick struct{}
)

func (CallArrived) isEvent()       {}
func (AttemptEnded) isEvent()      {}
func (StreamStarted) isEvent()     {}
func (HostsRead) isEvent()         {}
func (LogRead) isEvent()           {}
func (LogReadFailed) isEvent()     {}
func (AppendEnded) isEvent()       {}
func (SessionOpened) isEvent()     {}
func (SessionClosed) isEvent()     {}
func (MessageReceived) isEvent()   {}
func (ShutdownRequested) isEvent() {}
func (Tick) isEvent()              {}

// Effect is something that an entry's reducer wants done.
type Effect interface{ isEffect() }

// Effects.
type (
	// SendAttempt makes an attempt of a call at an agent.
	SendAttempt struct {
		ID          string
		Attempt     int
		Host        string
		Incarnation uint64
		Weight      float64
		// Version is the version of the model that the agent holds.
		Version string
		// ConfigOffset is the configuration that the decision rests on.
		ConfigOffset uint64
		// EntryIncarnation is the one that has reserved the tokens, 0 if
		// the entry's share is fixed.
		EntryIncarnation uint64
		// CachedTokens is how many tokens of the prompt are expected to be cached.
		CachedTokens int
	}
	// FailCall ends a call with an error.
	FailCall struct {
		ID  string
		Err error
	}
	// DeliverOutcome ends a call with an answer that was asked for after its link
	// broke.
	DeliverOutcome struct {
		ID     string
		Report *wirepb.OutcomeReport
	}
	// CancelAttempt ends a running attempt; the caller gets the error.
	CancelAttempt struct {
		ID  string
		Err error
	}
	// SetSessionHosts replaces the hosts to keep sessions to.
	SetSessionHosts struct{ Hosts []plat.Host }
	// AppendRecord adds a record to a stream of the log; Tag comes back with
	// Appended.
	AppendRecord struct {
		Tag    string
		Stream string
		Data   []byte
	}
	// SendMessage sends a control message to a host.
	SendMessage struct {
		Host    string
		Message *wirepb.Envelope
	}
	// InstallConfig replaces the configuration that requests are resolved by.
	InstallConfig struct {
		Index  *config.Index
		Offset uint64
	}
	// SetReady tells whether new requests are admitted.
	SetReady struct{ Ready bool }
	// ShutdownFinished says that a graceful shutdown has nothing left to wait for.
	ShutdownFinished struct{}
	// LogWarning logs a short sentence for operators.
	LogWarning struct {
		Message string
		Err     error
	}
)

func (SendAttempt) isEffect()      {}
func (FailCall) isEffect()         {}
func (DeliverOutcome) isEffect()   {}
func (CancelAttempt) isEffect()    {}
func (SetSessionHosts) isEffect()  {}
func (AppendRecord) isEffect()     {}
func (SendMessage) isEffect()      {}
func (InstallConfig) isEffect()    {}
func (SetReady) isEffect()         {}
func (ShutdownFinished) isEffect() {}
func (LogWarning) isEffect()       {}
