package fakes

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/valyala/fasthttp"

	"dogwoodfold/internal/plat"
)

// newTestEngine returns an engine that has the model m loaded.
func newTestEngine() *Engine {
	return NewEngine(EngineSettings{Residents: []plat.Resident{{
		Model: "m",
		Ready: true,
	}}})
}

// post sends a request to an engine and returns the response.
func post(e *Engine, path, body string) *fasthttp.Response {
	var request fasthttp.Request
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI(path)
	request.Header.Set("X-Request-Id", "r1")
	request.SetBodyString(body)
	ctx := &fasthttp.RequestCtx{}
	ctx.Init(&request, nil, nil)
	e.Handler()(ctx)
	response := &fasthttp.Response{}
	ctx.Response.CopyTo(response)
	response.SetBody(ctx.Response.Body()) // reads a stream to its end
	return response
}

// requestOf returns the body of a request for 3 tokens, and the prompt that the tokens
// depend on.
func requestOf(path, more string) (body, prompt string) {
	prompt, field := "two words", `"prompt":"two words"`
	if path == "/v1/chat/completions" {
		prompt = `[{"role":"user","content":"two words"}]`
		field = `"messages":` + prompt
	}
	return fmt.Sprintf(`{"model":"m",%s,"max_tokens":3%s}`, field, more), prompt
}

func TestEngineErrors(t *testing.T) {
	body, _ := requestOf("/v1/chat/completions", "")
	for _, test := range []struct {
		body, errorType, code, param string
		status                       int
		notRun                       bool
		faults                       Faults
	}{
		{body: "nonsense", status: 400, errorType: "invalid_request_error", code: "bad_request", param: "null"},
		{body: body, status: 500, errorType: "server_error", code: "engine_failed", param: "null", faults: Faults{Fail: true}},
		{
			body: `{"model":"other"}`, status: 409, errorType: "invalid_request_error", code: "not_loaded", param: `"model"`,
			notRun: true,
		},
	} {
		e := newTestEngine()
		e.SetFaults(test.faults)
		response := post(e, "/v1/chat/completions", test.body)
		var parsed struct {
			Error struct {
				Message, Type, Code string
				Param               json.RawMessage
			}
		}
		if err := json.Unmarshal(response.Body(), &parsed); err != nil {
			t.Errorf("%s: %v", response.Body(), err)
			continue
		}
		got := parsed.Error
		if got.Message == "" || got.Type != test.errorType || got.Code != test.code || string(got.Param) != test.param {
			t.Errorf("error %s, want %s %s %s", response.Body(), test.errorType, test.code, test.param)
		}
		if response.StatusCode() != test.status || string(response.Header.ContentType()) != "application/json" {
			t.Errorf("%s: status %d, type %s", response.Body(), response.StatusCode(), response.Header.ContentType())
		}
		if notRun := len(response.Header.Peek("Endpoint-Not-Run")) > 0; notRun != test.notRun {
			t.Errorf("%s: marked as not run: %v, want %v", response.Body(), notRun, test.notRun)
		}
	}
}
