package capacity

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/madderpond/madderpond/pkg/scriptargs"
	"github.com/madderpond/madderpond/pkg/units"
)

// TestGateScripts drives a gate by the files in testdata:
//
//	gate [mbps=F] [cores=F]
//	calls n=N every=D [bytes=N] [work=D] [lasts=D] [kept] [slow]   calls that begin one after the other;
//	                                                       slow ones have bodies that are still to come
//	resume n=N                                              bodies that have come
//	pass for=D
//	ping [takes=D]                                          a ping that is answered, or not yet
//	answer [lost]                                           the end of a ping
//	show
//
// Calls on connections that are refused don't begin; kept ones are on connections that are open.
func TestGateScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		s := &gateScript{t: t}
		datadriven.RunTest(t, path, s.command)
	})
}

type gateScript struct {
	t     *testing.T
	gate  *Gate
	now   units.Instant
	usage Usage
	// ends are the times at which calls under way end.
	ends []units.Instant
	// bytes and work are what each call takes.
	bytes int
	work  time.Duration
}

func (s *gateScript) command(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "gate":
		s.now, s.usage, s.ends = units.Instant(time.Minute), Usage{}, nil
		s.gate = NewGate(Settings{LinkRate: s.number(d, "mbps") * 1e6 / 8, Cores: s.number(d, "cores")}, s.now)
	case "calls":
		return s.calls(d)
	case "resume":
		for range int(s.number(d, "n")) {
			s.gate.Resume(s.now)
		}
	case "pass":
		s.pass(s.duration(d, "for"))
	case "ping":
		s.gate.PingSent(s.now)
		if d.HasArg("takes") {
			s.pass(s.duration(d, "takes"))
			s.gate.PingEnded(s.now, true)
		}
	case "answer":
		s.gate.PingEnded(s.now, !d.HasArg("lost"))
	case "show":
		return s.show()
	default:
		d.Fatalf(t, "there is no command %s", d.Cmd)
	}
	return ""
}

func (s *gateScript) number(d *datadriven.TestData, key string) float64 {
	if !d.HasArg(key) {
		return 0
	}
	var text string
	d.ScanArgs(s.t, key, &text)
	x, err := strconv.ParseFloat(text, 64)
	if err != nil {
		d.Fatalf(s.t, "%v", err)
	}
	return x
}

func (s *gateScript) duration(d *datadriven.TestData, key string) time.Duration {
	return scriptargs.Duration(s.t, d, key)
}

// pass advances the time and ends calls.
func (s *gateScript) pass(d time.Duration) {
	until := s.now.Add(d)
	for len(s.ends) > 0 && s.ends[0] <= until {
		s.now = s.ends[0]
		s.ends = s.ends[1:]
		s.usage.Received += uint64(s.bytes)
		s.usage.Sent += uint64(s.bytes)
		s.usage.Processor += s.work
		s.gate.CallEnded(s.now, s.usage)
	}
	s.now = until
}

func (s *gateScript) calls(d *datadriven.TestData) string {
	n, accepted := int(s.number(d, "n")), 0
	s.bytes, s.work = int(s.number(d, "bytes")), s.duration(d, "work")
	began := s.now
	for range n {
		s.pass(s.duration(d, "every"))
		if !d.HasArg("kept") && !s.gate.Accepts(s.now) {
			continue
		}
		accepted++
		s.gate.Admit(s.now)
		if d.HasArg("slow") {
			s.gate.Postpone(s.now)
		}
		s.ends = append(s.ends, s.now.Add(s.duration(d, "lasts")))
	}
	rate := float64(accepted) / s.now.Sub(began).Seconds()
	return fmt.Sprintf("%d of %d accepted, %.0f a second\n", accepted, n, rate)
}

func (s *gateScript) show() string {
	text := map[bool]string{false: "open", true: "closed"}[!s.gate.Accepts(s.now)]
	if s.gate.IsShort(s.now) {
		text += ", short of " + s.gate.Status(s.now).Scarcest
	}
	if s.gate.IsOverloaded(s.now) {
		text += ", overloaded"
	}
	if s.gate.ClosesIdle(s.now) {
		text += ", closes idle connections"
	}
	if at, ok := s.gate.PingDueAt(s.now); ok {
		text += fmt.Sprintf(", pings in %s", at.Sub(s.now))
	}
	return text + "\n"
}
