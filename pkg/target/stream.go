package target

import (
	"bytes"
	"io"

	"github.com/madderpond/madderpond/pkg/core/routing"
)

// Stream returns the body of a streamed answer. ended is called once, when the
// body has been read to its end or given up.
func (a *Attempt) Stream(ended func(routing.AttemptResult)) io.ReadCloser {
	return &stream{
		attempt: a,
		reader:  io.MultiReader(bytes.NewReader(a.prefix), a.Response.BodyStream()),
		onEnd:   ended,
	}
}

// stream passes a target's body on and keeps account of how it ended.
type stream struct {
	attempt *Attempt
	reader  io.Reader
	onEnd   func(routing.AttemptResult)
	result  routing.AttemptResult
	closed  bool
}

// Read passes on what has come; a body cut short gives an error, never an end.
func (s *stream) Read(p []byte) (int, error) {
	n, err := s.reader.Read(p)
	switch {
	case err == io.EOF:
		s.result = s.attempt.classify()
		s.attempt.complete = true
	case err != nil:
		s.result = routing.Broken
	}
	return n, err
}

// Close ends the attempt.
func (s *stream) Close() error {
	if s.closed {
		return nil
	}
	s.closed = true
	if s.result == 0 {
		// The caller stopped reading.
		s.result = routing.Canceled
	}
	s.attempt.finish()
	s.onEnd(s.result)
	s.attempt.Release()
	return nil
}
