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

// text returns a field that holds text, empty if there is none.
func (l *Line) text(name string) string {
	value, _ := l.Fields[name].(string)
	return value
}

// duration returns a field in milliseconds, 0 if there is none.
func (l *Line) duration(name string) time.Duration {
	ms, _ := l.Fields[name].(float64)
	return time.Duration(ms * float64(time.Millisecond))
}

const (
	// endMessage is the message of the line of a request that has ended.
	endMessage = "requests: ended"
	// requestPrefix begins the messages about single requests.
	requestPrefix = "requests:"
	// longestLine is how long a line of a log may be, in bytes.
	longestLine = 1 << 20
)

// Read returns the lines of a log, and how many of them are not readable. Text
// before the opening brace of a line is passed over.
func Read(r io.Reader) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, longestLine)
	for scanner.Scan() {
		text := scanner.Bytes()
		if len(bytes.TrimSpace(text)) == 0 {
			continue
		}
		line, ok := decode(text)
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, line)
	}
	return lines, skipped, scanner.Err()
}

func decode(text []byte) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	var line Line
	if json.Unmarshal(text[start:], &line.Fields) != nil {
		return Line{}, false
	}
	at, err := time.Parse(time.RFC3339Nano, line.text("time"))
	if err != nil {
		return Line{}, false
	}
	line.Time = at
	line.Host = line.text("host")
	line.Message = line.text("message")
	for _, name := range []string{"time", "host", "message", "level"} {
		delete(line.Fields, name)
	}
	return line, true
}

// Timeline is a request with what happened around it.
type Timeline struct {
	Request Line
	// Begun is when the request was read.
	Begun time.Time
	// Around are the lines that may have decided it, in order of time.
	Around []Line
}

// ErrNoRequest means that no log has a line of the request.
var ErrNoRequest = errors.New("no log has a line of this request; lines may have been left out under load")

// lookBack is how long before a request the lines begin that may have decided it.
const lookBack = 5 * time.Second

// Find returns the timeline of a request. The lines that count are those of its
// host, and those of any host that name its endpoint or model.
func Find(lines []Line, id string) (*Timeline, error) {
	i := slices.IndexFunc(lines, func(l Line) bool { return l.Message == endMessage && l.text("request") == id })
	if i < 0 {
		return nil, ErrNoRequest
	}
	t := &Timeline{Request: lines[i]}
	t.Begun = t.Request.Time.Add(-t.Request.duration("tookMs"))
	from := t.Begun.Add(-lookBack)
	for _, l := range lines {
		if l.Time.Before(from) || l.Time.After(t.Request.Time) || strings.HasPrefix(l.Message, requestPrefix) {
			continue
		}
		if l.Host == t.Request.Host || t.names(&l) {
			t.Around = append(t.Around, l)
		}
	}
	slices.SortStableFunc(t.Around, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return t, nil
}

// names reports whether a line names the request's endpoint or model.
func (t *Timeline) names(l *Line) bool {
	endpoint, model := t.Request.text("endpoint"), t.Request.text("model")
	return endpoint != "" && (l.text("endpoint") == endpoint || l.text("subject") == endpoint) ||
		model != "" && l.text("model") == model
}

// Print writes the timeline, with times counted from when the request was read.
func (t *Timeline) Print(w io.Writer) error {
	if _, err := fmt.Fprintf(w, "request %s, read at %s by %s\n", t.Request.text("request"),
		t.Begun.Format("2006-01-02T15:04:05.000Z07:00"), t.Request.Host); err != nil {
		return err
	}
	for _, l := range append(slices.Clone(t.Around), t.Request) {
		if err := t.print(w, l); err != nil {
			return err
		}
	}
	return nil
}

func (t *Timeline) print(w io.Writer, l Line) error {
	_, err := fmt.Fprintf(w, "%+9.3f s  %s  %s", l.Time.Sub(t.Begun).Seconds(), l.Host, l.Message)
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
