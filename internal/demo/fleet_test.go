package demo_test

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"dogwoodfold/internal/demo"
)

// stopLimit is the time in which a fleet without any call must have stopped.
const stopLimit = 15 * time.Second

func TestFleetStopsRightAfterItsStart(t *testing.T) {
	f, err := demo.Start(context.Background(), zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	stopped := make(chan error, 1)
	go func() { stopped <- f.Stop() }()
	select {
	case err := <-stopped:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(stopLimit):
		t.Fatalf("the fleet has not stopped within %v", stopLimit)
	}
}
