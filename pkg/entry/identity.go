package entry

import (
	"github.com/valyala/fasthttp"

	"github.com/madderpond/madderpond/pkg/core/crash"
)

// identity tells a call apart from others by its content. Its digests are worked out when they
// are first asked for, under the entry's lock and before the call is answered: after that the
// request's memory serves another call.
type identity struct {
	ctx *fasthttp.RequestCtx
	// callerHeader names the caller; empty goes by the caller's IP number.
	callerHeader string
	// head, body and caller are zero until they are worked out.
	head, body, caller uint64
}

// Head is a digest of the method, the host and the path with its query.
func (i *identity) Head() uint64 {
	if i.head == 0 {
		i.head = crash.Digest(i.ctx.Method(), i.ctx.Host(), i.ctx.RequestURI())
	}
	return i.head
}

// Body is a digest of the call's body.
func (i *identity) Body() uint64 {
	if i.body == 0 {
		i.body = crash.Digest(i.ctx.Request.Body())
	}
	return i.body
}

// Caller is a digest of who calls.
func (i *identity) Caller() uint64 {
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
