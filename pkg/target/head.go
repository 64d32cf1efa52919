package target

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/madderpond/madderpond/pkg/response"
)

const (
	// relayedHeadBytes is what another box adds to the head of a target's response.
	relayedHeadBytes = 1 << 10
	// longHeadCopies is how often a long head is in memory: as received, as parsed, and as sent to the caller.
	longHeadCopies = 3
)

var errLongHead = errors.New("the head of the response is too long, or there is no memory for it")

// readHead reads the head of a response. One that doesn't fit in the connection's buffer gets a larger one.
func (a *Attempt) readHead(c *conn) error {
	err := response.ReadHead(c.reader, &a.Response.Header)
	if !errors.Is(err, bufio.ErrBufferFull) {
		return err
	}
	limit := a.maxHeadBytes()
	if c.reader.Size() >= limit || !a.reserveHead(limit) {
		return errLongHead
	}
	if err := c.enlargeReader(limit); err != nil {
		return err
	}
	err = response.ReadHead(c.reader, &a.Response.Header)
	if errors.Is(err, bufio.ErrBufferFull) {
		return errLongHead
	}
	return err
}

func (a *Attempt) maxHeadBytes() int {
	n := a.pools.settings.MaxHeadBytes
	if a.endpoint.Relay != "" {
		n += relayedHeadBytes
	}
	return n
}

// reserveHead reserves memory for a long head, and reports whether there is any.
func (a *Attempt) reserveHead(n int) bool {
	var ok bool
	a.releaseHead, ok = a.pools.settings.ReserveMemory(longHeadCopies * n)
	return ok
}

// enlargeReader gives the connection a read buffer of a number of bytes.
func (c *conn) enlargeReader(size int) error {
	received, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return err
	}
	c.reader = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(bytes.Clone(received)), c.raw.Conn), size)
	return nil
}

// resetReader gives a connection without unread input a read buffer of the usual size again.
func (c *conn) resetReader() {
	if c.reader.Size() > bufferSize {
		c.reader = bufio.NewReaderSize(c.raw.Conn, bufferSize)
	}
}
