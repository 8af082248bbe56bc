package queue

import (
	"maps"
	"slices"
)

// maxIdleCustomers is the number of customers without waiting calls at which
// idle ones are evicted before a new customer is added.
const maxIdleCustomers = 1024

// usageRatioWeight is the weight of the newest call in the moving average
// usageRatio.
const usageRatioWeight = 0.02

// fairQueue is a weighted fair queue over customers for one class of calls. It
// serves the customer with the lowest counter.
type fairQueue[T any] struct {
	flows map[string]*flow[T]
	// active are the flows with waiting calls.
	active []*flow[T]
	// virtualTime is the highest counter of a flow at the time it was served. A
	// customer that returns after being idle starts from there: it accrues no
	// credit while idle, yet is served before the customers that wait for their
	// next turn.
	virtualTime float64
	// usageRatio is the moving average of the ratio of used tokens to cost.
	usageRatio float64
	len        int
	// cost is the total cost of the waiting calls.
	cost int
}

// flow is the state of one customer in a fairQueue.
type flow[T any] struct {
	customer string
	weight   float64
	// counter is the number of tokens charged to the customer, divided by its
	// weight.
	counter float64
	items   []Item[T]
	// cost is the total cost of items.
	cost int
}

// newFairQueue returns an empty queue.
func newFairQueue[T any]() *fairQueue[T] {
	return &fairQueue[T]{
		flows:      make(map[string]*flow[T]),
		usageRatio: 1,
	}
}

// push appends a call to its customer's flow.
func (fq *fairQueue[T]) push(item Item[T]) {
	f := fq.flowOf(item.Customer)
	if len(f.items) == 0 {
		f.counter = max(f.counter, fq.virtualTime)
		fq.active = append(fq.active, f)
	}
	f.weight = item.Weight
	f.items = append(f.items, item)
	f.cost += item.Cost
	fq.len++
	fq.cost += item.Cost
}

// flowOf returns a customer's flow. It creates an empty one if there is none.
func (fq *fairQueue[T]) flowOf(customer string) *flow[T] {
	f, known := fq.flows[customer]
	if !known {
		fq.evictIdle()
		f = &flow[T]{customer: customer}
		fq.flows[customer] = f
	}
	return f
}

// evictIdle removes the idle customers whose counter is not ahead of the
// virtual time, if there are at least maxIdleCustomers idle ones. The others
// are kept, since removing them would erase the charge for which they still
// have to wait.
func (fq *fairQueue[T]) evictIdle() {
	if len(fq.flows)-len(fq.active) < maxIdleCustomers {
		return
	}
	maps.DeleteFunc(fq.flows, func(_ string, f *flow[T]) bool {
		return len(f.items) == 0 && f.counter <= fq.virtualTime
	})
}

// next returns the eligible flow to serve next, or nil if there is none. Ties
// are broken by customer name.
func (fq *fairQueue[T]) next(eligible func(customer string) bool) *flow[T] {
	var best *flow[T]
	for _, f := range fq.active {
		later := best != nil && (f.counter > best.counter || (f.counter == best.counter && f.customer > best.customer))
		if !later && eligible(f.customer) {
			best = f
		}
	}
	return best
}

// pop removes the first call of a flow and charges the customer for it.
func (fq *fairQueue[T]) pop(f *flow[T]) Item[T] {
	item := f.items[0]
	fq.virtualTime = max(fq.virtualTime, f.counter)
	fq.removeAt(f, 0)
	item.charged = fq.usageRatio * float64(item.Cost)
	f.counter += item.charged / f.weight
	return item
}

// correctCharge replaces what a customer was charged for a call by the tokens
// that the call used.
func (fq *fairQueue[T]) correctCharge(item Item[T], used float64) {
	if used > 0 {
		fq.usageRatio += usageRatioWeight * (used/float64(item.Cost) - fq.usageRatio)
	}
	if f, known := fq.flows[item.Customer]; known {
		f.counter += (used - item.charged) / item.Weight
	}
}

// newest returns the last call of a customer's flow.
func (fq *fairQueue[T]) newest(customer string) (item Item[T], ok bool) {
	f, known := fq.flows[customer]
	if !known || len(f.items) == 0 {
		return item, false
	}
	return f.items[len(f.items)-1], true
}

// removeNewest removes the last call of a customer's flow.
func (fq *fairQueue[T]) removeNewest(customer string) {
	f := fq.flows[customer]
	fq.removeAt(f, len(f.items)-1)
}

// removeAt removes the call with index i from a flow.
func (fq *fairQueue[T]) removeAt(f *flow[T], i int) {
	cost := f.items[i].Cost
	f.items = slices.Delete(f.items, i, i+1)
	f.cost -= cost
	fq.len--
	fq.cost -= cost
	if len(f.items) == 0 {
		fq.active = slices.DeleteFunc(fq.active, func(other *flow[T]) bool { return other == f })
	}
}

// removeMatching removes the calls that match and returns them.
func (fq *fairQueue[T]) removeMatching(match func(Item[T]) bool) []Item[T] {
	var removed []Item[T]
	for _, f := range slices.Clone(fq.active) {
		for i := len(f.items) - 1; i >= 0; i-- {
			if item := f.items[i]; match(item) {
				removed = append(removed, item)
				fq.removeAt(f, i)
			}
		}
	}
	return removed
}

// costAhead estimates the tokens that the class serves before an item if it is
// pushed now.
func (fq *fairQueue[T]) costAhead(item Item[T]) float64 {
	flowStart, ownCost := fq.virtualTime, 0.0
	if f, known := fq.flows[item.Customer]; known {
		flowStart, ownCost = max(flowStart, f.counter), float64(f.cost)
		if len(f.items) > 0 {
			flowStart = f.counter
		}
	}
	itemStart := flowStart + ownCost/item.Weight
	total := ownCost
	for _, f := range fq.active {
		if f.customer != item.Customer {
			total += min(float64(f.cost), max(0, (itemStart-f.counter)*f.weight))
		}
	}
	return total
}
