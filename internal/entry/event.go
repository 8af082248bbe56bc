package entry

import (
	"time"

	"dogwoodfold/internal/dedup"
	"dogwoodfold/internal/plat"
	"dogwoodfold/internal/poison"
	"dogwoodfold/internal/quota"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/config"
	"dogwoodfold/pkg/fault"
)

// Event is an input of an entry's reducer.
type Event interface{ isEvent() }

// Call is a caller's request as seen by the reducer.
type Call struct {
	ID string
	// Authenticated says that the route requires an API key; KeyDigest is the
	// digest of that key.
	Authenticated bool
	KeyDigest     config.Digest
	Customer      string
	Route         config.Route
	Model         string
	Version       string
	Adapter       string
	// Tokens is what the call reserves, for the prompt and the response.
	Tokens float64
	// Reservation is set once the tokens are reserved.
	Reservation quota.Reservation
	// HasIdempotencyKey says that the caller sent an idempotency key with a
	// non-idempotent call; IdempotencyKey is its digest.
	HasIdempotencyKey bool
	IdempotencyKey    dedup.Key
	// PromptTokens is the prompt's part of Tokens; PromptBlocks are the hashes
	// of the prompt's blocks.
	PromptTokens int
	PromptBlocks []uint64
	// PromptParts are the messages of the prompt, which other prompts may share.
	PromptParts []poison.Part
	// Fingerprint identifies what the endpoint gets, whoever sends it and when.
	Fingerprint poison.Part
	Streaming   bool
	Deadline    time.Time
}

// Outcome is the result of an attempt, or of a whole call.
type Outcome struct {
	Verdict fault.Verdict
	// Err is nil after a complete response.
	Err error
	// ResponseStarted says that part of the response has been sent to the
	// caller.
	ResponseStarted bool
	// Replayed says that the response is that of an earlier call with the same
	// idempotency key, so that the endpoint has run nothing now.
	Replayed bool
	// UsedTokens is the number of tokens that the call has used.
	UsedTokens float64
	// ClaimHolder is the agent process that holds the claim of the call's
	// idempotency key, if the attempt was refused for that reason.
	ClaimHolder dedup.Process
}

// The events.
type (
	// CallArrived reports a new request of a caller.
	CallArrived struct{ Call Call }
	// AttemptEnded reports the outcome of an attempt.
	AttemptEnded struct {
		ID      string
		Attempt int
		Outcome Outcome
	}
	// StreamStarted reports that the first part of a streamed response has
	// arrived.
	StreamStarted struct {
		ID      string
		Attempt int
	}
	// HostsRead delivers the platform's list of hosts.
	HostsRead struct{ Hosts []plat.Host }
	// LogRead delivers a page of a stream of the log.
	LogRead struct {
		Stream string
		Page   plat.Page
	}
	// LogReadFailed reports that reading a stream failed.
	LogReadFailed struct {
		Stream string
		Err    error
	}
	// AppendEnded reports the result of an append. After an error the record
	// may still be in the log.
	AppendEnded struct {
		Tag    string
		Offset uint64
		Err    error
	}
	// SessionOpened reports a new session to a host.
	SessionOpened struct {
		Host  string
		Hello *wirepb.Hello
	}
	// SessionClosed reports the end of a session.
	SessionClosed struct {
		Host        string
		Incarnation uint64
	}
	// MessageReceived delivers a control message from a host.
	MessageReceived struct {
		Host string
		// Incarnation identifies the sending process.
		Incarnation uint64
		Message     *wirepb.Envelope
	}
	// ShutdownRequested starts a graceful shutdown.
	ShutdownRequested struct{}
	// Tick lets the reducer act on the passage of time.
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

// Effect is an action that an entry's reducer requests.
type Effect interface{ isEffect() }

// The effects.
type (
	// SendAttempt sends an attempt of a call to an agent.
	SendAttempt struct {
		ID          string
		Attempt     int
		Host        string
		Incarnation uint64
		Weight      float64
		// Version is the version of the model that the agent holds.
		Version string
		// ConfigOffset identifies the configuration on which the decision is
		// based.
		ConfigOffset uint64
		// EntryIncarnation is the incarnation that reserved the tokens, 0 if
		// the entry's share is fixed.
		EntryIncarnation uint64
		// CachedTokens is how many tokens of the prompt are expected to be
		// cached.
		CachedTokens int
	}
	// FailCall ends a call with an error.
	FailCall struct {
		ID  string
		Err error
	}
	// DeliverOutcome ends a call with an outcome that was queried after the
	// connection to its agent broke.
	DeliverOutcome struct {
		ID     string
		Report *wirepb.OutcomeReport
	}
	// CancelAttempt cancels the running attempt of a call; the caller gets the
	// error.
	CancelAttempt struct {
		ID  string
		Err error
	}
	// SetSessionHosts replaces the set of hosts to keep sessions to.
	SetSessionHosts struct{ Hosts []plat.Host }
	// AppendRecord appends a record to a stream of the log. Tag is returned
	// with AppendEnded.
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
	// InstallConfig replaces the configuration that requests are resolved with.
	InstallConfig struct {
		Index  *config.Index
		Offset uint64
	}
	// SetReady sets the readiness that the load balancer sees.
	SetReady struct{ Ready bool }
	// ShutdownFinished reports that a graceful shutdown is complete.
	ShutdownFinished struct{}
	// LogWarning writes a warning to the process log.
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
