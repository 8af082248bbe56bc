package plat_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"dogwoodfold/internal/fakes"
	"dogwoodfold/internal/plat"
)

// Second report of issue 55: a faulty engine answers all calls of its agent without end. An agent may
// use 256 MB, a quarter of which may go to that.
func TestAnswersOfEngineWithoutEndStayWithinMemory(t *testing.T) {
	const allowedMB = 256 / 4
	for name, head := range map[string]string{
		"answer":  "HTTP/1.1 200 OK\r\n\r\n",
		"refusal": "HTTP/1.1 500 Internal Server Error\r\n\r\n",
		"head":    "HTTP/1.1 200 OK\r\nX-A: ",
	} {
		t.Run(name, func(t *testing.T) {
			engine := plat.NewHTTPEngine("http://" + listenEndless(t, head))
			ctx := context.Background()
			peak := fakes.PeakHeap(func() {
				var calls sync.WaitGroup
				calls.Go(func() { _, _ = engine.Report(ctx) })
				calls.Go(func() { _ = engine.Order(ctx, plat.Order{}) })
				calls.Go(func() { _, _ = engine.CacheEvents(ctx, 0) })
				calls.Wait()
			})
			if peak>>20 > allowedMB {
				t.Errorf("%d MB at the peak, %d allowed", peak>>20, allowedMB)
			}
		})
	}
}

// A long answer of the platform that is no success must not stand in errors, and so in logs, as a whole.
func TestLongAnswerIsCutInError(t *testing.T) {
	const maxText = 2 << 10
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	server := &fakes.Repeater{Respond: longRefusal}
	go server.Serve(listener)
	_, err = plat.NewHTTPEngine("http://" + listener.Addr().String()).Report(context.Background())
	var status *plat.StatusError
	if !errors.As(err, &status) || len(err.Error()) > maxText {
		t.Errorf("error %T of %d bytes, want a StatusError of at most %d", err, len(err.Error()), maxText)
	}
}

// longRefusal answers with a body of 1 MB.
func longRefusal(*http.Request, bool) string {
	body := strings.Repeat("x", 1<<20)
	return fmt.Sprintf("HTTP/1.1 500 Internal Server Error\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

func listenEndless(t *testing.T, head string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go (&fakes.Endless{Head: head}).Serve(listener)
	return listener.Addr().String()
}
