package bodies

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestBudgetScripts drives a budget by the files in testdata: "budget limit=N queue=N", "reserve id=N
// bytes=N", "release bytes=N", "abandon id=N".
func TestBudgetScripts(t *testing.T) {
	names := map[Verdict]string{Granted: "granted", Queued: "queued", TooLarge: "too large", QueueFull: "queue full"}
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		var b *Budget
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			number := func(key string) int {
				n := 0
				d.ScanArgs(t, key, &n)
				return n
			}
			outcome := ""
			switch d.Cmd {
			case "budget":
				b = NewBudget(number("limit"), number("queue"))
			case "reserve":
				outcome = names[b.Reserve(ID(number("id")), number("bytes"))]
			case "release":
				outcome = fmt.Sprintf("granted %v", b.Release(number("bytes")))
			case "abandon":
				granted, found := b.Abandon(ID(number("id")))
				outcome = fmt.Sprintf("found %t, granted %v", found, granted)
			default:
				d.Fatalf(t, "there is no command %s", d.Cmd)
			}
			s := b.Status()
			return fmt.Sprintf("%s; %d of %d bytes, %d waiting\n", outcome, s.Used, s.Limit, s.Waiting)
		})
	})
}
