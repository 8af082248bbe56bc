package agent

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/fault"
)

const (
	dialTimeout = 2 * time.Second
	// probeTimeout bounds the connection that shows whether the endpoint still runs.
	probeTimeout    = 500 * time.Millisecond
	readBufferSize  = 16 << 10
	maxResponseHead = 64 << 10
	// maxResponseBytes is the size from which a response counts as one without end.
	maxResponseBytes = 32 << 20
	// minReadBytes is what each part that arrives counts as at least, so that tiny
	// chunks don't take long to reach maxResponseBytes.
	minReadBytes = 256
)

// errConnect marks a failure that occurred before any byte of the request was
// sent.
var errConnect = errors.New("endpoint can't be reached")

// endpointClient sends calls to the endpoint, each on a connection of its own: responses
// carry nothing that tells them from an earlier one that the endpoint repeats.
type endpointClient struct {
	address string
	mu      sync.Mutex
	// endedRuns counts the runs of the endpoint that were seen to end, down is true
	// from such an end to the next connection.
	endedRuns uint64
	down      bool
}

// newEndpointClient returns a client for the endpoint at host:port.
func newEndpointClient(address string) *endpointClient { return &endpointClient{address: address} }

// endpointConn is the connection of one call to the endpoint. Closing it cancels the
// call.
type endpointConn struct {
	client   *fasthttp.HostClient
	endpoint *endpointClient
	mu       sync.Mutex
	netConn  net.Conn
	canceled bool
}

// newConn returns a connection for one call. It is opened when the call is run, so a
// failure to dial it proves that nothing has run.
func (c *endpointClient) newConn() *endpointConn {
	conn := &endpointConn{endpoint: c}
	conn.client = &fasthttp.HostClient{
		Addr:                      c.address,
		Dial:                      conn.dial,
		MaxConns:                  1,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		StreamResponseBody:        true,
		ReadBufferSize:            maxResponseHead,
		DisablePathNormalizing:    true,
		NoDefaultUserAgentHeader:  true,
	}
	return conn
}

func (c *endpointConn) dial(address string) (net.Conn, error) {
	conn, err := c.endpoint.connect(func() (net.Conn, error) { return fasthttp.DialTimeout(address, dialTimeout) })
	if err != nil {
		return nil, errors.Join(errConnect, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.canceled {
		return nil, errors.Join(errConnect, net.ErrClosed, conn.Close())
	}
	c.netConn = conn
	return conn, nil
}

// cancel closes the connection, which cancels the request on it.
func (c *endpointConn) cancel() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.canceled = true
	if c.netConn != nil {
		_ = c.netConn.Close() // the reader gets an error
	}
}

// frameSink receives the frames of a response.
type frameSink func(*wirepb.CallFrame) error

// run forwards a request and passes the frames of its response to send. The
// error has a verdict. It is nil if the response was complete.
func (c *endpointClient) run(conn *endpointConn, call *wirepb.CallRequest, send frameSink) error {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	buildRequest(request, call, c.address)
	if err := conn.client.Do(request, response); err != nil {
		if errors.Is(err, errConnect) {
			return fault.Wrap(err, fault.NotRun, fault.CodeEndpoint)
		}
		return c.checkEnd(fault.Wrap(err, fault.MayHaveRun, fault.CodeEndpoint))
	}
	if err := refusalError(response); err != nil {
		return err
	}
	if err := forwardResponse(response, call.GetStream(), send); err != nil {
		conn.cancel()
		return c.checkEnd(err)
	}
	return nil
}

// checkEnd finds out whether a call was cut off because the endpoint has ended, and if
// so adds the endpoint's run to the error.
func (c *endpointClient) checkEnd(err error) error {
	if code := fault.CodeOf(err); code != fault.CodeEndpoint && code != fault.CodeCut {
		return err
	}
	conn, dialErr := c.connect(func() (net.Conn, error) { return net.DialTimeout("tcp", c.address, probeTimeout) })
	if dialErr == nil {
		_ = conn.Close() // nothing was sent
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.down {
		c.down = true
		c.endedRuns++
	}
	return fault.WithEndedRun(err, c.endedRuns)
}

// connect connects to the endpoint with dial. A connection that was begun after the end of
// a run shows that the next run has begun.
func (c *endpointClient) connect(dial func() (net.Conn, error)) (net.Conn, error) {
	c.mu.Lock()
	endedBefore := c.endedRuns
	c.mu.Unlock()
	conn, err := dial()
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.endedRuns == endedBefore {
		c.down = false
	}
	return conn, nil
}

// buildRequest fills in the request to the endpoint. It copies the headers that
// the entry has let through.
func buildRequest(request *fasthttp.Request, call *wirepb.CallRequest, address string) {
	request.Header.SetMethod(call.GetMethod())
	request.Header.SetConnectionClose()
	request.URI().DisablePathNormalizing = true
	request.SetRequestURI("http://" + address + call.GetPath())
	request.URI().SetQueryString(call.GetQuery())
	for _, header := range call.GetHeaders() {
		request.Header.Add(header.GetName(), header.GetValue())
	}
	request.Header.Set("X-Request-Id", call.GetId())
	request.Header.Set("Priority", priorityHeader(call))
	request.SetBodyRaw(call.GetBody())
}

// priorityHeader returns a call's urgency as a Priority header value (RFC
// 9218).
func priorityHeader(call *wirepb.CallRequest) string {
	if call.GetBatch() {
		return "u=6"
	}
	return "u=2"
}

// refusalBody is the body of an engine's response to a request that it has not
// started.
type refusalBody struct {
	Error struct {
		Code string `json:"code"`
	} `json:"error"`
}

// headerEndpointNotRun is the header that an endpoint sets in its response to a
// request that it did not run.
const headerEndpointNotRun = "Endpoint-Not-Run"

// refusalError returns an error if the response says that the endpoint did not
// run the request.
func refusalError(response *fasthttp.Response) error {
	if len(response.Header.Peek(headerEndpointNotRun)) == 0 {
		return nil
	}
	body, err := io.ReadAll(io.LimitReader(response.BodyStream(), maxResponseHead))
	if err != nil {
		return fault.Wrap(err, fault.NotRun, fault.CodeEndpoint)
	}
	var refusal refusalBody
	if err := json.Unmarshal(body, &refusal); err != nil || refusal.Error.Code == "" {
		return fault.New(fault.NotRun, fault.CodeBusy, "the endpoint refused the request")
	}
	return fault.New(fault.NotRun, fault.CodeBusy, "the endpoint refused the request: "+refusal.Error.Code)
}

// forwardResponse forwards a response and checks that it is complete. Of a stream it
// forwards sound events only.
func forwardResponse(response *fasthttp.Response, stream bool, send frameSink) error {
	stream = stream && response.StatusCode() == fasthttp.StatusOK
	if stream && !isEventStream(response) {
		return fault.New(fault.MayHaveRun, fault.CodeEndpoint, "the endpoint's answer is no stream")
	}
	head := &wirepb.Head{Status: uint32(response.StatusCode())}
	head.Headers = []*wirepb.Header{{
		Name:  "Content-Type",
		Value: string(response.Header.ContentType()),
	}}
	if err := send(&wirepb.CallFrame{Head: head}); err != nil {
		return fault.Wrap(err, fault.Ran, fault.CodeLink)
	}
	tail := newResponseTail(stream)
	total, err := copyBody(response.BodyStream(), tail, send)
	if err != nil {
		return err
	}
	if err := checkComplete(response, tail, total); err != nil {
		return err
	}
	prompt, completion := tail.usage()
	end := &wirepb.End{
		Bytes:            total,
		PromptTokens:     prompt,
		CompletionTokens: completion,
	}
	if err := send(&wirepb.CallFrame{End: end}); err != nil {
		return fault.Wrap(err, fault.Ran, fault.CodeLink)
	}
	return nil
}

// checkComplete returns an error unless the response is complete. One that has
// neither a length nor chunks ends with its connection; a reset is an error of the
// read before.
func checkComplete(response *fasthttp.Response, tail *responseTail, total uint64) error {
	if !tail.isComplete() {
		return fault.New(fault.MayHaveRun, fault.CodeCut, "the endpoint's stream ended early")
	}
	length := response.Header.ContentLength()
	if length >= 0 && uint64(length) != total {
		return fault.New(fault.MayHaveRun, fault.CodeCut, "the endpoint's answer was cut")
	}
	return nil
}

// copyBody forwards the body of a response and returns how much of it was forwarded. It
// forwards a stream in whole events.
func copyBody(body io.Reader, tail *responseTail, send frameSink) (total uint64, err error) {
	buffer := make([]byte, readBufferSize)
	counted := 0
	var events eventReader
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if counted += max(n, minReadBytes); counted > maxResponseBytes {
				return total, fault.New(fault.MayHaveRun, fault.CodeCut, "the endpoint's answer has no end")
			}
			part, eventErr := buffer[:n], error(nil)
			if tail.stream {
				part, eventErr = events.take(part)
			}
			if err := forwardPart(part, tail, send); err != nil {
				return total, err
			}
			total += uint64(len(part))
			if eventErr != nil {
				return total, eventErr
			}
		}
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			if events.endsWithinEvent() {
				return total, fault.New(fault.MayHaveRun, fault.CodeCut, "the endpoint's stream ended within an event")
			}
			return total, nil
		}
		if err != nil {
			return total, fault.Wrap(err, fault.MayHaveRun, fault.CodeCut)
		}
	}
}

// forwardPart forwards a part of a response, unless it is empty.
func forwardPart(part []byte, tail *responseTail, send frameSink) error {
	if len(part) == 0 {
		return nil
	}
	tail.write(part)
	if err := send(&wirepb.CallFrame{Data: part}); err != nil {
		return fault.Wrap(err, fault.MayHaveRun, fault.CodeLink)
	}
	return nil
}

// tailSize is large enough for the last events of a stream, including usage.
const tailSize = 4 << 10

// doneEvent ends every complete event stream of a model engine.
var doneEvent = []byte("data: [DONE]\n\n")

// responseTail keeps the end of a response body and counts its events.
type responseTail struct {
	stream     bool
	eventCount uint32
	buffer     []byte
}

func newResponseTail(stream bool) *responseTail { return &responseTail{stream: stream} }

func (t *responseTail) write(p []byte) {
	if t.stream {
		t.eventCount += uint32(bytes.Count(p, []byte("\n\n")))
	}
	t.buffer = append(t.buffer, p...)
	if excess := len(t.buffer) - tailSize; excess > tailSize {
		t.buffer = append(t.buffer[:0], t.buffer[excess:]...)
	}
}

// isComplete reports whether a stream has ended with doneEvent. It is always
// true for other responses.
func (t *responseTail) isComplete() bool {
	return !t.stream || bytes.HasSuffix(t.buffer, doneEvent)
}

// usageBody is the part of a model engine's response that reports token usage.
type usageBody struct {
	Usage struct {
		PromptTokens     uint32 `json:"prompt_tokens"`
		CompletionTokens uint32 `json:"completion_tokens"`
	} `json:"usage"`
}

// usage returns the token counts that the engine reported. If it reported none,
// the completion tokens are estimated from the number of events.
func (t *responseTail) usage() (prompt, completion uint32) {
	object := t.buffer
	if t.stream {
		events, _, _ := bytes.Cut(t.buffer, doneEvent)
		events = bytes.TrimRight(events, "\n")
		object = events[bytes.LastIndexByte(events, '\n')+1:]
		object = bytes.TrimPrefix(object, []byte("data: "))
	}
	var body usageBody
	if err := json.Unmarshal(object, &body); err != nil || body.Usage.CompletionTokens == 0 {
		return 0, max(t.eventCount, 1) - 1
	}
	return body.Usage.PromptTokens, body.Usage.CompletionTokens
}
