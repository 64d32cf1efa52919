package client

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/madderpond/madderpond/pkg/admin"
	"github.com/madderpond/madderpond/pkg/fault"
	"github.com/madderpond/madderpond/pkg/rawserver"
	"github.com/madderpond/madderpond/pkg/scriptargs"
)

// TestAnswersOfServers has a server answer each request on a connection with the bytes in testdata, "put" and "get". It
// prints what the client makes of it. A line "CLOSE" closes the connection, "RESET" resets it.
func TestAnswersOfServers(t *testing.T) {
	datadriven.RunTest(t, "testdata/answers", func(t *testing.T, d *datadriven.TestData) string {
		c, err := NewClient([]string{startRawServer(t, d.Input)}, "", time.Second)
		if err != nil {
			t.Fatal(err)
		}
		if d.Cmd == "put" {
			return describe("acknowledged", c.PutDocument(json.RawMessage(`{}`)))
		}
		table, err := c.Table()
		return describe(fmt.Sprintf("revision %d", table.Revision), err)
	})
}

func describe(success string, err error) string {
	if err != nil {
		return string(fault.KindOf(err)) + "\n"
	}
	return success + "\n"
}

func startRawServer(t *testing.T, script string) (address string) {
	return rawserver.Serve(t, func(c net.Conn) { serveRaw(c.(*net.TCPConn), script) })
}

func serveRaw(c *net.TCPConn, script string) {
	answer, end, _ := strings.Cut(script, "\n")
	answer = scriptargs.Unescape(answer)
	if end == "" {
		rawserver.AnswerAll(c, answer)
		return
	}
	rawserver.AnswerOne(c, bufio.NewReader(c), answer)
	if end == "RESET" {
		c.SetLinger(0)
	}
}

// TestReadsPreferAConfirmedTable runs the servers in testdata, one a line: "confirmed" or "unconfirmed" with the revision
// of its table, "invalid" for one that refuses the request, or "down". It prints what ReadTable returns.
func TestReadsPreferAConfirmedTable(t *testing.T) {
	datadriven.RunTest(t, "testdata/reads", func(t *testing.T, d *datadriven.TestData) string {
		var servers []string
		for _, line := range strings.Split(d.Input, "\n") {
			servers = append(servers, startRawServer(t, tableAnswer(t, line)+"\nCLOSE"))
		}
		c, err := NewClient(servers, "", time.Second)
		if err != nil {
			t.Fatal(err)
		}
		read, err := c.ReadTable()
		return describe(fmt.Sprintf("revision %d, confirmed %t", read.Table.Revision, read.Confirmed), err)
	})
}

// tableAnswer returns the script of a server's answer; it is empty for one that is down.
func tableAnswer(t *testing.T, server string) string {
	kind, revision, _ := strings.Cut(server, " ")
	body := fmt.Sprintf(`{"revision":%s}`, revision)
	header := ""
	switch kind {
	case "confirmed":
	case "unconfirmed":
		header = admin.UnconfirmedHeader + ": true\\n"
	case "invalid":
		body = `{"title":"invalid","detail":"this process is no control replica"}`
		return fmt.Sprintf("HTTP/1.1 400 Bad Request\\nContent-Type: application/problem+json\\nContent-Length: %d\\n\\n%s", len(body), body)
	case "down":
		return ""
	default:
		t.Fatalf("unknown server %q", server)
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\\nContent-Type: application/json\\n%sContent-Length: %d\\n\\n%s", header, len(body), body)
}
