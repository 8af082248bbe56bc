package quota

import (
	"math"
	"time"
)

// TotalParts is a customer's whole right in parts. Parts are integers, so that
// moving them loses and makes nothing by rounding.
const TotalParts = 1 << 30

// millitokensPerToken is the number of millitokens in a token; moved tokens are counted in
// them.
const millitokensPerToken = 1000

// Limit is a customer's rate in tokens a second and burst in tokens.
type Limit struct {
	Rate  float64
	Burst float64
}

// transfer is a part of a customer's right on its way between two holders. Its
// tokens never exceed what its parts can hold.
type transfer struct {
	parts       uint64
	millitokens uint64
}

// Reservation is a reservation.
type Reservation struct {
	Tokens float64
	// Incarnation is the entry's that reserved.
	Incarnation    uint64
	logRefundScale float64
}

// share is a part of a customer's right that fills a bucket.
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

// tokenCapacity returns the tokens that a number of parts can hold.
func tokenCapacity(limit Limit, parts uint64) float64 {
	return limit.Burst * float64(parts) / TotalParts
}

// partsForTokens returns the parts that can hold a number of tokens.
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

func (s *share) resize(now time.Time) {
	fraction := float64(s.parts) / TotalParts
	s.bucket.Resize(now, s.limit.Rate*fraction, s.limit.Burst*fraction)
}

// add takes in an amount.
func (s *share) add(now time.Time, a transfer) {
	s.parts += a.parts
	s.resize(now)
	s.bucket.Adjust(now, float64(a.millitokens)/millitokensPerToken)
}

// remove takes out at most a number of parts. They carry their proportion of
// the tokens, or as many tokens as they can hold if dense is set.
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
	a := transfer{
		parts:       parts,
		millitokens: uint64(math.Floor(moved * millitokensPerToken)),
	}
	s.bucket.Adjust(now, -float64(a.millitokens)/millitokensPerToken)
	s.parts -= parts
	s.resize(now)
	return a
}

// clear forgets all parts and tokens, but no debt.
func (s *share) clear(now time.Time) {
	s.parts = 0
	s.resize(now)
}
