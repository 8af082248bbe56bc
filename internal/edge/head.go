package edge

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"hash/maphash"
	"net/http/httputil"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"dogwoodfold/internal/budget"
	"dogwoodfold/internal/gate"
	"dogwoodfold/internal/http1"
	"dogwoodfold/internal/pick"
	"dogwoodfold/internal/poison"
	"dogwoodfold/platform"
)

// Errors of requests that cannot be forwarded. Each maps to its own response
// status.
var (
	errMalformedRequest = errors.New("malformed request")
	errBodyTooLarge     = errors.New("request body too large")
)

// hopByHopHeaders are the headers that apply to a single connection, in canonical
// form. They are not forwarded.
var hopByHopHeaders = map[string]bool{
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

// framing describes how the end of a request body is determined.
type framing struct {
	length  int
	chunked bool
}

// readFraming derives a request's framing from its headers. It rejects anything
// that two servers could interpret differently (request smuggling), and requests
// without exactly one request ID.
func readFraming(h *fasthttp.RequestHeader) (framing, error) {
	if err := checkHeaderLines(h.RawHeaders()); err != nil {
		return framing{}, err
	}
	var f framing
	contentLengths, transferEncodings, requestIDs := 0, 0, 0
	for key, value := range h.AllInOrder() {
		switch string(key) {
		case fasthttp.HeaderContentLength:
			n, err := strconv.ParseUint(string(value), 10, 31)
			if err != nil {
				return framing{}, errMalformedRequest
			}
			f.length = int(n)
			contentLengths++
		case fasthttp.HeaderTransferEncoding:
			if !strings.EqualFold(string(value), "chunked") {
				return framing{}, errMalformedRequest
			}
			f.chunked = true
			transferEncodings++
		case platform.HeaderRequestID:
			requestIDs++
		}
	}
	if contentLengths+transferEncodings > 1 || requestIDs != 1 {
		return framing{}, errMalformedRequest
	}
	return f, nil
}

// checkHeaderLines rejects folded header lines and header names that are not
// tokens.
func checkHeaderLines(raw []byte) error {
	for line := range bytes.SplitSeq(raw, []byte("\n")) {
		line = bytes.TrimSuffix(line, []byte("\r"))
		if len(line) > 0 && !http1.IsHeaderLine(line) {
			return errMalformedRequest
		}
	}
	return nil
}

// readBody reads a request body with the given framing, up to limit bytes, and reserves
// memory for it as it arrives.
func readBody(r *bufio.Reader, f framing, limit int, grow func(n int) error) (budget.Pieces, error) {
	if !f.chunked {
		return budget.Read(r, f.length, limit, grow)
	}
	body, err := budget.Read(httputil.NewChunkedReader(r), -1, limit, grow)
	if err != nil {
		return budget.Pieces{}, err
	}
	return body, readTrailer(r)
}

// maxTrailerBytes bounds the lines after the last chunk of a body.
const maxTrailerBytes = 8 << 10

// readTrailer skips the lines after the last chunk up to and including the empty
// line.
func readTrailer(r *bufio.Reader) error {
	for size := 0; size <= maxTrailerBytes; {
		line, err := r.ReadSlice('\n')
		if err != nil {
			return err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return nil
		}
		size += len(line)
	}
	return errBodyTooLarge
}

// forwardedRequestHead returns the request line and the headers to forward to an
// endpoint. Last-Event-Id is omitted because it may change between attempts.
func forwardedRequestHead(h *fasthttp.RequestHeader) []byte {
	listed := connectionOptions(h)
	out := make([]byte, 0, len(h.RawHeaders())+len(h.RequestURI())+64)
	out = append(out, h.Method()...)
	out = append(out, ' ')
	out = append(out, h.RequestURI()...)
	out = append(out, " HTTP/1.1\r\n"...)
	for key, value := range h.AllInOrder() {
		name := string(key)
		if hopByHopHeaders[name] || platform.IsReservedHeader(name) || name == platform.HeaderLastEventID {
			continue
		}
		if listed[name] && !platform.IsPassthroughHeader(name) && name != fasthttp.HeaderHost {
			continue
		}
		out = appendHeader(out, name, string(value))
	}
	return out
}

// connectionOptions returns the names that the Connection headers list as applying
// to the client's connection only.
func connectionOptions(h *fasthttp.RequestHeader) map[string]bool {
	var listed map[string]bool
	for key, value := range h.AllInOrder() {
		if string(key) != fasthttp.HeaderConnection {
			continue
		}
		for name := range strings.SplitSeq(string(value), ",") {
			if listed == nil {
				listed = make(map[string]bool)
			}
			listed[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return listed
}

func appendHeader(out []byte, name, value string) []byte {
	out = append(out, name...)
	out = append(out, ": "...)
	out = append(out, value...)
	return append(out, "\r\n"...)
}

// headerValue returns a copy of the value of a header.
func headerValue(h *fasthttp.RequestHeader, name string) string { return string(h.Peek(name)) }

// decodeRequest returns the properties of a request that the reducer needs.
func decodeRequest(h *fasthttp.RequestHeader, arrived time.Time) (*gate.Request, error) {
	uri := string(h.RequestURI())
	if !strings.HasPrefix(uri, "/") {
		return nil, errMalformedRequest
	}
	path, _, _ := strings.Cut(uri, "?")
	host := strings.ToLower(string(h.Host()))
	if name, _, found := strings.Cut(host, ":"); found {
		host = name
	}
	r := &gate.Request{
		ID:             headerValue(h, platform.HeaderRequestID),
		Host:           host,
		Path:           path,
		Key:            headerValue(h, platform.HeaderAPIKey),
		LastEventID:    headerValue(h, platform.HeaderLastEventID),
		ResumedRequest: headerValue(h, platform.HeaderResumes),
		ArrivedAt:      arrived,
	}
	r.Model, r.Adapter, _ = strings.Cut(headerValue(h, platform.HeaderModel), "/")
	if ms, err := strconv.ParseFloat(headerValue(h, platform.HeaderDeadline), 64); err == nil && ms > 0 {
		r.ClientTimeout = time.Duration(ms * float64(time.Millisecond))
	}
	prompt, output, found := strings.Cut(headerValue(h, platform.HeaderTokenUsage), ",")
	if found {
		promptTokens, err1 := strconv.Atoi(strings.TrimSpace(prompt))
		outputTokens, err2 := strconv.Atoi(strings.TrimSpace(output))
		if err1 != nil || err2 != nil || promptTokens < 0 || outputTokens < 0 {
			return nil, errMalformedRequest
		}
		r.PromptTokens = promptTokens
		r.MaxTokens = float64(promptTokens + outputTokens)
	}
	r.PromptPrefix = headerValue(h, platform.HeaderPromptPrefix)
	r.PromptParts = decodePromptParts(r.Model+"/"+r.Adapter, r.PromptPrefix)
	r.SharedParts = decodeSharedParts(r.PromptPrefix)
	return r, nil
}

// contentHash returns a hash of what makes a request the same as another one: its method,
// host, path with query, prompt and body. Its ID, key, deadline and position in a stream
// may differ. The body is given in pieces.
func contentHash(h *fasthttp.RequestHeader, r *gate.Request, body ...[]byte) string {
	hash := sha256.New()
	var length [8]byte
	for _, field := range [][][]byte{
		{h.Method()}, {[]byte(r.Host)}, {h.RequestURI()}, {[]byte(r.Model)}, {[]byte(r.Adapter)}, {[]byte(r.PromptPrefix)}, body,
	} {
		size := 0
		for _, piece := range field {
			size += len(piece)
		}
		binary.BigEndian.PutUint64(length[:], uint64(size))
		_, _ = hash.Write(length[:]) // never fails
		for _, piece := range field {
			_, _ = hash.Write(piece)
		}
	}
	return string(hash.Sum(nil))
}

// decodeSharedParts returns the parts of a prompt but the last, which belongs to the
// request or its session alone.
func decodeSharedParts(header string) []poison.Part {
	fields := strings.Split(header, ",")
	var out []poison.Part
	for _, field := range fields[:len(fields)-1] {
		id, _, _ := strings.Cut(strings.TrimSpace(field), ":")
		out = append(out, poison.NewPart(id))
	}
	return out
}

// promptHashSeed is shared by all prompt hashes, which makes them comparable
// within the process.
var promptHashSeed = maphash.MakeSeed()

// decodePromptParts decodes the parts of a prompt. Each is identified by a hash of
// the model and of all parts up to and including itself. Decoding stops at the
// first malformed part.
func decodePromptParts(model, header string) []pick.PromptPart {
	if header == "" {
		return nil
	}
	var out []pick.PromptPart
	var hash maphash.Hash
	hash.SetSeed(promptHashSeed)
	_, _ = hash.WriteString(model) // never fails
	for field := range strings.SplitSeq(header, ",") {
		id, count, _ := strings.Cut(strings.TrimSpace(field), ":")
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
