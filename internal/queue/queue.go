// Package queue orders the calls that wait at an endpoint: interactive calls
// before batch ones, and customers of a class by the weighted tokens that they
// were served. It is bounded, and no customer can fill it against others.
package queue

import "time"

// minBatchShare is the share of tokens that batch calls get while interactive
// ones wait too.
const minBatchShare = 0.1

// Item is one waiting call.
type Item[T any] struct {
	Value    T
	Customer string
	// Weight is the customer's weight in fair queueing, 1 if unset.
	Weight float64
	Batch  bool
	// Cost is the expected work in tokens, at least 1.
	Cost     int
	Deadline time.Time
	// charged is what Pop has charged the customer, in tokens.
	charged float64
}

// Queue is a bounded fair queue.
type Queue[T any] struct {
	limit       int
	interactive *fairQueue[T]
	batch       *fairQueue[T]
	customers   map[string]*customerStats
	// batchCredit is what batch calls have earned, in tokens, by interactive ones
	// served before them.
	batchCredit float64
}

// customerStats counts a customer's waiting calls in both classes.
type customerStats struct {
	calls  int
	weight float64
}

// New returns a queue for at most limit calls.
func New[T any](limit int) *Queue[T] {
	return &Queue[T]{
		limit:       limit,
		interactive: newFairQueue[T](),
		batch:       newFairQueue[T](),
		customers:   make(map[string]*customerStats),
	}
}

// Push adds a call. If the queue is full, the newest call of the customer that
// holds most of it for its weight makes room and is returned as displaced. If
// that customer is the item's own, ok is false and nothing changes.
func (q *Queue[T]) Push(_ time.Time, item Item[T]) (displaced []Item[T], ok bool) {
	if item.Weight <= 0 {
		item.Weight = 1
	}
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

// add queues an item without a check.
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

// displace takes out the call that makes room for an item.
func (q *Queue[T]) displace(item Item[T]) (victim Item[T], ok bool) {
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

// Pop removes the call to serve next and charges its customer for the part of
// the cost that calls use on average.
func (q *Queue[T]) Pop(now time.Time) (item Item[T], ok bool) {
	return q.PopEligible(now, func(string) bool { return true })
}

// PopEligible is Pop among the customers that may be served now.
func (q *Queue[T]) PopEligible(_ time.Time, eligible func(customer string) bool) (item Item[T], ok bool) {
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

// popContended serves one of two flows of the two classes, by the batch floor.
func (q *Queue[T]) popContended(interactive, batch *flow[T]) Item[T] {
	if cost := float64(batch.items[0].Cost); q.batchCredit >= cost {
		q.batchCredit -= cost
		return q.batch.pop(batch)
	}
	item := q.interactive.pop(interactive)
	q.batchCredit += float64(item.Cost) * minBatchShare / (1 - minBatchShare)
	return item
}

// RecordUsage corrects the charge for a popped item by the tokens that it used, 0 if
// it did not run.
func (q *Queue[T]) RecordUsage(item Item[T], used int) {
	q.queueFor(item.Batch).correctCharge(item, float64(used))
}

// Remove takes out the calls that match and returns them.
func (q *Queue[T]) Remove(match func(Item[T]) bool) []Item[T] {
	removed := append(q.interactive.removeMatching(match), q.batch.removeMatching(match)...)
	for _, item := range removed {
		q.uncount(item)
	}
	return removed
}

// uncount takes an item that has left the queue out of its customer's tally.
func (q *Queue[T]) uncount(item Item[T]) {
	stats := q.customers[item.Customer]
	stats.calls--
	if stats.calls == 0 {
		delete(q.customers, item.Customer)
	}
}

func (q *Queue[T]) queueFor(batch bool) *fairQueue[T] {
	if batch {
		return q.batch
	}
	return q.interactive
}

// Len returns the number of waiting calls.
func (q *Queue[T]) Len() int { return q.interactive.len + q.batch.len }

// TotalCost returns the work of all waiting calls in tokens.
func (q *Queue[T]) TotalCost() int { return q.interactive.cost + q.batch.cost }

// CostAhead returns the work in tokens that will be served before an item if it is
// pushed now and nothing comes after it.
func (q *Queue[T]) CostAhead(item Item[T]) int {
	if item.Weight <= 0 {
		item.Weight = 1
	}
	ahead := q.queueFor(item.Batch).costAhead(item)
	if item.Batch {
		maxInteractive := (ahead + float64(item.Cost)) * (1 - minBatchShare) / minBatchShare
		return int(ahead + min(float64(q.interactive.cost), maxInteractive))
	}
	return int(ahead + min(float64(q.batch.cost), ahead*minBatchShare/(1-minBatchShare)))
}
