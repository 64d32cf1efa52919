package response

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/madderpond/madderpond/pkg/rawserver"
)

const wholeHead = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nX-Y: a b\r\nContent-Length: 2\r\n\r\n"

// A head that stops is no answer, wherever it does.
func TestNoPrefixOfAHeadIsOne(t *testing.T) {
	for n := range len(wholeHead) {
		var h fasthttp.ResponseHeader
		if err := ReadHead(bufio.NewReader(strings.NewReader(wholeHead[:n])), &h); err == nil {
			t.Errorf("%q was read as status %d", wholeHead[:n], h.StatusCode())
		}
	}
	var h fasthttp.ResponseHeader
	if err := ReadHead(bufio.NewReader(strings.NewReader(wholeHead)), &h); err != nil || h.ContentLength() != 2 {
		t.Errorf("the whole head was read as %q, %v", &h, err)
	}
}

// No prefix of a body ends like the body itself.
func TestNoPrefixOfABodyIsWhole(t *testing.T) {
	for head, body := range map[string]string{
		"Content-Length: 4":          "abcd",
		"Transfer-Encoding: chunked": "2;x=y\r\nab\r\n2\r\ncd\r\n0\r\nX-Y: 1\r\n\r\n",
	} {
		for n := range len(body) + 1 {
			r := bufio.NewReader(strings.NewReader("HTTP/1.1 200 OK\r\n" + head + "\r\n\r\n" + body[:n]))
			var answer fasthttp.Response
			if err := ReadHead(r, &answer.Header); err != nil {
				t.Fatal(err)
			}
			data, err := io.ReadAll(Body(r, &answer))
			if isWhole := err == nil; isWhole != (n == len(body)) || isWhole && string(data) != "abcd" {
				t.Errorf("%s, %d of %d bytes: read %q, %v", head, n, len(body), data, err)
			}
		}
	}
}

func TestInterimResponsesHaveABound(t *testing.T) {
	const interim = "HTTP/1.1 100 Continue\r\n\r\n"
	for count, isBound := range map[int]bool{maxInterimResponses: false, maxInterimResponses + 1: true} {
		var h fasthttp.ResponseHeader
		err := ReadHead(bufio.NewReader(strings.NewReader(strings.Repeat(interim, count)+wholeHead[strings.Index(wholeHead, "HTTP/1.1 200"):])), &h)
		if errors.Is(err, ErrMalformed) != isBound {
			t.Errorf("%d interim responses: %v", count, err)
		}
	}
}

// A connection is used again only behind a response whose end its framing marks, with nothing behind it.
func TestTransportReusesConnections(t *testing.T) {
	for answer, connections := range map[string]int64{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok":                            1,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n": 1,
		"HTTP/1.1 204 No Content\r\n\r\n":                                           1,
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokmore":                        2,
		"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok":       2,
	} {
		address, accepted := startServer(t, answer)
		client := &fasthttp.Client{Transport: Transport{}, MaxResponseBodySize: 1 << 10, ReadTimeout: 10 * time.Second}
		for range 2 {
			if status, body, err := client.Get(nil, "http://"+address); err != nil || status/100 != 2 || len(body) > len("ok") {
				t.Errorf("%q: read %d %q, %v", answer, status, body, err)
			}
		}
		if n := accepted.Load(); n != connections {
			t.Errorf("%q: two requests took %d connections, not %d", answer, n, connections)
		}
	}
}

// startServer answers each request on a connection with the same bytes.
func startServer(t *testing.T, answer string) (address string, accepted *atomic.Int64) {
	accepted = &atomic.Int64{}
	return rawserver.Serve(t, func(c net.Conn) {
		accepted.Add(1)
		rawserver.AnswerAll(c, answer)
	}), accepted
}
