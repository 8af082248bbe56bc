package fakes

import (
	"encoding/json"
	"hash/fnv"
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
	// MaxCompletionTokens is the newer name of MaxTokens in chat completions.
	MaxCompletionTokens int  `json:"max_completion_tokens"`
	Stream              bool `json:"stream"`
	// StreamOptions.IncludeUsage asks for the usage in an event of its own.
	StreamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// promptTokens returns the number of tokens of the prompt.
func (r completionRequest) promptTokens() int { return len(strings.Fields(r.Prompt)) }

// defaultMaxTokens is the length of a completion whose request names none.
const defaultMaxTokens = 16

// parseCompletion parses the body of a request and sets defaults.
func parseCompletion(path string, body []byte) (r completionRequest, err error) {
	if err := json.Unmarshal(body, &r); err != nil {
		return r, err
	}
	if path == pathChat && r.MaxCompletionTokens > 0 {
		r.MaxTokens = r.MaxCompletionTokens
	}
	if r.MaxTokens <= 0 {
		r.MaxTokens = defaultMaxTokens
	}
	if r.Prompt == "" {
		r.Prompt = string(r.Messages)
	}
	return r, nil
}

// handleCompletion handles a request for a completion, streamed or whole.
func (e *Engine) handleCompletion(ctx *fasthttp.RequestCtx) {
	r, err := parseCompletion(string(ctx.Path()), ctx.PostBody())
	if err != nil {
		writeBadRequest(ctx, err)
		return
	}
	faults := e.currentFaults()
	if faults.Fail {
		writeFailure(ctx)
		return
	}
	if !e.isLoaded(r.Model) {
		writeNotLoaded(ctx)
		return
	}
	e.acquireSlot()
	e.cache.store(r.Model, ctx.PostBody())
	format := newAnswerFormat(time.Now(), ctx, r)
	if r.Stream {
		e.writeStream(ctx, format, faults)
		return
	}
	e.writeCompletion(ctx, format, faults)
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

// writeCompletion writes a whole completion.
func (e *Engine) writeCompletion(ctx *fasthttp.RequestCtx, format answerFormat, faults Faults) {
	defer e.releaseSlot()
	r := format.request
	time.Sleep(time.Duration(faults.TokenMs*r.MaxTokens) * time.Millisecond)
	writeJSON(ctx, format.whole(strings.Join(GenerateTokens(r.Model, r.Prompt, r.MaxTokens), "")))
	if faults.CutAfter > 0 {
		sendTruncated(ctx)
	}
}

// Constants of the linear congruential generator of tokens.
const (
	generatorMultiplier = 1664525
	generatorIncrement  = 1013904223
)

// GenerateTokens returns limit tokens that depend only on the model and the
// prompt.
func GenerateTokens(model, prompt string, limit int) []string {
	words := [8]string{"hoodie", "tour", "size", "booth", "order", "queue", "venue", "note"}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(model + "\x00" + prompt)) // never fails
	state := hash.Sum32()
	tokens := make([]string, limit)
	for i := range tokens {
		state = state*generatorMultiplier + generatorIncrement
		tokens[i] = words[state>>29] + " " // the top 3 bits, which vary the most
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
