package bodies

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/madderpond/madderpond/pkg/scriptargs"
	"github.com/madderpond/madderpond/pkg/units"
)

var verdictNames = map[Verdict]string{
	Granted: "granted", Streamed: "streamed", Queued: "queued", TooLarge: "too large", QueueFull: "queue full", TooLate: "too late",
}

// TestBudgetScripts drives a budget by the files in testdata:
//
//	budget limit=N queue=N [held=N] [window=N] [rate=N]
//	reserve id=N bytes=N [streamable] [incoming=N] [deadline=D]   a body with so much time left
//	incoming id=N bytes=N                                         what is still to come of a body
//	release id=N
//	abandon id=N
//	pass for=D
func TestBudgetScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		s := &budgetScript{t: t, now: units.Instant(time.Minute)}
		datadriven.RunTest(t, path, s.command)
	})
}

type budgetScript struct {
	t      *testing.T
	budget *Budget
	now    units.Instant
}

func (s *budgetScript) number(d *datadriven.TestData, key string) int {
	n := 0
	if d.HasArg(key) {
		d.ScanArgs(s.t, key, &n)
	}
	return n
}

func (s *budgetScript) command(t *testing.T, d *datadriven.TestData) string {
	outcome := ""
	id := ID(s.number(d, "id"))
	switch d.Cmd {
	case "budget":
		s.budget = NewBudget(Settings{
			Limit: s.number(d, "limit"), MaxQueue: s.number(d, "queue"), HeldLimit: s.number(d, "held"),
			Window: s.number(d, "window"), LinkRate: float64(s.number(d, "rate")),
		})
	case "reserve":
		c := Claim{ID: id, Bytes: s.number(d, "bytes"), Streamable: d.HasArg("streamable"), Incoming: s.number(d, "incoming")}
		if d.HasArg("deadline") {
			c.Deadline = s.now.Add(scriptargs.Duration(t, d, "deadline"))
		}
		outcome = verdictNames[s.budget.Reserve(s.now, c)]
	case "incoming":
		s.budget.SetIncoming(id, s.number(d, "bytes"))
	case "release":
		outcome = grantText(s.budget.Release(id))
	case "abandon":
		granted, found := s.budget.Abandon(id)
		outcome = fmt.Sprintf("found %t, %s", found, grantText(granted))
	case "pass":
		s.now = s.now.Add(scriptargs.Duration(t, d, "for"))
	default:
		d.Fatalf(t, "there is no command %s", d.Cmd)
	}
	x := s.budget.Status()
	text := fmt.Sprintf("%s; %d of %d bytes, %d waiting", outcome, x.Used, x.Limit, x.Waiting)
	if x.Streamed > 0 {
		text += fmt.Sprintf(", %d streamed", x.Streamed)
	}
	if x.Refused > 0 {
		text += fmt.Sprintf(", %d refused", x.Refused)
	}
	if b := s.budget.Backlog(); b > 0 {
		text += fmt.Sprintf(", the link is busy for %s", b)
	}
	return text + "\n"
}

// grantText lists the ids of bodies that are held now, and of those that are streamed.
func grantText(granted []Grant) string {
	ids := map[Verdict][]ID{}
	for _, g := range granted {
		ids[g.Verdict] = append(ids[g.Verdict], g.ID)
	}
	text := fmt.Sprintf("granted %v", ids[Granted])
	if len(ids[Streamed]) > 0 {
		text += fmt.Sprintf(", streamed %v", ids[Streamed])
	}
	return strings.TrimSpace(text)
}
