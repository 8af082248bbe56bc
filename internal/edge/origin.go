package edge

import (
	"github.com/valyala/fasthttp"

	"dogwoodfold/platform"
)

// responseOrigin tells whose response it is by the request ID that it carries.
type responseOrigin int

const (
	_ responseOrigin = iota // no response
	ownID
	otherID
	noID
)

// String returns the name of an origin in the log.
func (o responseOrigin) String() string {
	return [...]string{"", "own", "other", "none"}[o]
}

// originOf returns the origin of a response on a connection that waits for the
// response to the request with the given ID.
func originOf(h *fasthttp.ResponseHeader, id string) responseOrigin {
	switch echoed := h.Peek(platform.HeaderRequestID); {
	case len(echoed) == 0:
		return noID
	case string(echoed) == id:
		return ownID
	default:
		return otherID
	}
}

// isOwnResponse reports whether the response that was read is that to the request. A
// refusal need not carry the request's ID, but without it the connection must have
// carried nothing before from which it could be.
func (x *exchange) isOwnResponse() bool {
	if x.in.origin == noID {
		return isNotExecuted(&x.head) && !x.conn.reused && !x.conn.outOfSync
	}
	return x.in.origin == ownID
}
