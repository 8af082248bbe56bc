package gate

import (
	"maps"
	"math"
	"slices"
	"time"

	"dogwoodfold/internal/rate"
	"dogwoodfold/internal/topo"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/fault"
)

const (
	// standingShares is the part of every customer's rate that lies with the
	// entries; the leader lends out the rest on demand.
	standingShares = 0.5
	// standingRoom is the part of a standing share's burst that an entry may
	// gather, requestRoom the tokens beyond it, enough for a long request.
	standingRoom = 0.5
	requestRoom  = 3000
	// leastStanding is the least standing share of a customer's rate, in tokens a
	// second, that is of use: a smaller one gathers a request's tokens too slowly,
	// so the leader lends out the whole rate.
	leastStanding = 1500
	// poolRoom is the part of the burst that the leader's pool may hold, tokens
	// that others gave back included.
	poolRoom = 0.75
	// askLimit is how long requests wait for tokens of the leader.
	askLimit = 150 * time.Millisecond
	// prefetch is how far ahead of its use an entry asks for tokens.
	prefetch = 300 * time.Millisecond
	// keepAhead is how much of its use an entry keeps when it gives tokens back.
	keepAhead = time.Second
	// useFade is the time constant of the average of a customer's use.
	useFade = 2 * time.Second
	// leastReturn is the fewest tokens worth giving back.
	leastReturn = 100
	// waitingLimit bounds the requests of a customer that wait for tokens.
	waitingLimit = 64
)

// wallet is an entry's right to spend one customer's tokens.
type wallet struct {
	customer *topo.Customer
	bucket   rate.Bucket
	// use is the tokens that requests ask for a second.
	use     float64
	useAt   time.Time
	waiting []*call
	// asked is when the leader was asked and for how much, zero if it was not.
	asked    time.Time
	askedFor float64
}

func (w *wallet) count(now time.Time, cost float64) {
	w.fade(now)
	w.use += cost / useFade.Seconds()
}

func (w *wallet) fade(now time.Time) {
	if !w.useAt.IsZero() {
		w.use *= math.Exp(-now.Sub(w.useAt).Seconds() / useFade.Seconds())
	}
	w.useAt = now
}

// demand returns the tokens that waiting requests need.
func (w *wallet) demand() float64 {
	sum := 0.0
	for _, k := range w.waiting {
		sum += k.cost
	}
	return sum
}

func (c *Core) walletOf(k *call) *wallet {
	if k.customer == nil {
		return nil
	}
	return c.wallets[k.customer.Name]
}

// wallet returns the wallet of a customer.
func (c *Core) wallet(now time.Time, customer *topo.Customer) *wallet {
	w := c.wallets[customer.Name]
	if w == nil {
		w = &wallet{}
		c.wallets[customer.Name] = w
	}
	if w.customer != customer {
		w.customer = customer
		c.adjustWallet(now, w)
	}
	return w
}

// adjustWallets takes a new configuration or a new standing share.
func (c *Core) adjustWallets(now time.Time) {
	if c.config == nil {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(c.wallets)) {
		w := c.wallets[name]
		if customer := c.config.Customers[name]; customer != nil {
			w.customer = customer
		}
		c.adjustWallet(now, w)
	}
	if c.leader != nil {
		c.leader.adjustPools(now, c.config)
	}
}

// stands reports whether a standing share of a customer's rate is of use.
func stands(share float64, customer *topo.Customer) bool { return share*customer.Rate >= leastStanding }

func (c *Core) adjustWallet(now time.Time, w *wallet) {
	share := c.standingShare(now)
	if !stands(share, w.customer) {
		share = 0
	}
	room := 0.0
	if share > 0 {
		room = share*standingRoom*w.customer.Burst + min(requestRoom, w.customer.Burst*standingRoom)
	}
	// What was lent beyond the standing share stays, within the burst.
	lent := min(w.bucket.Level(now), w.customer.Burst*standingRoom)
	w.bucket.Set(now, share*w.customer.Rate, max(room, lent))
}

// spend takes a call's tokens and sends it on its way.
func (c *Core) spend(now time.Time, k *call) {
	if k.customer == nil || k.customer.Rate <= 0 {
		c.dispatch(now, k)
		return
	}
	w := c.wallet(now, k.customer)
	w.count(now, k.cost)
	if len(w.waiting) == 0 && c.pay(now, w, k) {
		return
	}
	if !c.leaderReachable(now) || len(w.waiting) >= waitingLimit {
		c.overRate(now, k, w)
		return
	}
	w.waiting = append(w.waiting, k)
	c.ask(now, w)
}

// pay takes a call's tokens and sends it on its way, if the wallet holds them.
func (c *Core) pay(now time.Time, w *wallet, k *call) bool {
	if !w.bucket.Take(now, k.cost) {
		return false
	}
	k.paid = true
	c.dispatch(now, k)
	return true
}

// overRate refuses a call that its customer's rate doesn't cover.
func (c *Core) overRate(now time.Time, k *call, w *wallet) {
	after := time.Duration((w.demand() + k.cost) / k.customer.Rate * float64(time.Second))
	c.refuse(now, k, fault.NotRun, fault.CodeRate, "the customer's rate is used up", c.spread(after+shortRetry))
}

// ask asks the leader for tokens, unless an answer is due.
func (c *Core) ask(now time.Time, w *wallet) {
	if !w.asked.IsZero() {
		return
	}
	w.fade(now)
	amount := w.demand() - w.bucket.Level(now) + w.use*prefetch.Seconds()
	if amount <= 0 {
		return
	}
	w.asked = now
	w.askedFor = amount
	if c.leads(now) {
		c.granted(now, w, c.leader.lend(now, w.customer, amount))
		return
	}
	c.member.asks = append(c.member.asks, &wirepb.GateTokens{
		Customer: w.customer.Name,
		Amount:   amount,
	})
	c.report(now)
}

// granted takes what the leader has lent. If that is less than what was asked
// for, calls that it doesn't cover are over the customer's rate; otherwise they
// came after the leader was asked.
func (c *Core) granted(now time.Time, w *wallet, amount float64) {
	short := amount < w.askedFor*wholeGrant
	w.asked = time.Time{}
	w.bucket.Add(now, amount, math.Inf(1))
	waiting := w.waiting
	w.waiting = nil
	for i, k := range waiting {
		if c.pay(now, w, k) {
			continue
		}
		if !short {
			w.waiting = waiting[i:]
			c.ask(now, w)
			return
		}
		c.overRate(now, k, w)
	}
}

// wholeGrant allows for rounding in what the leader gives.
const wholeGrant = 0.999

// refund gives back the tokens of a call that did not run.
func (c *Core) refund(now time.Time, k *call) {
	if !k.paid {
		return
	}
	k.paid = false
	if w := c.walletOf(k); w != nil {
		w.bucket.Add(now, k.cost, math.Inf(1))
	}
}

// tendWallets ends waits for tokens that the leader doesn't answer and drops
// standing shares whose proof has lapsed.
func (c *Core) tendWallets(now time.Time) {
	if lapsed := now.After(c.member.shareUntil); lapsed && c.member.share > 0 {
		c.member.share = 0
		c.note("standing share lapsed", "", "", now.Sub(c.member.shareUntil))
		c.adjustWallets(now)
	}
	for _, name := range slices.Sorted(maps.Keys(c.wallets)) {
		w := c.wallets[name]
		if !w.asked.IsZero() && now.Sub(w.asked) > askLimit {
			c.unanswered(now, w)
		}
	}
}

// unanswered refuses the calls that wait for a leader that doesn't answer. They
// may well be within their customer's rate.
func (c *Core) unanswered(now time.Time, w *wallet) {
	w.asked = time.Time{}
	waiting := w.waiting
	w.waiting = nil
	for _, k := range waiting {
		if c.pay(now, w, k) {
			continue
		}
		c.refuse(now, k, fault.NotRun, fault.CodeNotReady, "the leader did not answer", c.spread(staleRetry))
	}
}

// surplus takes the tokens that an entry doesn't need soon out of its wallets.
func (c *Core) surplus(now time.Time) []*wirepb.GateTokens {
	var out []*wirepb.GateTokens
	for _, name := range slices.Sorted(maps.Keys(c.wallets)) {
		w := c.wallets[name]
		w.fade(now)
		extra := w.bucket.Level(now) - w.use*keepAhead.Seconds()
		if len(w.waiting) > 0 || extra < leastReturn {
			continue
		}
		out = append(out, &wirepb.GateTokens{
			Customer: name,
			Amount:   w.bucket.TakeUpTo(now, extra),
		})
	}
	return out
}
