package target

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/madderpond/madderpond/pkg/clock"
	"github.com/madderpond/madderpond/pkg/core/routing"
	"github.com/madderpond/madderpond/pkg/rawserver"
	"github.com/madderpond/madderpond/pkg/scriptargs"
	"github.com/madderpond/madderpond/pkg/units"
)

// stubTarget is a target that answers each request on a connection with the next part of a
// script, as raw bytes. In a script, the lines "RESET" and "CLOSE" end the connection, a line
// "BYTES N" stands for N bytes, and a line "LATER" begins the part for the next request.
type stubTarget struct {
	address string
	script  string
}

func startStubTarget(t *testing.T, script string) *stubTarget {
	a := &stubTarget{script: script}
	a.address = rawserver.Serve(t, a.serveConn)
	return a
}

func (a *stubTarget) serveConn(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for _, part := range strings.Split(a.script, "LATER\n") {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		io.Copy(io.Discard, request.Body)
		for _, line := range strings.SplitAfter(part, "\n") {
			switch strings.TrimSpace(line) {
			case "RESET":
				conn.(*net.TCPConn).SetLinger(0)
				return
			case "CLOSE":
				return
			}
			if n, err := strconv.Atoi(strings.TrimPrefix(strings.TrimSpace(line), "BYTES ")); err == nil {
				io.WriteString(conn, strings.Repeat("x", n))
				continue
			}
			io.WriteString(conn, scriptargs.Unescape(line))
		}
	}
	// Later requests get no response, but the connection stays open.
	io.Copy(io.Discard, reader)
}

func newTestPools() *Pools {
	return newPools(1 << 10)
}

func newPools(bufferBody int) *Pools {
	return NewPools(Settings{
		ConnectTimeout: time.Second, IdleTimeout: time.Minute, MaxBufferedBytes: bufferBody, ShedHeader: "X-Shed",
		LoadHeader: "X-Load", DeadlineHeader: "X-Deadline-Ms", CallIDHeader: "X-Call", IdentityHeader: "X-Expected-Target",
		TargetHeader: "X-Target", StatusMayMeanNotExecuted: true, AllowUnframed: true, ProbePath: "/healthz",
		MaxHeadBytes: maxTestHeadBytes,
	}, clock.NewClock())
}

// TestAnswers sends calls to a stub target that follows the files in testdata, and prints the
// result of each call and whether its connection was kept for reuse.
func TestAnswers(t *testing.T) {
	datadriven.Walk(t, "testdata/answers", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			count := 1
			d.MaybeScanArgs(t, "calls", &count)
			target := startStubTarget(t, d.Input+"\n")
			pools := newTestPools()
			if d.HasArg("large") {
				pools = newPools(64 << 10)
			}
			var lines []string
			for i := range count {
				id := fmt.Sprintf("call-%d", i+1)
				lines = append(lines, callOnce(pools, target.address, id, d.HasArg("large")))
			}
			return strings.Join(lines, "\n") + "\n"
		})
	})
}

func callOnce(pools *Pools, address, id string, large bool) string {
	a := pools.NewAttempt(&routing.Effect{
		Endpoint: &routing.Endpoint{Service: "s", Target: "t", Address: address, Registered: true},
		Deadline: pools.clock.Now().Add(10 * time.Second), NotAfter: pools.clock.Now().Add(time.Minute), LargeAnswer: large,
	})
	a.Request.SetRequestURI("/")
	a.Request.Header.SetHost("s")
	a.Request.Header.Set("X-Call", id)
	result, streaming := a.Run()
	if streaming {
		return streamOnce(pools, a)
	}
	body := fmt.Sprintf("%q", a.Body())
	if len(a.Body()) > 100 {
		body = fmt.Sprintf("%d bytes", len(a.Body()))
	}
	text := fmt.Sprintf("%s %s, connections kept: %d", result, body, pools.idleCount())
	a.Release()
	return text
}

// A target may have dropped a connection that was idle for long. Work that may be sent again uses
// it all the same; work that must not run twice gets another connection.
func TestOnceWorkUsesNoConnectionThatHasRested(t *testing.T) {
	for _, once := range []bool{false, true} {
		target := startStubTarget(t, `HTTP/1.1 200 OK\nX-Call: call-1\nContent-Length: 0\n\n`+"\nLATER\nRESET\n")
		pools := newTestPools()
		pools.settings.AtMostOnceIdleTimeout = time.Hour
		address := target.address
		first := callOnce(pools, address, "call-1", false)
		for _, x := range pools.byAddress {
			for _, c := range x.idle {
				c.idleSince -= units.Instant(2 * time.Hour)
			}
		}
		pools.settings.IdleTimeout = 3 * time.Hour
		a := pools.NewAttempt(&routing.Effect{
			Endpoint: &routing.Endpoint{Service: "s", Target: "t", Address: address, Registered: true}, AtMostOnce: once,
			Deadline: pools.clock.Now().Add(10 * time.Second), NotAfter: pools.clock.Now().Add(time.Minute),
		})
		a.Request.SetRequestURI("/")
		a.Request.Header.SetHost("s")
		result, _ := a.Run()
		a.Release()
		if want := map[bool]routing.AttemptResult{false: routing.Broken, true: routing.Answered}[once]; result != want {
			t.Errorf("once %t: the second call is %s, not %s (the first: %s)", once, result, want, first)
		}
	}
}

func TestATargetsKeepAliveIsHeeded(t *testing.T) {
	scenarios := []struct {
		testName string
		header   string
		idle     time.Duration
		reused   bool
	}{
		{"not told", "X: y", time.Hour, true},
		{"within the time", "Keep-Alive: timeout=5", 3 * time.Second, true},
		{"in the last second", "Keep-Alive: max=10, timeout=5", 4500 * time.Millisecond, false},
		{"no number", "Keep-Alive: timeout=soon", time.Hour, true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			target := startStubTarget(t, `HTTP/1.1 200 OK\nX-Call: call-1\n`+s.header+`\nContent-Length: 0\n\n`+"\n")
			pools := newTestPools()
			address := target.address
			callOnce(pools, address, "call-1", false)
			for _, x := range pools.byAddress {
				for _, c := range x.idle {
					c.idleSince -= units.Instant(s.idle)
				}
			}
			if c := pools.takeIdle(address, 2*time.Hour); (c != nil) != s.reused {
				t.Errorf("used again: %t, want %t", c != nil, s.reused)
			}
		})
	}
}

func streamOnce(pools *Pools, a *Attempt) string {
	ended := routing.AttemptResult(0)
	stream := a.Stream(func(r routing.AttemptResult) { ended = r })
	body, err := io.ReadAll(stream)
	stream.Close()
	return fmt.Sprintf("streamed %d bytes, cut short: %t, %s, connections kept: %d", len(body), err != nil, ended, pools.idleCount())
}

// idleCount returns the number of idle connections.
func (p *Pools) idleCount() int {
	n := 0
	for _, s := range p.Status() {
		n += s.Idle
	}
	return n
}

func TestReadings(t *testing.T) {
	datadriven.RunTest(t, "testdata/readings", func(t *testing.T, d *datadriven.TestData) string {
		var b strings.Builder
		for _, line := range strings.Split(d.Input, "\n") {
			r := parseReport(line)
			fmt.Fprintf(&b, "known=%t in-flight=%g slots=%g pace=%g\n", r.HasLoad, r.InFlight, r.Slots, r.Pace)
		}
		return b.String()
	})
}
