package entry

import (
	"encoding/json"
	"math"
	"strconv"

	"github.com/valyala/fasthttp"

	"dogwoodfold/pkg/fault"
)

// pathChat is the path of chat completions, whose errors have the format of the OpenAI
// API.
const pathChat = "/v1/chat/completions"

// Types of errors.
const (
	typeInvalidRequest = "invalid_request_error"
	typeRateLimit      = "rate_limit_error"
	typeServer         = "server_error"
)

// errorBody is the JSON encoding of an error. Its fields are errorFields, or
// chatErrorFields for chat completions.
type errorBody struct {
	Error any `json:"error"`
}

type errorFields struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	Verdict string `json:"verdict"`
}

type chatErrorFields struct {
	errorFields
	// Param names the field of the request that caused the error, nil if none did.
	Param *string `json:"param"`
}

// marshalError encodes an error for the response to a request of a path.
func marshalError(path string, err error) []byte {
	body := errorBody{Error: newErrorFields(err)}
	if path == pathChat {
		body.Error = newChatErrorFields(err)
	}
	encoded, marshalErr := json.Marshal(body)
	if marshalErr != nil {
		return []byte(`{"error":{"message":"internal error","type":"server_error","code":"internal","param":null}}`)
	}
	return encoded
}

func newErrorFields(err error) errorFields {
	fields := errorFields{
		Message: err.Error(),
		Type:    typeServer,
		Code:    string(fault.CodeOf(err)),
		Verdict: fault.VerdictOf(err).String(),
	}
	if fault.StatusOf(err) < fasthttp.StatusInternalServerError {
		fields.Type = typeInvalidRequest
	}
	return fields
}

func newChatErrorFields(err error) chatErrorFields {
	fields := chatErrorFields{errorFields: newErrorFields(err)}
	if fault.StatusOf(err) == fasthttp.StatusTooManyRequests {
		fields.Type = typeRateLimit
	}
	if param := fault.ParamOf(err); param != "" {
		fields.Param = &param
	}
	return fields
}

// writeError writes an error response.
func writeError(ctx *fasthttp.RequestCtx, err error) {
	ctx.SetStatusCode(fault.StatusOf(err))
	ctx.SetContentType("application/json")
	ctx.Response.Header.Set(headerVerdict, fault.VerdictOf(err).String())
	if retryAfter := fault.RetryAfterOf(err); retryAfter > 0 {
		seconds := int(math.Ceil(retryAfter.Seconds()))
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(seconds))
	}
	ctx.SetBody(marshalError(string(ctx.Path()), err))
}
