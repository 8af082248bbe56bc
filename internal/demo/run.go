package demo

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// readyTimeout is how long the fleet may take until all entries reach all services.
	readyTimeout = 20 * time.Second
	// pollInterval is the time between two looks at a state that is awaited.
	pollInterval = 50 * time.Millisecond
)

// Run runs the steps of the demo against a fleet and prints a table of the results.
// It reports whether every step passed.
func Run(ctx context.Context, f *Fleet, out io.Writer) (bool, error) {
	if err := f.waitUntilReady(ctx); err != nil {
		return false, err
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if _, err := fmt.Fprintln(table, "STEP\tRESULT\tRIGHT"); err != nil {
		return false, err
	}
	passed := true
	for _, runStep := range []func(*Fleet) stepResult{
		streamStep, completionStep, adapterStep, openRouteStep, repeatedChargeStep,
		unknownKeyStep, burstLimitStep, keyLeakStep, withdrawnKeyStep,
	} {
		result := runStep(f)
		passed = passed && result.passed
		if _, err := fmt.Fprintf(table, "%s\t%s\t%v\n", result.name, result.observed, result.passed); err != nil {
			return false, err
		}
	}
	return passed, table.Flush()
}

// waitUntilReady waits until every entry is ready and reaches every service.
func (f *Fleet) waitUntilReady(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout)
	for i := range f.EntryURLs {
		for !f.isReady(i) {
			if time.Now().After(deadline) || ctx.Err() != nil {
				return fmt.Errorf("entry %d did not become ready", i+1)
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

// isReady reports whether an entry passes its readiness check and reaches all services.
func (f *Fleet) isReady(entry int) bool {
	ready := f.send(request{
		entry:  entry,
		method: fasthttp.MethodGet,
		path:   "/readyz",
	})
	if ready.status != fasthttp.StatusOK {
		return false
	}
	stock := f.send(request{
		entry:  entry,
		method: fasthttp.MethodGet,
		path:   "/pedidos/stock",
	})
	chat := f.send(chatRequest(entry, Customers()[0].Key, 1, false))
	return stock.status == fasthttp.StatusOK && chat.status == fasthttp.StatusOK
}

// Hold waits until every entry is ready and serves calls, prints the URLs and keys of
// the fleet and keeps it running until ctx ends.
func Hold(ctx context.Context, f *Fleet, out io.Writer) error {
	if err := f.waitUntilReady(ctx); err != nil {
		if ctx.Err() != nil {
			return nil // interrupted
		}
		return err
	}
	if err := printFleet(f, out); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

// printFleet prints the URLs and keys of a running fleet and a sample curl command.
func printFleet(f *Fleet, out io.Writer) error {
	var b bytes.Buffer
	for _, u := range f.URLs {
		fmt.Fprintf(&b, "%s %s\n", u.Name, u.URL)
	}
	for _, c := range Customers() {
		fmt.Fprintf(&b, "key %s %s\n", c.Name, c.Key)
	}
	c := chatRequest(0, Customers()[0].Key, 20, true)
	fmt.Fprintf(&b, "curl curl -sN %s%s -H 'Authorization: Bearer %s' -d '%s'\n", f.EntryURLs[0], c.path, c.key, c.body)
	_, err := out.Write(b.Bytes())
	return err
}
