package fakes

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/valyala/fasthttp"
)

// writeStream begins a streamed completion. The server reads its body from the
// tokenReader and closes it at the end, which releases the slot.
func (e *Engine) writeStream(ctx *fasthttp.RequestCtx, format answerFormat, faults Faults) {
	r := format.request
	ctx.SetContentType("text/event-stream")
	ctx.SetBodyStream(&tokenReader{
		engine: e,
		format: format,
		faults: faults,
		tokens: GenerateTokens(r.Model, r.Prompt, r.MaxTokens),
	}, -1)
}

// tokenReader generates the body of a streamed response.
type tokenReader struct {
	engine  *Engine
	format  answerFormat
	faults  Faults
	tokens  []string
	sent    int
	pending []byte
	done    bool
}

// errTruncated makes the server close the connection in the middle of a stream.
var errTruncated = errors.New("stream truncated by an injected fault")

// Read implements io.Reader. It returns data of at most one token.
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

// next generates the event of the next token, or else the events that end the stream and
// the end marker.
func (t *tokenReader) next() error {
	if t.done {
		return io.EOF
	}
	if t.faults.CutAfter > 0 && t.sent == t.faults.CutAfter {
		return errTruncated
	}
	if t.sent < len(t.tokens) {
		time.Sleep(time.Duration(t.faults.TokenMs) * time.Millisecond)
		t.pending = encodeEvent(t.format.token(t.sent, t.tokens[t.sent]))
		t.sent++
		return nil
	}
	for _, event := range t.format.end() {
		t.pending = append(t.pending, encodeEvent(event)...)
	}
	t.pending = append(t.pending, "data: [DONE]\n\n"...)
	t.done = true
	return nil
}

// Close implements io.Closer.
func (t *tokenReader) Close() error {
	t.engine.releaseSlot()
	return nil
}

// encodeEvent returns a server-sent event.
func encodeEvent(event completionBody) []byte {
	data, err := json.Marshal(event)
	if err != nil {
		return nil // completionBody always encodes without error
	}
	return fmt.Appendf(nil, "data: %s\n\n", data)
}
