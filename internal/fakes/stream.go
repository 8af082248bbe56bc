package fakes

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/valyala/fasthttp"
)

// streamChunk is the data of an event in a stream.
type streamChunk struct {
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// writeStream begins a streamed completion. The server reads its body from the
// tokenReader and closes it at the end, which releases the slot.
func (e *Engine) writeStream(ctx *fasthttp.RequestCtx, r completionRequest, faults Faults) {
	ctx.SetContentType("text/event-stream")
	ctx.SetBodyStream(&tokenReader{
		engine:  e,
		request: r,
		faults:  faults,
		tokens:  GenerateTokens(r.Model, r.Prompt, r.MaxTokens),
	}, -1)
}

// tokenReader generates the body of a streamed response.
type tokenReader struct {
	engine  *Engine
	request completionRequest
	faults  Faults
	tokens  []string
	sent    int
	pending []byte
	done    bool
}

// errTruncated makes the server close the connection in the middle of a stream.
var errTruncated = errors.New("stream truncated by an injected fault")

// Read implements io.Reader. It returns data of at most one event.
func (t *tokenReader) Read(p []byte) (int, error) {
	if len(t.pending) == 0 {
		if err := t.next(); err != nil {
			return 0, err
		}
	}
	n := copy(p, t.pending)
	t.pending = t.pending[n:]
	return n, nil
}

// next generates the next event. The last one also contains the end marker.
func (t *tokenReader) next() error {
	if t.done {
		return io.EOF
	}
	if t.faults.CutAfter > 0 && t.sent == t.faults.CutAfter {
		return errTruncated
	}
	if t.sent < len(t.tokens) {
		time.Sleep(time.Duration(t.faults.TokenMs) * time.Millisecond)
		t.pending = encodeEvent(streamChunk{Choices: []choice{{Text: t.tokens[t.sent]}}})
		t.sent++
		return nil
	}
	total := usageOf(t.request)
	t.pending = append(encodeEvent(streamChunk{Usage: &total}), "data: [DONE]\n\n"...)
	t.done = true
	return nil
}

// Close implements io.Closer.
func (t *tokenReader) Close() error {
	t.engine.releaseSlot()
	return nil
}

// encodeEvent returns a chunk encoded as a server-sent event.
func encodeEvent(chunk streamChunk) []byte {
	data, err := json.Marshal(chunk)
	if err != nil {
		return nil // streamChunk always encodes without error
	}
	return fmt.Appendf(nil, "data: %s\n\n", data)
}
