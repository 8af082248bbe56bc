package edge

import (
	"bytes"
	"strconv"

	"dogwoodfold/platform"
)

// eventParser finds the ends of server-sent events in the parts of a stream, and checks
// that they are events of the platform's streams: each has a number, one more than that of
// the event before, and at least one line of data. Lines end with LF or CRLF, and an
// empty line ends an event.
type eventParser struct {
	// last is the number of the event before the next one, 0 before the first one. It isn't
	// known if positioned is false.
	last       uint64
	positioned bool
	// begun is true once there was an event.
	begun bool
	// emptyLines counts the empty lines since the last other one.
	emptyLines int
}

// newEventParser returns a parser of the events that follow the one with an ID, or of those
// from the first on if the ID is empty. Any event may follow an ID that is no number.
func newEventParser(lastEventID string) eventParser {
	if lastEventID == "" {
		return eventParser{positioned: true}
	}
	last, err := strconv.ParseUint(lastEventID, 10, 64)
	return eventParser{
		last:       last,
		positioned: err == nil,
	}
}

// maxEmptyLines is how many empty lines may follow an event.
const maxEmptyLines = 16

// complete returns the length of the complete events at the start of p. p starts after the
// end of an event. Lines that belong to no event, and empty lines without end, fail with
// errNoEvent, and an event that isn't the next one with errEventOrder; what precedes them
// is still complete.
func (e *eventParser) complete(p []byte) (length int, err error) {
	var next event
	for start := 0; ; {
		lineLength := bytes.IndexByte(p[start:], '\n')
		if lineLength < 0 {
			return length, nil
		}
		line := bytes.TrimSuffix(p[start:start+lineLength], []byte("\r"))
		start += lineLength + 1
		if len(line) > 0 {
			e.emptyLines = 0
			if err := next.addLine(line); err != nil {
				return length, err
			}
			continue
		}
		e.emptyLines++
		if e.emptyLines > maxEmptyLines {
			return length, errNoEvent
		}
		if err := e.end(next); err != nil {
			return length, err
		}
		length = start
		next = event{}
	}
}

// end checks the event that an empty line has ended. Further empty lines have no event.
func (e *eventParser) end(ended event) error {
	switch {
	case ended.lines == 0 && e.begun:
		return nil
	case !ended.numbered || !ended.hasData:
		return errNoEvent
	case e.positioned && ended.number != e.last+1:
		return errEventOrder
	}
	e.last = ended.number
	e.positioned, e.begun = true, true
	return nil
}

// lastID returns the ID of the last event.
func (e *eventParser) lastID() string { return strconv.FormatUint(e.last, 10) }

// event is what has been read of an event.
type event struct {
	lines int
	// number is the event's ID, if numbered.
	number   uint64
	numbered bool
	hasData  bool
}

// addLine adds a line. It fails with errNoEvent if no event has such a line there.
func (e *event) addLine(line []byte) error {
	name, value, _ := bytes.Cut(line, []byte(":"))
	e.lines++
	var err error
	switch string(name) {
	case "data":
		e.hasData = true
	case "id":
		if e.numbered {
			return errNoEvent
		}
		e.number, err = parseNumber(value)
		e.numbered = true
	case platform.FieldWeightVersions:
		if e.lines > 1 {
			return errNoEvent
		}
		_, err = parseNumber(value)
	default:
		return errNoEvent
	}
	return err
}

// parseNumber returns the value of a field that holds a number. It fails with errNoEvent if
// it holds none.
func parseNumber(value []byte) (uint64, error) {
	number, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64)
	if err != nil {
		return 0, errNoEvent
	}
	return number, nil
}
