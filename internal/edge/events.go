package edge

import "bytes"

// eventParser finds the ends of server-sent events in the parts of a stream. Lines end
// with LF or CRLF, and an empty line ends an event.
type eventParser struct {
	// emptyLines counts the empty lines since the last other one.
	emptyLines int
}

// maxEmptyLines is how many empty lines may follow an event.
const maxEmptyLines = 16

// complete returns the length of the complete events at the start of p and the last ID
// among them, empty if none has one. p starts after the end of an event. Lines that
// hold no field and empty lines without end are no events, and fail with errNoEvent.
func (e *eventParser) complete(p []byte) (length int, lastID string, err error) {
	id := ""
	lines, fields := 0, 0
	for start := 0; ; {
		lineLength := bytes.IndexByte(p[start:], '\n')
		if lineLength < 0 {
			return length, lastID, nil
		}
		line := bytes.TrimSuffix(p[start:start+lineLength], []byte("\r"))
		start += lineLength + 1
		if len(line) > 0 {
			e.emptyLines = 0
			lines++
			fields += min(bytes.Count(line, []byte(":")), 1)
			if value, found := bytes.CutPrefix(line, []byte("id:")); found {
				id = string(bytes.TrimSpace(value))
			}
			continue
		}
		e.emptyLines++
		if lines > 0 && fields == 0 || e.emptyLines > maxEmptyLines {
			return length, lastID, errNoEvent
		}
		length, lastID = start, id
		lines, fields = 0, 0
	}
}
