package pacing

import (
	"errors"
	"io"
	"time"
)

// ErrCallerDisconnected ends a body whose caller has hung up.
var ErrCallerDisconnected = errors.New("the caller has hung up")

// Response is a large answer to be paced.
type Response struct {
	// Body is the answer's body.
	Body io.ReadCloser
	// LatencyObjective is the aim of the answer's route; zero means none.
	LatencyObjective time.Duration
	// CallerDisconnected tells whether the caller has hung up.
	CallerDisconnected func() bool
	// OnEnd is called once, when the body has been read to its end or given up.
	OnEnd func(Summary)
}

// Summary says how the writing of a large answer went.
type Summary struct {
	Bytes  int64
	Pieces int
	// WaitTime is how long its pieces waited for their turn, together.
	WaitTime time.Duration
	// Complete is set when the body came to its end.
	Complete bool
}

// Body hands an answer on in pieces, each when it is its turn on the link. It holds no claim
// while its reader is busy writing, so a caller that reads slowly delays nobody else.
type Body struct {
	pacer    *Pacer
	response Response
	summary  Summary
	closed   bool
}

// Pace returns the body through which an answer is to be read. Without a limited link it is
// the answer's own, and Ended isn't called.
func (p *Pacer) Pace(a Response) io.ReadCloser {
	if p == nil {
		return a.Body
	}
	p.recordStart()
	return &Body{pacer: p, response: a}
}

// Read returns at most a piece, once it may be written. The bytes are there before their
// turn is asked for: a target that is slow to send takes none of the link's time.
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

// Close ends the answer.
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
