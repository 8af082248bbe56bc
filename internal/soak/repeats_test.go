package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"

	"dogwoodfold/platform"
)

// On a connection that has carried a refusal, one in repeatOdds of the requests that are run
// gets a repeat of it before its answer. One in repeatsWithoutID of the repeats lacks the ID
// of the request that was refused.
const (
	repeatOdds       = 4
	repeatsWithoutID = 2
)

// refusalKey is the key of a connection's earlierRefusal in the context of its requests.
type refusalKey struct{}

// earlierRefusal is the last refusal on a connection of an endpoint.
type earlierRefusal struct {
	conn net.Conn

	mu        sync.Mutex
	status    int
	requestID string
}

// withRefusals lets the requests on a connection find what was refused on it.
func withRefusals(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, refusalKey{}, &earlierRefusal{conn: conn})
}

// rememberRefusal records that a request is refused, so that this may be repeated.
func rememberRefusal(r *http.Request, status int) {
	e := r.Context().Value(refusalKey{}).(*earlierRefusal)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.status, e.requestID = status, r.Header.Get(platform.HeaderRequestID)
}

// refuse answers a request as one that is not run.
func refuse(w http.ResponseWriter, r *http.Request, status int) {
	rememberRefusal(r, status)
	w.Header().Set(platform.HeaderNotExecuted, "1")
	w.WriteHeader(status)
}

// repeatRefusal writes the refusal of an earlier request on the connection of a request
// once more, now and then.
func repeatRefusal(r *http.Request) {
	e := r.Context().Value(refusalKey{}).(*earlierRefusal)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.status == 0 || rand.IntN(repeatOdds) > 0 {
		return
	}
	id := ""
	if rand.IntN(repeatsWithoutID) > 0 {
		id = platform.HeaderRequestID + ": " + e.requestID + "\r\n"
	}
	_, _ = fmt.Fprintf(e.conn, "HTTP/1.1 %d R\r\n%s: 1\r\n%sContent-Length: 0\r\n\r\n", e.status, platform.HeaderNotExecuted, id)
}
