package response

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http/httputil"

	"github.com/valyala/fasthttp"
)

// The values that the library has for the lengths of bodies that aren't announced: Chunked for one in chunks, Unframed or
// less for one that ends with its connection.
const (
	Chunked  = -1
	Unframed = -2
)

// HasNoBody reports whether a response has no body, whatever its head says.
func HasNoBody(response *fasthttp.Response) bool {
	code := response.StatusCode()
	return response.SkipBody || code == fasthttp.StatusNoContent || code == fasthttp.StatusNotModified
}

// Body returns the body of a response whose head has been read; nil if it has none. Read returns io.EOF at the end that the
// framing marks only. The end of an unframed body is that of its connection, which doesn't tell whether it was cut off.
func Body(r *bufio.Reader, response *fasthttp.Response) io.Reader {
	if HasNoBody(response) {
		return nil
	}
	switch length := response.Header.ContentLength(); {
	case length >= 0:
		return &sizedBody{reader: r, left: length}
	case length == Chunked:
		return &chunkedBody{reader: r, chunks: httputil.NewChunkedReader(r), header: &response.Header}
	}
	return r
}

// sizedBody is a body of an announced length.
type sizedBody struct {
	reader *bufio.Reader
	left   int
}

// Read reads from the body.
func (b *sizedBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	n, err := b.reader.Read(p[:min(len(p), b.left)])
	b.left -= n
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// chunkedBody is a body in chunks, which ends with its trailer section.
type chunkedBody struct {
	reader *bufio.Reader
	chunks io.Reader
	header *fasthttp.ResponseHeader
	ended  bool
}

// Read reads from the body. At its end the header has the fields of the trailer section.
func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.ended {
		return 0, io.EOF
	}
	n, err := b.chunks.Read(p)
	if err != io.EOF {
		return n, err
	}
	if err := b.readTrailers(); err != nil {
		return n, err
	}
	b.ended = true
	return n, io.EOF
}

func (b *chunkedBody) readTrailers() error {
	block, err := peekBlock(b.reader, trailerLength)
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	if err != nil {
		return err
	}
	if err := checkFields(block); err != nil {
		return err
	}
	return b.header.ReadTrailer(b.reader)
}

// trailerLength returns the length of the trailer section that the input begins with; zero if some of it is missing.
func trailerLength(received []byte) (int, error) {
	if bytes.HasPrefix(received, lineEnd) {
		return len(lineEnd), nil
	}
	return blockLength(received), nil
}
