package fakes

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
)

// fieldNames returns the names of the fields of a JSON object, separated by spaces.
func fieldNames(t *testing.T, object []byte) string {
	t.Helper()
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(object, &fields); err != nil {
		t.Fatalf("%s: %v", object, err)
	}
	return strings.Join(slices.Sorted(maps.Keys(fields)), " ")
}

// answer contains the fields of a completion, or of an event of a streamed one.
type answer struct {
	ID      string
	Object  string
	Created int64
	Model   string
	Choices []struct {
		Index   int
		Text    string
		Message struct{ Role, Content string }
		Delta   struct{ Role, Content string }
		// FinishReason is nil before the last choice of a stream.
		FinishReason *string `json:"finish_reason"`
	}
	Usage *struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
		TotalTokens      int `json:"total_tokens"`
	}
}

// decodeAnswer decodes a completion or an event and checks the fields that all have.
func decodeAnswer(t *testing.T, data, id, object string) answer {
	t.Helper()
	var a answer
	if err := json.Unmarshal([]byte(data), &a); err != nil {
		t.Fatalf("%s: %v", data, err)
	}
	if a.ID != id || a.Object != object || a.Created == 0 || a.Model != "m" || a.Choices == nil {
		t.Errorf("answer %s, want the ID %s and the object %s", data, id, object)
	}
	return a
}

// checkUsage checks the usage of a completion of 3 tokens for a prompt of 2 words.
func checkUsage(t *testing.T, a answer) {
	t.Helper()
	if a.Usage == nil || a.Usage.PromptTokens != 2 || a.Usage.CompletionTokens != 3 || a.Usage.TotalTokens != 5 {
		t.Errorf("usage %+v, want 2, 3 and 5 tokens", a.Usage)
	}
}

func TestWholeCompletion(t *testing.T) {
	for _, test := range []struct{ path, id, object string }{
		{path: "/v1/completions", id: "cmpl-r1", object: "text_completion"},
		{path: "/v1/chat/completions", id: "chatcmpl-r1", object: "chat.completion"},
	} {
		body, prompt := requestOf(test.path, "")
		response := post(newTestEngine(), test.path, body)
		if response.StatusCode() != fasthttp.StatusOK || string(response.Header.ContentType()) != "application/json" {
			t.Fatalf("%s: status %d, type %s", test.path, response.StatusCode(), response.Header.ContentType())
		}
		a := decodeAnswer(t, string(response.Body()), test.id, test.object)
		checkUsage(t, a)
		want := strings.Join(GenerateTokens("m", prompt, 3), "")
		if len(a.Choices) != 1 || a.Choices[0].FinishReason == nil || *a.Choices[0].FinishReason != "length" {
			t.Fatalf("%s: choices %s", test.path, response.Body())
		}
		message := a.Choices[0].Message
		isChat := test.path == "/v1/chat/completions"
		if isChat && (message.Content != want || message.Role != "assistant") || !isChat && a.Choices[0].Text != want {
			t.Errorf("%s: choice %+v, want %q", test.path, a.Choices[0], want)
		}
	}
}

// streamEvents returns the data of the events of a stream that ends as it must.
func streamEvents(t *testing.T, response *fasthttp.Response) []string {
	t.Helper()
	stream, done := strings.CutSuffix(string(response.Body()), "\n\ndata: [DONE]\n\n")
	if !done || string(response.Header.ContentType()) != "text/event-stream" {
		t.Fatalf("type %s, stream %q", response.Header.ContentType(), response.Body())
	}
	var events []string
	for event := range strings.SplitSeq(stream, "\n\n") {
		data, ok := strings.CutPrefix(event, "data: ")
		if !ok {
			t.Fatalf("event %q", event)
		}
		events = append(events, data)
	}
	return events
}

func TestStreamedCompletion(t *testing.T) {
	for _, test := range []struct{ path, id, object, choice string }{
		{path: "/v1/completions", id: "cmpl-r1", object: "text_completion", choice: "finish_reason index logprobs text"},
		{
			path: "/v1/chat/completions", id: "chatcmpl-r1", object: "chat.completion.chunk",
			choice: "delta finish_reason index logprobs",
		},
	} {
		body, prompt := requestOf(test.path, `,"stream":true`)
		events := streamEvents(t, post(newTestEngine(), test.path, body))
		if len(events) != 4 {
			t.Fatalf("%s: %d events, want 3 tokens and the end", test.path, len(events))
		}
		text := ""
		for i, event := range events {
			a := decodeAnswer(t, event, test.id, test.object)
			var raw struct{ Choices []json.RawMessage }
			if err := json.Unmarshal([]byte(event), &raw); err != nil || len(raw.Choices) != 1 {
				t.Fatalf("%s: event %s: %v", test.path, event, err)
			}
			if names := fieldNames(t, raw.Choices[0]); names != test.choice {
				t.Errorf("%s: choice with the fields %s, want %s", test.path, names, test.choice)
			}
			text += a.Choices[0].Text + a.Choices[0].Delta.Content
			isLast := i == len(events)-1
			if reason := a.Choices[0].FinishReason; isLast && (reason == nil || *reason != "length") || !isLast && reason != nil {
				t.Errorf("%s: finish_reason of event %d: %s", test.path, i, event)
			}
			if isLast {
				checkUsage(t, a)
			} else if a.Usage != nil {
				t.Errorf("%s: usage before the end: %s", test.path, event)
			}
			if role := a.Choices[0].Delta.Role; (role == "assistant") != (i == 0 && test.path == "/v1/chat/completions") {
				t.Errorf("%s: role %q in event %d", test.path, role, i)
			}
		}
		if want := strings.Join(GenerateTokens("m", prompt, 3), ""); text != want {
			t.Errorf("%s: text %q, want %q", test.path, text, want)
		}
	}
}

// TestUsageEvent checks that a stream whose caller asks for it ends with an event that
// holds nothing but the usage.
func TestUsageEvent(t *testing.T) {
	body, _ := requestOf("/v1/chat/completions", `,"stream":true,"stream_options":{"include_usage":true}`)
	events := streamEvents(t, post(newTestEngine(), "/v1/chat/completions", body))
	if len(events) != 5 {
		t.Fatalf("%d events, want 3 tokens, the end and the usage", len(events))
	}
	if end := decodeAnswer(t, events[3], "chatcmpl-r1", "chat.completion.chunk"); end.Usage != nil || len(end.Choices) != 1 {
		t.Errorf("event before the usage: %s", events[3])
	}
	last := decodeAnswer(t, events[4], "chatcmpl-r1", "chat.completion.chunk")
	checkUsage(t, last)
	if len(last.Choices) != 0 {
		t.Errorf("choices beside the usage: %s", events[4])
	}
}
