package edge

import (
	"bufio"
	"bytes"
	"errors"
	"hash/maphash"
	"io"
	"net/http/httputil"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"dogwoodfold/internal/gate"
	"dogwoodfold/internal/pick"
	"dogwoodfold/platform"
)

// Errors of requests that can't be passed on. Each is answered with a status of
// its own.
var (
	errMalformed   = errors.New("the request is malformed")
	errBodyTooLong = errors.New("the body is too long")
)

// hopHeaders concern one connection only.
var hopHeaders = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Content-Length":      true,
	"Expect":              true,
}

// framing says how long a body is.
type framing struct {
	length  int
	chunked bool
}

// readFraming takes a request's framing from its headers. Whatever two servers
// could read in two ways is refused.
func readFraming(h *fasthttp.RequestHeader) (framing, error) {
	if err := checkLines(h.RawHeaders()); err != nil {
		return framing{}, err
	}
	var f framing
	lengths, encodings, ids := 0, 0, 0
	for key, value := range h.AllInOrder() {
		switch string(key) {
		case fasthttp.HeaderContentLength:
			n, err := strconv.ParseUint(string(value), 10, 31)
			if err != nil {
				return framing{}, errMalformed
			}
			f.length = int(n)
			lengths++
		case fasthttp.HeaderTransferEncoding:
			if !strings.EqualFold(string(value), "chunked") {
				return framing{}, errMalformed
			}
			f.chunked = true
			encodings++
		case platform.HeaderRequestID:
			ids++
		}
	}
	if lengths+encodings > 1 || ids != 1 {
		return framing{}, errMalformed
	}
	return f, nil
}

// checkLines refuses header lines that are folded or whose name isn't a token.
func checkLines(raw []byte) error {
	for line := range bytes.SplitSeq(raw, []byte("\n")) {
		line = bytes.TrimSuffix(line, []byte("\r"))
		if len(line) == 0 {
			continue
		}
		name, _, found := bytes.Cut(line, []byte(":"))
		if !found || len(name) == 0 || bytes.IndexFunc(name, notToken) >= 0 {
			return errMalformed
		}
	}
	return nil
}

func notToken(r rune) bool {
	return r <= ' ' || r >= 0x7f || strings.ContainsRune(`"(),/:;<=>?@[\]{}`, r)
}

// readBody reads a request's body as its framing says.
func readBody(r *bufio.Reader, f framing, limit int) ([]byte, error) {
	if f.chunked {
		return readChunked(r, limit)
	}
	if f.length > limit {
		return nil, errBodyTooLong
	}
	if f.length == 0 {
		return nil, nil
	}
	body := make([]byte, f.length)
	_, err := io.ReadFull(r, body)
	return body, err
}

// readChunked reads a chunked body and its trailer.
func readChunked(r *bufio.Reader, limit int) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(httputil.NewChunkedReader(r), int64(limit)+1))
	if err != nil {
		return nil, err
	}
	if len(body) > limit {
		return nil, errBodyTooLong
	}
	return body, readTrailer(r)
}

// readTrailer reads the lines after the last chunk up to the empty one.
func readTrailer(r *bufio.Reader) error {
	for {
		line, err := r.ReadSlice('\n')
		if err != nil {
			return err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return nil
		}
	}
}

// forwardHead returns the request line and the headers that go to an endpoint.
// Last-Event-Id is left out, since it may change between attempts.
func forwardHead(h *fasthttp.RequestHeader) []byte {
	named := namedInConnection(h)
	out := make([]byte, 0, len(h.RawHeaders())+len(h.RequestURI())+64)
	out = append(out, h.Method()...)
	out = append(out, ' ')
	out = append(out, h.RequestURI()...)
	out = append(out, " HTTP/1.1\r\n"...)
	for key, value := range h.AllInOrder() {
		name := string(key)
		if hopHeaders[name] || platform.IsReservedHeader(name) || name == platform.HeaderLastEventID {
			continue
		}
		if named[name] && !platform.IsPassthroughHeader(name) && name != fasthttp.HeaderHost {
			continue
		}
		out = appendHeader(out, name, string(value))
	}
	return out
}

// namedInConnection returns the headers that Connection says concern only the
// client's connection.
func namedInConnection(h *fasthttp.RequestHeader) map[string]bool {
	var named map[string]bool
	for key, value := range h.AllInOrder() {
		if string(key) != fasthttp.HeaderConnection {
			continue
		}
		for name := range strings.SplitSeq(string(value), ",") {
			if named == nil {
				named = make(map[string]bool)
			}
			named[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return named
}

func appendHeader(out []byte, name, value string) []byte {
	out = append(out, name...)
	out = append(out, ": "...)
	out = append(out, value...)
	return append(out, "\r\n"...)
}

// peek returns a copy of the value of a header.
func peek(h *fasthttp.RequestHeader, name string) string { return string(h.Peek(name)) }

// decodeRequest returns what the decisions need to know of a request.
func decodeRequest(h *fasthttp.RequestHeader, arrived time.Time) (*gate.Request, error) {
	uri := string(h.RequestURI())
	if !strings.HasPrefix(uri, "/") {
		return nil, errMalformed
	}
	path, _, _ := strings.Cut(uri, "?")
	host := strings.ToLower(string(h.Host()))
	if name, _, found := strings.Cut(host, ":"); found {
		host = name
	}
	r := &gate.Request{
		ID:        peek(h, platform.HeaderRequestID),
		Host:      host,
		Path:      path,
		Key:       peek(h, platform.HeaderAPIKey),
		ArrivedAt: arrived,
	}
	r.Model, r.Adapter, _ = strings.Cut(peek(h, platform.HeaderModel), "/")
	if ms, err := strconv.ParseFloat(peek(h, platform.HeaderDeadline), 64); err == nil && ms > 0 {
		r.ClientTimeout = time.Duration(ms * float64(time.Millisecond))
	}
	prompt, output, found := strings.Cut(peek(h, platform.HeaderTokenUsage), ",")
	if found {
		in, err1 := strconv.Atoi(strings.TrimSpace(prompt))
		most, err2 := strconv.Atoi(strings.TrimSpace(output))
		if err1 != nil || err2 != nil || in < 0 || most < 0 {
			return nil, errMalformed
		}
		r.PromptTokens = in
		r.MaxTokens = float64(in + most)
	}
	r.PromptParts = decodeParts(r.Model+"/"+r.Adapter, peek(h, platform.HeaderPromptPrefix))
	return r, nil
}

// partSeed makes the hashes of prompts comparable within the process.
var partSeed = maphash.MakeSeed()

// decodeParts returns the parts of a prompt. Each is known by the hash of its
// model and of all parts up to it.
func decodeParts(model, text string) []pick.PromptPart {
	if text == "" {
		return nil
	}
	var out []pick.PromptPart
	var hash maphash.Hash
	hash.SetSeed(partSeed)
	_, _ = hash.WriteString(model) // never fails
	for piece := range strings.SplitSeq(text, ",") {
		id, count, _ := strings.Cut(strings.TrimSpace(piece), ":")
		tokens, err := strconv.Atoi(count)
		if err != nil || tokens < 0 {
			return out
		}
		_, _ = hash.WriteString("/" + id) // never fails
		out = append(out, pick.PromptPart{
			Hash:   hash.Sum64(),
			Tokens: tokens,
		})
	}
	return out
}
