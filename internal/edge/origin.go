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
