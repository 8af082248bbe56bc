// Package http1 reads the heads of HTTP/1.1 responses. The parser of fasthttp accepts more than
// the protocol allows; responses whose heads are malformed all the same are rejected here.
package http1

import (
	"bufio"
	"errors"

	"github.com/valyala/fasthttp"
)

// ErrMalformed reports the head of a response that the protocol doesn't allow.
var ErrMalformed = errors.New("malformed response head")

// ReadHead reads the next head from r into h. It waits for the end of a malformed head too, and
// returns the error of the parser if there is one.
func ReadHead(h *fasthttp.ResponseHeader, r *bufio.Reader) error {
	var c checker
	peekErr := c.peek(r)
	if err := h.Read(r); err != nil {
		return err
	}
	if peekErr != nil {
		return peekErr
	}
	if c.malformed {
		return ErrMalformed
	}
	return nil
}

// peek checks the next head in r without consuming it.
func (c *checker) peek(r *bufio.Reader) error {
	checked := 0
	for !c.ended {
		if _, err := r.Peek(checked + 1); err != nil {
			return err
		}
		buffered, err := r.Peek(r.Buffered())
		if err != nil {
			return err
		}
		checked += c.check(buffered[checked:])
	}
	return nil
}
