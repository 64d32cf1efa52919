package admin

import (
	"encoding/json"

	"github.com/valyala/fasthttp"

	"github.com/madderpond/madderpond/pkg/fault"
)

// Problem is the body of every error response of the API (RFC 9457).
type Problem struct {
	Type   string     `json:"type"`
	Title  fault.Kind `json:"title"`
	Status int        `json:"status"`
	Detail string     `json:"detail"`
	Remedy string     `json:"remedy"`
}

// httpStatuses maps kinds of errors to HTTP statuses; any other kind is answered with 500.
var httpStatuses = map[fault.Kind]int{
	fault.Invalid:      fasthttp.StatusBadRequest,
	fault.Conflict:     fasthttp.StatusConflict,
	fault.NotFound:     fasthttp.StatusNotFound,
	fault.Unavailable:  fasthttp.StatusServiceUnavailable,
	fault.Unknown:      fasthttp.StatusGatewayTimeout,
	fault.Unauthorized: fasthttp.StatusUnauthorized,
	fault.TooLarge:     fasthttp.StatusRequestEntityTooLarge,
}

func writeProblem(ctx *fasthttp.RequestCtx, err error) {
	kind := fault.KindOf(err)
	status, ok := httpStatuses[kind]
	if !ok {
		status = fasthttp.StatusInternalServerError
	}
	data, _ := json.Marshal(&Problem{
		Type: "madderpond:" + string(kind), Title: kind, Status: status, Detail: err.Error(), Remedy: fault.RemedyOf(err),
	})
	ctx.ResetBody()
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/problem+json")
	ctx.SetBody(data)
}
