package edge

import (
	"bufio"
	"errors"
	"io"
	"net/http/httputil"
	"strconv"

	"github.com/valyala/fasthttp"

	"dogwoodfold/platform"
)

// endpointResponse is an endpoint's response.
type endpointResponse struct {
	status int
	// head is the status line and the headers that the client gets, without
	// those that concern one connection.
	head []byte
	body []byte
}

// encode returns the answer with its body.
func (a *endpointResponse) encode(in *inboundRequest) []byte {
	out := append(in.writeBuffer[:0], a.head...)
	out = appendHeader(out, "Content-Length", strconv.Itoa(len(a.body)))
	out = in.appendHeadEnd(out)
	return append(out, a.body...)
}

// forwardedResponseHead returns what the client gets of a response's head.
func forwardedResponseHead(h *fasthttp.ResponseHeader) []byte {
	out := make([]byte, 0, 256)
	out = appendStatus(out, h.StatusCode())
	for key, value := range h.All() {
		name := string(key)
		if hopByHopHeaders[name] {
			continue
		}
		out = appendHeader(out, name, string(value))
	}
	return out
}

func reasonPhrase(status int) string { return fasthttp.StatusMessage(status) }

// errResponseTooLarge reports a body that is longer than a held answer may be.
var errResponseTooLarge = errors.New("body exceeds the bound of held answers")

// responseBody reads a response's responseBody.
type responseBody struct {
	reader *bufio.Reader
	// remaining is what remains of a body of known length, -1 if unknown.
	remaining      int
	chunkedReader  io.Reader
	atEnd          bool
	closeDelimited bool
}

// newResponseBody returns the body that follows a response's head.
func newResponseBody(r *bufio.Reader, h *fasthttp.ResponseHeader) *responseBody {
	b := &responseBody{
		reader:    r,
		remaining: -1,
	}
	length := h.ContentLength()
	switch {
	case h.StatusCode() == fasthttp.StatusNoContent || h.StatusCode() == fasthttp.StatusNotModified:
		b.remaining = 0
	case length >= 0:
		b.remaining = length
	case length == chunkedContentLength:
		b.chunkedReader = httputil.NewChunkedReader(r)
	default:
		b.closeDelimited = true
	}
	b.atEnd = b.remaining == 0
	return b
}

// chunkedContentLength is how fasthttp tells a chunked body.
const chunkedContentLength = -1

// Read reads a part of the body. It returns io.EOF only at the end of a whole
// body; a connection that ends early is io.ErrUnexpectedEOF.
func (b *responseBody) Read(p []byte) (int, error) {
	switch {
	case b.atEnd:
		return 0, io.EOF
	case b.chunkedReader != nil:
		return b.readChunked(p)
	case b.closeDelimited:
		n, err := b.reader.Read(p)
		b.atEnd = err == io.EOF
		return n, err
	}
	n, err := b.reader.Read(p[:min(len(p), b.remaining)])
	b.remaining -= n
	b.atEnd = b.remaining == 0
	if err == io.EOF && !b.atEnd {
		err = io.ErrUnexpectedEOF
	}
	if b.atEnd && n > 0 {
		err = nil
	}
	return n, err
}

func (b *responseBody) readChunked(p []byte) (int, error) {
	n, err := b.chunkedReader.Read(p)
	if err != io.EOF {
		return n, err
	}
	if err := readTrailer(b.reader); err != nil {
		return n, io.ErrUnexpectedEOF
	}
	b.atEnd = true
	if n > 0 {
		return n, nil
	}
	return 0, io.EOF
}

// readAll reads the rest of the body, up to a bound.
func (b *responseBody) readAll(limit int) ([]byte, error) {
	out, err := io.ReadAll(io.LimitReader(b, int64(limit)+1))
	if err != nil {
		return out, err
	}
	if len(out) > limit {
		return out, errResponseTooLarge
	}
	return out, nil
}

// isReusable reports whether the connection may carry another request after a
// response whose body was read.
func isReusable(h *fasthttp.ResponseHeader, b *responseBody, r *bufio.Reader) bool {
	return b.atEnd && !b.closeDelimited && !h.ConnectionClose() && r.Buffered() == 0
}

// isResponseTo reports whether a response belongs to a request.
func isResponseTo(h *fasthttp.ResponseHeader, id string) bool {
	return string(h.Peek(platform.HeaderRequestID)) == id
}
