package agent

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/fault"
)

// Guards against taking the part of an answer for the whole that an endpoint has sent before it reset
// the connection while the call was written: the reset may end the write alone (MIXED).
func TestResetWhileCallIsWrittenDoesNotCompleteAnswer(t *testing.T) {
	const (
		uploadBytes = 32 << 20 // more than the buffers of a connection hold
		plays       = 40
	)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go answerAndReset(conn)
		}
	}()
	client := newEndpointClient(listener.Addr().String())
	call := &wirepb.CallRequest{
		Id:     "1",
		Method: "POST",
		Path:   "/charge",
		Body:   make([]byte, uploadBytes),
	}
	for i := range plays {
		err := client.run(client.newConn(), call, func(*wirepb.CallFrame) error { return nil })
		if fault.VerdictOf(err) != fault.MayHaveRun {
			t.Errorf("play %d: error %v, want one that says that the call may have run", i, err)
		}
	}
}

// answerAndReset answers a call without reading its body, and resets the connection.
func answerAndReset(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
	time.Sleep(time.Millisecond)
	_ = conn.(*net.TCPConn).SetLinger(0) // closing it then resets the connection
}
