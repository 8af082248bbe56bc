// Package queue orders the calls that wait at an endpoint.
package queue

import "time"

// Item is one waiting call.
type Item[T any] struct {
	Value    T
	Customer string
	// Weight is the customer's weight in fair queueing.
	Weight float64
	Batch  bool
	// Cost is the work in tokens.
	Cost     int
	Deadline time.Time
}

// Queue is a bounded queue.
type Queue[T any] struct {
	limit int
	items []Item[T]
}

// New returns a queue for at most limit calls.
func New[T any](limit int) *Queue[T] { return &Queue[T]{limit: limit} }

// Push adds a call. It returns false if the queue is full.
func (q *Queue[T]) Push(_ time.Time, item Item[T]) bool {
	if len(q.items) >= q.limit {
		return false
	}
	q.items = append(q.items, item)
	return true
}

// Pop removes the call to serve next.
func (q *Queue[T]) Pop(_ time.Time) (item Item[T], ok bool) {
	if len(q.items) == 0 {
		return item, false
	}
	item = q.items[0]
	q.items = q.items[1:]
	return item, true
}

// Remove takes out the calls that match and returns them.
func (q *Queue[T]) Remove(match func(Item[T]) bool) []Item[T] {
	var kept, removed []Item[T]
	for _, item := range q.items {
		if match(item) {
			removed = append(removed, item)
		} else {
			kept = append(kept, item)
		}
	}
	q.items = kept
	return removed
}

// Len returns the number of waiting calls.
func (q *Queue[T]) Len() int { return len(q.items) }

// Cost returns the work of all waiting calls in tokens.
func (q *Queue[T]) Cost() int {
	total := 0
	for _, item := range q.items {
		total += item.Cost
	}
	return total
}
