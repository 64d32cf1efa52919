// Package response reads HTTP/1.1 responses, and rejects what the protocol doesn't allow. The library that the messages
// are held in reads more than that, and some of it in another sense than other programs.
package response

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"

	"github.com/valyala/fasthttp"
)

// ErrMalformed is wrapped by the errors of messages that aren't responses in the protocol.
var ErrMalformed = errors.New("malformed response")

func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, args...))
}

// maxInterimResponses bounds the interim responses before a response.
const maxInterimResponses = 100

// ReadHead reads the head of a response, and drops the interim responses before it. The head has to fit in the reader's
// buffer.
func ReadHead(r *bufio.Reader, h *fasthttp.ResponseHeader) error {
	for range maxInterimResponses + 1 {
		head, err := peekBlock(r, headLength)
		if err != nil {
			return err
		}
		status, err := parseHead(head)
		if err != nil {
			return err
		}
		if status >= fasthttp.StatusOK {
			return h.Read(r)
		}
		if _, err := r.Discard(len(head)); err != nil {
			return err
		}
	}
	return malformed("more than %d interim responses", maxInterimResponses)
}

// peekBlock returns the lines at the beginning of the input up to an empty one, without consuming them. length returns
// their length in bytes; zero if some are missing.
func peekBlock(r *bufio.Reader, length func(received []byte) (int, error)) ([]byte, error) {
	for n := 1; ; n = r.Buffered() + 1 {
		_, readErr := r.Peek(n)
		received, err := r.Peek(r.Buffered())
		if err != nil {
			return nil, err
		}
		switch end, err := length(received); {
		case err != nil:
			return nil, err
		case end > 0:
			return received[:end], nil
		case readErr == io.EOF && len(received) > 0:
			return nil, io.ErrUnexpectedEOF
		case readErr != nil:
			return nil, readErr
		}
	}
}

var (
	lineEnd  = []byte("\r\n")
	blockEnd = []byte("\r\n\r\n")
)

// headLength returns the length of the head that the input begins with; zero if some of it is missing. What begins with
// no status line is rejected without waiting for the rest.
func headLength(received []byte) (int, error) {
	if n := blockLength(received); n > 0 {
		return n, nil
	}
	line, _, complete := bytes.Cut(received, lineEnd)
	if !complete {
		return 0, nil
	}
	_, err := parseStatusLine(line)
	return 0, err
}

// blockLength returns the length of the lines that the input begins with, up to the first empty one; zero if some of
// them are missing.
func blockLength(received []byte) int {
	i := bytes.Index(received, blockEnd)
	if i < 0 {
		return 0
	}
	return i + len(blockEnd)
}

// parseHead checks a head and returns its status.
func parseHead(head []byte) (status int, err error) {
	line, fields, _ := bytes.Cut(head, lineEnd)
	if status, err = parseStatusLine(line); err != nil {
		return 0, err
	}
	if err := checkFields(fields); err != nil {
		return 0, err
	}
	if bytes.HasPrefix(line, []byte(http10)) && hasField(fields, fasthttp.HeaderTransferEncoding) {
		return 0, malformed("a transfer coding in %s, which has none", http10)
	}
	return status, nil
}

const (
	http10 = "HTTP/1.0"
	http11 = "HTTP/1.1"
)

// isSupported reports whether a version is one whose framing is known: no other one has the major version 1.
func isSupported(version string) bool { return version == http11 || version == http10 }

// The range of valid statuses (RFC 9110, 15).
const (
	minStatus = 100
	maxStatus = 599
)

// parseStatusLine checks a status line and returns its status. The blank before an empty reason may be missing.
func parseStatusLine(line []byte) (status int, err error) {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	if !isSupported(string(version)) {
		return 0, malformed("version %.40q", version)
	}
	digits, reason, _ := bytes.Cut(rest, []byte(" "))
	if len(digits) != len("200") {
		return 0, malformed("status %.40q", digits)
	}
	for _, c := range digits {
		if c < '0' || c > '9' {
			return 0, malformed("status %.40q", digits)
		}
		status = 10*status + int(c-'0')
	}
	if status < minStatus || status > maxStatus {
		return 0, malformed("status %d is not between %d and %d", status, minStatus, maxStatus)
	}
	if status == fasthttp.StatusSwitchingProtocols {
		// No request of this program asks for another protocol.
		return 0, malformed("status %d without a request for an upgrade", status)
	}
	if !isText(reason) {
		return 0, malformed("reason %.40q", reason)
	}
	return status, nil
}
