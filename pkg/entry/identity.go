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
	head, body   uint64
	hasHead      bool
	hasBody      bool
}

// Head is a digest of everything but the body that makes two calls the same.
func (i *identity) Head() uint64 {
	if !i.hasHead {
		i.head = crash.Digest(i.ctx.Method(), i.ctx.Host(), i.ctx.RequestURI(), i.caller())
		i.hasHead = true
	}
	return i.head
}

// Body is a digest of the call's body.
func (i *identity) Body() uint64 {
	if !i.hasBody {
		i.body = crash.Digest(i.ctx.Request.Body())
		i.hasBody = true
	}
	return i.body
}

func (i *identity) caller() []byte {
	if i.callerHeader != "" {
		return i.ctx.Request.Header.Peek(i.callerHeader)
	}
	return i.ctx.RemoteIP()
}
