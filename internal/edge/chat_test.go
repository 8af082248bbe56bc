package edge

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"dogwoodfold/platform"
)

// hostTransport sends requests with this Host header.
type hostTransport string

// RoundTrip implements http.RoundTripper.
func (t hostTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Host = string(t)
	return http.DefaultTransport.RoundTrip(r)
}

// openAIClient returns a client of the entry that makes no retries. Its requests take the
// route of a path.
func (f *fixture) openAIClient(path string) openai.Client {
	return openai.NewClient(
		option.WithBaseURL(f.baseURL+path),
		option.WithAPIKey("unused"),
		option.WithHeaderDel("Authorization"),
		option.WithHeader(platform.HeaderAPIKey, "key-1"),
		option.WithHeader(platform.HeaderRequestID, "r-chat"),
		option.WithHeader(platform.HeaderDeadline, "3000"),
		option.WithHeader(platform.HeaderModel, "m"),
		option.WithHTTPClient(&http.Client{Transport: hostTransport("shop.example")}),
		option.WithMaxRetries(0))
}

// chatWords is the answer that writeChat streams, an event for each word.
var chatWords = strings.SplitAfter("two hoodies in size m are on their way", " ")

// writeChat streams the words of chatWords from first to before end as the events of a chat
// completion. It ends the stream after the last word, and otherwise breaks it off within
// the next event.
func writeChat(w http.ResponseWriter, requestID string, first, end int) {
	w.Header().Set(platform.HeaderServerStamp, "s")
	w.Header().Set("Content-Type", "text/event-stream")
	const format = "id: %d\ndata: {\"id\":\"chatcmpl-%s\",\"object\":\"chat.completion.chunk\",\"created\":1700000000,\"model\":\"m\"," +
		"\"choices\":[{\"index\":0,\"delta\":%s,\"finish_reason\":%s}]}\n\n"
	for i := first; i < end; i++ {
		_, _ = fmt.Fprintf(w, format, i+1, requestID, fmt.Sprintf(`{"content":%q}`, chatWords[i]), "null")
		w.(http.Flusher).Flush()
	}
	if end < len(chatWords) {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: {\"id\":\"chat", end+1)
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(w, format, end+1, requestID, "{}", `"stop"`)
	_, _ = fmt.Fprintf(w, "id: %d\ndata: [DONE]\n\n", end+2)
}

// streamChat streams a chat completion with the client library and returns what it has
// accumulated, and the error of the stream.
func streamChat(t *testing.T, client openai.Client) (openai.ChatCompletionAccumulator, error) {
	t.Helper()
	stream := client.Chat.Completions.NewStreaming(t.Context(), openai.ChatCompletionNewParams{
		Model:    "m",
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("two hoodies")},
	})
	defer func() { _ = stream.Close() }()
	var accumulated openai.ChatCompletionAccumulator
	for stream.Next() {
		if chunk := stream.Current(); !accumulated.AddChunk(chunk) {
			t.Errorf("chunk doesn't continue the stream: %s", chunk.RawJSON())
		}
	}
	return accumulated, stream.Err()
}

// TestChatStreamContinuesForClientLibrary breaks off the stream of a chat completion within
// the event after its first, its fourth and its last word. The caller must get the whole
// completion, the rest of it from the other endpoint.
func TestChatStreamContinuesForClientLibrary(t *testing.T) {
	for _, cut := range []int{1, 4, len(chatWords) - 1} {
		f := newFixture(t)
		for i := range f.engines {
			f.engines[i].handler = func(w http.ResponseWriter, r *http.Request) {
				id := r.Header.Get(platform.HeaderRequestID)
				if r.Header.Get(platform.HeaderLastEventID) == fmt.Sprint(cut) {
					writeChat(w, id, cut, len(chatWords))
					return
				}
				writeChat(w, id, 0, cut)
			}
		}
		completion, err := streamChat(t, f.openAIClient("/notes"))
		if err != nil || len(completion.Choices) != 1 {
			t.Fatalf("cut after %d events: %d choices, error %v", cut, len(completion.Choices), err)
		}
		choice := completion.Choices[0]
		if choice.Message.Content != strings.Join(chatWords, "") || choice.FinishReason != "stop" {
			t.Errorf("cut after %d events: content %q, finish reason %q", cut, choice.Message.Content, choice.FinishReason)
		}
	}
}

// TestCutChatStreamIsAnErrorForClientLibrary checks that a stream of a route that can't be
// resumed ends with an error.
func TestCutChatStreamIsAnErrorForClientLibrary(t *testing.T) {
	f := newFixture(t)
	const cut = 3
	for i := range f.engines {
		f.engines[i].handler = func(w http.ResponseWriter, r *http.Request) {
			writeChat(w, r.Header.Get(platform.HeaderRequestID), 0, cut)
		}
	}
	completion, err := streamChat(t, f.openAIClient("/chat"))
	if err == nil || len(completion.Choices) != 1 || completion.Choices[0].FinishReason != "" {
		t.Fatalf("cut stream ends with the error %v and %+v", err, completion.Choices)
	}
	if got := completion.Choices[0].Message.Content; got != strings.Join(chatWords[:cut], "") {
		t.Errorf("content %q, want %q", got, strings.Join(chatWords[:cut], ""))
	}
}
