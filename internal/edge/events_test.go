package edge

import (
	"errors"
	"testing"
)

// TestEventParserAcceptsSoundEvents checks events that streams of the platform may have, in
// parts of each length.
func TestEventParserAcceptsSoundEvents(t *testing.T) {
	for name, test := range map[string]struct{ lastID, body, endID string }{
		"from the first":        {body: events(1, 3, "\n"), endID: "3"},
		"CRLF":                  {body: events(1, 3, "\r\n"), endID: "3"},
		"after an event":        {lastID: "9", body: events(10, 11, "\n"), endID: "11"},
		"after an unknown ID":   {lastID: "a", body: events(4, 5, "\n"), endID: "5"},
		"version of weights":    {lastID: "1", body: "x-weight-versions: 2\nid: 2\ndata: token\n\n", endID: "2"},
		"several lines of data": {body: "id: 1\ndata: a\ndata: b: c\n\n", endID: "1"},
		"empty data":            {body: "id:1\ndata:\n\n", endID: "1"},
		"empty lines between":   {body: events(1, 1, "\n") + "\n\n" + events(2, 2, "\n"), endID: "2"},
	} {
		for size := 1; size <= len(test.body); size++ {
			parser := newEventParser(test.lastID)
			pending := ""
			for rest := test.body; rest != ""; rest = rest[min(size, len(rest)):] {
				pending += rest[:min(size, len(rest))]
				length, err := parser.complete([]byte(pending))
				if err != nil {
					t.Fatalf("%s in parts of %d bytes: %v at %q", name, size, err, pending)
				}
				pending = pending[length:]
			}
			if pending != "" || parser.lastID() != test.endID {
				t.Errorf("%s in parts of %d bytes: %q is left, the last ID is %s", name, size, pending, parser.lastID())
			}
		}
	}
}

// TestEventParserKeepsWhatPrecedesAnError checks that the events before an unsound one are
// complete, and which error tells of it.
func TestEventParserKeepsWhatPrecedesAnError(t *testing.T) {
	sound := events(1, 2, "\n")
	for text, want := range map[string]error{
		"id: 4\ndata: token\n\n": errEventOrder,
		"id: 2\ndata: token\n\n": errEventOrder,
		"data: token\n\n":        errNoEvent,
		"error: overloaded\n":    errNoEvent,
	} {
		parser := newEventParser("")
		length, err := parser.complete([]byte(sound + text))
		if !errors.Is(err, want) || length != len(sound) || parser.lastID() != "2" {
			t.Errorf("%q: %d bytes complete, last ID %s, error %v, want %d bytes, 2 and %v",
				text, length, parser.lastID(), err, len(sound), want)
		}
	}
}
