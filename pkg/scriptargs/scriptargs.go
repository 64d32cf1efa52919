// Package scriptargs reads the arguments of commands in the tests' script files.
package scriptargs

import (
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// Duration returns the value of an argument; zero without it.
func Duration(t *testing.T, d *datadriven.TestData, key string) time.Duration {
	t.Helper()
	if !d.HasArg(key) {
		return 0
	}
	var text string
	d.ScanArgs(t, key, &text)
	v, err := time.ParseDuration(text)
	if err != nil {
		d.Fatalf(t, "%v", err)
	}
	return v
}

// Unescape returns the raw bytes that a command's input stands for: lines of the file are joined, and `\n` is the
// end of a line.
func Unescape(text string) string {
	return strings.ReplaceAll(strings.ReplaceAll(text, "\n", ""), `\n`, "\r\n")
}
