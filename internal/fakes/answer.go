package fakes

import (
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"
)

// pathChat is the path of requests for chat completions.
const pathChat = "/v1/chat/completions"

// completionBody is a whole completion, or an event of a streamed one, in the format of
// the OpenAI API.
type completionBody struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// choice is the output of a completion, or the part of it in an event. Text is set in
// completions, Message in whole chat completions and Delta in the events of streamed
// ones.
type choice struct {
	Index   int      `json:"index"`
	Text    *string  `json:"text,omitempty"`
	Message *message `json:"message,omitempty"`
	Delta   *message `json:"delta,omitempty"`
	// Logprobs is always nil: the fake has no probabilities.
	Logprobs *struct{} `json:"logprobs"`
	// FinishReason says why the output ends, nil if it goes on.
	FinishReason *string `json:"finish_reason"`
}

// message is a message of a chat, or a part of it.
type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// usage is the number of tokens that a completion took.
type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

const (
	// finishLength is the finish reason of all completions: they always have the
	// length that was asked for.
	finishLength = "length"
	// roleAssistant is the role of a model in a chat.
	roleAssistant = "assistant"
)

// answerFormat encodes the answer to one request.
type answerFormat struct {
	id      string
	created time.Time
	request completionRequest
	isChat  bool
}

// newAnswerFormat returns the format of the answer to a request.
func newAnswerFormat(now time.Time, ctx *fasthttp.RequestCtx, r completionRequest) answerFormat {
	format := answerFormat{
		created: now,
		request: r,
		isChat:  string(ctx.Path()) == pathChat,
	}
	id := string(ctx.Request.Header.Peek("X-Request-Id"))
	if id == "" {
		id = uuid.NewString()
	}
	format.id = "cmpl-" + id
	if format.isChat {
		format.id = "chatcmpl-" + id
	}
	return format
}

// whole returns a whole completion.
func (f answerFormat) whole(text string) completionBody {
	finish := finishLength
	output := choice{
		Text:         &text,
		FinishReason: &finish,
	}
	if f.isChat {
		output.Text = nil
		output.Message = &message{
			Role:    roleAssistant,
			Content: text,
		}
	}
	total := f.usage()
	body := f.body("chat.completion", output)
	body.Usage = &total
	return body
}

// token returns the event of a token with its index in the stream.
func (f answerFormat) token(index int, token string) completionBody {
	output := f.part(token)
	if f.isChat && index == 0 {
		output.Delta.Role = roleAssistant
	}
	return f.event(output)
}

// end returns the events after the last token. The last one contains the usage, which is
// in an event of its own if the request asks for it.
func (f answerFormat) end() []completionBody {
	finish := finishLength
	output := f.part("")
	output.FinishReason = &finish
	events := []completionBody{f.event(output)}
	if f.request.StreamOptions.IncludeUsage {
		events = append(events, f.event())
	}
	total := f.usage()
	events[len(events)-1].Usage = &total
	return events
}

// part returns the part of the output in an event.
func (f answerFormat) part(text string) choice {
	if !f.isChat {
		return choice{Text: &text}
	}
	return choice{Delta: &message{Content: text}}
}

// event returns an event with the given choices.
func (f answerFormat) event(choices ...choice) completionBody {
	return f.body("chat.completion.chunk", choices...)
}

// body returns a completion or an event with the given choices. Chat completions have a
// name of their own for each of the two.
func (f answerFormat) body(chatObject string, choices ...choice) completionBody {
	object := "text_completion"
	if f.isChat {
		object = chatObject
	}
	return completionBody{
		ID:      f.id,
		Object:  object,
		Created: f.created.Unix(),
		Model:   f.request.Model,
		Choices: append([]choice{}, choices...), // never nil, which would be encoded as null
	}
}

// usage returns the usage of the request's completion.
func (f answerFormat) usage() usage {
	prompt := f.request.promptTokens()
	return usage{
		PromptTokens:     prompt,
		CompletionTokens: f.request.MaxTokens,
		TotalTokens:      prompt + f.request.MaxTokens,
	}
}
