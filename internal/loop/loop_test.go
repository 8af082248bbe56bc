package loop_test

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"time"

	"dogwoodfold/internal/loop"
)

// duplicator returns two effects for each number.
type duplicator struct{}

func (duplicator) Apply(_ time.Time, n int) []int { return []int{n, n} }

func TestEffectsRunInOrder(t *testing.T) {
	var got []int
	allDone := make(chan struct{})
	l := loop.New(duplicator{}, func(n int) {
		if got = append(got, n); len(got) == 200 {
			close(allDone)
		}
	}, time.Now)
	ctx, cancel := context.WithCancel(context.Background())
	go l.Run(ctx)
	for n := range 100 {
		l.Post(n)
	}
	<-allDone
	cancel()
	<-l.Done()
	if !slices.IsSorted(got) {
		t.Errorf("effects out of order: %v", got)
	}
}

// TestPostFromEffect checks that posting an event from within an effect does not
// deadlock.
func TestPostFromEffect(_ *testing.T) {
	var l *loop.Loop[int, int]
	finished := make(chan struct{})
	var once sync.Once
	l = loop.New(duplicator{}, func(n int) {
		if n < 10 {
			l.Post(n + 1)
			return
		}
		once.Do(func() { close(finished) })
	}, time.Now)
	ctx, cancel := context.WithCancel(context.Background())
	go l.Run(ctx)
	l.Post(0)
	<-finished
	cancel()
	<-l.Done()
}

// echoReducer returns each reply channel as an effect.
type echoReducer struct{}

func (echoReducer) Apply(_ time.Time, reply chan<- int) []chan<- int { return []chan<- int{reply} }

func TestAsk(t *testing.T) {
	l := loop.New(echoReducer{}, func(reply chan<- int) { reply <- 7 }, time.Now)
	ctx, cancel := context.WithCancel(context.Background())
	go l.Run(ctx)
	newEvent := func(reply chan<- int) chan<- int { return reply }
	if n, err := loop.Ask(ctx, l, newEvent); n != 7 || err != nil {
		t.Errorf("Ask = %d, %v; want 7", n, err)
	}
	cancel()
	<-l.Done()
	if _, err := loop.Ask(context.Background(), l, newEvent); !errors.Is(err, loop.ErrEnded) {
		t.Errorf("Ask after the loop has ended: %v, want ErrEnded", err)
	}
}
