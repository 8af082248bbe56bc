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
	maxOnceKeyBytes = 255
	// onceWindow is the age at which a dated idempotency key is refused. It is
	// the agents' default window.
	onceWindow = dedup.DefaultClaimWindow
	// uuidDated is the version of UUIDs that begin with their time.
	uuidDated = 7
)

// secret reports whether a value holds a caller's key: the presented one, or
// any that is in force.
func secret(x *config.Index, ctx *fasthttp.RequestCtx, value []byte) bool {
	if key := presentedKey(ctx); len(key) > 0 && bytes.Contains(value, key) {
		return true
	}
	for _, word := range bytes.FieldsFunc(value, betweenWords) {
		if _, ok := x.Customer(config.DigestKey(word)); ok {
			return true
		}
	}
	return false
}

// betweenWords reports whether a rune can't be part of a key inside a value.
func betweenWords(r rune) bool { return strings.ContainsRune(" ,;=&\"'", r) }

// checkSecrets refuses a request whose path or body holds the presented key,
// since both go to the endpoint.
func (r *resolved) checkSecrets(ctx *fasthttp.RequestCtx) error {
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

// folded reports whether a header field goes on in the next line. Two readers
// may see such a request end in two places.
func folded(ctx *fasthttp.RequestCtx) bool {
	head := ctx.Request.Header.RawHeaders()
	return bytes.Contains(head, []byte("\n ")) || bytes.Contains(head, []byte("\n\t"))
}

// checkPath refuses paths that the endpoint might read as another one than the
// route was chosen by.
func checkPath(ctx *fasthttp.RequestCtx) error {
	original := string(ctx.URI().PathOriginal())
	decoded, err := url.PathUnescape(original)
	lower := strings.ToLower(original)
	hidden := strings.Contains(lower, "%2f") || strings.Contains(lower, "%5c") || strings.ContainsAny(decoded, "\x00\\\r\n")
	if err != nil || hidden || decoded != string(ctx.Path()) {
		return fault.New(fault.NotRun, fault.CodeBadRequest, "the path is not in its plain form")
	}
	return nil
}

// once takes the caller's idempotency key. It is not needed where calls may be
// repeated anyway. Its digest is scoped to the customer and the route.
func (r *resolved) once(now time.Time, ctx *fasthttp.RequestCtx) error {
	key := string(ctx.Request.Header.Peek(headerIdempotency))
	if key == "" || r.call.Route.Idempotent {
		return nil
	}
	if len(key) > maxOnceKeyBytes {
		return fault.New(fault.NotRun, fault.CodeBadRequest, headerIdempotency+" is too long")
	}
	if made, dated := madeAt(key); dated && now.Sub(made) >= onceWindow {
		return fault.New(fault.MayHaveRun, fault.CodeUnknownResult,
			"the idempotency key is older than keys are remembered")
	}
	r.call.Once = true
	r.call.OnceKey = dedup.NewKey(r.call.Customer, r.call.Route.Path, key)
	return nil
}

// onceKey returns the digest for the agent, empty without a key.
func (r *resolved) onceKey() string {
	if !r.call.Once {
		return ""
	}
	return r.call.OnceKey.String()
}

// madeAt returns the time that a key carries.
func madeAt(key string) (made time.Time, dated bool) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != uuidDated {
		return time.Time{}, false
	}
	return time.Unix(id.Time().UnixTime()), true
}
