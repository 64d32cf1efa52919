package pacing

import (
	"errors"
	"io"
	"time"
)

// ErrCallerDisconnected is returned by reads of a body whose caller has closed the connection.
var ErrCallerDisconnected = errors.New("the caller has disconnected")

// Response is a large response to be paced.
type Response struct {
	// Body is the unpaced body.
	Body io.ReadCloser
	// LatencyObjective is that of the call's route; zero means none.
	LatencyObjective time.Duration
	// CallerDisconnected reports whether the caller has closed the connection.
	CallerDisconnected func() bool
	// OnEnd is called once, when the body is closed.
	OnEnd func(Summary)
}

// Summary reports how the writing of a large response went.
type Summary struct {
	Bytes  int64
	Pieces int
	// WaitTime is the total time for which its pieces waited for their turn.
	WaitTime time.Duration
	// Complete is set when the body was read to its end.
	Complete bool
}

// Body returns a response in pieces, each once it is granted the link. It reserves nothing
// while its reader is busy writing, so a caller that reads slowly delays no other response.
type Body struct {
	pacer    *Pacer
	response Response
	summary  Summary
	closed   bool
}

// Pace returns the paced body of a response. Without a rate limit it is the response's own
// body, and OnEnd isn't called.
func (p *Pacer) Pace(r Response) io.ReadCloser {
	if p == nil {
		return r.Body
	}
	p.recordStart()
	return &Body{pacer: p, response: r}
}

// Read returns at most one piece, once it may be written. It reads the bytes before it waits
// for a grant, so that a target that sends slowly holds no time on the link.
func (b *Body) Read(into []byte) (int, error) {
	n, err := b.response.Body.Read(into[:min(len(into), b.pacer.link.PieceBytes())])
	if err == io.EOF {
		b.summary.Complete = true
	}
	if n == 0 {
		return 0, err
	}
	b.summary.WaitTime += b.pacer.wait(n, b.response.LatencyObjective)
	if b.response.CallerDisconnected() {
		b.summary.Complete = false
		b.pacer.refund(n)
		return 0, ErrCallerDisconnected
	}
	b.pacer.recordPiece(n)
	b.summary.Pieces++
	b.summary.Bytes += int64(n)
	return n, err
}

// Close closes the underlying body and reports the summary. Later calls do nothing.
func (b *Body) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	b.pacer.recordEnd(b.summary.Complete)
	err := b.response.Body.Close()
	b.response.OnEnd(b.summary)
	return err
}
