package target

import (
	"io"

	"github.com/madderpond/madderpond/pkg/core/routing"
	"github.com/madderpond/madderpond/pkg/response"
)

const (
	// smallPrefixBytes is how much of a response is buffered without a reservation of memory, and how much of a
	// large response before it is streamed to the caller. If the target fails before that, the call can still be sent
	// elsewhere. A larger prefix would delay the response and need more memory, which is scarce on boxes.
	smallPrefixBytes = 16 << 10
	// minPrefixCapacity is the first capacity of the buffer of a body whose length isn't known.
	minPrefixCapacity = 512
)

// maxPrefixBytes returns how much of the response is buffered before it is streamed. A failed
// response of a route with large responses is buffered like that of any other route, since the
// call may be retried elsewhere.
func (a *Attempt) maxPrefixBytes() int {
	limit := a.pools.settings.MaxBufferedBytes
	if a.largeResponse && a.Response.Header.ContentLength() >= response.Chunked && a.classify() == routing.Answered {
		return min(limit, smallPrefixBytes)
	}
	return limit
}

// readBody reads the body up to the buffer limit, or to less where there is no memory; a longer one is streamed.
func (a *Attempt) readBody() (routing.AttemptResult, bool) {
	limit := a.maxPrefixBytes()
	if !a.largeResponse && a.Response.Header.ContentLength() > limit {
		return a.classifyLong()
	}
	err := a.readPrefix(min(limit, smallPrefixBytes))
	if err == nil && limit > smallPrefixBytes && a.reservePrefix(limit) {
		err = a.readPrefix(limit)
	}
	switch err {
	case io.EOF:
		a.complete = true
		return a.classify(), false
	case nil:
		return a.classifyLong()
	}
	a.BreakErr = err
	a.dropPrefix()
	return routing.Broken, false
}

// readPrefix reads the body until more than a number of bytes are buffered. The error is io.EOF if it has ended before.
func (a *Attempt) readPrefix(limit int) error {
	for len(a.prefix) <= limit {
		if len(a.prefix) == cap(a.prefix) {
			a.growPrefix(limit + 1)
		}
		n, err := a.body.Read(a.prefix[len(a.prefix):cap(a.prefix)])
		a.prefix = a.prefix[:len(a.prefix)+n]
		if err != nil {
			return err
		}
	}
	return nil
}

// growPrefix enlarges the buffer, which never needs more than a maximum.
func (a *Attempt) growPrefix(maxBytes int) {
	wanted := max(2*cap(a.prefix), minPrefixCapacity)
	if length := a.Response.Header.ContentLength(); length >= 0 {
		// The end is read with a byte to spare.
		wanted = length + 1
	}
	grown := make([]byte, len(a.prefix), min(wanted, maxBytes))
	copy(grown, a.prefix)
	a.prefix = grown
}

// reservePrefix reserves memory to buffer up to a number of bytes, and reports whether there is any.
func (a *Attempt) reservePrefix(limit int) bool {
	if length := a.Response.Header.ContentLength(); length >= 0 {
		limit = min(limit, length)
	}
	var ok bool
	a.releaseMemory, ok = a.pools.settings.ReserveMemory(limit)
	return ok
}

// dropPrefix returns the memory of the buffered beginning of the body.
func (a *Attempt) dropPrefix() {
	a.prefix = nil
	if a.releaseMemory != nil {
		a.releaseMemory()
		a.releaseMemory = nil
	}
}
