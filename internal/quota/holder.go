package quota

import (
	"maps"
	"math"
	"slices"
	"time"

	"dogwoodfold/internal/wire/wirepb"
)

const (
	// demandHalfLife is the half-life of the demand average.
	demandHalfLife = 2 * time.Second
	// demandTolerance is the relative change of demand that must be exceeded
	// before it is reported ahead of schedule.
	demandTolerance = 0.25
	// activeReportInterval is how often a share in use is reported to the
	// coordinator.
	activeReportInterval = 1 * time.Second
)

// Holder holds an entry's shares and follows the coordinator of the highest
// term that it has seen.
type Holder struct {
	incarnation    uint64
	term           uint64
	reportSequence uint64
	accounts       map[string]*account
}

// account is one customer's share, with the totals since the term was adopted.
type account struct {
	share     *share
	baseParts uint64
	granted   transfer
	returned  transfer
	// demand is in tokens per second, as of demandAt.
	demand    float64
	demandAt  time.Time
	shortfall float64
	// reportedDemand is the demand last sent to the coordinator, at reportedAt.
	reportedDemand float64
	reportedAt     time.Time
	// dirty means that the coordinator may not know the totals yet.
	dirty bool
}

// newHolder returns a holder without shares.
func newHolder(incarnation uint64) *Holder {
	return &Holder{
		incarnation: incarnation,
		accounts:    make(map[string]*account),
	}
}

// setLimits changes the customers' limits. The share of a customer that is no
// longer listed is kept, with zero rate and burst.
func (h *Holder) setLimits(now time.Time, limits map[string]Limit) {
	for name, limit := range limits {
		h.account(now, name).share.setLimit(now, limit)
	}
	for name, a := range h.accounts {
		if _, known := limits[name]; !known {
			a.share.setLimit(now, Limit{})
		}
	}
}

// account returns a customer's account. It creates an empty one if there is none.
func (h *Holder) account(now time.Time, customer string) *account {
	a, known := h.accounts[customer]
	if !known {
		a = &account{
			share:    newShare(now, Limit{}),
			demandAt: now,
		}
		h.accounts[customer] = a
	}
	return a
}

// reserve reserves tokens, or returns the time after which to retry.
func (h *Holder) reserve(now time.Time, customer string, tokens float64) (reservation Reservation, wait time.Duration, ok bool) {
	a, known := h.accounts[customer]
	if !known {
		return Reservation{}, 0, false
	}
	wait, ok = a.share.bucket.Take(now, tokens)
	return Reservation{
		Tokens:         tokens,
		Incarnation:    h.incarnation,
		logRefundScale: a.share.bucket.LogRefundScale(),
	}, wait, ok
}

// recordDemand adds a call's tokens to the customer's demand.
func (h *Holder) recordDemand(now time.Time, customer string, tokens float64) {
	if a, known := h.accounts[customer]; known {
		a.decayDemand(now)
		a.demand += tokens * math.Ln2 / demandHalfLife.Seconds()
	}
}

// decayDemand decays the demand average up to now.
func (a *account) decayDemand(now time.Time) {
	if elapsed := now.Sub(a.demandAt); elapsed > 0 {
		a.demand *= math.Exp2(-elapsed.Seconds() / demandHalfLife.Seconds())
		a.demandAt = now
	}
}

// settle ends a reservation. Unused tokens are returned only to the incarnation
// that made the reservation, since the share of an earlier incarnation may have
// moved to another entry; usage beyond the reservation is charged in either
// case.
func (h *Holder) settle(now time.Time, customer string, reservation Reservation, used float64) {
	a, known := h.accounts[customer]
	if known && (used > reservation.Tokens || reservation.Incarnation == h.incarnation) {
		a.share.bucket.Settle(now, reservation.logRefundScale, reservation.Tokens, used)
	}
}

// adoptTerm follows a new term and restarts the totals.
func (h *Holder) adoptTerm(term uint64) {
	h.term = term
	for _, a := range h.accounts {
		a.baseParts = a.share.parts
		a.granted, a.returned = transfer{}, transfer{}
		a.dirty = true
	}
}

// rejoin drops all shares and continues as a new incarnation.
func (h *Holder) rejoin(now time.Time) {
	h.incarnation++
	for _, a := range h.accounts {
		a.share.clear(now)
	}
	h.adoptTerm(h.term)
}

// applyMoves adds the granted parts to the shares and returns recalled ones. It
// reports whether any parts were returned.
func (h *Holder) applyMoves(now time.Time, moves []*wirepb.ShareMove) (returnedAny bool) {
	for _, m := range moves {
		a := h.account(now, m.GetCustomer())
		a.dirty = true // the report that confirmed an earlier copy of this move may have been lost
		total := transfer{
			parts:       m.GetGrantedParts(),
			millitokens: m.GetGrantedMillitokens(),
		}
		if total.parts > a.granted.parts {
			a.share.add(now, transfer{
				parts:       total.parts - a.granted.parts,
				millitokens: total.millitokens - a.granted.millitokens,
			})
			a.granted = total
		}
		if m.GetRecalledParts() > a.returned.parts {
			before := a.returned.parts
			a.returnParts(now, m.GetRecalledParts()-before, m.GetRecallTokens())
			returnedAny = returnedAny || a.returned.parts > before
		}
	}
	return returnedAny
}

// returnParts returns parts to the coordinator. They leave the share before the
// coordinator learns of it, so that no part is ever held twice.
func (a *account) returnParts(now time.Time, parts uint64, preferTokens bool) {
	removed := a.share.remove(now, parts, preferTokens)
	a.returned.parts += removed.parts
	a.returned.millitokens += removed.millitokens
	a.dirty = true
}

// returnAllParts returns all shares to the coordinator.
func (h *Holder) returnAllParts(now time.Time) {
	for _, a := range h.accounts {
		a.returnParts(now, a.share.parts, false)
	}
}

// report returns a report of the shares that changed or are in use, or of all
// shares if full is set.
func (h *Holder) report(now time.Time, full bool) *wirepb.ShareReport {
	h.reportSequence++
	r := &wirepb.ShareReport{
		Term:        h.term,
		Incarnation: h.incarnation,
		Sequence:    h.reportSequence,
		Full:        full,
	}
	for _, name := range slices.Sorted(maps.Keys(h.accounts)) {
		a := h.accounts[name]
		a.decayDemand(now)
		if full || a.reportDue(now) {
			a.dirty, a.reportedDemand, a.reportedAt = false, a.demand, now
			r.Holdings = append(r.Holdings, a.holding(now, name))
		}
	}
	return r
}

// reportDue reports whether an account should be part of the next report.
func (a *account) reportDue(now time.Time) bool {
	if a.dirty || a.shortfall > 0 || math.Abs(a.demand-a.reportedDemand) > demandTolerance*max(a.demand, a.reportedDemand, 1) {
		return true
	}
	return a.demand >= 1 && now.Sub(a.reportedAt) >= activeReportInterval
}

// holding returns the part of a report that describes the account.
func (a *account) holding(now time.Time, name string) *wirepb.ShareHolding {
	return &wirepb.ShareHolding{
		Customer:            name,
		BaseParts:           a.baseParts,
		GrantedParts:        a.granted.parts,
		ReturnedParts:       a.returned.parts,
		ReturnedMillitokens: a.returned.millitokens,
		Tokens:              a.share.bucket.Tokens(now),
		Demand:              a.demand,
		Need:                a.shortfall,
	}
}
