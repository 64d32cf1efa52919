package entry

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/madderpond/madderpond/pkg/config"
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/rawserver"
	"github.com/madderpond/madderpond/pkg/scriptargs"
	"github.com/madderpond/madderpond/pkg/units"
)

// TestRequestsReachTargetsAsTheyWereSent sends the raw requests in testdata through a box. "send" prints which
// service got the request, its first line, the headers that were added, changed or taken out, and
// its body. "\n" is a line's end in the request; lines of the file are joined.
func TestRequestsReachTargetsAsTheyWereSent(t *testing.T) {
	datadriven.Walk(t, "testdata/raw", func(t *testing.T, path string) {
		got := make(chan string, 1)
		e := startRawBox(t, startRawTarget(t, "cards", got), startRawTarget(t, "redeem", got))
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			sent := scriptargs.Unescape(d.Input)
			status := sendRaw(t, e.Address(), sent)
			select {
			case request := <-got:
				return describeRaw(sent, request)
			default:
				return fmt.Sprintf("status %d, not sent to a target\n", status)
			}
		})
	})
}

// startRawTarget records each request as it was read, behind the name of the service.
func startRawTarget(t *testing.T, name string, got chan string) string {
	return rawserver.Serve(t, func(c net.Conn) {
		var raw bytes.Buffer
		request, err := http.ReadRequest(bufio.NewReaderSize(io.TeeReader(c, &raw), 1))
		if err != nil {
			return
		}
		io.Copy(io.Discard, request.Body)
		got <- name + "\n" + raw.String()
		io.WriteString(c, "HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n")
	})
}

func startRawBox(t *testing.T, cards, redeem string) *Entry {
	v := table.NewTable()
	v.Revision, v.Routes = 1, map[table.RouteKey]*table.Route{}
	for prefix, s := range map[string][2]string{"/cards/": {"cards", cards}, "/cards/redeem/": {"redeem", redeem}} {
		name := units.ServiceName(s[0])
		entry := &table.Entry{Service: table.Service{Name: name, Work: table.AtMostOnce, Deadline: time.Second, HoldLimit: time.Second, HoldCount: 1}, Version: 1}
		entry.Rows = entry.Rows.With(table.Row{Service: name, Target: units.TargetID(s[0]), Address: s[1], Weight: 100, State: table.Active})
		v.Services[name] = entry
		r := &table.Route{
			Name: s[0], Host: "h", PathPrefix: prefix, Work: table.AtMostOnce, Deadline: time.Second,
			Services: []table.WeightedService{{Service: name, Weight: 1}},
		}
		v.Routes[r.Key()] = r
	}
	return startTestBox(t, v, func(*config.Settings) {})
}

// sendRaw sends a request and returns the status of the answer.
func sendRaw(t *testing.T, address, request string) int {
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(awaitTimeout))
	if _, err := io.WriteString(c, request); err != nil {
		t.Fatal(err)
	}
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	return answer.StatusCode
}

// rawMessage is a request or an answer: its first line, its headers and its body.
type rawMessage struct {
	first   string
	headers []string
	body    string
}

func parseRaw(text string) rawMessage {
	head, body, _ := strings.Cut(text, "\r\n\r\n")
	lines := strings.Split(head, "\r\n")
	return rawMessage{first: lines[0], headers: lines[1:], body: body}
}

// writeHeaderChanges lists the headers that were taken out or changed on the way, and those that were added as an
// edit function returns them, which leaves out a header by an empty text.
func writeHeaderChanges(out *strings.Builder, sent, got rawMessage, edit func(line string) string) {
	for _, line := range sent.headers {
		if !slices.Contains(got.headers, line) {
			fmt.Fprintf(out, "- %s\n", line)
		}
	}
	for _, line := range got.headers {
		if slices.Contains(sent.headers, line) {
			continue
		}
		if line = edit(line); line != "" {
			fmt.Fprintf(out, "+ %s\n", line)
		}
	}
}

// describeRaw compares what a target got with what was sent.
func describeRaw(sentText, gotText string) string {
	service, request, _ := strings.Cut(gotText, "\n")
	sent, got := parseRaw(sentText), parseRaw(request)
	var out strings.Builder
	fmt.Fprintf(&out, "%s: %s\n", service, got.first)
	writeHeaderChanges(&out, sent, got, func(line string) string {
		if strings.HasPrefix(line, "X-Deadline-Ms: ") {
			return ""
		}
		return line
	})
	if sent.body == got.body {
		out.WriteString("the body as it was sent\n")
	} else {
		fmt.Fprintf(&out, "body %q\n", got.body)
	}
	return out.String()
}
