package entry

import (
	"github.com/valyala/fasthttp"

	"github.com/madderpond/madderpond/pkg/bodymemory"
	"github.com/madderpond/madderpond/pkg/core/bodies"
)

const (
	// bodyFraction is the fraction of the memory limit that bodies may take together. The rest is for
	// everything else, and for bodies that have been released and not been collected yet.
	bodyFraction = 0.6
	// maxBodyFraction is the same where a single body of the largest size needs more.
	maxBodyFraction = 0.8
	// heldFraction is the part of that for large bodies that are held whole. The rest is for small ones, and for
	// windows.
	heldFraction = 0.85
	// streamBufferBytes is the buffer of a socket from which a body is streamed, and streamWindowBytes the memory
	// that such a body takes: the system doubles the buffer.
	streamBufferBytes = 256 << 10
	streamWindowBytes = 2 * streamBufferBytes
	// callBytes is what a call takes while its body comes, besides that: buffers of its connection, its head and
	// a goroutine.
	callBytes = 24 << 10
	// headCopies is how often a call's head is in memory: as received, as parsed, and as sent to a target.
	headCopies = 4
	// uncountedHeadBytes is the size up to which a head takes no more memory than its connection.
	uncountedHeadBytes = 4 << 10
	// connectionFraction is the fraction of the memory limit that callers' connections may take, each of them
	// connectionBytes.
	connectionFraction = 0.3
	connectionBytes    = 32 << 10
	// responseFraction is the fraction of the memory limit in which responses are buffered. Without memory they are
	// passed on as they come.
	responseFraction = 0.15
	// maxWaitingBodies bounds the calls whose bodies wait in their connections.
	maxWaitingBodies = 64
)

// newBodyMemory returns the memory for bodies of a process with a memory limit, for which zero is no limit, and
// with a link, in bytes per second.
func newBodyMemory(limitMB, maxBody int, linkRate float64) *bodymemory.Memory {
	if limitMB == 0 {
		return nil
	}
	limit := float64(limitMB) * (1 << 20)
	bound := max(bodyFraction*limit, min(float64(maxBody), maxBodyFraction*limit))
	return bodymemory.NewMemory(bodies.Settings{
		Limit: int(bound), HeldLimit: int(heldFraction * bound), Window: streamWindowBytes, MaxQueue: maxWaitingBodies, LinkRate: linkRate,
	})
}

// newResponseMemory returns the memory to buffer responses, from which none waits.
func newResponseMemory(limitMB int) *bodymemory.Memory {
	if limitMB == 0 {
		return nil
	}
	return bodymemory.NewMemory(bodies.Settings{Limit: int(responseFraction * float64(limitMB) * (1 << 20))})
}

// reserveResponse reserves memory to buffer a response, if there is any.
func (e *Entry) reserveResponse(n int) (release func(), ok bool) {
	id, verdict := e.responses.Reserve(e.Clock.Now(), bodies.Claim{Bytes: n}, 0)
	if verdict != bodies.Granted {
		return nil, false
	}
	return func() { e.responses.Release(id) }, true
}

// reserveHead reserves memory for what a long head takes while its call is served, or refuses the call. The id is
// zero for a short one.
func (e *Entry) reserveHead(ctx *fasthttp.RequestCtx) (id bodies.ID, ok bool) {
	n := len(ctx.Request.Header.RawHeaders())
	if n <= uncountedHeadBytes {
		return 0, true
	}
	id, verdict := e.bodies.Reserve(e.Clock.Now(), bodies.Claim{Bytes: headCopies * n}, 0)
	if verdict != bodies.Granted {
		e.refuseBody(ctx, headCopies*n, verdict)
		return 0, false
	}
	return id, true
}

// maxConnections returns how many connections callers may have, by the settings and by the memory limit.
func (e *Entry) maxConnections() int {
	n := e.Settings.Entry.MaxConnections
	if limit := e.Settings.MemoryLimitMB << 20; limit > 0 {
		n = min(n, int(connectionFraction*float64(limit)/connectionBytes))
	}
	return max(1, n)
}
