package dedup

import (
	"time"

	"dogwoodfold/pkg/fault"
)

// Attempt is one attempt of a non-idempotent call.
type Attempt struct {
	// CallID identifies the attempt within this process.
	CallID uint64
	// RequestID and Number identify the attempt among all hosts.
	RequestID string
	Number    uint32
	// HasKey reports whether the caller sent an idempotency key.
	HasKey        bool
	Key           Key
	RequestDigest RequestDigest
	// RunWithoutLog permits the attempt to run without a confirmed claim if the
	// log is unavailable or the claim is not read back in time.
	RunWithoutLog bool
}

// Outcome is the result of an attempt.
type Outcome struct {
	// Err is nil if the response was complete.
	Err         error
	Status      int
	ContentType string
	Body        []byte
	// BodyDropped reports that the body is no longer stored.
	BodyDropped bool
}

// notRun reports whether the attempt is known not to have run.
func (o *Outcome) notRun() bool { return o.Err != nil && fault.VerdictOf(o.Err) == fault.NotRun }

// attemptID identifies an attempt among all hosts.
type attemptID struct {
	requestID string
	number    uint32
}

// attemptRecord is the state of an attempt that was admitted, or that is to be
// rejected because its outcome was queried before it arrived.
type attemptRecord struct {
	Attempt
	// ids identify the attempt and those that joined it because they have the
	// same key.
	ids []attemptID
	// waiters are the call IDs of the attempts that wait for the outcome.
	waiters []uint64
	ended   bool
	endedAt time.Time
	outcome Outcome
}
