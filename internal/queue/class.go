package queue

import (
	"maps"
	"slices"
)

// maxIdle is how many customers without waiting calls are remembered.
const maxIdle = 1024

// usedWeight is the weight of the newest call in the part of the cost used.
const usedWeight = 0.02

// class is a fair queue over customers. The customer with the lowest counter
// is served next.
type class[T any] struct {
	flows map[string]*flow[T]
	// active are the flows with waiting calls.
	active []*flow[T]
	// level is the counter that the flow served last had before. A customer
	// that comes back starts from there: it has saved nothing up, and goes
	// before those that wait for their next turn.
	level float64
	// used is the part of their cost that calls use on average.
	used float64
	len  int
	cost int
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

func newClass[T any]() *class[T] {
	return &class[T]{
		flows: make(map[string]*flow[T]),
		used:  1,
	}
}

func (c *class[T]) push(item Item[T]) {
	f, known := c.flows[item.Customer]
	if !known {
		c.sweep()
		f = &flow[T]{customer: item.Customer}
		c.flows[item.Customer] = f
	}
	if len(f.items) == 0 {
		f.counter = max(f.counter, c.level)
		c.active = append(c.active, f)
	}
	f.weight = item.Weight
	f.items = append(f.items, item)
	f.cost += item.Cost
	c.len++
	c.cost += item.Cost
}

// sweep forgets idle customers, if there are many, that owe nothing.
func (c *class[T]) sweep() {
	if len(c.flows)-len(c.active) < maxIdle {
		return
	}
	maps.DeleteFunc(c.flows, func(_ string, f *flow[T]) bool {
		return len(f.items) == 0 && f.counter <= c.level
	})
}

// lowest returns the flow to serve next of those that may be served, nil if
// there is none.
func (c *class[T]) lowest(may func(customer string) bool) *flow[T] {
	var best *flow[T]
	for _, f := range c.active {
		behind := best != nil && (f.counter > best.counter || (f.counter == best.counter && f.customer > best.customer))
		if !behind && may(f.customer) {
			best = f
		}
	}
	return best
}

// pop removes the first call of a flow.
func (c *class[T]) pop(f *flow[T]) Item[T] {
	item := f.items[0]
	c.level = max(c.level, f.counter)
	c.take(f, 0)
	item.charged = c.used * float64(item.Cost)
	f.counter += item.charged / f.weight
	return item
}

// settle corrects what a customer was charged for a call by what it has used.
func (c *class[T]) settle(item Item[T], used float64) {
	if used > 0 {
		c.used += usedWeight * (used/float64(item.Cost) - c.used)
	}
	if f, known := c.flows[item.Customer]; known {
		f.counter += (used - item.charged) / item.Weight
	}
}

// newest returns a customer's last call.
func (c *class[T]) newest(customer string) (item Item[T], ok bool) {
	f, known := c.flows[customer]
	if !known || len(f.items) == 0 {
		return item, false
	}
	return f.items[len(f.items)-1], true
}

// drop takes out a customer's last call.
func (c *class[T]) drop(customer string) {
	f := c.flows[customer]
	c.take(f, len(f.items)-1)
}

// take removes one call of a flow.
func (c *class[T]) take(f *flow[T], i int) {
	cost := f.items[i].Cost
	f.items = slices.Delete(f.items, i, i+1)
	f.cost -= cost
	c.len--
	c.cost -= cost
	if len(f.items) == 0 {
		c.active = slices.DeleteFunc(c.active, func(other *flow[T]) bool { return other == f })
	}
}

func (c *class[T]) remove(match func(Item[T]) bool) []Item[T] {
	var removed []Item[T]
	for _, f := range slices.Clone(c.active) {
		for i := len(f.items) - 1; i >= 0; i-- {
			if item := f.items[i]; match(item) {
				removed = append(removed, item)
				c.take(f, i)
			}
		}
	}
	return removed
}

// ahead returns the tokens that the class serves before an item pushed now.
func (c *class[T]) ahead(item Item[T]) float64 {
	start, own := c.level, 0.0
	if f, known := c.flows[item.Customer]; known {
		start, own = max(start, f.counter), float64(f.cost)
		if len(f.items) > 0 {
			start = f.counter
		}
	}
	turn := start + own/item.Weight
	total := own
	for _, f := range c.active {
		if f.customer != item.Customer {
			total += min(float64(f.cost), max(0, (turn-f.counter)*f.weight))
		}
	}
	return total
}
