package entry

import (
	"bytes"
	"encoding/json"
	"net/url"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"dogwoodfold/internal/prefix"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/config"
	"dogwoodfold/pkg/fault"
)

const (
	defaultTimeout   = 60 * time.Second
	longestTimeout   = 10 * time.Minute
	defaultMaxTokens = 256
	largestMaxTokens = 1 << 20
	// bytesPerToken is how prompts' tokens are estimated.
	bytesPerToken = 3
)

// Header fields of the callers' interface.
const (
	headerKey         = "X-Api-Key"
	headerIdempotency = "Idempotency-Key"
	headerTimeout     = "X-Request-Timeout"
	headerRequestID   = "X-Request-Id"
	headerVerdict     = "Dogwoodfold-Verdict"
)

// resolved is a request with all that the configuration says of it.
type resolved struct {
	call    Call
	request *wirepb.CallRequest
}

// completion is what the entry reads of a completion request's body.
type completion struct {
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
	MaxTokens *int   `json:"max_tokens"`
	// Prompt or Messages is the prompt, read only for its blocks.
	Prompt   json.RawMessage `json:"prompt"`
	Messages json.RawMessage `json:"messages"`
}

// resolve checks a request against the configuration and builds what is sent
// to the agent. Only listed headers and query fields are copied.
func resolve(now time.Time, x *config.Index, id string, ctx *fasthttp.RequestCtx) (*resolved, error) {
	route, ok := x.Route(string(ctx.Method()), string(ctx.Path()))
	if !ok {
		return nil, fault.New(fault.NotRun, fault.CodeNoRoute, "no route serves this path and method")
	}
	r := &resolved{
		call: Call{
			ID:    id,
			Route: route,
		},
	}
	if err := checkPath(ctx); err != nil {
		return nil, err
	}
	if err := r.authenticate(x, ctx); err != nil {
		return nil, err
	}
	if err := r.once(now, ctx); err != nil {
		return nil, err
	}
	timeout, err := timeoutOf(route, ctx)
	if err != nil {
		return nil, err
	}
	r.call.Deadline = now.Add(timeout)
	r.request = &wirepb.CallRequest{
		Id:             id,
		Customer:       r.call.Customer,
		Service:        route.Service,
		Method:         string(ctx.Method()),
		Path:           string(ctx.URI().PathOriginal()),
		Query:          allowedQuery(x, route, ctx),
		Headers:        allowedHeaders(x, route, ctx),
		Body:           ctx.PostBody(),
		Idempotent:     route.Idempotent,
		IdempotencyKey: r.onceKey(),
		RunWithoutLog:  route.RunWithoutLog,
		Batch:          route.Priority == config.PriorityBatch,
	}
	if err := r.checkSecrets(ctx); err != nil {
		return nil, err
	}
	if x.Text.Services[route.Service].Kind == config.KindPlain {
		r.call.Tokens = route.TokensPerCall
		return r, nil
	}
	return r, r.completion(x)
}

// authenticate finds the customer by the key that came with the request.
func (r *resolved) authenticate(x *config.Index, ctx *fasthttp.RequestCtx) error {
	if r.call.Route.Access == config.AccessOpen {
		return nil
	}
	key := presentedKey(ctx)
	if len(key) == 0 {
		return fault.New(fault.NotRun, fault.CodeNoKey, "a key is needed: Authorization: Bearer or X-Api-Key")
	}
	digest := config.DigestKey(key)
	customer, ok := x.Customer(digest)
	if !ok {
		return fault.New(fault.NotRun, fault.CodeBadKey, "the key is not valid")
	}
	c := x.Text.Customers[customer]
	if !c.MayCall(r.call.Route.Service) {
		return fault.New(fault.NotRun, fault.CodeForbidden, "the customer may not call this service")
	}
	r.call.Keyed, r.call.Key, r.call.Customer = true, digest, customer
	return nil
}

// presentedKey returns the key of a request, nil if there is none.
func presentedKey(ctx *fasthttp.RequestCtx) []byte {
	authorization := ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)
	const scheme = "bearer "
	if len(authorization) > len(scheme) && strings.EqualFold(string(authorization[:len(scheme)]), scheme) {
		return bytes.TrimSpace(authorization[len(scheme):])
	}
	return ctx.Request.Header.Peek(headerKey)
}

// timeoutOf returns the time that a call may take.
func timeoutOf(route config.Route, ctx *fasthttp.RequestCtx) (time.Duration, error) {
	timeout := route.Timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	asked := string(ctx.Request.Header.Peek(headerTimeout))
	if asked == "" {
		return timeout, nil
	}
	d, err := time.ParseDuration(asked)
	if err != nil || d <= 0 || d > longestTimeout {
		return 0, fault.New(fault.NotRun, fault.CodeBadRequest, headerTimeout+" is not a duration such as 2.5s")
	}
	return d, nil
}

// completion reads the body of a completion request.
func (r *resolved) completion(x *config.Index) error {
	var body completion
	if err := json.Unmarshal(r.request.GetBody(), &body); err != nil {
		return fault.New(fault.NotRun, fault.CodeBadRequest, "the body is not a JSON object of a completion request")
	}
	name, adapter, _ := strings.Cut(body.Model, ":")
	model, ok := x.Text.Models[name]
	if !ok || model.Service != r.call.Route.Service {
		return fault.New(fault.NotRun, fault.CodeNoModel, "no such model")
	}
	if _, ok := model.Adapters[adapter]; adapter != "" && !ok {
		return fault.New(fault.NotRun, fault.CodeNoModel, "no such adapter")
	}
	if c := x.Text.Customers[r.call.Customer]; r.call.Keyed && !c.MayUse(name) {
		return fault.New(fault.NotRun, fault.CodeForbidden, "the customer may not use this model")
	}
	return r.reserve(body, name, model.Version, adapter)
}

// reserve works out the tokens of a completion request.
func (r *resolved) reserve(body completion, model, version, adapter string) error {
	limit := defaultMaxTokens
	if body.MaxTokens != nil {
		limit = *body.MaxTokens
	} else {
		r.request.Body = withMaxTokens(r.request.GetBody(), limit)
	}
	if limit < 1 || limit > largestMaxTokens {
		return fault.New(fault.NotRun, fault.CodeBadRequest, "max_tokens is out of range")
	}
	prompt := len(r.request.GetBody())/bytesPerToken + 1
	r.call.Model, r.call.Version, r.call.Adapter = model, version, adapter
	r.call.Tokens = float64(prompt + limit)
	r.call.Prompt = prompt
	r.call.Blocks = prefix.Chain(body.Model, append(body.Prompt, body.Messages...))
	r.call.Streams = body.Stream
	r.request.Model, r.request.Version, r.request.Adapter = model, version, adapter
	r.request.Stream = body.Stream
	r.request.PromptTokens = uint32(prompt)
	r.request.MaxTokens = uint32(limit)
	return nil
}

// withMaxTokens adds the limit that was reserved to a JSON object.
func withMaxTokens(body []byte, limit int) []byte {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return body
	}
	value, err := json.Marshal(limit)
	if err != nil {
		return body
	}
	fields["max_tokens"] = value
	out, err := json.Marshal(fields)
	if err != nil {
		return body
	}
	return out
}

// alwaysAllowed are the header fields that each route passes on.
var alwaysAllowed = []string{"Content-Type", "Accept"}

func allowedHeaders(x *config.Index, route config.Route, ctx *fasthttp.RequestCtx) []*wirepb.Header {
	var headers []*wirepb.Header
	for _, names := range [][]string{alwaysAllowed, route.Headers} {
		for _, name := range names {
			if value := ctx.Request.Header.Peek(name); len(value) > 0 && !secret(x, ctx, value) {
				headers = append(headers, &wirepb.Header{
					Name:  name,
					Value: string(value),
				})
			}
		}
	}
	return headers
}

func allowedQuery(x *config.Index, route config.Route, ctx *fasthttp.RequestCtx) string {
	query := url.Values{}
	for _, name := range route.Query {
		for _, value := range ctx.QueryArgs().PeekMulti(name) {
			if !secret(x, ctx, value) {
				query.Add(name, string(value))
			}
		}
	}
	return query.Encode()
}
