// Package queue orders the calls that wait at an endpoint. Interactive calls
// are served before batch calls, and within each class customers are served by
// weighted fair queueing over tokens. The queue is bounded, and no customer can
// fill it at the expense of others.
package queue

import "time"

// minBatchShare is the share of the tokens that batch calls get while
// interactive calls wait too.
const minBatchShare = 0.1

// Item is a waiting call.
type Item[T any] struct {
	Value    T
	Customer string
	// Weight is the customer's weight in fair queueing. It defaults to 1.
	Weight float64
	Batch  bool
	// Cost is the expected work in tokens. It is at least 1.
	Cost     int
	Deadline time.Time
	// charged is the number of tokens that Pop charged to the customer.
	charged float64
}

// weightOf returns an item's weight, or the default if it has none.
func weightOf[T any](item Item[T]) float64 {
	if item.Weight <= 0 {
		return 1
	}
	return item.Weight
}

// Queue is a bounded queue of calls, fair between customers.
type Queue[T any] struct {
	limit       int
	interactive *fairQueue[T]
	batch       *fairQueue[T]
	customers   map[string]*customerStats
	// batchCredit is the number of tokens that batch calls have earned from
	// interactive calls served before them. It is reset when a batch call
	// arrives while no other batch call waits.
	batchCredit float64
}

// customerStats counts the waiting calls of a customer in both classes.
type customerStats struct {
	calls  int
	weight float64
}

// New returns a queue that holds at most limit calls.
func New[T any](limit int) *Queue[T] {
	return &Queue[T]{
		limit:       limit,
		interactive: newFairQueue[T](),
		batch:       newFairQueue[T](),
		customers:   make(map[string]*customerStats),
	}
}

// Push adds a call. If the queue is full, the newest call of the customer with
// the most waiting calls relative to its weight is removed to make room, and
// returned in displaced. A batch call is removed rather than an interactive
// one. If that customer is the item's own, only an interactive item makes room,
// by removing the customer's newest batch call. In all other cases ok is false
// and the queue is unchanged.
func (q *Queue[T]) Push(item Item[T]) (displaced []Item[T], ok bool) {
	item.Weight = weightOf(item)
	item.Cost = max(item.Cost, 1)
	if q.Len() >= q.limit {
		victim, found := q.displace(item)
		if !found {
			return nil, false
		}
		displaced = append(displaced, victim)
	}
	q.add(item)
	return displaced, true
}

// add appends an item without checking the limit.
func (q *Queue[T]) add(item Item[T]) {
	stats, known := q.customers[item.Customer]
	if !known {
		stats = &customerStats{}
		q.customers[item.Customer] = stats
	}
	stats.calls++
	stats.weight = item.Weight
	if item.Batch && q.batch.len == 0 {
		q.batchCredit = 0
	}
	q.queueFor(item.Batch).push(item)
}

// displace removes a call to make room for an item.
func (q *Queue[T]) displace(item Item[T]) (victim Item[T], ok bool) {
	customer := q.mostLoaded(item)
	if victim, ok = q.batch.newest(customer); !ok && customer != item.Customer {
		victim, ok = q.interactive.newest(customer)
	}
	if !ok || (customer == item.Customer && item.Batch) {
		return victim, false
	}
	q.queueFor(victim.Batch).removeNewest(customer)
	q.uncount(victim)
	return victim, true
}

// mostLoaded returns the customer with the most waiting calls relative to its weight,
// counting the item as waiting. The item's own customer wins a tie.
func (q *Queue[T]) mostLoaded(item Item[T]) string {
	ownCalls := 1.0
	if stats, known := q.customers[item.Customer]; known {
		ownCalls += float64(stats.calls)
	}
	highest, customer := ownCalls/item.Weight, item.Customer
	for name, stats := range q.customers {
		load := float64(stats.calls) / stats.weight
		if load > highest || (load == highest && customer != item.Customer && name < customer) {
			highest, customer = load, name
		}
	}
	return customer
}

// Pop removes the call to serve next. It charges the customer the call's cost,
// scaled by the average ratio of used tokens to cost.
func (q *Queue[T]) Pop() (item Item[T], ok bool) {
	return q.PopEligible(func(string) bool { return true })
}

// PopEligible is like Pop, but considers only the customers for which eligible
// returns true.
func (q *Queue[T]) PopEligible(eligible func(customer string) bool) (item Item[T], ok bool) {
	interactive, batch := q.interactive.next(eligible), q.batch.next(eligible)
	switch {
	case interactive == nil && batch == nil:
		return item, false
	case interactive == nil:
		item = q.batch.pop(batch)
	case batch == nil:
		item = q.interactive.pop(interactive)
	default:
		item = q.popContended(interactive, batch)
	}
	q.uncount(item)
	return item, true
}

// popContended serves the batch flow if the batch calls have earned enough
// credit, and otherwise the interactive flow.
func (q *Queue[T]) popContended(interactive, batch *flow[T]) Item[T] {
	if cost := float64(batch.items[0].Cost); q.batchCredit >= cost {
		q.batchCredit -= cost
		return q.batch.pop(batch)
	}
	item := q.interactive.pop(interactive)
	q.batchCredit += float64(item.Cost) * minBatchShare / (1 - minBatchShare)
	return item
}

// RecordUsage replaces the charge for a popped item by the tokens that it used,
// which is 0 if it did not run.
func (q *Queue[T]) RecordUsage(item Item[T], used int) {
	q.queueFor(item.Batch).correctCharge(item, float64(used))
}

// Remove removes the calls that match and returns them.
func (q *Queue[T]) Remove(match func(Item[T]) bool) []Item[T] {
	removed := append(q.interactive.removeMatching(match), q.batch.removeMatching(match)...)
	for _, item := range removed {
		q.uncount(item)
	}
	return removed
}

// uncount subtracts an item that has left the queue from its customer's
// statistics.
func (q *Queue[T]) uncount(item Item[T]) {
	stats := q.customers[item.Customer]
	stats.calls--
	if stats.calls == 0 {
		delete(q.customers, item.Customer)
	}
}

// queueFor returns the queue of the class, batch or interactive.
func (q *Queue[T]) queueFor(batch bool) *fairQueue[T] {
	if batch {
		return q.batch
	}
	return q.interactive
}

// Len returns the number of waiting calls.
func (q *Queue[T]) Len() int { return q.interactive.len + q.batch.len }

// TotalCost returns the total cost of the waiting calls in tokens.
func (q *Queue[T]) TotalCost() int { return q.interactive.cost + q.batch.cost }

// CostAhead estimates the tokens that will be served before an item if it is
// pushed now and no calls arrive later.
func (q *Queue[T]) CostAhead(item Item[T]) int {
	item.Weight = weightOf(item)
	ahead := q.queueFor(item.Batch).costAhead(item)
	if item.Batch {
		maxInteractive := (ahead + float64(item.Cost)) * (1 - minBatchShare) / minBatchShare
		return int(ahead + min(float64(q.interactive.cost), maxInteractive))
	}
	return int(ahead + min(float64(q.batch.cost), ahead*minBatchShare/(1-minBatchShare)))
}
