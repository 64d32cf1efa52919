package target

import (
	"io"

	"github.com/madderpond/madderpond/pkg/core/routing"
)

// Stream returns the body of a streamed response. onEnd is called once, when the body is closed.
func (a *Attempt) Stream(onEnd func(routing.AttemptResult)) io.ReadCloser {
	return &stream{attempt: a, onEnd: onEnd}
}

// stream is the body of a target's response; it records how the body ended.
type stream struct {
	attempt *Attempt
	onEnd   func(routing.AttemptResult)
	result  routing.AttemptResult
	closed  bool
}

// Read reads from the body. A truncated body returns an error other than io.EOF.
func (s *stream) Read(p []byte) (int, error) {
	if a := s.attempt; len(a.prefix) > 0 {
		n := copy(p, a.prefix)
		if a.prefix = a.prefix[n:]; len(a.prefix) == 0 {
			a.dropPrefix()
		}
		return n, nil
	}
	n, err := s.attempt.body.Read(p)
	switch {
	case err == io.EOF:
		s.result = s.attempt.classify()
		s.attempt.complete = true
	case err != nil:
		s.result = routing.Broken
	}
	return n, err
}

// Close ends the attempt and releases it. Later calls do nothing.
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
