package http1

import (
	"bytes"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"
)

const (
	// minStatus and maxStatus bound the statuses that have a class.
	minStatus = 100
	maxStatus = 599
	// maxLineBytes is how much of a line is kept. No status line or header name is longer.
	maxLineBytes = 256
)

// checker checks the head of a response as its bytes arrive.
type checker struct {
	// line is the beginning of a line whose end has not arrived.
	line []byte
	// inHeader is true after the status line.
	inHeader bool
	status   int
	// hasLength is true if there is a Content-Length.
	hasLength bool
	// hasCoding is true if there is a Transfer-Encoding, ignoresCoding if the version is one in
	// which the parser ignores it.
	hasCoding     bool
	ignoresCoding bool
	malformed     bool
	ended         bool
}

// check checks the next bytes and returns how many of them belong to the head.
func (c *checker) check(p []byte) int {
	rest := p
	for !c.ended {
		line, after, found := bytes.Cut(rest, []byte("\n"))
		if !found {
			c.keep(line)
			return len(p)
		}
		if len(c.line) > 0 {
			c.keep(line)
			line = c.line
		}
		c.checkLine(bytes.TrimSuffix(line, []byte("\r")))
		c.line = c.line[:0]
		rest = after
	}
	return len(p) - len(rest)
}

// keep adds a part of a line to those that were read before.
func (c *checker) keep(part []byte) {
	c.line = append(c.line, part[:min(len(part), maxLineBytes-len(c.line))]...)
}

// checkLine checks a line without its end. Empty lines before the status line are skipped.
func (c *checker) checkLine(line []byte) {
	switch {
	case len(line) == 0 && c.inHeader:
		c.end()
	case len(line) == 0:
		// a head may follow
	case !c.inHeader:
		c.inHeader = true
		c.checkStatusLine(line)
	case !IsHeaderLine(line):
		c.malformed = true
	default:
		c.recordFraming(line)
	}
}

// recordFraming records a header that frames the body.
func (c *checker) recordFraming(line []byte) {
	name, _, _ := bytes.Cut(line, []byte(":"))
	switch {
	case strings.EqualFold(string(name), fasthttp.HeaderContentLength):
		c.hasLength = true
	case strings.EqualFold(string(name), fasthttp.HeaderTransferEncoding):
		c.hasCoding = true
	}
}

// end ends the head. Its framing is ambiguous if it has both headers, or one that the parser ignores.
func (c *checker) end() {
	c.ended = true
	if c.hasCoding && (c.hasLength || c.ignoresCoding) {
		c.malformed = true
	}
}

// IsHeaderLine reports whether a line, without its end, is a header whose name is a token. One that
// continues the line before isn't.
func IsHeaderLine(line []byte) bool {
	name, _, found := bytes.Cut(line, []byte(":"))
	return found && len(name) > 0 && bytes.IndexFunc(name, isNotToken) < 0
}

func isNotToken(r rune) bool {
	return r <= ' ' || r >= 0x7f || strings.ContainsRune(`"(),/:;<=>?@[\]{}`, r)
}

// checkStatusLine checks the version and the status. No request asks for another protocol.
func (c *checker) checkStatusLine(line []byte) {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	code, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	status, err := strconv.Atoi(string(code))
	if err != nil || status < minStatus || status > maxStatus || status == fasthttp.StatusSwitchingProtocols {
		c.malformed = true
	}
	if !bytes.HasPrefix(version, []byte("HTTP/1.")) {
		c.malformed = true
	}
	c.status = status
	c.ignoresCoding = string(version) != "HTTP/1.1"
}

// isInterim reports whether another head follows on the one that has ended.
func (c *checker) isInterim() bool { return c.ended && c.status < fasthttp.StatusOK }
