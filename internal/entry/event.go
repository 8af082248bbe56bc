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
	// Keyed says that the route asks for a key, Key is that key's digest.
	Keyed    bool
	Key      config.Digest
	Customer string
	Route    config.Route
	Model    string
	Version  string
	Adapter  string
	// Tokens is what the call reserves: prompt and answer.
	Tokens float64
	// Hold is the reservation, once it is made.
	Hold quota.Reservation
	// Once says that the caller gave an idempotency key for a call that may
	// not be repeated; OnceKey is its digest.
	Once    bool
	OnceKey dedup.Key
	// Prompt is the part of Tokens before the answer, Blocks the hashes of the
	// prompt's blocks.
	Prompt   int
	Blocks   []uint64
	Streams  bool
	Deadline time.Time
}

// Outcome is how an attempt, or a whole call, has ended.
type Outcome struct {
	Verdict fault.Verdict
	// Err is nil after a whole answer.
	Err error
	// Passed says that part of the answer has gone to the caller.
	Passed bool
	// Used is the number of tokens that the call has cost.
	Used float64
	// Holder is the agent process that holds the claim of the call's key, if
	// that is why the attempt was refused.
	Holder dedup.Process
}

// Events.
type (
	// Arrived says that a caller's request has come.
	Arrived struct{ Call Call }
	// Answered says how an attempt has ended.
	Answered struct {
		ID      string
		Attempt int
		Outcome Outcome
	}
	// Begun says that the first part of a streamed answer has come.
	Begun struct {
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
	// LinkUp says that a session to a host has come up.
	LinkUp struct {
		Host  string
		Hello *wirepb.Hello
	}
	// LinkDown says that a session has ended.
	LinkDown struct {
		Host        string
		Incarnation uint64
	}
	// Received brings a control message from a host.
	Received struct {
		Host string
		// Incarnation is the sending process.
		Incarnation uint64
		Message     *wirepb.Envelope
	}
	// Stopping asks for a graceful shutdown.
	Stopping struct{}
	// Tick passes time.
	Tick struct{}
)

func (Arrived) isEvent()   {}
func (Answered) isEvent()  {}
func (Begun) isEvent()     {}
func (HostsRead) isEvent() {}
func (LogRead) isEvent()   {}
func (LogFailed) isEvent() {}
func (Appended) isEvent()  {}
func (LinkUp) isEvent()    {}
func (LinkDown) isEvent()  {}
func (Received) isEvent()  {}
func (Stopping) isEvent()  {}
func (Tick) isEvent()      {}

// Effect is something that an entry's reducer wants done.
type Effect interface{ isEffect() }

// Effects.
type (
	// Send makes an attempt of a call at an agent.
	Send struct {
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
		// Cached is how many tokens of the prompt are expected to be cached.
		Cached int
	}
	// Refuse ends a call with an error.
	Refuse struct {
		ID  string
		Err error
	}
	// Deliver ends a call with an answer that was asked for after its link
	// broke.
	Deliver struct {
		ID     string
		Report *wirepb.OutcomeReport
	}
	// Cancel ends a running attempt; the caller gets the error.
	Cancel struct {
		ID  string
		Err error
	}
	// Connect replaces the hosts to keep sessions to.
	Connect struct{ Hosts []plat.Host }
	// Append adds a record to a stream of the log; Tag comes back with
	// Appended.
	Append struct {
		Tag    string
		Stream string
		Data   []byte
	}
	// Tell sends a control message to a host.
	Tell struct {
		Host    string
		Message *wirepb.Envelope
	}
	// Install replaces the configuration that requests are resolved by.
	Install struct {
		Index  *config.Index
		Offset uint64
	}
	// Ready tells whether new requests are admitted.
	Ready struct{ Ready bool }
	// Finished says that a graceful shutdown has nothing left to wait for.
	Finished struct{}
	// Note logs a short sentence for operators.
	Note struct {
		Text string
		Err  error
	}
)

func (Send) isEffect()     {}
func (Refuse) isEffect()   {}
func (Deliver) isEffect()  {}
func (Cancel) isEffect()   {}
func (Connect) isEffect()  {}
func (Append) isEffect()   {}
func (Tell) isEffect()     {}
func (Install) isEffect()  {}
func (Ready) isEffect()    {}
func (Finished) isEffect() {}
func (Note) isEffect()     {}
