package demo

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
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

func TestClientLibraryGetsWholeChatCompletion(t *testing.T) {
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

// TestClientLibraryIsCanceled checks that a canceled stream ends with the cancelation and
// not as a complete one.
func TestClientLibraryIsCanceled(t *testing.T) {
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
