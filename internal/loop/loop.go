// Package loop runs a reducer: it feeds events to it one at a time and
// performs the effects that it returns, in order.
package loop

import (
	"context"
	"errors"
	"sync"
	"time"
)

// Reducer is a pure state machine. Apply must not block, read clocks or do I/O.
type Reducer[E, F any] interface {
	Apply(now time.Time, event E) []F
}

// Loop owns a reducer. Events may be posted from any goroutine, also while an
// effect is performed.
type Loop[E, F any] struct {
	reducer Reducer[E, F]
	perform func(F)
	now     func() time.Time

	mu    sync.Mutex
	queue []E
	wake  chan struct{}
	done  chan struct{}
}

// New returns a loop over reducer. perform carries out one effect and must not
// block; clock gives the present time.
func New[E, F any](reducer Reducer[E, F], perform func(F), now func() time.Time) *Loop[E, F] {
	return &Loop[E, F]{
		reducer: reducer,
		perform: perform,
		now:     now,
		wake:    make(chan struct{}, 1),
		done:    make(chan struct{}),
	}
}

// Post queues an event. Events posted after the loop has ended are dropped.
func (l *Loop[E, F]) Post(event E) {
	l.mu.Lock()
	l.queue = append(l.queue, event)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Run applies events until ctx ends, then closes Done.
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

// Done is closed when Run has returned.
func (l *Loop[E, F]) Done() <-chan struct{} { return l.done }

// ErrEnded reports a question to a loop that has ended.
var ErrEnded = errors.New("loop has ended")

// Ask posts the event that question makes of a channel for one reply, and waits
// for the reply.
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

// processQueue applies all queued events.
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
