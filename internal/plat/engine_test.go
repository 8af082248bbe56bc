package plat

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
)

// repeatingEngine answers reports with their number and carries out all orders but the first
// on each connection. On a kept connection it writes its first response once more before each
// further one.
type repeatingEngine struct {
	listener net.Listener
	reports  atomic.Uint64
	orders   atomic.Uint64
}

func newRepeatingEngine(t *testing.T) *repeatingEngine {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	e := &repeatingEngine{listener: listener}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(conn)
		}
	}()
	return e
}

func (e *repeatingEngine) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	first := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		response := e.respond(request, first == "")
		_, _ = io.WriteString(conn, first+response)
		if first == "" {
			first = response
		}
	}
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
	e := newRepeatingEngine(t)
	base := "http://" + e.listener.Addr().String()
	reports, orders := NewHTTPEngine(base), NewHTTPEngine(base)
	for i := range 3 {
		report, err := reports.Report(context.Background())
		if newest := e.reports.Load(); err != nil || report.Sequence != newest {
			t.Errorf("report %d: got number %d and error %v, want %d", i, report.Sequence, err, newest)
		}
		before := e.orders.Load()
		if err := orders.Order(context.Background(), Order{}); err != nil && e.orders.Load() > before {
			t.Errorf("order %d is carried out, the error is %v", i, err)
		}
	}
}
