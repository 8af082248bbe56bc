// Package trace combines the logs of several processes into a timeline of one
// request: the log line of the request itself and the lines about the state
// changes that may have influenced it.
package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// Line is a log line of a process.
type Line struct {
	Time    time.Time
	Host    string
	Message string
	// Fields holds the other fields by name.
	Fields map[string]any
}

// StringField returns the value of a string field, or "" if there is none.
func (l *Line) StringField(name string) string {
	value, _ := l.Fields[name].(string)
	return value
}

// NumberField returns the value of a number field, or 0 if there is none.
func (l *Line) NumberField(name string) float64 {
	value, _ := l.Fields[name].(float64)
	return value
}

// BoolField returns the value of a field that is true or false, and whether there is one.
func (l *Line) BoolField(name string) (value, ok bool) {
	value, ok = l.Fields[name].(bool)
	return value, ok
}

// durationField returns the value of a field in milliseconds, or 0 if there is
// none.
func (l *Line) durationField(name string) time.Duration {
	return time.Duration(l.NumberField(name) * float64(time.Millisecond))
}

// RequestEnded is the message that is logged when a request has ended.
const RequestEnded = "requests: ended"

const (
	// requestMessagePrefix is the prefix of messages about single requests.
	requestMessagePrefix = "requests:"
	// maxLineBytes is the maximum length of a log line.
	maxLineBytes = 1 << 20
)

// Read parses a log of JSON lines. It returns the parsed lines and the number of
// lines that could not be parsed. Text before the first opening brace of a line is
// ignored, and so are blank lines.
func Read(r io.Reader) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Bytes()
		if len(bytes.TrimSpace(text)) == 0 {
			continue
		}
		line, ok := parseLine(text)
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, line)
	}
	return lines, skipped, scanner.Err()
}

// parseLine parses one line. It reports false for a line that isn't a log line in JSON.
func parseLine(text []byte) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	var line Line
	if json.Unmarshal(text[start:], &line.Fields) != nil {
		return Line{}, false
	}
	timestamp, err := time.Parse(time.RFC3339Nano, line.StringField("time"))
	if err != nil {
		return Line{}, false
	}
	line.Time = timestamp
	line.Host = line.StringField("host")
	line.Message = line.StringField("message")
	for _, name := range []string{"time", "host", "message", "level"} {
		delete(line.Fields, name)
	}
	return line, true
}

// Timeline is a request with the related log lines.
type Timeline struct {
	Request Line
	// ReadAt is when the request was read.
	ReadAt time.Time
	// Related holds the lines about events that may have influenced the request,
	// in order of time.
	Related []Line
}

// ErrRequestNotFound reports that no log has a line about the request.
var ErrRequestNotFound = errors.New("no log has a line about this request; log lines may have been dropped under load")

// lookback is how long before a request log lines are considered related.
const lookback = 5 * time.Second

// Find returns the timeline of the request with the given ID. Lines are related if
// they come from the host of the request, or name its endpoint or model, and were
// logged between lookback before the request was read and its end.
func Find(lines []Line, id string) (*Timeline, error) {
	i := slices.IndexFunc(lines, func(l Line) bool { return l.Message == RequestEnded && l.StringField("request") == id })
	if i < 0 {
		return nil, ErrRequestNotFound
	}
	t := &Timeline{Request: lines[i]}
	t.ReadAt = t.Request.Time.Add(-t.Request.durationField("tookMs"))
	start := t.ReadAt.Add(-lookback)
	for _, l := range lines {
		if l.Time.Before(start) || l.Time.After(t.Request.Time) || strings.HasPrefix(l.Message, requestMessagePrefix) {
			continue
		}
		if l.Host == t.Request.Host || t.isRelated(&l) {
			t.Related = append(t.Related, l)
		}
	}
	slices.SortStableFunc(t.Related, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return t, nil
}

// isRelated reports whether a line names the endpoint or model of the request.
func (t *Timeline) isRelated(l *Line) bool {
	endpoint, model := t.Request.StringField("endpoint"), t.Request.StringField("model")
	return endpoint != "" && (l.StringField("endpoint") == endpoint || l.StringField("subject") == endpoint) ||
		model != "" && l.StringField("model") == model
}

// Print writes the timeline, with times relative to when the request was read.
func (t *Timeline) Print(w io.Writer) error {
	if _, err := fmt.Fprintf(w, "request %s, read at %s by %s\n", t.Request.StringField("request"),
		t.ReadAt.Format("2006-01-02T15:04:05.000Z07:00"), t.Request.Host); err != nil {
		return err
	}
	for _, l := range append(slices.Clone(t.Related), t.Request) {
		if err := t.print(w, l); err != nil {
			return err
		}
	}
	return nil
}

// print writes one line of the timeline, with its fields in order of name.
func (t *Timeline) print(w io.Writer, l Line) error {
	_, err := fmt.Fprintf(w, "%+9.3f s  %s  %s", l.Time.Sub(t.ReadAt).Seconds(), l.Host, l.Message)
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		if value := l.Fields[name]; err == nil && value != "" {
			_, err = fmt.Fprintf(w, "  %s=%v", name, value)
		}
	}
	if err == nil {
		_, err = fmt.Fprintln(w)
	}
	return err
}
