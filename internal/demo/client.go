package demo

import (
	"fmt"
	"time"

	"github.com/valyala/fasthttp"
)

// response is a response as the caller receives it.
type response struct {
	status  int
	verdict string
	body    string
}

// request describes a caller's request.
type request struct {
	entry          int
	method         string
	path           string
	key            string
	idempotencyKey string
	body           string
}

// requestTimeout is the timeout of a caller's request.
const requestTimeout = 10 * time.Second

// send sends a request. A status of 0 means that no complete response arrived.
func (f *Fleet) send(r request) response {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(r.method)
	req.SetRequestURI(f.EntryURLs[r.entry] + r.path)
	if r.key != "" {
		req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+r.key)
	}
	if r.idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", r.idempotencyKey)
	}
	req.SetBodyString(r.body)
	client := fasthttp.Client{MaxIdemponentCallAttempts: 1}
	if err := client.DoTimeout(req, resp, requestTimeout); err != nil {
		return response{body: err.Error()}
	}
	return response{
		status:  resp.StatusCode(),
		verdict: string(resp.Header.Peek("Dogwoodfold-Verdict")),
		body:    string(resp.Body()),
	}
}

// chatRequest returns a chat completion request for the demo's base model.
func chatRequest(entry int, key string, tokens int, stream bool) request {
	return completionRequest(entry, "lengua-01", key, tokens, stream)
}

// completionRequest returns a chat completion request for a model.
func completionRequest(entry int, model, key string, tokens int, stream bool) request {
	return request{
		entry:  entry,
		method: fasthttp.MethodPost,
		path:   "/v1/chat/completions",
		key:    key,
		body: fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":"two hoodies"}],"max_tokens":%d,"stream":%v}`,
			model, tokens, stream),
	}
}

// String returns the status and the verdict.
func (r response) String() string {
	return fmt.Sprintf("%d %s", r.status, r.verdict)
}
