package agent

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/valyala/fasthttp"

	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/fault"
)

const (
	// maxResponseBytes is the size from which a response counts as one without end.
	maxResponseBytes = 32 << 20
	// minReadBytes is what each part that arrives counts as at least, so that tiny
	// chunks don't take long to reach maxResponseBytes.
	minReadBytes = 256
)

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
	body, err := io.ReadAll(io.LimitReader(bodyOf(response), maxResponseHead))
	if err != nil {
		return fault.Wrap(err, fault.NotRun, fault.CodeEndpoint)
	}
	var refusal refusalBody
	if err := json.Unmarshal(body, &refusal); err != nil || refusal.Error.Code == "" {
		return fault.New(fault.NotRun, fault.CodeBusy, "the endpoint refused the request")
	}
	return fault.New(fault.NotRun, fault.CodeBusy, "the endpoint refused the request: "+refusal.Error.Code)
}

// bodyOf returns the body of a response, which is empty if its status or the method of the request
// leaves it none.
func bodyOf(response *fasthttp.Response) io.Reader {
	if hasNoBody(response) {
		return http.NoBody
	}
	return response.BodyStream()
}

// hasNoBody reports whether a response can't have a body, whatever its head says of a length.
func hasNoBody(response *fasthttp.Response) bool { return response.BodyStream() == nil }

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
	total, err := copyBody(bodyOf(response), tail, send)
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
	if length >= 0 && uint64(length) != total && !hasNoBody(response) {
		return fault.New(fault.MayHaveRun, fault.CodeCut, "the endpoint's answer was cut")
	}
	return nil
}

// copyBody forwards the body of a response and returns how much of it was forwarded. It
// forwards a stream in whole events.
func copyBody(body io.Reader, tail *responseTail, send frameSink) (total uint64, err error) {
	c := bodyCopier{
		tail: tail,
		send: send,
	}
	buffer := make([]byte, readBufferSize)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if err := c.copy(buffer[:n]); err != nil {
				return c.total, err
			}
		}
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return c.total, c.checkEnd()
		}
		if err != nil {
			return c.total, fault.Wrap(err, fault.MayHaveRun, fault.CodeCut)
		}
	}
}

// bodyCopier forwards the parts of a response's body.
type bodyCopier struct {
	tail   *responseTail
	send   frameSink
	events eventReader
	// counted is the size of the parts that arrived, each of at least minReadBytes.
	counted int
	// total is the number of bytes that were forwarded.
	total uint64
}

// copy forwards a part, of a stream the events that are complete with it.
func (c *bodyCopier) copy(part []byte) error {
	c.counted += max(len(part), minReadBytes)
	if c.counted > maxResponseBytes {
		return fault.New(fault.MayHaveRun, fault.CodeCut, "the endpoint's answer has no end")
	}
	if !c.tail.stream {
		return c.forward(part)
	}
	events, eventErr := c.events.take(part)
	if err := c.forward(events); err != nil {
		return err
	}
	return eventErr
}

// forward sends a part on, unless it is empty.
func (c *bodyCopier) forward(part []byte) error {
	if len(part) == 0 {
		return nil
	}
	c.tail.write(part)
	if err := c.send(&wirepb.CallFrame{Data: part}); err != nil {
		return fault.Wrap(err, fault.MayHaveRun, fault.CodeLink)
	}
	c.total += uint64(len(part))
	return nil
}

// checkEnd returns an error if the body has ended within an event.
func (c *bodyCopier) checkEnd() error {
	if c.events.endsWithinEvent() {
		return fault.New(fault.MayHaveRun, fault.CodeCut, "the endpoint's stream ended within an event")
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
