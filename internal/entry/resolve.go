package entry

import (
	"bytes"
	"encoding/json"
	"net/url"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"dogwoodfold/internal/dedup"
	"dogwoodfold/internal/poison"
	"dogwoodfold/internal/prefix"
	"dogwoodfold/internal/wire/wirepb"
	"dogwoodfold/pkg/config"
	"dogwoodfold/pkg/fault"
)

const (
	defaultTimeout   = 60 * time.Second
	maxTimeout       = 10 * time.Minute
	defaultMaxTokens = 256
	maxTokensLimit   = 1 << 20
	// bytesPerToken is the ratio by which the tokens of a prompt are estimated.
	bytesPerToken = 3
)

// Header fields of the API.
const (
	headerAPIKey         = "X-Api-Key"
	headerIdempotencyKey = "Idempotency-Key"
	headerTimeout        = "X-Request-Timeout"
	headerRequestID      = "X-Request-Id"
	headerVerdict        = "Dogwoodfold-Verdict"
)

// resolvedRequest is a request and what the configuration determines for it.
type resolvedRequest struct {
	call    Call
	request *wirepb.CallRequest
}

// completionRequest contains the fields that the entry reads from the body of a
// completion request.
type completionRequest struct {
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
	MaxTokens *int   `json:"max_tokens"`
	// MaxCompletionTokens is the newer name of MaxTokens in chat completions.
	MaxCompletionTokens *int `json:"max_completion_tokens"`
	// Prompt or Messages contains the prompt. It is only used to hash the
	// prompt's blocks.
	Prompt   json.RawMessage `json:"prompt"`
	Messages json.RawMessage `json:"messages"`
}

// resolveRequest validates a request against the configuration and builds the
// message to the agent. Only configured header fields and query parameters are
// forwarded.
func resolveRequest(now time.Time, index *config.Index, id string, ctx *fasthttp.RequestCtx) (*resolvedRequest, error) {
	route, ok := index.Route(string(ctx.Method()), string(ctx.Path()))
	if !ok {
		return nil, fault.New(fault.NotRun, fault.CodeNoRoute, "no route serves this path and method")
	}
	resolved := &resolvedRequest{
		call: Call{
			ID:    id,
			Route: route,
		},
	}
	if err := checkPath(ctx); err != nil {
		return nil, err
	}
	if err := resolved.authenticate(index, ctx); err != nil {
		return nil, err
	}
	if err := resolved.readIdempotencyKey(now, ctx); err != nil {
		return nil, err
	}
	timeout, err := requestTimeout(route, ctx)
	if err != nil {
		return nil, err
	}
	resolved.call.Deadline = now.Add(timeout)
	resolved.buildRequest(index, ctx)
	if err := resolved.checkKeyNotForwarded(ctx); err != nil {
		return nil, err
	}
	resolved.call.Fingerprint = fingerprint(resolved.request)
	if index.Config.Services[route.Service].Kind == config.KindPlain {
		resolved.call.Tokens = route.TokensPerCall
		return resolved, nil
	}
	return resolved, resolved.resolveCompletion(index)
}

// buildRequest builds the message to the agent.
func (r *resolvedRequest) buildRequest(index *config.Index, ctx *fasthttp.RequestCtx) {
	route := r.call.Route
	r.request = &wirepb.CallRequest{
		Id:             r.call.ID,
		Customer:       r.call.Customer,
		Service:        route.Service,
		Method:         string(ctx.Method()),
		Path:           string(ctx.URI().PathOriginal()),
		Query:          forwardedQuery(index, route, ctx),
		Headers:        forwardedHeaders(index, route, ctx),
		Body:           ctx.PostBody(),
		Idempotent:     route.Idempotent,
		IdempotencyKey: r.idempotencyKeyText(),
		RunWithoutLog:  route.RunWithoutLog,
		Batch:          route.Priority == config.PriorityBatch,
	}
}

// fingerprint returns the hash of what a call asks of its endpoint, by which a repeat is
// recognized whatever its ID, its idempotency key and its deadline are. It is judged like
// the parts of prompts: entries share no leader that could grant trials of it.
func fingerprint(request *wirepb.CallRequest) poison.Part {
	digest := dedup.NewRequestDigest(request.GetMethod(), request.GetPath(), request.GetQuery(),
		request.GetCustomer(), string(request.GetBody()))
	return poison.PartOfHash(uint64(digest))
}

// authenticate determines the customer from the API key of the request.
func (r *resolvedRequest) authenticate(index *config.Index, ctx *fasthttp.RequestCtx) error {
	if r.call.Route.Access == config.AccessOpen {
		return nil
	}
	key := presentedKey(ctx)
	if len(key) == 0 {
		return fault.New(fault.NotRun, fault.CodeNoKey, "a key is needed: Authorization: Bearer or X-Api-Key")
	}
	digest := config.DigestKey(key)
	customer, ok := index.Customer(digest)
	if !ok {
		return fault.New(fault.NotRun, fault.CodeBadKey, "the key is not valid")
	}
	permissions := index.Config.Customers[customer]
	if !permissions.MayCall(r.call.Route.Service) {
		return fault.New(fault.NotRun, fault.CodeForbidden, "the customer may not call this service")
	}
	r.call.Authenticated, r.call.KeyDigest, r.call.Customer = true, digest, customer
	return nil
}

// presentedKey returns the API key of a request, nil if there is none.
func presentedKey(ctx *fasthttp.RequestCtx) []byte {
	authorization := ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)
	const scheme = "bearer "
	if len(authorization) > len(scheme) && strings.EqualFold(string(authorization[:len(scheme)]), scheme) {
		return bytes.TrimSpace(authorization[len(scheme):])
	}
	return ctx.Request.Header.Peek(headerAPIKey)
}

// requestTimeout returns the time limit of a call.
func requestTimeout(route config.Route, ctx *fasthttp.RequestCtx) (time.Duration, error) {
	timeout := route.Timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	requested := string(ctx.Request.Header.Peek(headerTimeout))
	if requested == "" {
		return timeout, nil
	}
	parsed, err := time.ParseDuration(requested)
	if err != nil || parsed <= 0 || parsed > maxTimeout {
		return 0, fault.New(fault.NotRun, fault.CodeBadRequest, headerTimeout+" is not a duration such as 2.5s")
	}
	return parsed, nil
}

// resolveCompletion resolves the body of a completion request.
func (r *resolvedRequest) resolveCompletion(index *config.Index) error {
	var body completionRequest
	if err := json.Unmarshal(r.request.GetBody(), &body); err != nil {
		return fault.New(fault.NotRun, fault.CodeBadRequest, "the body is not a JSON object of a completion request")
	}
	name, adapter, _ := strings.Cut(body.Model, ":")
	model, ok := index.Config.Models[name]
	if !ok || model.Service != r.call.Route.Service {
		return fault.WithParam(fault.New(fault.NotRun, fault.CodeNoModel, "no such model"), "model")
	}
	if _, ok := model.Adapters[adapter]; adapter != "" && !ok {
		return fault.WithParam(fault.New(fault.NotRun, fault.CodeNoModel, "no such adapter"), "model")
	}
	if permissions := index.Config.Customers[r.call.Customer]; r.call.Authenticated && !permissions.MayUse(name) {
		return fault.WithParam(fault.New(fault.NotRun, fault.CodeForbidden, "the customer may not use this model"), "model")
	}
	return r.setTokens(body, name, model.Version, adapter)
}

// setTokens estimates the tokens of a completion request and sets its model.
func (r *resolvedRequest) setTokens(body completionRequest, model, version, adapter string) error {
	maxTokens, err := r.limitOutput(body)
	if err != nil {
		return err
	}
	promptTokens := len(r.request.GetBody())/bytesPerToken + 1
	r.call.Model, r.call.Version, r.call.Adapter = model, version, adapter
	r.call.Tokens = float64(promptTokens + maxTokens)
	r.call.PromptTokens = promptTokens
	r.call.PromptBlocks = prefix.BlockHashes(body.Model, append(body.Prompt, body.Messages...))
	r.call.PromptParts = promptParts(body)
	r.call.Streaming = body.Stream
	r.request.Model, r.request.Version, r.request.Adapter = model, version, adapter
	r.request.Stream = body.Stream
	r.request.PromptTokens = uint32(promptTokens)
	r.request.MaxTokens = uint32(maxTokens)
	return nil
}

// limitOutput returns the highest number of tokens that the endpoint may generate. It adds
// the default to a request that names no limit.
func (r *resolvedRequest) limitOutput(body completionRequest) (int, error) {
	maxTokens := 0
	if limit := body.MaxTokens; limit != nil {
		if err := checkOutputLimit(*limit, "max_tokens"); err != nil {
			return 0, err
		}
		maxTokens = *limit
	}
	// Which of two limits counts is up to the endpoint.
	if limit := body.MaxCompletionTokens; limit != nil && r.request.GetPath() == pathChat {
		if err := checkOutputLimit(*limit, "max_completion_tokens"); err != nil {
			return 0, err
		}
		maxTokens = max(maxTokens, *limit)
	}
	if maxTokens == 0 {
		maxTokens = defaultMaxTokens
		r.request.Body = withMaxTokens(r.request.GetBody(), maxTokens)
	}
	return maxTokens, nil
}

// checkOutputLimit checks the limit in a field of a completion request.
func checkOutputLimit(limit int, field string) error {
	if limit >= 1 && limit <= maxTokensLimit {
		return nil
	}
	err := fault.New(fault.NotRun, fault.CodeBadRequest, field+" is out of range")
	return fault.WithParam(err, field)
}

// promptParts returns the messages of a prompt, or the whole prompt if it has none.
func promptParts(body completionRequest) []poison.Part {
	var messages []json.RawMessage
	if len(body.Messages) > 0 && json.Unmarshal(body.Messages, &messages) != nil {
		messages = []json.RawMessage{body.Messages}
	}
	if len(body.Prompt) > 0 {
		messages = append(messages, body.Prompt)
	}
	out := make([]poison.Part, 0, len(messages))
	for _, message := range messages {
		out = append(out, poison.NewPart(string(message)))
	}
	return out
}

// withMaxTokens adds a max_tokens field with the reserved limit to a JSON
// object. It returns the body unchanged if it can't be parsed.
func withMaxTokens(body []byte, maxTokens int) []byte {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return body
	}
	encoded, err := json.Marshal(maxTokens)
	if err != nil {
		return body
	}
	fields["max_tokens"] = encoded
	result, err := json.Marshal(fields)
	if err != nil {
		return body
	}
	return result
}

// alwaysForwarded are the header fields that every route forwards.
var alwaysForwarded = []string{"Content-Type", "Accept"}

func forwardedHeaders(index *config.Index, route config.Route, ctx *fasthttp.RequestCtx) []*wirepb.Header {
	var headers []*wirepb.Header
	for _, names := range [][]string{alwaysForwarded, route.Headers} {
		for _, name := range names {
			if value := ctx.Request.Header.Peek(name); len(value) > 0 && !containsKey(index, ctx, value) {
				headers = append(headers, &wirepb.Header{
					Name:  name,
					Value: string(value),
				})
			}
		}
	}
	return headers
}

func forwardedQuery(index *config.Index, route config.Route, ctx *fasthttp.RequestCtx) string {
	query := url.Values{}
	for _, name := range route.Query {
		for _, value := range ctx.QueryArgs().PeekMulti(name) {
			if !containsKey(index, ctx, value) {
				query.Add(name, string(value))
			}
		}
	}
	return query.Encode()
}
