package agent

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"dogwoodfold/internal/http1"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/fault"
)

const (
	dialTimeout = 2 * time.Second
	// probeTimeout bounds the connection that shows whether the endpoint still runs.
	probeTimeout    = 500 * time.Millisecond
	readBufferSize  = 16 << 10
	maxResponseHead = 64 << 10
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
	return http1.NewConn(conn), nil
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
