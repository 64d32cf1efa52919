package explain

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/madderpond/madderpond/pkg/fault"
)

// TestStories prints the timelines of calls from the logs in testdata; the command is "explain CALL".
// Each input is split in two, to cover several log files.
func TestStories(t *testing.T) {
	datadriven.RunTest(t, "testdata/stories", func(t *testing.T, d *datadriven.TestData) string {
		half := len(d.Input) / 2
		cut := half + strings.IndexByte(d.Input[half:], '\n') + 1
		s, err := Read(d.CmdArgs[0].Key, strings.NewReader(d.Input[:cut]), strings.NewReader(d.Input[cut:]))
		if err != nil {
			return fmt.Sprintf("%s: %v\n", fault.KindOf(err), err)
		}
		var b strings.Builder
		s.Write(&b)
		// An empty line would end the expected output in the data file.
		return strings.ReplaceAll(b.String(), "\n\n", "\n")
	})
}
