// Package trace puts together what the logs of several processes say of one
// request: its own line and the beliefs that decided it.
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

// Line is a line of a process's log.
type Line struct {
	Time    time.Time
	Host    string
	Message string
	// Fields are the other fields by name.
	Fields map[string]any
}

// stringField returns a field that holds stringField, empty if there is none.
func (l *Line) stringField(name string) string {
	value, _ := l.Fields[name].(string)
	return value
}

// durationField returns a field in milliseconds, 0 if there is none.
func (l *Line) durationField(name string) time.Duration {
	ms, _ := l.Fields[name].(float64)
	return time.Duration(ms * float64(time.Millisecond))
}

const (
	// requestEndMessage is the message of the line of a request that has ended.
	requestEndMessage = "requests: ended"
	// requestMessagePrefix begins the messages about single requests.
	requestMessagePrefix = "requests:"
	// maxLineBytes is how long a line of a log may be, in bytes.
	maxLineBytes = 1 << 20
)

// Read returns the lines of a log, and how many of them are not readable. Text
// before the opening brace of a line is passed over.
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

func parseLine(text []byte) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	var line Line
	if json.Unmarshal(text[start:], &line.Fields) != nil {
		return Line{}, false
	}
	timestamp, err := time.Parse(time.RFC3339Nano, line.stringField("time"))
	if err != nil {
		return Line{}, false
	}
	line.Time = timestamp
	line.Host = line.stringField("host")
	line.Message = line.stringField("message")
	for _, name := range []string{"time", "host", "message", "level"} {
		delete(line.Fields, name)
	}
	return line, true
}

// Timeline is a request with what happened around it.
type Timeline struct {
	Request Line
	// ReadAt is when the request was read.
	ReadAt time.Time
	// Related are the lines that may have decided it, in order of time.
	Related []Line
}

// ErrRequestNotFound means that no log has a line of the request.
var ErrRequestNotFound = errors.New("no log has a line of this request; lines may have been left out under load")

// lookback is how long before a request the lines begin that may have decided it.
const lookback = 5 * time.Second

// Find returns the timeline of a request. The lines that count are those of its
// host, and those of any host that name its endpoint or model.
func Find(lines []Line, id string) (*Timeline, error) {
	i := slices.IndexFunc(lines, func(l Line) bool { return l.Message == requestEndMessage && l.stringField("request") == id })
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

// isRelated reports whether a line isRelated the request's endpoint or model.
func (t *Timeline) isRelated(l *Line) bool {
	endpoint, model := t.Request.stringField("endpoint"), t.Request.stringField("model")
	return endpoint != "" && (l.stringField("endpoint") == endpoint || l.stringField("subject") == endpoint) ||
		model != "" && l.stringField("model") == model
}

// Print writes the timeline, with times counted from when the request was read.
func (t *Timeline) Print(w io.Writer) error {
	if _, err := fmt.Fprintf(w, "request %s, read at %s by %s\n", t.Request.stringField("request"),
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
