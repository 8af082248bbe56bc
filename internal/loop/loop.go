// Package loop runs a reducer as an event loop: it applies events one at a time
// and performs the effects that the reducer returns, in order.
package loop

import (
	"context"
	"errors"
	"sync"
	"time"
)

// Reducer is a deterministic state machine. Apply must not block, read a clock
// or perform I/O.
type Reducer[E, F any] interface {
	Apply(now time.Time, event E) []F
}

// Loop is an event loop around a reducer. Events may be posted from any
// goroutine, including from within an effect.
type Loop[E, F any] struct {
	reducer Reducer[E, F]
	perform func(F)
	now     func() time.Time

	mu    sync.Mutex
	queue []E
	wake  chan struct{}
	done  chan struct{}
}

// New returns a loop for reducer. perform executes one effect and must not block;
// now returns the current time.
func New[E, F any](reducer Reducer[E, F], perform func(F), now func() time.Time) *Loop[E, F] {
	return &Loop[E, F]{
		reducer: reducer,
		perform: perform,
		now:     now,
		wake:    make(chan struct{}, 1),
		done:    make(chan struct{}),
	}
}

// Post queues an event. Events that Run has not applied by the time it returns
// are dropped.
func (l *Loop[E, F]) Post(event E) {
	l.mu.Lock()
	l.queue = append(l.queue, event)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Run applies events until ctx is done, then closes the Done channel.
func (l *Loop[E, F]) Run(ctx context.Context) {
	defer close(l.done)
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
			l.processQueue()
		}
	}
}

// Done returns a channel that is closed when Run returns.
func (l *Loop[E, F]) Done() <-chan struct{} { return l.done }

// ErrEnded is returned by Ask if the loop has ended.
var ErrEnded = errors.New("loop has ended")

// Ask posts the event returned by newEvent, which receives a channel for a single
// reply, and waits for that reply.
func Ask[S, E, F any](ctx context.Context, l *Loop[E, F], newEvent func(reply chan<- S) E) (S, error) {
	var zero S
	reply := make(chan S, 1)
	l.Post(newEvent(reply))
	select {
	case answer := <-reply:
		return answer, nil
	case <-l.Done():
		return zero, ErrEnded
	case <-ctx.Done():
		return zero, ctx.Err()
	}
}

// processQueue applies events until the queue is empty.
func (l *Loop[E, F]) processQueue() {
	for {
		l.mu.Lock()
		batch := l.queue
		l.queue = nil
		l.mu.Unlock()
		if len(batch) == 0 {
			return
		}
		for _, event := range batch {
			for _, effect := range l.reducer.Apply(l.now(), event) {
				l.perform(effect)
			}
		}
	}
}
