// Package queue orders the calls that wait at an endpoint: interactive calls
// before batch ones, and customers of a class by the weighted tokens that they
// were served. It is bounded, and no customer can fill it against others.
package queue

import "time"

// batchFloor is the share of tokens that batch calls get while interactive
// ones wait too.
const batchFloor = 0.1

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
	interactive *class[T]
	batch       *class[T]
	tallies     map[string]*tally
	// credit is what batch calls have earned, in tokens, by interactive ones
	// served before them.
	credit float64
}

// tally counts a customer's waiting calls in both classes.
type tally struct {
	calls  int
	weight float64
}

// New returns a queue for at most limit calls.
func New[T any](limit int) *Queue[T] {
	return &Queue[T]{
		limit:       limit,
		interactive: newClass[T](),
		batch:       newClass[T](),
		tallies:     make(map[string]*tally),
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
		victim, found := q.victim(item)
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
	t, known := q.tallies[item.Customer]
	if !known {
		t = &tally{}
		q.tallies[item.Customer] = t
	}
	t.calls++
	t.weight = item.Weight
	if item.Batch && q.batch.len == 0 {
		q.credit = 0
	}
	q.class(item.Batch).push(item)
}

// victim takes out the call that makes room for an item.
func (q *Queue[T]) victim(item Item[T]) (victim Item[T], ok bool) {
	own := 1.0
	if t, known := q.tallies[item.Customer]; known {
		own += float64(t.calls)
	}
	most, customer := own/item.Weight, item.Customer
	for name, t := range q.tallies {
		share := float64(t.calls) / t.weight
		if share > most || (share == most && customer != item.Customer && name < customer) {
			most, customer = share, name
		}
	}
	if victim, ok = q.batch.newest(customer); !ok && customer != item.Customer {
		victim, ok = q.interactive.newest(customer)
	}
	if !ok || (customer == item.Customer && item.Batch) {
		return victim, false
	}
	q.class(victim.Batch).drop(customer)
	q.forget(victim)
	return victim, true
}

// Pop removes the call to serve next and charges its customer for the part of
// the cost that calls use on average.
func (q *Queue[T]) Pop(now time.Time) (item Item[T], ok bool) {
	return q.PopOf(now, func(string) bool { return true })
}

// PopOf is Pop among the customers that may be served now.
func (q *Queue[T]) PopOf(_ time.Time, may func(customer string) bool) (item Item[T], ok bool) {
	interactive, batch := q.interactive.lowest(may), q.batch.lowest(may)
	switch {
	case interactive == nil && batch == nil:
		return item, false
	case interactive == nil:
		item = q.batch.pop(batch)
	case batch == nil:
		item = q.interactive.pop(interactive)
	default:
		item = q.contend(interactive, batch)
	}
	q.forget(item)
	return item, true
}

// contend serves one of two flows of the two classes, by the batch floor.
func (q *Queue[T]) contend(interactive, batch *flow[T]) Item[T] {
	if cost := float64(batch.items[0].Cost); q.credit >= cost {
		q.credit -= cost
		return q.batch.pop(batch)
	}
	item := q.interactive.pop(interactive)
	q.credit += float64(item.Cost) * batchFloor / (1 - batchFloor)
	return item
}

// Settle corrects the charge for a popped item by the tokens that it used, 0 if
// it did not run.
func (q *Queue[T]) Settle(item Item[T], used int) {
	q.class(item.Batch).settle(item, float64(used))
}

// Remove takes out the calls that match and returns them.
func (q *Queue[T]) Remove(match func(Item[T]) bool) []Item[T] {
	removed := append(q.interactive.remove(match), q.batch.remove(match)...)
	for _, item := range removed {
		q.forget(item)
	}
	return removed
}

// forget takes an item that has left the queue out of its customer's tally.
func (q *Queue[T]) forget(item Item[T]) {
	t := q.tallies[item.Customer]
	t.calls--
	if t.calls == 0 {
		delete(q.tallies, item.Customer)
	}
}

func (q *Queue[T]) class(batch bool) *class[T] {
	if batch {
		return q.batch
	}
	return q.interactive
}

// Len returns the number of waiting calls.
func (q *Queue[T]) Len() int { return q.interactive.len + q.batch.len }

// Cost returns the work of all waiting calls in tokens.
func (q *Queue[T]) Cost() int { return q.interactive.cost + q.batch.cost }

// Ahead returns the work in tokens that will be served before an item if it is
// pushed now and nothing comes after it.
func (q *Queue[T]) Ahead(item Item[T]) int {
	if item.Weight <= 0 {
		item.Weight = 1
	}
	own := q.class(item.Batch).ahead(item)
	if item.Batch {
		most := (own + float64(item.Cost)) * (1 - batchFloor) / batchFloor
		return int(own + min(float64(q.interactive.cost), most))
	}
	return int(own + min(float64(q.batch.cost), own*batchFloor/(1-batchFloor)))
}
