package client

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

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
	reader := bufio.NewReader(c)
	answer, end, _ := strings.Cut(script, "\n")
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		io.Copy(io.Discard, r.Body)
		io.WriteString(c, scriptargs.Unescape(answer))
		switch end {
		case "RESET":
			c.SetLinger(0)
			return
		case "CLOSE":
			return
		}
	}
}
