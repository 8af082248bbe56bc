package quota

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// balanceInterval is how often shares are rebalanced towards the demand.
	balanceInterval = time.Second
	// poolFraction of a customer's quota stays in the coordinator's pool, for
	// entries that are about to refuse calls.
	poolFraction = 0.1
	// evenFraction of the rest is distributed evenly, whatever the demand is.
	evenFraction = 0.2
	// rebalanceThreshold is the smallest relative change of a share that
	// rebalancing makes.
	rebalanceThreshold = 0.15
)

// rebalance moves shares towards the demand.
func (c *Coordinator) rebalance(now time.Time) {
	if now.Sub(c.lastBalanceAt) < balanceInterval {
		return
	}
	c.lastBalanceAt = now
	for customer := range c.pool {
		c.rebalanceCustomer(now, customer)
	}
}

// rebalanceCustomer moves one customer's shares towards the demand of the members
// that stay.
func (c *Coordinator) rebalanceCustomer(now time.Time, customer string) {
	hosts := c.stayingMembers()
	totalDemand, parts := 0.0, float64(c.pool[customer].parts)
	for _, host := range hosts {
		l := c.members[host].ledger(customer)
		totalDemand += l.demand
		parts += float64(l.held())
	}
	distributable := parts * (1 - poolFraction)
	for _, host := range hosts {
		l := c.members[host].ledger(customer)
		target := distributable / float64(len(hosts))
		if totalDemand > 0 {
			target = target*evenFraction + distributable*(1-evenFraction)*l.demand/totalDemand
		}
		if c.adjustShare(now, customer, l, target) {
			c.members[host].grantDue = true
		}
	}
}

// stayingMembers returns the hosts of the members that aren't shutting down, sorted.
func (c *Coordinator) stayingMembers() []string {
	var hosts []string
	for _, host := range slices.Sorted(maps.Keys(c.members)) {
		if !c.members[host].leaving {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// adjustShare moves one member's share towards a target. It reports whether the
// member must be sent a grant.
func (c *Coordinator) adjustShare(now time.Time, customer string, l *ledger, target float64) bool {
	current := float64(l.retained())
	if math.Abs(target-current) < rebalanceThreshold*max(target, current) {
		return false
	}
	if target < current {
		l.recall(uint64(current-target), false)
		return true
	}
	pool := c.pool[customer]
	available := float64(pool.parts) - poolFraction*TotalParts/2
	if available <= 0 {
		return false
	}
	l.addGrant(pool.remove(now, uint64(min(available, target-current)), false))
	return true
}
