package quota

import (
	"math"
	"time"
)

// Whole is a customer's whole right in parts. Parts are integers, so that
// moving them loses and makes nothing by rounding.
const Whole = 1 << 30

// milli is the number of millitokens in a token; moved tokens are counted in
// them.
const milli = 1000

// Limit is a customer's rate in tokens a second and burst in tokens.
type Limit struct {
	Rate  float64
	Burst float64
}

// amount is a part of a customer's right on its way between two holders. Its
// tokens never exceed what its parts can hold.
type amount struct {
	parts  uint64
	millis uint64
}

// Hold is a reservation.
type Hold struct {
	Tokens float64
	// Incarnation is the entry's that reserved.
	Incarnation uint64
	mark        float64
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

// tokensOf returns the tokens that a number of parts can hold.
func tokensOf(limit Limit, parts uint64) float64 {
	return limit.Burst * float64(parts) / Whole
}

// partsOf returns the parts that can hold a number of tokens.
func partsOf(limit Limit, tokens float64) uint64 {
	if limit.Burst <= 0 || tokens <= 0 {
		return 0
	}
	return uint64(math.Ceil(min(1, tokens/limit.Burst) * Whole))
}

// configure changes the customer's limit.
func (s *share) configure(now time.Time, limit Limit) {
	s.limit = limit
	s.resize(now)
}

func (s *share) resize(now time.Time) {
	part := float64(s.parts) / Whole
	s.bucket.Resize(now, s.limit.Rate*part, s.limit.Burst*part)
}

// add takes in an amount.
func (s *share) add(now time.Time, a amount) {
	s.parts += a.parts
	s.resize(now)
	s.bucket.Move(now, float64(a.millis)/milli)
}

// split takes out at most a number of parts. They carry their proportion of
// the tokens, or as many tokens as they can hold if dense is set.
func (s *share) split(now time.Time, parts uint64, dense bool) amount {
	parts = min(parts, s.parts)
	if parts == 0 {
		return amount{}
	}
	tokens := max(0, s.bucket.Tokens(now))
	moved := tokens * float64(parts) / float64(s.parts)
	if dense {
		moved = tokens
	}
	moved = min(moved, tokensOf(s.limit, parts))
	a := amount{
		parts:  parts,
		millis: uint64(math.Floor(moved * milli)),
	}
	s.bucket.Move(now, -float64(a.millis)/milli)
	s.parts -= parts
	s.resize(now)
	return a
}

// clear forgets all parts and tokens, but no debt.
func (s *share) clear(now time.Time) {
	s.parts = 0
	s.resize(now)
}
