package plat

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"dogwoodfold/internal/http1"
)

// defaultTimeout bounds a request whose context has no deadline.
const defaultTimeout = 5 * time.Second

const (
	// maxResponseBytes bounds the body of a response of the platform.
	maxResponseBytes = 64 << 20
	// maxEngineResponseBytes bounds that of an engine, which may be faulty and is asked for several
	// things at once.
	maxEngineResponseBytes = 4 << 20
	// maxStatusBody is the length to which the body of a failure is cut.
	maxStatusBody = 1 << 10
)

// client implements the JSON over HTTP requests of the clients in this package.
type client struct {
	base string
	http *fasthttp.Client
	// closesConns is true if each request has a connection of its own.
	closesConns bool
}

func newClient(base string) client {
	return client{
		base: base,
		http: &fasthttp.Client{
			DialTimeout:               dial,
			MaxIdemponentCallAttempts: 1,
			MaxResponseBodySize:       maxResponseBytes,
			NoDefaultUserAgentHeader:  true,
		},
	}
}

// dial opens a connection to a service.
func dial(address string, timeout time.Duration) (net.Conn, error) {
	conn, err := fasthttp.DialTimeout(address, timeout)
	if err != nil {
		return nil, err
	}
	return http1.NewConn(conn), nil
}

// do sends a request and decodes the response into out, if out is not nil. It
// returns as soon as ctx is done, in which case the request may still take
// effect. extraTimeout extends the default timeout.
func (c client) do(ctx context.Context, method, path string, body []byte, extraTimeout time.Duration, out any) error {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(defaultTimeout + extraTimeout)
	}
	done := make(chan result, 1)
	go func() { done <- c.roundTrip(method, path, body, deadline) }()
	select {
	case <-ctx.Done():
		return fmt.Errorf("%s %s: %w", method, path, ctx.Err())
	case res := <-done:
		if res.err != nil {
			return fmt.Errorf("%s %s: %w", method, path, res.err)
		}
		if out == nil {
			return nil
		}
		if err := json.Unmarshal(res.body, out); err != nil {
			return fmt.Errorf("%s %s: %w", method, path, err)
		}
		return nil
	}
}

// result is the response body of a request, or its error.
type result struct {
	body []byte
	err  error
}

// roundTrip sends a request and reads the response.
func (c client) roundTrip(method, path string, body []byte, deadline time.Time) result {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	if c.closesConns {
		request.Header.SetConnectionClose()
	}
	request.SetRequestURI(c.base + path)
	if body != nil {
		request.Header.SetContentType("application/json")
		request.SetBodyRaw(body)
	}
	if err := c.http.DoDeadline(request, response, deadline); err != nil {
		return result{err: err}
	}
	received := response.Body()
	if code := response.StatusCode(); code >= fasthttp.StatusMultipleChoices {
		return result{err: &StatusError{
			Status: code,
			Body:   string(received[:min(len(received), maxStatusBody)]),
		}}
	}
	return result{body: slices.Clone(received)}
}

// StatusError reports a response of the platform with a status of 300 or more. Body is its
// beginning.
type StatusError struct {
	Status int
	Body   string
}

// Error returns the status and body of the response.
func (e *StatusError) Error() string {
	return fmt.Sprintf("platform returned status %d: %s", e.Status, e.Body)
}

// HTTPLog is a client of the log service.
type HTTPLog struct{ client }

// NewHTTPLog returns a client of the log service at a base URL.
func NewHTTPLog(base string) *HTTPLog { return &HTTPLog{client: newClient(base)} }

// appendResponse is the body of the response to an append.
type appendResponse struct {
	Offset uint64 `json:"offset"`
}

// Append implements Log.
func (l *HTTPLog) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	var response appendResponse
	err := l.do(ctx, fasthttp.MethodPost, "/streams/"+url.PathEscape(stream), data, 0, &response)
	return response.Offset, err
}

// Read implements Log.
func (l *HTTPLog) Read(ctx context.Context, stream string, from uint64, wait time.Duration) (Page, error) {
	query := url.Values{}
	query.Set("from", strconv.FormatUint(from, 10))
	query.Set("waitMs", strconv.FormatInt(wait.Milliseconds(), 10))
	var page Page
	err := l.do(ctx, fasthttp.MethodGet, "/streams/"+url.PathEscape(stream)+"?"+query.Encode(), nil, wait, &page)
	return page, err
}

// HTTPHosts is a client of the host list service.
type HTTPHosts struct{ client }

// NewHTTPHosts returns a client of the host list service at a base URL.
func NewHTTPHosts(base string) *HTTPHosts { return &HTTPHosts{client: newClient(base)} }

// List implements Hosts.
func (h *HTTPHosts) List(ctx context.Context) ([]Host, error) {
	var hosts []Host
	err := h.do(ctx, fasthttp.MethodGet, "/hosts", nil, 0, &hosts)
	return hosts, err
}

// HTTPEngine is a client of an engine's control interface.
type HTTPEngine struct{ client }

// NewHTTPEngine returns a client of an engine at a base URL. It keeps no connection: the
// responses carry nothing that tells them from an earlier one that the engine repeats.
func NewHTTPEngine(base string) *HTTPEngine {
	e := &HTTPEngine{client: newClient(base)}
	e.http.MaxResponseBodySize = maxEngineResponseBytes
	e.closesConns = true
	return e
}

// Report implements Engine.
func (e *HTTPEngine) Report(ctx context.Context) (Report, error) {
	var report Report
	err := e.do(ctx, fasthttp.MethodGet, "/engine/report", nil, 0, &report)
	return report, err
}

// Order implements Engine.
func (e *HTTPEngine) Order(ctx context.Context, o Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return err
	}
	return e.do(ctx, fasthttp.MethodPost, "/engine/orders", body, 0, nil)
}
