package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// One in unframedOdds responses has neither a length nor chunks and ends with its
// connection. One in brokenStreamOdds streams ends within an event or with an error, in
// a framing that is whole.
const (
	unframedOdds     = 4
	brokenStreamOdds = 12
)

// answerWriter writes the body of a response.
type answerWriter struct {
	body  io.Writer
	flush func()
	// end ends a response without framing by closing its connection.
	end func()
}

// newAnswerWriter starts a response with the headers of w, sometimes without
// framing.
func newAnswerWriter(w http.ResponseWriter) *answerWriter {
	if rand.IntN(unframedOdds) > 0 {
		return &answerWriter{body: w, flush: w.(http.Flusher).Flush, end: func() {}}
	}
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
	_ = w.Header().Write(conn)
	_, _ = io.WriteString(conn, "\r\n")
	return &answerWriter{body: conn, flush: func() {}, end: func() { _ = conn.Close() }}
}

// softwareVersions are the versions of the endpoints' software. Each start of an
// endpoint draws one.
var softwareVersions = []string{"v1", "v1", "v2"}

// runCounter counts the runs of streams, runPrefix begins the name of each.
var runCounter atomic.Uint64

const runPrefix = "run-"

// serveStream sends the events after number from, each with the version and the run that
// wrote it. It may break the stream off within an event or with an error, or answer with an
// error if the stream has begun, unless the endpoint is one of those whose streams are
// broken off by their ends only.
func (ep *fakeEndpoint) serveStream(w http.ResponseWriter, requestID, version string, from int) {
	if from > 0 && ep.service != draftService && rand.IntN(streamErrorOdds) == 0 {
		sendStreamError(w, requestID, version, from)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	a := newAnswerWriter(w)
	defer a.end()
	brokenEvent, interval := 0, eventInterval
	switch {
	case ep.service == draftService:
		interval = ep.env.draftInterval
	case rand.IntN(brokenStreamOdds) == 0:
		brokenEvent = from + 1 + rand.IntN(eventsPerStream)
	}
	run := runPrefix + strconv.FormatUint(runCounter.Add(1), 10)
	for i := from + 1; i <= eventsPerStream; i++ {
		if i == brokenEvent {
			_, _ = io.WriteString(a.body, errorWithinStream(i))
			return
		}
		_, _ = fmt.Fprintf(a.body, "id: %d\ndata: %s\ndata: %s\ndata: %s\n\n", i, requestID, version, run)
		a.flush()
		time.Sleep(interval)
	}
}
