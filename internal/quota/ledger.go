package quota

import (
	"time"

	"dogwoodfold/internal/wire/wirepb"
)

// ledger is what the coordinator knows of one customer's share at one entry.
// Granted and returned are totals; what was granted counts as held until its
// return arrives.
type ledger struct {
	base     uint64
	granted  amount
	returned amount
	// acked is the total of grants that the entry said it has.
	acked uint64
	// recalled is the total that the entry is asked to return.
	recalled uint64
	dense    bool

	tokens   float64
	tokensAt time.Time
	demand   float64
	// need is what waiting calls lack, as of the report askedIn.
	need float64
	// denied is how long asking is of no use, for the next grant.
	denied time.Duration
}

// held returns the parts that the entry may hold.
func (l *ledger) held() uint64 { return l.base + l.granted.parts - l.returned.parts }

// recalling returns the parts that were recalled and have not come back.
func (l *ledger) recalling() uint64 {
	if l.recalled <= l.returned.parts {
		return 0
	}
	return l.recalled - l.returned.parts
}

// kept returns the parts that the entry will hold once recalls have come.
func (l *ledger) kept() uint64 { return l.held() - min(l.held(), l.recalling()) }

// recall asks for parts to be returned, beside those already asked for.
func (l *ledger) recall(parts uint64, dense bool) {
	parts = min(parts, l.kept())
	if parts == 0 {
		return
	}
	l.recalled = max(l.recalled, l.returned.parts) + parts
	l.dense = dense
}

// reported takes over what an entry said and returns what it gave back since
// the last report.
func (l *ledger) reported(now time.Time, h *wirepb.ShareHolding) amount {
	l.acked = max(l.acked, h.GetGrantedParts())
	l.tokens, l.tokensAt = h.GetTokens(), now
	l.demand, l.need = h.GetDemand(), h.GetNeed()
	if h.GetReturnedParts() <= l.returned.parts {
		return amount{}
	}
	back := amount{
		parts:  h.GetReturnedParts() - l.returned.parts,
		millis: h.GetReturnedMillitokens() - l.returned.millis,
	}
	l.returned = amount{
		parts:  h.GetReturnedParts(),
		millis: h.GetReturnedMillitokens(),
	}
	return back
}

// estimate returns the tokens that the entry may have now, if demand is what
// it was.
func (l *ledger) estimate(now time.Time, limit Limit) float64 {
	part := float64(l.kept()) / Whole
	filled := l.tokens + (limit.Rate*part-l.demand)*now.Sub(l.tokensAt).Seconds()
	return max(0, min(filled, limit.Burst*part))
}

// grant moves an amount to the entry.
func (l *ledger) grant(a amount) {
	l.granted.parts += a.parts
	l.granted.millis += a.millis
	l.tokens += float64(a.millis) / milli
}

// pending reports whether the entry has yet to act on something.
func (l *ledger) pending() bool {
	return l.acked < l.granted.parts || l.recalling() > 0 || l.denied > 0
}

func (l *ledger) move(customer string) *wirepb.ShareMove {
	m := &wirepb.ShareMove{
		Customer:           customer,
		GrantedParts:       l.granted.parts,
		GrantedMillitokens: l.granted.millis,
		RecalledParts:      l.recalled,
		RecallTokens:       l.dense,
		DeniedMs:           uint32(l.denied.Milliseconds()),
	}
	l.denied = 0
	return m
}
