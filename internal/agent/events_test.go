package agent

import (
	"strings"
	"testing"

	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/fault"
)

// soundEvents are two events of a stream, doneLines its last one.
const (
	soundEvents = "data: {\"choices\":[{\"text\":\"a \\\"error\\\"\"}]}\n\n: keep-alive\n\ndata: {\"choices\":[]}\n\n"
	doneLines   = "data: [DONE]\n\n"
)

// dataOf returns the content of the frames of a response.
func dataOf(frames []*wirepb.CallFrame) string {
	var out strings.Builder
	for _, frame := range frames {
		_, _ = out.Write(frame.GetData())
	}
	return out.String()
}

// Guards against an error within a stream: an engine writes the text or the head of an error
// after sound events, and may end the stream as if it were complete. Only whole events may
// be forwarded, and none that tells of an error.
func TestErrorWithinStreamIsNotForwarded(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
	for name, text := range map[string]string{
		"text":                "error: overloaded\n\n",
		"text without an end": "service overloaded",
		"head":                "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n\r\nfailed",
		"head as event":       "HTTP/1.1 500 Internal: Error\nContent-Type: text/plain\n\n",
		"error event":         "event: error\ndata: {\"message\":\"overloaded\"}\n\n",
		"error object":        "data: {\"error\":{\"message\":\"overloaded\"}}\n\n",
		"spaced error object": "data: { \"error\" : {\"message\":\"overloaded\"}}\n\n",
		"object of an error":  "data: {\"object\":\"error\",\"message\":\"overloaded\"}\n\n",
		"data of text":        "data: overloaded\n\n",
		"part of an event":    "data: {\"choices\":[",
		"part and error":      "data: {\"choices\":[\n{\"error\":\"overloaded\"}\n\n",
		"error field":         "data: {\"choices\":[]}\nerror: overloaded\n\n",
	} {
		for _, end := range []string{"", doneLines} {
			endpoint := newScriptedEndpoint(t, head+soundEvents+text+end, true)
			frames, err := runCall(newEndpointClient(endpoint.address), false, true)
			if fault.VerdictOf(err) != fault.MayHaveRun || fault.CodeOf(err) != fault.CodeCut {
				t.Errorf("%s, end %q: error %v, want may-have-run %s", name, end, err, fault.CodeCut)
			}
			if got := dataOf(frames); got != soundEvents {
				t.Errorf("%s, end %q: forwarded %q", name, end, got)
			}
		}
	}
}

// Guards against an error in place of a stream: an engine answers 200, and its body is no
// stream of events. Nothing of it may be forwarded.
func TestErrorInPlaceOfStreamIsNotForwarded(t *testing.T) {
	for _, contentType := range []string{"application/json", "text/html; charset=utf-8", ""} {
		endpoint := newScriptedEndpoint(t, "HTTP/1.1 200 OK\r\nContent-Type: "+contentType+"\r\nConnection: close\r\n\r\n"+
			soundEvents+doneLines, true)
		frames, err := runCall(newEndpointClient(endpoint.address), false, true)
		if fault.VerdictOf(err) != fault.MayHaveRun || len(frames) > 0 {
			t.Errorf("%q: error %v, %d frames, want none", contentType, err, len(frames))
		}
	}
}

// A whole stream is forwarded as it is.
func TestWholeStreamIsForwarded(t *testing.T) {
	endpoint := newScriptedEndpoint(t, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream; charset=utf-8\r\nConnection: close\r\n\r\n"+
		soundEvents+doneLines, true)
	frames, err := runCall(newEndpointClient(endpoint.address), false, true)
	if got := dataOf(frames); err != nil || got != soundEvents+doneLines {
		t.Errorf("error %v, forwarded %q", err, got)
	}
}
