package edge

import (
	"bufio"
	"errors"
	"io"
	"mime"
	"net/http/httputil"
	"strconv"

	"github.com/valyala/fasthttp"

	"dogwoodfold/internal/budget"
)

// endpointResponse is an endpoint's response.
type endpointResponse struct {
	status int
	// head is the status line and the headers to forward to the client, without
	// hop-by-hop headers and the terminating empty line.
	head []byte
	body budget.Pieces
	// length is the Content-Length to send, noLength for none.
	length int
}

// noLength is the length of a response that names none.
const noLength = -1

// writeTo sends the complete response to the client. It reuses the write buffer of in for the
// head and the first piece of the body.
func (r *endpointResponse) writeTo(in *inboundRequest) error {
	out := append(in.writeBuffer[:0], r.head...)
	if r.length != noLength {
		out = appendHeader(out, "Content-Length", strconv.Itoa(r.length))
	}
	out = in.appendHeadEnd(out)
	rest := r.body.Pieces
	if len(rest) > 0 {
		out = append(out, rest[0]...)
		rest = rest[1:]
	}
	err := in.write(out)
	for i := 0; err == nil && i < len(rest); i++ {
		err = in.write(rest[i])
	}
	return err
}

// forwardedResponseHead returns the status line and the end-to-end headers of h.
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

// errResponseTooLarge reports a response body that exceeds the limit for
// buffering, errEndlessResponse one that exceeds any answer.
var (
	errResponseTooLarge = errors.New("response body exceeds the buffer limit")
	errEndlessResponse  = errors.New("response has no end")
)

// maxResponseBytes is the size from which a response body counts as one without end.
const maxResponseBytes = 32 << 20

// responseBody reads the body of an endpoint's response.
type responseBody struct {
	reader *bufio.Reader
	// remaining is the number of unread bytes of a body of known length, -1 if
	// the length is unknown.
	remaining int
	// received is the number of bytes that were read.
	received int
	// chunkedReader decodes a chunked body; it is nil for other bodies.
	chunkedReader io.Reader
	conn          bodyConn
	atEnd         bool
	// closeDelimited is true if the body ends when the connection is closed.
	closeDelimited bool
}

// bodyConn is the connection that a response arrives on.
type bodyConn interface {
	// readTrailer reads what follows the last chunk of a body.
	readTrailer() error
	// checkClosed returns an error unless a connection that has ended was closed in order.
	checkClosed() error
}

// hasBody reports whether a body follows on a head with the given status. headOnly is true if the
// request has asked for the head only.
func hasBody(status int, headOnly bool) bool {
	return !headOnly && status != fasthttp.StatusNoContent && status != fasthttp.StatusNotModified
}

// newResponseBody returns a reader of the body that follows the head h in r, which reads from conn. It
// is empty if the request has asked for the head only.
func newResponseBody(r *bufio.Reader, h *fasthttp.ResponseHeader, headOnly bool, conn bodyConn) *responseBody {
	b := &responseBody{
		reader:    r,
		remaining: -1,
		conn:      conn,
	}
	length := h.ContentLength()
	switch {
	case !hasBody(h.StatusCode(), headOnly):
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

// framing returns the name of the way in which the end of the body is marked, for
// the log.
func (b *responseBody) framing() string {
	switch {
	case b.closeDelimited:
		return "close"
	case b.chunkedReader != nil:
		return "chunked"
	}
	return "length"
}

// chunkedContentLength is the content length that fasthttp reports for a chunked
// body.
const chunkedContentLength = -1

// Read implements io.Reader. It returns io.EOF only at the end of a complete
// body, io.ErrUnexpectedEOF if the connection ends before that, and
// errEndlessResponse after maxResponseBytes.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.readPart(p)
	b.received += n
	if b.received > maxResponseBytes {
		return 0, errEndlessResponse
	}
	return n, err
}

func (b *responseBody) readPart(p []byte) (int, error) {
	switch {
	case b.atEnd:
		return 0, io.EOF
	case b.chunkedReader != nil:
		return b.readChunked(p)
	case b.closeDelimited:
		return b.readToClose(p)
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

// readToClose reads a part of a body that ends with its connection.
func (b *responseBody) readToClose(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	if err != io.EOF {
		return n, err
	}
	if err := b.conn.checkClosed(); err != nil {
		return n, err
	}
	b.atEnd = true
	return n, io.EOF
}

func (b *responseBody) readChunked(p []byte) (int, error) {
	n, err := b.chunkedReader.Read(p)
	if err != io.EOF {
		return n, err
	}
	if err := b.conn.readTrailer(); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return n, err
	}
	b.atEnd = true
	if n > 0 {
		return n, nil
	}
	return 0, io.EOF
}

// readAll reads the rest of the body. If it is longer than limit, readAll returns
// the first limit+1 bytes and errResponseTooLarge.
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

// isReusable reports whether the connection may carry another request after the
// body of a response has been read.
func isReusable(h *fasthttp.ResponseHeader, b *responseBody, r *bufio.Reader) bool {
	return b.atEnd && !b.closeDelimited && !h.ConnectionClose() && r.Buffered() == 0
}

// eventStreamType is the media type of a stream of events.
const eventStreamType = "text/event-stream"

// isEventStreamHead reports whether h is the head of a stream of events.
func isEventStreamHead(h *fasthttp.ResponseHeader) bool {
	mediaType, _, err := mime.ParseMediaType(string(h.Peek(fasthttp.HeaderContentType)))
	return err == nil && mediaType == eventStreamType && h.StatusCode() == fasthttp.StatusOK
}
