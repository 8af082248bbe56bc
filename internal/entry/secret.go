package entry

import (
	"bytes"
	"net/url"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"dogwoodfold/internal/dedup"
	"dogwoodfold/pkg/config"
	"dogwoodfold/pkg/fault"
)

const (
	maxIdempotencyKeyBytes = 255
	// idempotencyWindow is the age at which an idempotency key that contains a
	// time is rejected. It is the default window of the agents.
	idempotencyWindow = dedup.DefaultClaimWindow
	// uuidVersionWithTime is the version of UUIDs that start with a timestamp.
	uuidVersionWithTime = 7
)

// containsKey reports whether a value contains an API key: the key of the
// request, or a valid key of any customer.
func containsKey(index *config.Index, ctx *fasthttp.RequestCtx, value []byte) bool {
	if key := presentedKey(ctx); len(key) > 0 && bytes.Contains(value, key) {
		return true
	}
	for _, token := range bytes.FieldsFunc(value, isKeySeparator) {
		if _, ok := index.Customer(config.DigestKey(token)); ok {
			return true
		}
	}
	return false
}

// isKeySeparator reports whether a rune separates an API key from the rest of a
// header or query value.
func isKeySeparator(r rune) bool { return strings.ContainsRune(" ,;=&\"'", r) }

// checkKeyNotForwarded rejects a request whose path or body contains its API
// key, since both are forwarded to the endpoint.
func (r *resolvedRequest) checkKeyNotForwarded(ctx *fasthttp.RequestCtx) error {
	key := presentedKey(ctx)
	if len(key) == 0 {
		return nil
	}
	path, err := url.PathUnescape(r.request.GetPath())
	if err != nil {
		path = r.request.GetPath()
	}
	if strings.Contains(path, string(key)) || bytes.Contains(r.request.GetBody(), key) {
		return fault.New(fault.NotRun, fault.CodeBadRequest, "the key must not be in the path or the body")
	}
	return nil
}

// hasFoldedHeader reports whether a header field continues on the next line.
// Such a request may be framed differently by different parsers.
func hasFoldedHeader(ctx *fasthttp.RequestCtx) bool {
	head := ctx.Request.Header.RawHeaders()
	return bytes.Contains(head, []byte("\n ")) || bytes.Contains(head, []byte("\n\t"))
}

// checkPath rejects paths that the endpoint might interpret differently from
// the path by which the route was selected.
func checkPath(ctx *fasthttp.RequestCtx) error {
	original := string(ctx.URI().PathOriginal())
	decoded, err := url.PathUnescape(original)
	lower := strings.ToLower(original)
	ambiguous := strings.Contains(lower, "%2f") || strings.Contains(lower, "%5c") || strings.ContainsAny(decoded, "\x00\\\r\n")
	if err != nil || ambiguous || decoded != string(ctx.Path()) {
		return fault.New(fault.NotRun, fault.CodeBadRequest, "the path is not in its plain form")
	}
	return nil
}

// readIdempotencyKey reads the caller's idempotency key. It is ignored on
// idempotent routes, whose calls may be repeated anyway. Its digest is scoped
// to the customer and the route.
func (r *resolvedRequest) readIdempotencyKey(now time.Time, ctx *fasthttp.RequestCtx) error {
	key := string(ctx.Request.Header.Peek(headerIdempotencyKey))
	if key == "" || r.call.Route.Idempotent {
		return nil
	}
	if len(key) > maxIdempotencyKeyBytes {
		return fault.New(fault.NotRun, fault.CodeBadRequest, headerIdempotencyKey+" is too long")
	}
	if createdAt, hasTime := keyTime(key); hasTime && now.Sub(createdAt) >= idempotencyWindow {
		return fault.New(fault.MayHaveRun, fault.CodeUnknownResult,
			"the idempotency key is older than keys are remembered")
	}
	r.call.HasIdempotencyKey = true
	r.call.IdempotencyKey = dedup.NewKey(r.call.Customer, r.call.Route.Path, key)
	return nil
}

// idempotencyKeyText returns the digest of the idempotency key as text, empty
// if there is no key.
func (r *resolvedRequest) idempotencyKeyText() string {
	if !r.call.HasIdempotencyKey {
		return ""
	}
	return r.call.IdempotencyKey.String()
}

// keyTime returns the time that an idempotency key contains, if it is a UUID of
// version 7.
func keyTime(key string) (createdAt time.Time, hasTime bool) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != uuidVersionWithTime {
		return time.Time{}, false
	}
	return time.Unix(id.Time().UnixTime()), true
}
