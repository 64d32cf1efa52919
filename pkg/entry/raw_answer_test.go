package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/madderpond/madderpond/pkg/rawserver"
	"github.com/madderpond/madderpond/pkg/scriptargs"
)

// TestAnswersReachCallersAsTheyWereSent has a target send the raw answers in testdata: "answer [method=M] [closes]".
// It prints the first line that the caller got, the headers that were added, changed or taken out, and
// the body if that is another one. "\n" is a line's end in the answer; lines of the file are joined.
func TestAnswersReachCallersAsTheyWereSent(t *testing.T) {
	datadriven.Walk(t, "testdata/raw-answers", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			sent := scriptargs.Unescape(d.Input)
			method := "GET"
			d.MaybeScanArgs(t, "method", &method)
			address := startRawAnswerTarget(t, sent, d.HasArg("closes"))
			e := startRawBox(t, address, address)
			return describeRawAnswer(sent, receiveRaw(t, e.Address(), method))
		})
	})
}

// A caller got 502 in place of an answer whose head didn't fit into the buffer of a connection.
func TestALongHeadReachesItsCaller(t *testing.T) {
	var cookies strings.Builder
	for i := range 12 {
		fmt.Fprintf(&cookies, "Set-Cookie: c%d=%s\r\n", i, strings.Repeat("x", 1<<10))
	}
	for name, fields := range map[string]string{
		"one field": "X-Policy: " + strings.Repeat("x", 6<<10) + "\r\n",
		"cookies":   cookies.String(),
	} {
		t.Run(name, func(t *testing.T) {
			head := "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 2\r\n\r\n"
			address := startRawAnswerTarget(t, head+"ok", false)
			e := startRawBox(t, address, address)
			got := receiveRaw(t, e.Address(), "GET")
			if !strings.HasPrefix(got, "HTTP/1.1 200 OK\r\n") || !strings.HasSuffix(got, "\r\n\r\nok") {
				t.Fatalf("the caller got %.80q", got)
			}
			for _, line := range strings.SplitAfter(fields, "\r\n") {
				if !strings.Contains(got, line) {
					t.Errorf("the caller didn't get %.40q", line)
				}
			}
		})
	}
}

// startRawAnswerTarget answers each request with the same bytes, and closes the connection then if that is wanted.
func startRawAnswerTarget(t *testing.T, answer string, closes bool) string {
	return rawserver.Serve(t, func(c net.Conn) {
		if closes {
			rawserver.AnswerOne(c, bufio.NewReader(c), answer)
			return
		}
		rawserver.AnswerAll(c, answer)
	})
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

func describeRawAnswer(sentText, gotText string) string {
	sent, got := parseRaw(sentText), parseRaw(gotText)
	var out strings.Builder
	fmt.Fprintf(&out, "%s\n", got.first)
	if strings.HasSuffix(got.first, " 502 Bad Gateway") {
		// The box's own answer is tested elsewhere.
		return out.String()
	}
	writeHeaderChanges(&out, sent, got, func(line string) string {
		switch {
		case slices.Contains(ownAnswerHeaders, line):
			return ""
		case strings.HasPrefix(line, "Date: "):
			return "Date: the box's"
		}
		return line
	})
	if sent.body != got.body {
		fmt.Fprintf(&out, "body %q\n", got.body)
	}
	return out.String()
}
