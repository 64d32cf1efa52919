package response

import (
	"bufio"
	"errors"
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// Transport has a fasthttp.Client read responses by this package. The client's ReadTimeout bounds a request without a
// timeout, and its MaxResponseBodySize has to be set.
type Transport struct{}

// RoundTrip sends a request and reads its response.
func (Transport) RoundTrip(host *fasthttp.HostClient, request *fasthttp.Request, response *fasthttp.Response) (retry bool, err error) {
	c, err := host.AcquireConn(request.GetTimeOut(), request.ConnectionClose())
	if err != nil {
		return false, err
	}
	reusable, err := exchange(host, c.Conn(), request, response)
	if err != nil || !reusable {
		host.CloseConn(c)
		return !errors.Is(err, ErrMalformed) && err != fasthttp.ErrBodyTooLarge, err
	}
	host.ReleaseConn(c)
	return false, nil
}

// exchange reports whether the connection can carry another request.
func exchange(host *fasthttp.HostClient, conn net.Conn, request *fasthttp.Request, response *fasthttp.Response) (reusable bool, err error) {
	timeout := request.GetTimeOut()
	if timeout <= 0 {
		timeout = host.ReadTimeout
	}
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return false, err
	}
	if err := send(host, conn, request); err != nil {
		return false, err
	}
	reader := host.AcquireReader(conn)
	defer host.ReleaseReader(reader)
	response.SkipBody = request.Header.IsHead()
	if err := ReadHead(reader, &response.Header); err != nil {
		return false, err
	}
	isFramed := HasNoBody(response) || response.Header.ContentLength() > Unframed
	if err := readBody(reader, response, host.MaxResponseBodySize); err != nil {
		return false, err
	}
	return isFramed && reader.Buffered() == 0 && !request.ConnectionClose() && !response.ConnectionClose(), nil
}

func send(host *fasthttp.HostClient, conn net.Conn, request *fasthttp.Request) error {
	writer := host.AcquireWriter(conn)
	defer host.ReleaseWriter(writer)
	if err := request.Write(writer); err != nil {
		return err
	}
	return writer.Flush()
}

func readBody(reader *bufio.Reader, response *fasthttp.Response, maxBytes int) error {
	body := Body(reader, response)
	if body == nil {
		return nil
	}
	data, err := io.ReadAll(io.LimitReader(body, int64(maxBytes)+1))
	if err != nil {
		return err
	}
	if len(data) > maxBytes {
		return fasthttp.ErrBodyTooLarge
	}
	response.SetBodyRaw(data)
	return nil
}
