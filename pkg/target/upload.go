package target

import (
	"errors"
	"io"
	"net/http/httputil"
	"sync/atomic"
	"time"

	"github.com/madderpond/madderpond/pkg/core/routing"
	"github.com/madderpond/madderpond/pkg/units"
)

// BodyStream is a request's body that is read while it is sent, once.
type BodyStream interface {
	// Read reads from the body. An error other than io.EOF means that the caller's side has failed.
	io.Reader
	// Length is the number of bytes, or negative for a body in chunks.
	Length() int
	// Abort ends a Read that waits; later ones fail.
	Abort()
}

// uploadPieceBytes is how much of a streamed body is read at a time.
const uploadPieceBytes = 16 << 10

// upload sends a streamed body to a target while the answer is awaited, since that may come early.
type upload struct {
	body    BodyStream
	conn    *conn
	began   units.Instant
	done    chan struct{}
	endedAt units.Instant
	// err is set once done is closed.
	err error
	// callerFailed is set if the body has ended because of the caller's side.
	callerFailed atomic.Bool
	// answered is set once an answer has begun: then a failure of the caller's side ends it no more.
	answered atomic.Bool
}

// exchangeStreamed sends the request's head, then its body while it reads the response.
func (a *Attempt) exchangeStreamed(c *conn) (routing.AttemptResult, bool) {
	if result := a.writeHead(c); result != 0 {
		return result, false
	}
	u := &upload{body: a.BodyStream, conn: c, began: a.pools.clock.Now(), done: make(chan struct{})}
	a.upload = u
	go func() {
		defer close(u.done)
		u.err = u.run()
		u.endedAt = a.pools.clock.Now()
	}()
	result, streaming := a.readResponse(c)
	u.answered.Store(result != routing.Broken)
	if result == routing.Broken && u.callerFailed.Load() {
		// A break that the caller brought about is no evidence against the target.
		result = routing.Canceled
	}
	return result, streaming
}

// writeHead writes the request's head. The result is zero if that succeeded.
func (a *Attempt) writeHead(c *conn) routing.AttemptResult {
	h := &a.Request.Header
	h.SetContentLength(a.BodyStream.Length())
	if len(h.Host()) == 0 {
		h.SetHostBytes(a.Request.URI().Host())
	}
	c.raw.beforeWrite = a.checkBeforeSend
	err := h.Write(c.writer)
	if err == nil {
		err = c.writer.Flush()
	}
	return a.classifyWrite(c, err)
}

// run sends the whole body.
func (u *upload) run() error {
	w := u.conn.writer
	if u.body.Length() >= 0 {
		return u.copyTo(w)
	}
	chunks := httputil.NewChunkedWriter(w)
	if err := u.copyTo(chunks); err != nil {
		return err
	}
	if err := chunks.Close(); err != nil {
		return err
	}
	if _, err := w.WriteString("\r\n"); err != nil {
		return err
	}
	return w.Flush()
}

// copyTo writes the body to the connection's buffer, by way of a writer that may frame it, and sends each piece at
// once.
func (u *upload) copyTo(w io.Writer) error {
	piece := make([]byte, uploadPieceBytes)
	for {
		n, err := u.body.Read(piece)
		if n > 0 {
			if err := u.send(w, piece[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			u.callerFailed.Store(true)
			if !u.answered.Load() {
				u.conn.raw.Close()
			}
			return err
		}
	}
}

func (u *upload) send(w io.Writer, piece []byte) error {
	if _, err := w.Write(piece); err != nil {
		return err
	}
	return u.conn.writer.Flush()
}

// stop ends the upload, and reports whether it had sent the whole body.
func (u *upload) stop() bool {
	select {
	case <-u.done:
		return u.err == nil
	default:
	}
	u.conn.raw.Close()
	u.body.Abort()
	<-u.done
	return false
}

// BodyTime returns how long a streamed body took until now, or until its end; zero for a body that was held.
func (a *Attempt) BodyTime() time.Duration {
	u := a.upload
	if u == nil {
		return 0
	}
	select {
	case <-u.done:
		return u.endedAt.Sub(u.began)
	default:
		return a.pools.clock.Now().Sub(u.began)
	}
}
