package response

import (
	"bufio"

	"github.com/valyala/fasthttp"
)

// Read reads a response, whose body is read from its stream.
func Read(r *bufio.Reader, response *fasthttp.Response) error {
	if err := ReadHead(r, &response.Header); err != nil {
		return err
	}
	if HasNoBody(response) {
		return nil
	}
	return response.ReadBody(r, 0)
}

// HasNoBody reports whether a response has no body, whatever its head says.
func HasNoBody(response *fasthttp.Response) bool {
	code := response.StatusCode()
	return response.SkipBody || code == fasthttp.StatusNoContent || code == fasthttp.StatusNotModified
}
