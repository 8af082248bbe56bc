package edge

import "bytes"

// completeEvents returns the length of the complete server-sent events at the
// start of p and the last ID among them, empty if none has one. Lines end with LF
// or CRLF, and an empty line ends an event.
func completeEvents(p []byte) (length int, lastID string) {
	id := ""
	for start := 0; ; {
		lineLength := bytes.IndexByte(p[start:], '\n')
		if lineLength < 0 {
			return length, lastID
		}
		line := bytes.TrimSuffix(p[start:start+lineLength], []byte("\r"))
		start += lineLength + 1
		if len(line) == 0 {
			length, lastID = start, id
			continue
		}
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			id = string(bytes.TrimSpace(value))
		}
	}
}
