package fakes

import "github.com/valyala/fasthttp"

// errorResponse is the body of an engine's error response, in the format of the OpenAI
// API.
type errorResponse struct {
	Error errorFields `json:"error"`
}

// errorFields describe an error.
type errorFields struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	// Param names the field of the request that caused the error, nil if none did.
	Param *string `json:"param"`
}

// Types of errors.
const (
	typeInvalidRequest = "invalid_request_error"
	typeServer         = "server_error"
)

// writeError writes an error response. It keeps the header fields already set.
func writeError(ctx *fasthttp.RequestCtx, status int, fields errorFields) {
	writeJSON(ctx, errorResponse{Error: fields})
	ctx.SetStatusCode(status)
}

// writeBadRequest responds to a request that can't be parsed.
func writeBadRequest(ctx *fasthttp.RequestCtx, err error) {
	writeError(ctx, fasthttp.StatusBadRequest, errorFields{
		Message: err.Error(),
		Type:    typeInvalidRequest,
		Code:    "bad_request",
	})
}

// writeFailure responds to a request that fails because of an injected fault.
func writeFailure(ctx *fasthttp.RequestCtx) {
	writeError(ctx, fasthttp.StatusInternalServerError, errorFields{
		Message: "the engine failed",
		Type:    typeServer,
		Code:    "engine_failed",
	})
}

// writeNotLoaded refuses a request of a model that is not loaded.
func writeNotLoaded(ctx *fasthttp.RequestCtx) {
	param := "model"
	ctx.Response.Header.Set("Endpoint-Not-Run", "1")
	writeError(ctx, fasthttp.StatusConflict, errorFields{
		Message: "the model is not loaded",
		Type:    typeInvalidRequest,
		Code:    "not_loaded",
		Param:   &param,
	})
}
