package pacing

import (
	"errors"
	"io"
	"time"
)

// ErrCallerGone ends a body whose caller has hung up.
var ErrCallerGone = errors.New("the caller has hung up")

// Answer is a large answer to be paced.
type Answer struct {
	// From is the answer's body.
	From io.ReadCloser
	// Aim is the aim of the answer's route; zero means none.
	Aim time.Duration
	// Gone tells whether the caller has hung up.
	Gone func() bool
	// Ended is called once, when the body has been read to its end or given up.
	Ended func(Summary)
}

// Summary says how the writing of a large answer went.
type Summary struct {
	Bytes  int64
	Pieces int
	// Waited is how long its pieces waited for their turn, together.
	Waited time.Duration
	// Whole is set when the body came to its end.
	Whole bool
}

// Body hands an answer on in pieces, each when it is its turn on the link. It holds no claim
// while its reader is busy writing, so a caller that reads slowly delays nobody else.
type Body struct {
	pacer   *Pacer
	answer  Answer
	summary Summary
	closed  bool
}

// Pace returns the body through which an answer is to be read. Without a limited link it is
// the answer's own, and Ended isn't called.
func (p *Pacer) Pace(a Answer) io.ReadCloser {
	if p == nil {
		return a.From
	}
	p.began()
	return &Body{pacer: p, answer: a}
}

// Read returns at most a piece, once it may be written. The bytes are there before their
// turn is asked for: a target that is slow to send takes none of the link's time.
func (b *Body) Read(into []byte) (int, error) {
	n, err := b.answer.From.Read(into[:min(len(into), b.pacer.link.Piece())])
	if err == io.EOF {
		b.summary.Whole = true
	}
	if n == 0 {
		return 0, err
	}
	b.summary.Waited += b.pacer.wait(n, b.answer.Aim)
	if b.answer.Gone() {
		b.summary.Whole = false
		b.pacer.unused(n)
		return 0, ErrCallerGone
	}
	b.pacer.wrote(n)
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
	b.pacer.ended(b.summary.Whole)
	err := b.answer.From.Close()
	b.answer.Ended(b.summary)
	return err
}
