package quota

import (
	"time"

	"dogwoodfold/internal/wire/wirepb"
)

// ledger is what the coordinator knows about one customer's share at one entry.
// Granted and returned are totals; granted parts count as held until their
// return arrives.
type ledger struct {
	baseParts uint64
	granted   transfer
	returned  transfer
	// ackedParts is the total of granted parts that the entry has confirmed.
	ackedParts uint64
	// recalledParts is the total of parts that the entry is to return.
	recalledParts uint64
	preferTokens  bool

	tokens   float64
	tokensAt time.Time
	demand   float64
	// shortfall is the number of tokens that pending calls lack, as of the last
	// report.
	shortfall float64
	// deniedFor is how long the entry should not request tokens again, to be
	// sent with the next grant.
	deniedFor time.Duration
}

// held returns the parts that the entry may hold.
func (l *ledger) held() uint64 { return l.baseParts + l.granted.parts - l.returned.parts }

// pendingRecall returns the parts that were recalled but not yet returned.
func (l *ledger) pendingRecall() uint64 {
	if l.recalledParts <= l.returned.parts {
		return 0
	}
	return l.recalledParts - l.returned.parts
}

// retained returns the parts that the entry will hold after all recalls.
func (l *ledger) retained() uint64 { return l.held() - min(l.held(), l.pendingRecall()) }

// recall recalls parts in addition to those already recalled.
func (l *ledger) recall(parts uint64, preferTokens bool) {
	parts = min(parts, l.retained())
	if parts == 0 {
		return
	}
	l.recalledParts = max(l.recalledParts, l.returned.parts) + parts
	l.preferTokens = preferTokens
}

// update applies an entry's report and returns what the entry returned since
// the last report.
func (l *ledger) update(now time.Time, h *wirepb.ShareHolding) transfer {
	l.ackedParts = max(l.ackedParts, h.GetGrantedParts())
	l.tokens, l.tokensAt = h.GetTokens(), now
	l.demand, l.shortfall = h.GetDemand(), h.GetNeed()
	if h.GetReturnedParts() <= l.returned.parts {
		return transfer{}
	}
	returned := transfer{
		parts:       h.GetReturnedParts() - l.returned.parts,
		millitokens: h.GetReturnedMillitokens() - l.returned.millitokens,
	}
	l.returned = transfer{
		parts:       h.GetReturnedParts(),
		millitokens: h.GetReturnedMillitokens(),
	}
	return returned
}

// estimateTokens estimates the entry's current tokens, assuming that the demand
// is unchanged since the last report.
func (l *ledger) estimateTokens(now time.Time, limit Limit) float64 {
	fraction := float64(l.retained()) / TotalParts
	projected := l.tokens + (limit.Rate*fraction-l.demand)*now.Sub(l.tokensAt).Seconds()
	return max(0, min(projected, limit.Burst*fraction))
}

// addGrant adds a transfer to the parts and tokens granted to the entry.
func (l *ledger) addGrant(t transfer) {
	l.granted.parts += t.parts
	l.granted.millitokens += t.millitokens
	l.tokens += float64(t.millitokens) / millitokensPerToken
}

// hasPending reports whether the entry still has to confirm a grant, return
// parts or be sent a denial.
func (l *ledger) hasPending() bool {
	return l.ackedParts < l.granted.parts || l.pendingRecall() > 0 || l.deniedFor > 0
}

// shareMove returns the message with the customer's totals. A denial is included
// only once.
func (l *ledger) shareMove(customer string) *wirepb.ShareMove {
	m := &wirepb.ShareMove{
		Customer:           customer,
		GrantedParts:       l.granted.parts,
		GrantedMillitokens: l.granted.millitokens,
		RecalledParts:      l.recalledParts,
		RecallTokens:       l.preferTokens,
		DeniedMs:           uint32(l.deniedFor.Milliseconds()),
	}
	l.deniedFor = 0
	return m
}
