package queue

import (
	"maps"
	"slices"
)

// maxIdle is how many customers without waiting calls are remembered.
const maxIdle = 1024

// class is a fair queue over customers. The customer with the lowest counter
// is served next.
type class[T any] struct {
	flows map[string]*flow[T]
	// active are the flows with waiting calls.
	active []*flow[T]
	// level is the counter of the flow that was served last; a customer that
	// comes back starts from there and has saved nothing up.
	level float64
	len   int
	cost  int
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
	return &class[T]{flows: make(map[string]*flow[T])}
}

func (c *class[T]) push(item Item[T]) {
	f, known := c.flows[item.Customer]
	if !known {
		c.sweep()
		f = &flow[T]{customer: item.Customer}
		c.flows[item.Customer] = f
	}
	if len(f.items) == 0 {
		f.counter = max(f.counter, c.floor())
		c.active = append(c.active, f)
	}
	f.weight = item.Weight
	f.items = append(f.items, item)
	f.cost += item.Cost
	c.len++
	c.cost += item.Cost
}

// floor is the counter that a customer starts from.
func (c *class[T]) floor() float64 {
	if f := c.lowest(); f != nil {
		return f.counter
	}
	return c.level
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

// lowest returns the flow to serve next, nil if none waits.
func (c *class[T]) lowest() *flow[T] {
	var best *flow[T]
	for _, f := range c.active {
		if best == nil || f.counter < best.counter || (f.counter == best.counter && f.customer < best.customer) {
			best = f
		}
	}
	return best
}

// head returns the call to serve next; the class must not be empty.
func (c *class[T]) head() Item[T] { return c.lowest().items[0] }

func (c *class[T]) pop() (item Item[T], ok bool) {
	f := c.lowest()
	if f == nil {
		return item, false
	}
	item = f.items[0]
	c.level = f.counter
	c.take(f, 0)
	f.counter += float64(item.Cost) / f.weight
	return item, true
}

// charge adds to a customer's counter.
func (c *class[T]) charge(customer string, amount float64) {
	if f, known := c.flows[customer]; known {
		f.counter += amount
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
	start, own := c.floor(), 0.0
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
