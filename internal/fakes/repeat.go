package fakes

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"
)

// Repeater is a faulty HTTP server that writes its first response on a connection once more.
type Repeater struct {
	// Respond returns the whole response to a request, head and body. first is true for the
	// first request on a connection.
	Respond func(r *http.Request, first bool) string
	// Delay is the time after the first response at which it is repeated. If it is zero, the
	// first response is repeated before each further one on the connection.
	Delay time.Duration
}

// Serve serves connections until the listener is closed.
func (p *Repeater) Serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go p.serveConn(conn)
	}
}

func (p *Repeater) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	repeat := ""
	for first := true; ; first = false {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body) // an incomplete body fails the next read
		response := p.Respond(request, first)
		if _, err := io.WriteString(conn, repeat+response); err != nil {
			return
		}
		switch {
		case first && p.Delay == 0:
			repeat = response
		case first:
			time.Sleep(p.Delay)
			_, _ = io.WriteString(conn, response) // a closed connection fails the next read
		}
	}
}
