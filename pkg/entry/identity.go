package entry

import (
	"github.com/valyala/fasthttp"

	"github.com/madderpond/madderpond/pkg/core/crash"
)

// identity identifies a call by its content. Its digests are computed on first use, which must be
// under the entry's lock and before the call is answered: after that the
// request's memory is reused for another call.
type identity struct {
	ctx *fasthttp.RequestCtx
	// callerHeader is the header that identifies the caller; if empty, the caller's IP address does.
	callerHeader string
	// head, body and caller are zero until they are computed.
	head, body, caller uint64
}

// Head returns a digest of the method, the host and the path with its query.
func (i *identity) Head() uint64 {
	if i.head == 0 {
		i.head = crash.Digest(i.ctx.Method(), i.ctx.Host(), i.ctx.RequestURI())
	}
	return i.head
}

// Body returns a digest of the call's body.
func (i *identity) Body() uint64 {
	if i.body == 0 {
		i.body = crash.Digest(i.ctx.Request.Body())
	}
	return i.body
}

// Caller returns a digest of the caller's identity.
func (i *identity) Caller() uint64 {
	if i.caller == 0 {
		i.caller = relayedCaller(i.ctx)
	}
	if i.caller == 0 {
		i.caller = crash.Digest(i.callerName())
	}
	return i.caller
}

func (i *identity) callerName() []byte {
	if i.callerHeader != "" {
		return i.ctx.Request.Header.Peek(i.callerHeader)
	}
	return i.ctx.RemoteIP()
}
