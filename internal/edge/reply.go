package edge

import (
	"errors"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"dogwoodfold/internal/gate"
	"dogwoodfold/internal/http1"
	"dogwoodfold/platform"
)

const (
	// headTime bounds the time from the first byte of a response to the end of its
	// head, bufferedBodyTime the time from there to the end of a body that isn't
	// forwarded as it arrives because it isn't the answer to the request.
	headTime         = time.Second
	bufferedBodyTime = time.Second
	// trailerTime bounds the time from the last chunk of a body to the end of its
	// trailer.
	trailerTime = 500 * time.Millisecond
)

// Errors of responses that are not valid responses to the request.
var (
	errMismatchedResponse = errors.New("response belongs to another request")
	errEventTooLong       = errors.New("event exceeds the buffer limit")
	errNoEvent            = errors.New("the stream holds bytes that are no event")
	errEventOrder         = errors.New("an event of the stream isn't the next one")
	errNotContinued       = errors.New("response does not continue the stream")
)

// maxMismatchedResponses bounds the number of response heads that are read to
// find the response to the request.
const maxMismatchedResponses = 4

// readResponseHead reads the head of the response to this request. Interim
// responses and responses to earlier requests on the connection are discarded.
func (x *exchange) readResponseHead() (*responseBody, error) {
	x.in.keptConn = x.conn.reused
	for range maxMismatchedResponses {
		if err := x.readHead(); err != nil {
			return nil, err
		}
		if x.head.StatusCode() < fasthttp.StatusOK {
			continue
		}
		b := newResponseBody(x.conn.reader, &x.head, x.in.headOnly, x)
		x.in.origin = originOf(&x.head, x.in.request.ID)
		if x.isOwnResponse() {
			return b, nil
		}
		if b.closeDelimited || x.in.origin == noID {
			return nil, errMismatchedResponse
		}
		x.in.extraResponses++
		x.conn.outOfSync = true
		if _, err := x.readBuffered(b); err != nil {
			return nil, err
		}
	}
	return nil, errMismatchedResponse
}

// readHead waits for a response and reads its head within headTime.
func (x *exchange) readHead() error {
	x.head.Reset()
	if _, err := x.conn.reader.Peek(1); err != nil {
		return err
	}
	return x.readWithin(headTime, func() error { return http1.ReadHead(&x.head, x.conn.reader) })
}

// readBuffered reads the rest of a body that isn't forwarded as it arrives, up to
// maxBufferedBody and within bufferedBodyTime.
func (x *exchange) readBuffered(b *responseBody) (content []byte, err error) {
	err = x.readWithin(bufferedBodyTime, func() error {
		content, err = b.readAll(maxBufferedBody)
		return err
	})
	return content, err
}

// readWithin bounds the time of a read. A read that takes longer, though time is left
// for the attempt, fails with errEndlessResponse.
func (x *exchange) readWithin(limit time.Duration, read func() error) error {
	end := time.Now().Add(limit)
	if err := x.in.limitRead(x.conn, end); err != nil {
		return err
	}
	err := read()
	if isTimeout(err) && x.in.hasTimeLeft(time.Now()) {
		return errEndlessResponse
	}
	if restoreErr := x.in.restoreReadDeadline(x.conn); err == nil {
		err = restoreErr
	}
	return err
}

// readTrailer reads the trailer of a chunked body within trailerTime.
func (x *exchange) readTrailer() error {
	return x.readWithin(trailerTime, func() error { return readTrailer(x.conn.reader) })
}

func isTimeout(err error) bool {
	var timeoutErr interface{ Timeout() bool }
	return errors.As(err, &timeoutErr) && timeoutErr.Timeout()
}

func isNotExecuted(h *fasthttp.ResponseHeader) bool {
	return len(h.Peek(platform.HeaderNotExecuted)) > 0 || h.StatusCode() == fasthttp.StatusMisdirectedRequest
}

// classifyError returns the result of an attempt that failed without a complete
// response.
func (x *exchange) classifyError(err error) gate.Result {
	switch {
	case slices.ContainsFunc(malformations, func(m error) bool { return errors.Is(err, m) }):
		return mayHaveRunResult(gate.ReasonMalformed)
	case isTimeout(err):
		return mayHaveRunResult(gate.ReasonTimeout)
	default:
		return mayHaveRunResult(gate.ReasonReset)
	}
}

// malformations are the errors of bytes that are no response to the request.
var malformations = []error{
	http1.ErrMalformed,
	errMismatchedResponse,
	errEventTooLong,
	errNoEvent,
	errEventOrder,
	errNotContinued,
	errResponseTooLarge,
	errEndlessResponse,
	errBodyTooLarge,
}
