package queue

import (
	"maps"
	"slices"
)

// maxIdleCustomers is how many customers without waiting calls are remembered.
const maxIdleCustomers = 1024

// usageRatioWeight is the weight of the newest call in the part of the cost used.
const usageRatioWeight = 0.02

// fairQueue is a fair queue over customers. The customer with the lowest counter
// is served next.
type fairQueue[T any] struct {
	flows map[string]*flow[T]
	// active are the flows with waiting calls.
	active []*flow[T]
	// virtualTime is the counter that the flow served last had before. A customer
	// that comes back starts from there: it has saved nothing up, and goes
	// before those that wait for their next turn.
	virtualTime float64
	// usageRatio is the part of their cost that calls use on average.
	usageRatio float64
	len        int
	cost       int
}

// flow is one customer's part of a class.
type flow[T any] struct {
	customer string
	weight   float64
	// counter is the customer's served tokens over its weight.
	counter float64
	items   []Item[T]
	cost    int
}

func newFairQueue[T any]() *fairQueue[T] {
	return &fairQueue[T]{
		flows:      make(map[string]*flow[T]),
		usageRatio: 1,
	}
}

func (fq *fairQueue[T]) push(item Item[T]) {
	f, known := fq.flows[item.Customer]
	if !known {
		fq.evictIdle()
		f = &flow[T]{customer: item.Customer}
		fq.flows[item.Customer] = f
	}
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

// evictIdle forgets idle customers, if there are many, that owe nothing.
func (fq *fairQueue[T]) evictIdle() {
	if len(fq.flows)-len(fq.active) < maxIdleCustomers {
		return
	}
	maps.DeleteFunc(fq.flows, func(_ string, f *flow[T]) bool {
		return len(f.items) == 0 && f.counter <= fq.virtualTime
	})
}

// next returns the flow to serve next of those that may be served, nil if
// there is none.
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

// pop removes the first call of a flow.
func (fq *fairQueue[T]) pop(f *flow[T]) Item[T] {
	item := f.items[0]
	fq.virtualTime = max(fq.virtualTime, f.counter)
	fq.removeAt(f, 0)
	item.charged = fq.usageRatio * float64(item.Cost)
	f.counter += item.charged / f.weight
	return item
}

// correctCharge corrects what a customer was charged for a call by what it has used.
func (fq *fairQueue[T]) correctCharge(item Item[T], used float64) {
	if used > 0 {
		fq.usageRatio += usageRatioWeight * (used/float64(item.Cost) - fq.usageRatio)
	}
	if f, known := fq.flows[item.Customer]; known {
		f.counter += (used - item.charged) / item.Weight
	}
}

// newest returns a customer's last call.
func (fq *fairQueue[T]) newest(customer string) (item Item[T], ok bool) {
	f, known := fq.flows[customer]
	if !known || len(f.items) == 0 {
		return item, false
	}
	return f.items[len(f.items)-1], true
}

// removeNewest takes out a customer's last call.
func (fq *fairQueue[T]) removeNewest(customer string) {
	f := fq.flows[customer]
	fq.removeAt(f, len(f.items)-1)
}

// removeAt removes one call of a flow.
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

// costAhead returns the tokens that the class serves before an item pushed now.
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
