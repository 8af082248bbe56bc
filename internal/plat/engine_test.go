package plat_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"dogwoodfold/internal/fakes"
	"dogwoodfold/internal/plat"
)

// repeatingEngine answers reports with their number and carries out all orders but the first
// on each connection.
type repeatingEngine struct {
	reports atomic.Uint64
	orders  atomic.Uint64
}

func (e *repeatingEngine) respond(r *http.Request, first bool) string {
	if r.Method == http.MethodGet {
		body := fmt.Sprintf(`{"sequence":%d}`, e.reports.Add(1))
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
	if first {
		return "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n"
	}
	e.orders.Add(1)
	return "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
}

// Guards against taking an engine's repeat of an earlier response for its newest report, or
// for the refusal of an order that it carries out.
func TestRepeatedResponseIsNotTheEnginesNextOne(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	var e repeatingEngine
	server := &fakes.Repeater{Respond: e.respond}
	go server.Serve(listener)
	base := "http://" + listener.Addr().String()
	reports, orders := plat.NewHTTPEngine(base), plat.NewHTTPEngine(base)
	for i := range 3 {
		report, err := reports.Report(context.Background())
		if newest := e.reports.Load(); err != nil || report.Sequence != newest {
			t.Errorf("report %d: got number %d and error %v, want %d", i, report.Sequence, err, newest)
		}
		before := e.orders.Load()
		if err := orders.Order(context.Background(), plat.Order{}); err != nil && e.orders.Load() > before {
			t.Errorf("order %d is carried out, the error is %v", i, err)
		}
	}
}
