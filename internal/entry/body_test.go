package entry

import (
	"bufio"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"

	"dogwoodfold/internal/budget"
)

// Guards against a body that is read though there is no memory for it, and against a
// refusal that leaves open whether the call has run.
func TestBodyWithoutMemoryIsRefused(t *testing.T) {
	server := &Server{memory: budget.New(64 << 10)}
	read := 0
	httpServer := &fasthttp.Server{StreamRequestBody: true, Handler: func(ctx *fasthttp.RequestCtx) {
		memory, err := server.readBody(ctx)
		if err != nil {
			writeError(ctx, err)
			return
		}
		read = len(ctx.PostBody())
		memory.Release()
	}}
	listener := fasthttputil.NewInmemoryListener()
	served := make(chan error, 1)
	go func() { served <- httpServer.Serve(listener) }()
	for _, c := range []struct{ size, status int }{{10_000, fasthttp.StatusOK}, {100_000, fasthttp.StatusServiceUnavailable}} {
		conn, err := listener.Dial()
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			_, _ = fmt.Fprintf(conn, "POST /charge HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", c.size, strings.Repeat("a", c.size))
		}()
		response := &fasthttp.Response{}
		if err := response.Read(bufio.NewReader(conn)); err != nil {
			t.Fatal(err)
		}
		if response.StatusCode() != c.status {
			t.Errorf("%d bytes: status %d, want %d", c.size, response.StatusCode(), c.status)
		}
		if c.status != fasthttp.StatusOK {
			verdict := string(response.Header.Peek(headerVerdict))
			if verdict != "not-run" || !response.ConnectionClose() || len(response.Header.Peek("Retry-After")) == 0 {
				t.Errorf("%d bytes: verdict %q, headers %s", c.size, verdict, response.Header.String())
			}
		}
		if used := server.memory.Status().Used; used != 0 {
			t.Errorf("%d bytes: %d bytes are still reserved", c.size, used)
		}
		_ = conn.Close() // the response was read
	}
	if read != 10_000 {
		t.Errorf("read a body of %d bytes, want 10,000", read)
	}
	if err := errors.Join(listener.Close(), <-served); err != nil {
		t.Error(err)
	}
}
