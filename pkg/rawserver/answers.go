package rawserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
)

// AnswerOne reads a request with its body and answers it with raw bytes.
func AnswerOne(c net.Conn, reader *bufio.Reader, answer string) error {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return err
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return err
	}
	_, err = io.WriteString(c, answer)
	return err
}

// AnswerAll answers each request on a connection with the same bytes.
func AnswerAll(c net.Conn, answer string) {
	reader := bufio.NewReader(c)
	for AnswerOne(c, reader, answer) == nil {
	}
}

// AnswerEndlessly answers a request with the start, and then with the other bytes until the connection ends.
func AnswerEndlessly(c net.Conn, start, again string) {
	err := AnswerOne(c, bufio.NewReader(c), start)
	for err == nil {
		_, err = io.WriteString(c, again)
	}
}
