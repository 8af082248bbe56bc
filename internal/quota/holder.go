package quota

import (
	"maps"
	"math"
	"slices"
	"time"

	"dogwoodfold/internal/wire/wirepb"
)

const (
	// demandHalfLife is the time after which demand counts half.
	demandHalfLife = 2 * time.Second
	// toldSlack is how far demand may be from what the coordinator knows.
	toldSlack = 0.25
	// toldInterval is how often the coordinator hears of a share in use.
	toldInterval = 1 * time.Second
)

// Holder holds an entry's shares and obeys the coordinator of the highest term
// that it has heard of.
type Holder struct {
	incarnation uint64
	term        uint64
	sequence    uint64
	accounts    map[string]*account
}

// account is one customer's share and the totals since the term was adopted.
type account struct {
	share    *share
	base     uint64
	granted  amount
	returned amount
	// demand is in tokens a second, as of demandAt.
	demand   float64
	demandAt time.Time
	need     float64
	// told is the demand that the coordinator knows, as of toldAt.
	told   float64
	toldAt time.Time
	// changed says that the coordinator may not know the totals yet.
	changed bool
}

// newHolder returns a holder without shares.
func newHolder(incarnation uint64) *Holder {
	return &Holder{
		incarnation: incarnation,
		accounts:    make(map[string]*account),
	}
}

// configure takes over the customers' limits. The share of a customer that is
// not listed any more is kept, without rate and burst.
func (h *Holder) configure(now time.Time, limits map[string]Limit) {
	for name, limit := range limits {
		h.account(now, name).share.configure(now, limit)
	}
	for name, a := range h.accounts {
		if _, known := limits[name]; !known {
			a.share.configure(now, Limit{})
		}
	}
}

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

// take reserves tokens, or returns when to ask again.
func (h *Holder) take(now time.Time, customer string, tokens float64) (hold Hold, wait time.Duration, ok bool) {
	a, known := h.accounts[customer]
	if !known {
		return Hold{}, 0, false
	}
	wait, ok = a.share.bucket.Take(now, tokens)
	return Hold{
		Tokens:      tokens,
		Incarnation: h.incarnation,
		mark:        a.share.bucket.Mark(),
	}, wait, ok
}

// want notes that a call asked for tokens.
func (h *Holder) want(now time.Time, customer string, tokens float64) {
	if a, known := h.accounts[customer]; known {
		a.decay(now)
		a.demand += tokens * math.Ln2 / demandHalfLife.Seconds()
	}
}

// decay lets the demand age.
func (a *account) decay(now time.Time) {
	if elapsed := now.Sub(a.demandAt); elapsed > 0 {
		a.demand *= math.Exp2(-elapsed.Seconds() / demandHalfLife.Seconds())
		a.demandAt = now
	}
}

// settle ends a reservation. What was not used comes back only to the
// incarnation that reserved, since the share of an earlier one may be at another
// entry by now; what was used beyond it is charged either way.
func (h *Holder) settle(now time.Time, customer string, hold Hold, used float64) {
	a, known := h.accounts[customer]
	if known && (used > hold.Tokens || hold.Incarnation == h.incarnation) {
		a.share.bucket.Settle(now, hold.mark, hold.Tokens, used)
	}
}

// adopt begins to obey a term.
func (h *Holder) adopt(term uint64) {
	h.term = term
	for _, a := range h.accounts {
		a.base = a.share.parts
		a.granted, a.returned = amount{}, amount{}
		a.changed = true
	}
}

// rejoin drops all shares and goes on as a new incarnation.
func (h *Holder) rejoin(now time.Time) {
	h.incarnation++
	for _, a := range h.accounts {
		a.share.clear(now)
	}
	h.adopt(h.term)
}

// moved takes in the grants of the term that is obeyed and gives back what is
// recalled. It reports whether it gave something back.
func (h *Holder) moved(now time.Time, moves []*wirepb.ShareMove) (gave bool) {
	for _, m := range moves {
		a := h.account(now, m.GetCustomer())
		a.changed = true // an answer to a repeated message may have been lost
		total := amount{
			parts:  m.GetGrantedParts(),
			millis: m.GetGrantedMillitokens(),
		}
		if total.parts > a.granted.parts {
			a.share.add(now, amount{
				parts:  total.parts - a.granted.parts,
				millis: total.millis - a.granted.millis,
			})
			a.granted = total
		}
		if m.GetRecalledParts() > a.returned.parts {
			before := a.returned.parts
			a.giveBack(now, m.GetRecalledParts()-before, m.GetRecallTokens())
			gave = gave || a.returned.parts > before
		}
	}
	return gave
}

// giveBack returns parts to the coordinator; they are gone before it is told.
func (a *account) giveBack(now time.Time, parts uint64, dense bool) {
	out := a.share.split(now, parts, dense)
	a.returned.parts += out.parts
	a.returned.millis += out.millis
	a.changed = true
}

// giveAll returns all shares.
func (h *Holder) giveAll(now time.Time) {
	for _, a := range h.accounts {
		a.giveBack(now, a.share.parts, false)
	}
}

// report tells of the shares that changed or are in use, of all if full is
// set.
func (h *Holder) report(now time.Time, full bool) *wirepb.ShareReport {
	h.sequence++
	r := &wirepb.ShareReport{
		Term:        h.term,
		Incarnation: h.incarnation,
		Sequence:    h.sequence,
		Full:        full,
	}
	for _, name := range slices.Sorted(maps.Keys(h.accounts)) {
		a := h.accounts[name]
		a.decay(now)
		if full || a.news(now) {
			a.changed, a.told, a.toldAt = false, a.demand, now
			r.Holdings = append(r.Holdings, a.holding(now, name))
		}
	}
	return r
}

// news reports whether the coordinator should hear of an account.
func (a *account) news(now time.Time) bool {
	if a.changed || a.need > 0 || math.Abs(a.demand-a.told) > toldSlack*max(a.demand, a.told, 1) {
		return true
	}
	return a.demand >= 1 && now.Sub(a.toldAt) >= toldInterval
}

func (a *account) holding(now time.Time, name string) *wirepb.ShareHolding {
	return &wirepb.ShareHolding{
		Customer:            name,
		BaseParts:           a.base,
		GrantedParts:        a.granted.parts,
		ReturnedParts:       a.returned.parts,
		ReturnedMillitokens: a.returned.millis,
		Tokens:              a.share.bucket.Tokens(now),
		Demand:              a.demand,
		Need:                a.need,
	}
}
