package quota

import (
	"math"
	"time"
)

// TotalParts is the number of parts in a customer's quota. Parts are integers,
// so that transfers neither lose nor create any by rounding.
const TotalParts = 1 << 30

// millitokensPerToken converts tokens to the millitokens in which transfers are
// counted.
const millitokensPerToken = 1000

// Limit is a customer's rate in tokens per second and its burst in tokens.
type Limit struct {
	Rate  float64
	Burst float64
}

// transfer is a portion of a customer's quota that moves between two holders.
// Its tokens never exceed the capacity of its parts.
type transfer struct {
	parts       uint64
	millitokens uint64
}

// Reservation is a number of tokens reserved for a call.
type Reservation struct {
	Tokens float64
	// Incarnation is the entry incarnation that made the reservation.
	Incarnation    uint64
	logRefundScale float64
}

// share is a portion of a customer's quota with the bucket that it fills.
type share struct {
	limit  Limit
	parts  uint64
	bucket *Bucket
}

// newShare returns a share without parts.
func newShare(now time.Time, limit Limit) *share {
	return &share{
		limit:  limit,
		bucket: NewBucket(now, 0, 0, 0),
	}
}

// tokenCapacity returns the number of tokens that parts can hold.
func tokenCapacity(limit Limit, parts uint64) float64 {
	return limit.Burst * float64(parts) / TotalParts
}

// partsForTokens returns the number of parts needed to hold tokens.
func partsForTokens(limit Limit, tokens float64) uint64 {
	if limit.Burst <= 0 || tokens <= 0 {
		return 0
	}
	return uint64(math.Ceil(min(1, tokens/limit.Burst) * TotalParts))
}

// setLimit changes the customer's limit.
func (s *share) setLimit(now time.Time, limit Limit) {
	s.limit = limit
	s.resize(now)
}

// resize sets the bucket to the share's fraction of the customer's limit.
func (s *share) resize(now time.Time) {
	fraction := float64(s.parts) / TotalParts
	s.bucket.Resize(now, s.limit.Rate*fraction, s.limit.Burst*fraction)
}

// add adds a transfer to the share.
func (s *share) add(now time.Time, t transfer) {
	s.parts += t.parts
	s.resize(now)
	s.bucket.Adjust(now, float64(t.millitokens)/millitokensPerToken)
}

// remove removes at most the given number of parts. They carry their proportion
// of the tokens, or as many tokens as they can hold if preferTokens is set.
func (s *share) remove(now time.Time, parts uint64, preferTokens bool) transfer {
	parts = min(parts, s.parts)
	if parts == 0 {
		return transfer{}
	}
	tokens := max(0, s.bucket.Tokens(now))
	moved := tokens * float64(parts) / float64(s.parts)
	if preferTokens {
		moved = tokens
	}
	moved = min(moved, tokenCapacity(s.limit, parts))
	t := transfer{
		parts:       parts,
		millitokens: uint64(math.Floor(moved * millitokensPerToken)),
	}
	s.bucket.Adjust(now, -float64(t.millitokens)/millitokensPerToken)
	s.parts -= parts
	s.resize(now)
	return t
}

// clear removes all parts and tokens, but keeps a negative level.
func (s *share) clear(now time.Time) {
	s.parts = 0
	s.resize(now)
}
