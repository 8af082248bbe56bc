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

// answer is an endpoint's response.
type answer struct {
	status int
	// head is the status line and the headers that the client gets, without
	// those that concern one connection.
	head []byte
	body []byte
}

// whole returns the answer with its body.
func (a *answer) whole(in *inbound) []byte {
	out := append(in.out[:0], a.head...)
	out = appendHeader(out, "Content-Length", strconv.Itoa(len(a.body)))
	out = in.endHead(out)
	return append(out, a.body...)
}

// responseHead returns what the client gets of a response's head.
func responseHead(h *fasthttp.ResponseHeader) []byte {
	out := make([]byte, 0, 256)
	out = appendStatus(out, h.StatusCode())
	for key, value := range h.All() {
		name := string(key)
		if hopHeaders[name] {
			continue
		}
		out = appendHeader(out, name, string(value))
	}
	return out
}

func reasonPhrase(status int) string { return fasthttp.StatusMessage(status) }

// errBodyBound reports a body that is longer than a held answer may be.
var errBodyBound = errors.New("body exceeds the bound of held answers")

// body reads a response's body.
type body struct {
	reader *bufio.Reader
	// left is what remains of a body of known length, -1 if unknown.
	left    int
	chunks  io.Reader
	done    bool
	unended bool
}

// newBody returns the body that follows a response's head.
func newBody(r *bufio.Reader, h *fasthttp.ResponseHeader) *body {
	b := &body{
		reader: r,
		left:   -1,
	}
	length := h.ContentLength()
	switch {
	case h.StatusCode() == fasthttp.StatusNoContent || h.StatusCode() == fasthttp.StatusNotModified:
		b.left = 0
	case length >= 0:
		b.left = length
	case length == chunkedLength:
		b.chunks = httputil.NewChunkedReader(r)
	default:
		b.unended = true
	}
	b.done = b.left == 0
	return b
}

// chunkedLength is how fasthttp tells a chunked body.
const chunkedLength = -1

// Read reads a part of the body. It returns io.EOF only at the end of a whole
// body; a connection that ends early is io.ErrUnexpectedEOF.
func (b *body) Read(p []byte) (int, error) {
	switch {
	case b.done:
		return 0, io.EOF
	case b.chunks != nil:
		return b.readChunk(p)
	case b.unended:
		n, err := b.reader.Read(p)
		b.done = err == io.EOF
		return n, err
	}
	n, err := b.reader.Read(p[:min(len(p), b.left)])
	b.left -= n
	b.done = b.left == 0
	if err == io.EOF && !b.done {
		err = io.ErrUnexpectedEOF
	}
	if b.done && n > 0 {
		err = nil
	}
	return n, err
}

func (b *body) readChunk(p []byte) (int, error) {
	n, err := b.chunks.Read(p)
	if err != io.EOF {
		return n, err
	}
	if err := readTrailer(b.reader); err != nil {
		return n, io.ErrUnexpectedEOF
	}
	b.done = true
	if n > 0 {
		return n, nil
	}
	return 0, io.EOF
}

// all reads the rest of the body, up to a bound.
func (b *body) all(bound int) ([]byte, error) {
	out, err := io.ReadAll(io.LimitReader(b, int64(bound)+1))
	if err != nil {
		return out, err
	}
	if len(out) > bound {
		return out, errBodyBound
	}
	return out, nil
}

// reusable reports whether the connection may carry another request after a
// response whose body was read.
func reusable(h *fasthttp.ResponseHeader, b *body, r *bufio.Reader) bool {
	return b.done && !b.unended && !h.ConnectionClose() && r.Buffered() == 0
}

// matches reports whether a response belongs to a request.
func matches(h *fasthttp.ResponseHeader, id string) bool {
	return string(h.Peek(platform.HeaderRequestID)) == id
}
