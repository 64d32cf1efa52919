// Package documents reads the bodies of requests to a process's own interfaces within a bound of memory.
package documents

import (
	"bytes"
	"errors"
	"io"

	"github.com/valyala/fasthttp"

	"github.com/madderpond/madderpond/pkg/bodymemory"
	"github.com/madderpond/madderpond/pkg/core/bodies"
	"github.com/madderpond/madderpond/pkg/fault"
)

const (
	// smallBytes is the size up to which a body takes no more memory than its connection.
	smallBytes = 64 << 10
	// memoryFraction is the fraction of the memory limit that longer bodies may take together.
	memoryFraction = 0.2
)

// Reader reads bodies of requests. A server that uses it has to stream them (StreamRequestBody).
type Reader struct{ memory *bodymemory.Memory }

// NewReader returns a reader for a process with a memory limit, for which zero is no limit. One body of the longest
// size is read in any case.
func NewReader(memoryLimitMB, longest int) *Reader {
	if memoryLimitMB == 0 {
		return &Reader{}
	}
	limit := int(memoryFraction * float64(memoryLimitMB<<20))
	return &Reader{memory: bodymemory.NewMemory(bodies.Settings{Limit: max(limit, longest)})}
}

// Load reads the body of a request, so that the request holds it whole. The caller has to call release once it has
// done with the request. The error is a TooLarge fault for a body over a limit, an Unavailable fault if there is no
// memory for it now, and an Invalid one if it can't be read.
func (r *Reader) Load(ctx *fasthttp.RequestCtx, limit int) (release func(), err error) {
	stream := ctx.RequestBodyStream()
	if stream == nil {
		return func() {}, nil
	}
	// The length of a body in chunks isn't known.
	n := ctx.Request.Header.ContentLength()
	if n < 0 {
		n = limit
	}
	if n > limit {
		return nil, tooLarge(limit)
	}
	release, ok := r.reserve(n)
	if !ok {
		return nil, fault.New(fault.Unavailable, "send it again after a moment", "other documents take the memory for a body of %d bytes", n)
	}
	body, err := readUpTo(stream, limit, ctx.Request.Header.ContentLength())
	if err != nil {
		release()
		return nil, err
	}
	ctx.Request.SetBodyRaw(body)
	return release, nil
}

// reserve reserves the memory of a body, if there is any.
func (r *Reader) reserve(n int) (release func(), ok bool) {
	if n <= smallBytes {
		return func() {}, true
	}
	id, verdict := r.memory.Reserve(0, bodies.Claim{Bytes: n}, 0)
	return func() { r.memory.Release(id) }, verdict == bodies.Granted
}

// readUpTo reads a body of an announced length, or up to a limit if that is negative.
func readUpTo(stream io.Reader, limit, announced int) ([]byte, error) {
	var body bytes.Buffer
	body.Grow(max(0, announced))
	_, err := io.CopyN(&body, stream, int64(limit)+1)
	switch {
	case err == nil:
		return nil, tooLarge(limit)
	case !errors.Is(err, io.EOF):
		return nil, fault.Wrap(err, fault.Invalid, "send the whole body", "the body can't be read")
	case announced >= 0 && body.Len() < announced:
		return nil, fault.New(fault.Invalid, "send the whole body", "the body ends after %d of %d bytes", body.Len(), announced)
	}
	return body.Bytes(), nil
}

func tooLarge(limit int) error {
	return fault.New(fault.TooLarge, "send a shorter body", "the body has more than %d bytes", limit)
}
