package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"

	"dogwoodfold/platform"
)

// One in streamErrorOdds streams that are continued or taken up is answered with an error.
const streamErrorOdds = 4

// streamErrors are the answers of a faulty endpoint to a request to go on with a stream.
// TYPE stands for the Content-Type of a stream of events, NEXT for the number of the next
// event, SKIP for the one after it, STREAM for an event.
var streamErrors = []struct{ status, headers, body string }{
	{status: "200 OK", headers: "TYPE", body: "error: overloaded\n\n"},
	{status: "200 OK", headers: "TYPE", body: "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n\r\nerror: failed\r\n\r\n"},
	{status: "200 OK", headers: "TYPE", body: "event: error\ndata: overloaded\n\n"},
	{status: "200 OK", headers: "TYPE", body: "id: NEXT\nSTREAM\n\nerror: overloaded\n\n"},
	{status: "200 OK", headers: "TYPE", body: "id: SKIP\nSTREAM\n\n"},
	{status: "200 OK", headers: "TYPE", body: "id: 1\nSTREAM\n\n"},
	{status: "200 OK", headers: "TYPE", body: "STREAM\n\n"},
	{status: "200 OK", headers: "TYPE", body: ""},
	{status: "200 OK", headers: "Content-Type: application/json\r\n", body: "{\"error\": \"overloaded\"}\n\n"},
	{status: "200 OK", headers: "Content-Type: text/html\r\n", body: "<p style=\"color: red\">overloaded</p>\n\n"},
	{status: "204 No Content", headers: "TYPE"},
	{status: "206 Partial Content", headers: "TYPE", body: "id: NEXT\nSTREAM\n\n"},
	{status: "302 Found", headers: "Location: /error\r\n"},
	{status: "404 Not Found", headers: "Content-Type: text/plain\r\n", body: "error: no such stream\n\n"},
	{status: "500 Internal Server Error", headers: "TYPE", body: "error: failed\n\n"},
	{status: "502 Bad Gateway", headers: "Content-Type: text/html\r\n", body: "<p>error: failed</p>\n\n"},
}

// sendStreamError answers a request to go on with a stream after an event with an error, in
// a framing that is whole.
func sendStreamError(w http.ResponseWriter, requestID, version string, from int) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	defer func() { _ = conn.Close() }()
	answer := streamErrors[rand.IntN(len(streamErrors))]
	fill := strings.NewReplacer(
		"TYPE", "Content-Type: text/event-stream\r\n",
		"NEXT", fmt.Sprint(from+1),
		"SKIP", fmt.Sprint(from+2),
		"STREAM", fmt.Sprintf("data: %s\ndata: %s", requestID, version),
	)
	body := fill.Replace(answer.body)
	framing := ""
	switch rand.IntN(3) {
	case 0:
		framing = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	case 1:
		framing = "Transfer-Encoding: chunked\r\n"
		if body != "" {
			body = fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
		}
		body += "0\r\n\r\n"
	}
	_, _ = io.WriteString(conn, "HTTP/1.1 "+answer.status+"\r\nConnection: close\r\n"+
		platform.HeaderRequestID+": "+requestID+"\r\n"+platform.HeaderServerStamp+": stamp-"+requestID+"\r\n"+
		fill.Replace(answer.headers)+framing+"\r\n"+body)
}

// errorWithinStream is what an endpoint writes that fails within a stream, in place of the
// rest of an event or of the next one.
func errorWithinStream(next int) string {
	texts := []string{
		fmt.Sprintf("id: %d\ndata: ", next),
		"error: failed\n\n",
		"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n",
		fmt.Sprintf("id: %d\nerror: failed\n\n", next),
	}
	return texts[rand.IntN(len(texts))]
}
