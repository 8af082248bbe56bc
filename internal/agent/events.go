package agent

import (
	"bytes"
	"encoding/json"
	"mime"

	"github.com/valyala/fasthttp"

	"dogwoodfold/pkg/fault"
)

// eventReader takes whole server-sent events from the parts of a stream, and checks that
// they are events of a model engine: each has one JSON object as its data, unless it is the
// last one or a comment, and none tells of an error.
type eventReader struct {
	// pending are the bytes that arrived last, of which taken were returned.
	pending []byte
	taken   int
	// done is true after the last event.
	done bool
}

// maxEventBytes is the size of the longest event.
const maxEventBytes = 1 << 20

// eventTerminator ends each event of a stream.
var eventTerminator = []byte("\n\n")

// errNoEvent reports a stream that holds something else than sound events.
var errNoEvent = fault.New(fault.MayHaveRun, fault.CodeCut, "the endpoint's stream holds what is no event of an answer")

// take adds a part of the stream and returns the events that are complete with it. They are
// valid until the next call. With an error it returns those before the one that is unsound.
func (r *eventReader) take(part []byte) (events []byte, err error) {
	r.pending = r.pending[:copy(r.pending, r.pending[r.taken:])]
	r.pending = append(r.pending, part...)
	r.taken = 0
	for {
		length := bytes.Index(r.pending[r.taken:], eventTerminator)
		if length < 0 {
			break
		}
		if !r.accept(r.pending[r.taken:][:length]) {
			return r.pending[:r.taken], errNoEvent
		}
		r.taken += length + len(eventTerminator)
	}
	if len(r.pending)-r.taken > maxEventBytes {
		err = errNoEvent
	}
	return r.pending[:r.taken], err
}

// endsWithinEvent reports whether a part of an event is left.
func (r *eventReader) endsWithinEvent() bool { return len(r.pending) > r.taken }

// accept reports whether an event is sound.
func (r *eventReader) accept(event []byte) bool {
	data, ok := eventData(event)
	switch {
	case !ok || r.done:
		return false
	case string(data) == "[DONE]":
		r.done = true
		return true
	case len(data) == 0:
		return true
	}
	return data[0] == '{' && json.Valid(data) && !isErrorObject(data)
}

// eventData returns the data of an event. It reports false if the event has other lines than
// data and comments.
func eventData(event []byte) (data []byte, ok bool) {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if len(line) == 0 || line[0] == ':' {
			continue
		}
		value, found := bytes.CutPrefix(line, []byte("data:"))
		if !found {
			return nil, false
		}
		value = bytes.TrimSpace(value)
		if data != nil {
			value = append(bytes.Clone(data), value...)
		}
		data = value
	}
	return data, true
}

// isErrorObject reports whether the data of an event is an error in the shape of the OpenAI
// API, or one that engines send.
func isErrorObject(data []byte) bool {
	if !bytes.Contains(data, []byte(`"error"`)) {
		return false
	}
	var body struct {
		Error  json.RawMessage `json:"error"`
		Object string          `json:"object"`
	}
	err := json.Unmarshal(data, &body)
	return err != nil || body.Object == "error" || len(body.Error) > 0 && string(body.Error) != "null"
}

// isEventStream reports whether a response is a stream of events.
func isEventStream(response *fasthttp.Response) bool {
	mediaType, _, err := mime.ParseMediaType(string(response.Header.Peek(fasthttp.HeaderContentType)))
	return err == nil && mediaType == "text/event-stream"
}
