package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestAnswersReachCallersAsTheyWereSent has a target send the raw answers in testdata: "answer [method=M] [closes]
// [reset]". It prints the first line that the caller got, the headers that were added, changed or taken out, and
// the body if that is another one. "\n" is a line's end in the answer; lines of the file are joined.
func TestAnswersReachCallersAsTheyWereSent(t *testing.T) {
	datadriven.Walk(t, "testdata/raw-answers", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			sent := strings.ReplaceAll(strings.ReplaceAll(d.Input, "\n", ""), `\n`, "\r\n")
			method := "GET"
			d.MaybeScanArgs(t, "method", &method)
			address := startRawAnswerTarget(t, sent, d.HasArg("closes"))
			e := startRawBox(t, address, address)
			return describeRawAnswer(sent, receiveRaw(t, e.Address(), method))
		})
	})
}

// startRawAnswerTarget answers each request with the same bytes, and closes the connection then if that is wanted.
func startRawAnswerTarget(t *testing.T, answer string, closes bool) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				reader := bufio.NewReader(c)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					io.Copy(io.Discard, request.Body)
					io.WriteString(c, answer)
					if closes {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

// receiveRaw makes a call and returns the bytes of the answer, up to the end of the connection.
func receiveRaw(t *testing.T, address, method string) string {
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(awaitTimeout))
	fmt.Fprintf(c, "%s /cards/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", method)
	data, err := io.ReadAll(c)
	if err != nil {
		return string(data) + "\n(reset)"
	}
	return string(data)
}

// ownAnswerHeaders are those that a box adds to each answer.
var ownAnswerHeaders = []string{"X-Madderpond-Target: cards", "Connection: close", "Server: madderpond"}

func describeRawAnswer(sent, got string) string {
	sentHead, sentBody, _ := strings.Cut(sent, "\r\n\r\n")
	gotHead, gotBody, _ := strings.Cut(got, "\r\n\r\n")
	sentLines, gotLines := strings.Split(sentHead, "\r\n"), strings.Split(gotHead, "\r\n")
	var out strings.Builder
	fmt.Fprintf(&out, "%s\n", gotLines[0])
	for _, line := range sentLines[1:] {
		if !slices.Contains(gotLines, line) {
			fmt.Fprintf(&out, "- %s\n", line)
		}
	}
	for _, line := range gotLines[1:] {
		if slices.Contains(sentLines, line) || slices.Contains(ownAnswerHeaders, line) {
			continue
		}
		if strings.HasPrefix(line, "Date: ") {
			line = "Date: the box's"
		}
		fmt.Fprintf(&out, "+ %s\n", line)
	}
	if strings.HasSuffix(gotLines[0], " 502 Bad Gateway") {
		// The box's own answer is tested elsewhere.
		return gotLines[0] + "\n"
	}
	if sentBody != gotBody {
		fmt.Fprintf(&out, "body %q\n", gotBody)
	}
	return out.String()
}
