package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// request is one client attempt.
type request struct {
	id, method, host, uri string
	contentType           string
	deadline              time.Duration
	body                  []byte
}

// head returns the request's head.
func (q *request) head(length int) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nMadderpond-Request-Id: %s\r\nMadderpond-Request-Deadline-Ms: %d\r\n", q.method, q.uri, q.host, q.id, q.deadline.Milliseconds())
	if q.contentType != "" {
		fmt.Fprintf(&b, "Content-Type: %s\r\n", q.contentType)
	}
	if length > 0 || q.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", length)
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// connection is a client's connection to a front.
type connection struct {
	net.Conn
	reader *bufio.Reader
}

func dial(address string) (*connection, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: c, reader: bufio.NewReader(c)}, nil
}

// answer is what a client gets for a request.
type answer struct {
	status      int
	stamp, body string
	closes      bool
}

// send sends a request and reads its whole answer.
func (c *connection) send(q *request) (answer, error) {
	c.SetDeadline(time.Now().Add(q.deadline + time.Second))
	if _, err := c.Write(append(q.head(len(q.body)), q.body...)); err != nil {
		return answer{}, err
	}
	return c.receive(q.method)
}

func (c *connection) receive(method string) (answer, error) {
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return answer{}, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{}, err
	}
	return answer{status: response.StatusCode, stamp: response.Header.Get("Madderpond-Server-Stamp"), body: string(body), closes: response.Close}, nil
}

// sumOf returns the beginning of a digest.
func sumOf(b []byte) string {
	s := sha256.Sum256(b)
	return hex.EncodeToString(s[:8])
}
