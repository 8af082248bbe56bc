package demo

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/openai/openai-go/v3/packages/param"
	"github.com/openai/openai-go/v3/packages/ssestream"
	"github.com/rs/zerolog"

	"dogwoodfold/internal/fakes"
)

// prompt is the user message of all requests; chatMessages are the messages of a request
// with it, as the client library encodes them.
const (
	prompt       = "two hoodies"
	chatMessages = `[{"content":"two hoodies","role":"user"}]`
)

// startFleet starts a demo fleet that is ready for calls.
func startFleet(t *testing.T) *Fleet {
	t.Helper()
	f, err := Start(t.Context(), zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := f.Stop(); err != nil {
			t.Errorf("stopping the fleet: %v", err)
		}
	})
	if err := f.waitUntilReady(t.Context()); err != nil {
		t.Fatal(err)
	}
	return f
}

// openAIClient returns a client of the first entry that makes no retries.
func openAIClient(f *Fleet, key string) openai.Client {
	return openai.NewClient(
		option.WithBaseURL(f.EntryURLs[0]+"/v1"),
		option.WithAPIKey(key),
		option.WithMaxRetries(0))
}

// chatParams returns a request of the demo's base model.
func chatParams(maxTokens int64) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:     "lengua-01",
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage(prompt)},
		MaxTokens: openai.Int(maxTokens),
	}
}

// wantContent returns the content of a chat completion of the demo's base model.
func wantContent(maxTokens int) string {
	return strings.Join(fakes.GenerateTokens("lengua-01", chatMessages, maxTokens), "")
}

// readStream reads a stream to its end.
func readStream(t *testing.T, stream *ssestream.Stream[openai.ChatCompletionChunk]) ([]openai.ChatCompletionChunk, error) {
	t.Helper()
	defer func() { _ = stream.Close() }()
	var chunks []openai.ChatCompletionChunk
	for stream.Next() {
		chunks = append(chunks, stream.Current())
	}
	return chunks, stream.Err()
}

// streamedContent returns the content of all chunks of a stream.
func streamedContent(chunks []openai.ChatCompletionChunk) string {
	var content strings.Builder
	for _, chunk := range chunks {
		for _, choice := range chunk.Choices {
			content.WriteString(choice.Delta.Content)
		}
	}
	return content.String()
}

// checkAPIError checks that err is an error of the API with a status, a type, a code and
// the request's field that caused it, and returns the header of the response.
func checkAPIError(t *testing.T, err error, status int, errorType, code, field string) http.Header {
	t.Helper()
	var apiErr *openai.Error
	if !errors.As(err, &apiErr) {
		t.Fatalf("error %v, want one of the API", err)
	}
	if apiErr.StatusCode != status || apiErr.Type != errorType || apiErr.Code != code || apiErr.Param != field {
		t.Errorf("error %d %q %q %q, want %d %q %q %q", apiErr.StatusCode, apiErr.Type, apiErr.Code, apiErr.Param,
			status, errorType, code, field)
	}
	if apiErr.Message == "" || apiErr.JSON.Param.Raw() == "" {
		t.Errorf("error without a message or param: %s", apiErr.RawJSON())
	}
	return apiErr.Response.Header
}

func TestClientLibraryListsModels(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	client := openAIClient(f, Customers()[0].Key)
	page, err := client.Models.List(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	var ids []string
	for _, model := range page.Data {
		ids = append(ids, model.ID)
		if model.Object != "model" || model.OwnedBy != "lengua" || !model.JSON.Created.Valid() {
			t.Errorf("model %s", model.RawJSON())
		}
	}
	if got := strings.Join(ids, " "); got != "lengua-01 lengua-01:big-tour" {
		t.Errorf("models %q", got)
	}
	unknown := openAIClient(f, "no-such-key")
	if _, err := unknown.Models.List(t.Context()); err == nil {
		t.Error("models are listed for an unknown key")
	}
}

func TestClientLibraryGetsWholeChatCompletion(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	client := openAIClient(f, Customers()[0].Key)
	completion, err := client.Chat.Completions.New(t.Context(), chatParams(8))
	if err != nil {
		t.Fatal(err)
	}
	if len(completion.Choices) != 1 {
		t.Fatalf("%d choices: %s", len(completion.Choices), completion.RawJSON())
	}
	choice := completion.Choices[0]
	if choice.Message.Content != wantContent(8) || choice.Message.Role != "assistant" || choice.FinishReason != "length" {
		t.Errorf("choice %s, want the content %q", choice.RawJSON(), wantContent(8))
	}
	if !strings.HasPrefix(completion.ID, "chatcmpl-") || completion.Object != "chat.completion" || completion.Model != "lengua-01" {
		t.Errorf("completion %s", completion.RawJSON())
	}
	if age := time.Since(time.Unix(completion.Created, 0)); age < 0 || age > time.Minute {
		t.Errorf("created %v ago", age)
	}
	usage := completion.Usage
	if usage.CompletionTokens != 8 || usage.PromptTokens == 0 || usage.TotalTokens != usage.PromptTokens+8 {
		t.Errorf("usage %s", usage.RawJSON())
	}
}

func TestClientLibraryStreamsChatCompletion(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	client := openAIClient(f, Customers()[0].Key)
	for _, includeUsage := range []bool{false, true} {
		params := chatParams(20)
		if includeUsage {
			params.StreamOptions.IncludeUsage = openai.Bool(true)
		}
		chunks, err := readStream(t, client.Chat.Completions.NewStreaming(t.Context(), params))
		if err != nil {
			t.Fatal(err)
		}
		var accumulated openai.ChatCompletionAccumulator
		for _, chunk := range chunks {
			if !accumulated.AddChunk(chunk) {
				t.Errorf("chunk doesn't continue the stream: %s", chunk.RawJSON())
			}
			if chunk.Object != "chat.completion.chunk" || chunk.Model != "lengua-01" || chunk.Created == 0 {
				t.Errorf("chunk %s", chunk.RawJSON())
			}
		}
		if len(accumulated.Choices) != 1 {
			t.Fatalf("%d choices", len(accumulated.Choices))
		}
		choice := accumulated.Choices[0]
		if choice.Message.Content != wantContent(20) || choice.Message.Role != "assistant" || choice.FinishReason != "length" {
			t.Errorf("choice %+v, want the content %q", choice, wantContent(20))
		}
		if !strings.HasPrefix(accumulated.ID, "chatcmpl-") || accumulated.Usage.CompletionTokens != 20 {
			t.Errorf("ID %q, usage %+v", accumulated.ID, accumulated.Usage)
		}
		// Only callers that ask for a chunk of usage expect one without choices.
		last := chunks[len(chunks)-1]
		if hasChoice := len(last.Choices) == 1; hasChoice == includeUsage || !last.JSON.Choices.Valid() || !last.JSON.Usage.Valid() {
			t.Errorf("usage asked for: %v, last chunk %s", includeUsage, last.RawJSON())
		}
	}
}

func TestClientLibraryReadsRefusals(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	client := openAIClient(f, Customers()[0].Key)
	unknownKey := openAIClient(f, "no-such-key")

	_, err := unknownKey.Chat.Completions.New(t.Context(), chatParams(8))
	checkAPIError(t, err, http.StatusUnauthorized, "invalid_request_error", "invalid_key", "")

	params := chatParams(8)
	params.Model = "no-such-model"
	_, err = client.Chat.Completions.New(t.Context(), params)
	checkAPIError(t, err, http.StatusNotFound, "invalid_request_error", "unknown_model", "model")

	_, err = client.Chat.Completions.New(t.Context(), chatParams(0))
	checkAPIError(t, err, http.StatusBadRequest, "invalid_request_error", "bad_request", "max_tokens")

	f.engine.SetFaults(fakes.Faults{Fail: true})
	_, err = client.Chat.Completions.New(t.Context(), chatParams(8))
	checkAPIError(t, err, http.StatusInternalServerError, "server_error", "engine_failed", "")
}

func TestClientLibraryWaitsForRetryAfter(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	client := openAIClient(f, Customers()[1].Key)
	if _, err := client.Chat.Completions.New(t.Context(), chatParams(150)); err != nil {
		t.Fatal(err)
	}
	_, err := client.Chat.Completions.New(t.Context(), chatParams(40))
	header := checkAPIError(t, err, http.StatusTooManyRequests, "rate_limit_error", "rate_limited", "")
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds < 1 {
		t.Fatalf("Retry-After %q", header.Get("Retry-After"))
	}
	// The library repeats the request after the time of Retry-After.
	started := time.Now()
	if _, err := client.Chat.Completions.New(t.Context(), chatParams(40), option.WithMaxRetries(2)); err != nil {
		t.Errorf("after %v with retries: %v", time.Since(started), err)
	}
}

// TestClientLibraryLimitsCompletionTokens checks that max_completion_tokens, which has taken
// the place of max_tokens, is what a call reserves and gets.
func TestClientLibraryLimitsCompletionTokens(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	params := chatParams(0)
	params.MaxTokens = param.Opt[int64]{}
	for _, test := range []struct {
		customer Customer
		limit    int64
	}{
		{customer: Customers()[1], limit: 20},  // its burst is 200 tokens
		{customer: Customers()[0], limit: 400}, // more than the default of 256
	} {
		params.MaxCompletionTokens = openai.Int(test.limit)
		client := openAIClient(f, test.customer.Key)
		completion, err := client.Chat.Completions.New(t.Context(), params)
		if err != nil {
			t.Errorf("limit %d: %v", test.limit, err)
			continue
		}
		if completion.Usage.CompletionTokens != test.limit {
			t.Errorf("limit %d: usage %s", test.limit, completion.Usage.RawJSON())
		}
	}
}

func TestClientLibrarySeesCutStream(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	client := openAIClient(f, Customers()[0].Key)
	const sent = 5
	f.engine.SetFaults(fakes.Faults{CutAfter: sent})
	chunks, err := readStream(t, client.Chat.Completions.NewStreaming(t.Context(), chatParams(20)))
	if got := streamedContent(chunks); got != wantContent(sent) {
		t.Errorf("content %q, want %q", got, wantContent(sent))
	}
	for _, chunk := range chunks {
		if len(chunk.Choices) != 1 || chunk.Choices[0].FinishReason != "" {
			t.Errorf("chunk %s of a cut stream", chunk.RawJSON())
		}
	}
	var streamErr *ssestream.StreamError
	if !errors.As(err, &streamErr) {
		t.Fatalf("cut stream ends with the error %v", err)
	}
	for _, field := range []string{`"type":"server_error"`, `"code":"answer_cut"`, `"param":null`} {
		if !strings.Contains(string(streamErr.Event.Data), field) {
			t.Errorf("last event %s, want %s", streamErr.Event.Data, field)
		}
	}
}

// TestClientLibraryIsCanceled checks that a canceled stream ends with the cancelation and
// not as a complete one.
func TestClientLibraryIsCanceled(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	client := openAIClient(f, Customers()[0].Key)
	f.engine.SetFaults(fakes.Faults{TokenMs: 50})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	stream := client.Chat.Completions.NewStreaming(ctx, chatParams(200))
	defer func() { _ = stream.Close() }()
	if !stream.Next() {
		t.Fatalf("no chunk: %v", stream.Err())
	}
	cancel()
	for stream.Next() {
		continue
	}
	if !errors.Is(stream.Err(), context.Canceled) {
		t.Errorf("error %v, want a cancelation", stream.Err())
	}
}
