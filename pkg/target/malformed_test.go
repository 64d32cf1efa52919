package target

import (
	"context"
	"fmt"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/valyala/fasthttp"

	"github.com/madderpond/madderpond/pkg/core/routing"
)

// answerReader is one of the ways in which the answer of a target is read.
type answerReader struct {
	name string
	// before is what the target sends before the answer.
	before string
	// laterRequest is set if the answer is that to the second request on its connection.
	laterRequest bool
	method       string
	large        bool
	probe        bool
	// relay is set if another box sends the answer.
	relay bool
}

var answerReaders = []answerReader{
	{name: "GET"},
	{name: "POST", method: fasthttp.MethodPost},
	{name: "HEAD", method: fasthttp.MethodHead},
	{name: "large route", large: true},
	{name: "kept connection", before: `HTTP/1.1 200 OK\nX-Call: call-1\nContent-Length: 0\n\n` + "\nLATER\n", laterRequest: true},
	{name: "behind an interim answer", before: `HTTP/1.1 103 Early Hints\nLink: a\n\n`},
	{name: "behind a stale answer", before: `HTTP/1.1 200 OK\nX-Call: call-0\nContent-Length: 5\n\nstale`},
	{name: "relay", relay: true},
	{name: "probe", probe: true},
}

// TestMalformedAnswers has a target send the answers in testdata, "answer [resets]", and then close or reset the
// connection. It prints how each of the readers of answers takes them: a line for those that agree.
func TestMalformedAnswers(t *testing.T) {
	datadriven.Walk(t, "testdata/malformed", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			end := "CLOSE"
			if d.HasArg("resets") {
				end = "RESET"
			}
			var outcomes []string
			readers := map[string][]string{}
			for _, r := range answerReaders {
				outcome := r.read(t, d.Input, end)
				if !slices.Contains(outcomes, outcome) {
					outcomes = append(outcomes, outcome)
				}
				readers[outcome] = append(readers[outcome], r.name)
			}
			var b strings.Builder
			for _, outcome := range outcomes {
				who := strings.Join(readers[outcome], ", ")
				if len(readers[outcome]) == len(answerReaders) {
					who = "all"
				}
				fmt.Fprintf(&b, "%s: %s\n", who, outcome)
			}
			return b.String()
		})
	})
}

// read has a target send an answer to a reader, and returns what that makes of it.
func (r *answerReader) read(t *testing.T, answer, end string) string {
	if r.relay {
		answer = strings.ReplaceAll(answer, "X-Call: call-1", `X-Call: call-1\n`+RelayResultHeader+": "+RelayAnswered)
	}
	x := startStubTarget(t, r.before+answer+"\n"+end+"\n")
	address := x.address
	pools := newPools(64 << 10)
	pools.settings.DialRelay = func(ctx context.Context, address string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, "tcp", address)
	}
	if r.laterRequest {
		callOnce(pools, address, "call-1", false)
	}
	effect := &routing.Effect{
		Endpoint: &routing.Endpoint{Service: "s", Target: "t", Address: address, Registered: true},
		Deadline: pools.clock.Now().Add(10 * time.Second), NotAfter: pools.clock.Now().Add(time.Minute), LargeAnswer: r.large,
	}
	if r.relay {
		effect.Endpoint.Relay = "box-2"
	}
	if r.probe {
		return describeProbe(pools.Probe(effect))
	}
	a := pools.NewAttempt(effect)
	defer a.Release()
	if r.method != "" {
		a.Request.Header.SetMethod(r.method)
	}
	a.Request.SetRequestURI("/")
	a.Request.Header.SetHost("s")
	a.Request.Header.Set("X-Call", "call-1")
	result, streaming := a.Run()
	if streaming {
		return "streamed"
	}
	if result != routing.Answered {
		return result.String()
	}
	return fmt.Sprintf("%d %q", a.Response.StatusCode(), a.Body())
}

func describeProbe(p routing.ProbeEnded) string {
	if !p.Answered {
		return routing.Broken.String()
	}
	return fmt.Sprintf("answered, healthy: %t", p.Healthy)
}
