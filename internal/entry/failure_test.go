package entry

import (
	"bufio"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"

	"dogwoodfold/pkg/fault"
)

// errorResponse returns the response to a request of a path that fails with err.
func errorResponse(path string, err error) *fasthttp.Response {
	var request fasthttp.Request
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI(path)
	ctx := &fasthttp.RequestCtx{}
	ctx.Init(&request, nil, nil)
	writeError(ctx, err)
	response := &fasthttp.Response{}
	ctx.Response.CopyTo(response)
	return response
}

// TestErrorFormats checks that the errors of chat completions have the format of their
// interface, and that those of other paths have no param.
func TestErrorFormats(t *testing.T) {
	rateErr := fault.New(fault.NotRun, fault.CodeRate, "spent")
	modelErr := fault.WithParam(fault.New(fault.NotRun, fault.CodeNoModel, "no such model"), "model")
	for _, test := range []struct {
		path string
		err  error
		want string
	}{
		{
			path: "/v1/chat/completions?x=1",
			err:  fault.WithRetryAfter(rateErr, 1500*time.Millisecond),
			want: `{"error":{"message":"spent","type":"rate_limit_error","code":"rate_limited","verdict":"not-run","param":null}}`,
		},
		{
			path: "/v1/chat/completions",
			err:  modelErr,
			want: `{"error":{"message":"no such model","type":"invalid_request_error","code":"unknown_model",` +
				`"verdict":"not-run","param":"model"}}`,
		},
		{
			path: "/v1/chat/completions",
			err:  fault.New(fault.MayHaveRun, fault.CodeCut, "cut"),
			want: `{"error":{"message":"cut","type":"server_error","code":"answer_cut","verdict":"may-have-run","param":null}}`,
		},
		{
			path: "/v1/completions",
			err:  rateErr,
			want: `{"error":{"message":"spent","type":"invalid_request_error","code":"rate_limited","verdict":"not-run"}}`,
		},
		{
			path: "/charge",
			err:  modelErr,
			want: `{"error":{"message":"no such model","type":"invalid_request_error","code":"unknown_model","verdict":"not-run"}}`,
		},
	} {
		response := errorResponse(test.path, test.err)
		if got := string(response.Body()); got != test.want {
			t.Errorf("%s: %s, want %s", test.path, got, test.want)
		}
		if response.StatusCode() != fault.StatusOf(test.err) || string(response.Header.ContentType()) != "application/json" {
			t.Errorf("%s: status %d, type %s", test.path, response.StatusCode(), response.Header.ContentType())
		}
		retryAfter := string(response.Header.Peek("Retry-After"))
		if want := map[bool]string{true: "2"}[fault.RetryAfterOf(test.err) > 0]; retryAfter != want {
			t.Errorf("%s: Retry-After %q, want %q", test.path, retryAfter, want)
		}
	}
}

// TestParseErrorFormat checks that a request whose body is too large to be read gets an error
// in the format of its path.
func TestParseErrorFormat(t *testing.T) {
	listener := fasthttputil.NewInmemoryListener()
	server := New(Options{}).http
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	conn, err := listener.Dial()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", pathChat, maxRequestBytes+1); err != nil {
		t.Fatal(err)
	}
	response := &fasthttp.Response{}
	if err := response.Read(bufio.NewReader(conn)); err != nil {
		t.Fatal(err)
	}
	const want = `{"error":{"message":"the body is too large","type":"invalid_request_error","code":"request_too_large",` +
		`"verdict":"not-run","param":null}}`
	if got := string(response.Body()); response.StatusCode() != fasthttp.StatusRequestEntityTooLarge || got != want {
		t.Errorf("status %d, %s, want %s", response.StatusCode(), got, want)
	}
	if err := errors.Join(conn.Close(), listener.Close(), <-served); err != nil {
		t.Error(err)
	}
}
