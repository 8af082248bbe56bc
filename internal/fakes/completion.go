package fakes

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// completionRequest holds the fields of a completion request that the engine
// uses.
type completionRequest struct {
	Model     string          `json:"model"`
	Prompt    string          `json:"prompt"`
	Messages  json.RawMessage `json:"messages"`
	MaxTokens int             `json:"max_tokens"`
	Stream    bool            `json:"stream"`
}

func (e *Engine) handleCompletion(ctx *fasthttp.RequestCtx) {
	var r completionRequest
	if err := json.Unmarshal(ctx.PostBody(), &r); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if r.MaxTokens <= 0 {
		r.MaxTokens = 16
	}
	if r.Prompt == "" {
		r.Prompt = string(r.Messages)
	}
	faults := e.currentFaults()
	if faults.Fail {
		ctx.Error(`{"error":{"code":"engine_failed"}}`, fasthttp.StatusInternalServerError)
		return
	}
	if !e.isLoaded(r.Model) {
		ctx.Response.Header.Set("Endpoint-Not-Run", "1")
		ctx.Error(`{"error":{"code":"not_loaded"}}`, fasthttp.StatusConflict)
		return
	}
	e.acquireSlot()
	e.cache.store(r.Model, ctx.PostBody())
	if r.Stream {
		e.writeStream(ctx, r, faults)
		return
	}
	e.writeCompletion(ctx, r, faults)
}

// isLoaded reports whether a model is loaded, with the adapter that may follow the
// name after a colon.
func (e *Engine) isLoaded(name string) bool {
	model, adapter, _ := strings.Cut(name, ":")
	e.stateMu.Lock()
	defer e.stateMu.Unlock()
	for _, r := range e.residents {
		if r.Ready && r.Model == model && r.Adapter == adapter {
			return true
		}
	}
	return false
}

// completionResponse is the response body of a completion that is not streamed.
type completionResponse struct {
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   usage    `json:"usage"`
}

type choice struct {
	Text string `json:"text"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

func usageOf(r completionRequest) usage {
	return usage{
		PromptTokens:     len(strings.Fields(r.Prompt)),
		CompletionTokens: r.MaxTokens,
	}
}

func (e *Engine) writeCompletion(ctx *fasthttp.RequestCtx, r completionRequest, faults Faults) {
	defer e.releaseSlot()
	time.Sleep(time.Duration(faults.TokenMs*r.MaxTokens) * time.Millisecond)
	writeJSON(ctx, completionResponse{
		Model:   r.Model,
		Choices: []choice{{Text: strings.Join(GenerateTokens(r.Model, r.Prompt, r.MaxTokens), "")}},
		Usage:   usageOf(r),
	})
	if faults.CutAfter > 0 {
		sendTruncated(ctx)
	}
}

// GenerateTokens returns limit tokens that depend only on the model and the
// prompt.
func GenerateTokens(model, prompt string, limit int) []string {
	words := []string{"hoodie", "tour", "size", "booth", "order", "queue", "venue", "note"}
	hash := uint32(2166136261)
	for _, b := range []byte(model + "\x00" + prompt) {
		hash = (hash ^ uint32(b)) * 16777619
	}
	tokens := make([]string, limit)
	for i := range tokens {
		hash = hash*1664525 + 1013904223
		tokens[i] = words[hash>>29] + " "
	}
	return tokens
}

// acquireSlot waits for a free slot and counts a running request.
func (e *Engine) acquireSlot() {
	if e.freeSlots != nil {
		<-e.freeSlots
	}
	e.stateMu.Lock()
	defer e.stateMu.Unlock()
	e.running++
}

// releaseSlot releases a slot acquired by acquireSlot.
func (e *Engine) releaseSlot() {
	e.stateMu.Lock()
	e.running--
	e.stateMu.Unlock()
	if e.freeSlots != nil {
		e.freeSlots <- struct{}{}
	}
}
