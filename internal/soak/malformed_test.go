package soak

import (
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"

	"dogwoodfold/internal/fakes"
	"dogwoodfold/platform"
)

// One in malformedOdds executed requests is answered with a head that the protocol doesn't allow.
const malformedOdds = 150

// malformedHeads are beginnings of such heads.
var malformedHeads = slices.Collect(maps.Values(fakes.MalformedHeads()))

// sendMalformed answers a request with a malformed head and a body that is not its answer. A client
// that gets it finds it mixed up.
func sendMalformed(w http.ResponseWriter, requestID string) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, malformedHeads[rand.IntN(len(malformedHeads))]+platform.HeaderRequestID+": "+requestID+"\r\n"+
		platform.HeaderServerStamp+": stamp-"+requestID+"\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: malformed\n\n")
}
