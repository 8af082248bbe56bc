package demo_test

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"dogwoodfold/internal/demo"
)

// firstCall records how each entry answers at the moment at which the addresses are
// printed.
type firstCall struct {
	fleet   *demo.Fleet
	printed bytes.Buffer
	// ready and served are the statuses of the readiness checks and of the first calls,
	// by entry.
	ready  []int
	served []int
	cancel context.CancelFunc
}

// Write implements io.Writer.
func (c *firstCall) Write(text []byte) (int, error) {
	defer c.cancel()
	for _, base := range c.fleet.EntryURLs {
		ready, _, err := fasthttp.Get(nil, base+"/readyz")
		if err != nil {
			return 0, err
		}
		served, _, err := fasthttp.Get(nil, base+"/pedidos/stock")
		if err != nil {
			return 0, err
		}
		c.ready = append(c.ready, ready)
		c.served = append(c.served, served)
	}
	return c.printed.Write(text)
}

func TestHoldPrintsOnceAllEntriesServe(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f, err := demo.Start(context.Background(), zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := f.Stop(); err != nil {
			t.Error(err)
		}
	}()
	out := &firstCall{
		fleet:  f,
		cancel: cancel,
	}
	if err := demo.Hold(ctx, f, out); err != nil {
		t.Fatal(err)
	}
	if len(out.ready) != len(f.EntryURLs) {
		t.Fatalf("%d entries were called when the addresses were printed, want %d", len(out.ready), len(f.EntryURLs))
	}
	for i := range f.EntryURLs {
		if out.ready[i] != fasthttp.StatusOK || out.served[i] != fasthttp.StatusOK {
			t.Errorf("entry %d: readiness %d, first call %d when its address is printed; want 200 for both",
				i+1, out.ready[i], out.served[i])
		}
	}
	if printed := out.printed.String(); !strings.Contains(printed, "entry URL "+f.EntryURLs[0]) {
		t.Errorf("printed %q, want the addresses of all entries", printed)
	}
}

func TestHoldEndsQuietlyIfInterruptedBefore(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	f, err := demo.Start(context.Background(), zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := f.Stop(); err != nil {
			t.Error(err)
		}
	}()
	cancel()
	var out bytes.Buffer
	if err := demo.Hold(ctx, f, &out); err != nil {
		t.Errorf("interrupted before the fleet is ready: error %v, want none", err)
	}
}
