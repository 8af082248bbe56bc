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
	// idleTimeout is kept short, so that an endpoint rarely closes a
	// connection in the moment in which it is used again.
	idleTimeout   = 2 * time.Second
	readChunk     = 16 << 10
	maxAnswerHead = 64 << 10
)

// errDial marks a failure before any byte of a request was sent.
var errDial = errors.New("endpoint can't be reached")

// upstream sends calls to the endpoint.
type upstream struct {
	address string
	mu      sync.Mutex
	idle    []*lane
}

// newUpstream returns the client of an endpoint at host:port.
func newUpstream(address string) *upstream { return &upstream{address: address} }

// lane is one connection to the endpoint. Closing the connection cancels the
// request on it.
type lane struct {
	client *fasthttp.HostClient
	mu     sync.Mutex
	conn   net.Conn
	cut    bool
	// reusable is set by the goroutine that runs a call, after a whole answer.
	reusable bool
}

func newLane(address string) *lane {
	l := &lane{}
	l.client = &fasthttp.HostClient{
		Addr:                      address,
		Dial:                      l.dial,
		MaxConns:                  1,
		MaxIdleConnDuration:       idleTimeout,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		StreamResponseBody:        true,
		ReadBufferSize:            maxAnswerHead,
		DisablePathNormalizing:    true,
		NoDefaultUserAgentHeader:  true,
	}
	return l
}

func (l *lane) dial(address string) (net.Conn, error) {
	conn, err := fasthttp.DialTimeout(address, dialTimeout)
	if err != nil {
		return nil, errors.Join(errDial, err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut {
		return nil, errors.Join(errDial, net.ErrClosed, conn.Close())
	}
	l.conn = conn
	return conn, nil
}

// cancel ends the lane and the request on it.
func (l *lane) cancel() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = true
	if l.conn != nil {
		_ = l.conn.Close() // the reader sees the end
	}
}

// take returns an idle lane or a new one. A fresh one can't have been closed by
// the endpoint before the request, so a failure of its dial proves that nothing
// has run.
func (u *upstream) take(fresh bool) *lane {
	u.mu.Lock()
	defer u.mu.Unlock()
	if n := len(u.idle); n > 0 && !fresh {
		l := u.idle[n-1]
		u.idle = u.idle[:n-1]
		return l
	}
	return newLane(u.address)
}

// put makes a lane idle if its last answer was whole. Its request must be over
// and released, and nothing may cancel it any more.
func (u *upstream) put(l *lane) {
	l.mu.Lock()
	reusable := l.reusable && !l.cut
	l.reusable = false
	l.mu.Unlock()
	if !reusable {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.idle = append(u.idle, l)
}

// sink takes the frames of an answer.
type sink func(*wirepb.CallFrame) error

// run forwards a request and passes its answer to the sink. The error has a
// verdict; it is nil if the answer was whole.
func (u *upstream) run(l *lane, r *wirepb.CallRequest, send sink) error {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	fill(request, r, u.address)
	if err := l.client.Do(request, response); err != nil {
		if errors.Is(err, errDial) {
			return fault.Wrap(err, fault.NotRun, fault.CodeEndpoint)
		}
		return fault.Wrap(err, fault.MayHaveRun, fault.CodeEndpoint)
	}
	if err := refusal(response); err != nil {
		l.reusable = true
		return err
	}
	if err := relay(response, r.GetStream(), send); err != nil {
		l.cancel()
		return err
	}
	l.reusable = true
	return nil
}

// fill copies what the entry allowed into the endpoint's request.
func fill(request *fasthttp.Request, r *wirepb.CallRequest, address string) {
	request.Header.SetMethod(r.GetMethod())
	request.URI().DisablePathNormalizing = true
	request.SetRequestURI("http://" + address + r.GetPath())
	request.URI().SetQueryString(r.GetQuery())
	for _, h := range r.GetHeaders() {
		request.Header.Add(h.GetName(), h.GetValue())
	}
	request.Header.Set("X-Request-Id", r.GetId())
	request.Header.Set("Priority", priorityOf(r))
	request.SetBodyRaw(r.GetBody())
}

// priorityOf returns a call's urgency in the form of RFC 9218.
func priorityOf(r *wirepb.CallRequest) string {
	if r.GetBatch() {
		return "u=6"
	}
	return "u=2"
}

// engineRefusal is how an engine says that it has not started a request.
type engineRefusal struct {
	Error struct {
		Code string `json:"code"`
	} `json:"error"`
}

// notRunHeader is set by endpoints on answers to requests they did not run.
const notRunHeader = "Endpoint-Not-Run"

// refusal returns an error if the endpoint says that it did not run a request.
func refusal(response *fasthttp.Response) error {
	if len(response.Header.Peek(notRunHeader)) == 0 {
		return nil
	}
	body, err := io.ReadAll(io.LimitReader(response.BodyStream(), maxAnswerHead))
	if err != nil {
		return fault.Wrap(err, fault.NotRun, fault.CodeEndpoint)
	}
	var why engineRefusal
	if err := json.Unmarshal(body, &why); err != nil || why.Error.Code == "" {
		return fault.New(fault.NotRun, fault.CodeBusy, "the endpoint refused the request")
	}
	return fault.New(fault.NotRun, fault.CodeBusy, "the endpoint refused the request: "+why.Error.Code)
}

// relay passes an answer on and checks that it is whole.
func relay(response *fasthttp.Response, stream bool, send sink) error {
	head := &wirepb.Head{Status: uint32(response.StatusCode())}
	head.Headers = []*wirepb.Header{{
		Name:  "Content-Type",
		Value: string(response.Header.ContentType()),
	}}
	if err := send(&wirepb.CallFrame{Head: head}); err != nil {
		return fault.Wrap(err, fault.Ran, fault.CodeLink)
	}
	tail := newTail(stream && response.StatusCode() == fasthttp.StatusOK)
	total, err := copyBody(response.BodyStream(), tail, send)
	if err != nil {
		return err
	}
	if err := checkWhole(response, tail, total); err != nil {
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

// untilClose is what the library says of the length of a body that ends with
// its connection.
const untilClose = -2

// checkWhole returns an error if an answer is not proved to be whole.
func checkWhole(response *fasthttp.Response, tail *tail, total uint64) error {
	if !tail.whole() {
		return fault.New(fault.MayHaveRun, fault.CodeCut, "the endpoint's stream ended early")
	}
	length := response.Header.ContentLength()
	if length >= 0 && uint64(length) != total {
		return fault.New(fault.MayHaveRun, fault.CodeCut, "the endpoint's answer was cut")
	}
	if length == untilClose && !tail.stream {
		return fault.New(fault.MayHaveRun, fault.CodeCut, "the endpoint's answer has no length, so its end can't be told from a cut")
	}
	return nil
}

func copyBody(body io.Reader, tail *tail, send sink) (total uint64, err error) {
	buffer := make([]byte, readChunk)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			total += uint64(n)
			tail.write(buffer[:n])
			data := &wirepb.CallFrame{Data: buffer[:n]}
			if err := send(data); err != nil {
				return total, fault.Wrap(err, fault.MayHaveRun, fault.CodeLink)
			}
		}
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return total, nil
		}
		if err != nil {
			return total, fault.Wrap(err, fault.MayHaveRun, fault.CodeCut)
		}
	}
}

// tailBytes is enough for the last events of a stream, usage included.
const tailBytes = 4 << 10

// doneEvent ends every whole event stream of a model engine.
var doneEvent = []byte("data: [DONE]\n\n")

// tail keeps the end of an answer and counts events.
type tail struct {
	stream bool
	events uint32
	last   []byte
}

func newTail(stream bool) *tail { return &tail{stream: stream} }

func (t *tail) write(p []byte) {
	if t.stream {
		t.events += uint32(bytes.Count(p, []byte("\n\n")))
	}
	t.last = append(t.last, p...)
	if extra := len(t.last) - tailBytes; extra > tailBytes {
		t.last = append(t.last[:0], t.last[extra:]...)
	}
}

// whole reports whether a stream has ended as it should.
func (t *tail) whole() bool {
	return !t.stream || bytes.HasSuffix(t.last, doneEvent)
}

// usageField is the usage object of an answer of a model engine.
type usageField struct {
	Usage struct {
		PromptTokens     uint32 `json:"prompt_tokens"`
		CompletionTokens uint32 `json:"completion_tokens"`
	} `json:"usage"`
}

// usage returns the tokens that the engine counted; the events' number where
// it did not say.
func (t *tail) usage() (prompt, completion uint32) {
	object := t.last
	if t.stream {
		before, _, _ := bytes.Cut(t.last, doneEvent)
		before = bytes.TrimRight(before, "\n")
		object = before[bytes.LastIndexByte(before, '\n')+1:]
		object = bytes.TrimPrefix(object, []byte("data: "))
	}
	var u usageField
	if err := json.Unmarshal(object, &u); err != nil || u.Usage.CompletionTokens == 0 {
		return 0, max(t.events, 1) - 1
	}
	return u.Usage.PromptTokens, u.Usage.CompletionTokens
}
