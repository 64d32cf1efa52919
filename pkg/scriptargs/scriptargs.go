// Package scriptargs reads the arguments of commands in the tests' script files.
package scriptargs

import (
	"regexp"
	"strconv"
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

// Unescape returns the raw bytes that a command's input stands for: lines of the file are joined, `\n` is the end of
// a line, and `\xNN` the byte with that hexadecimal number.
func Unescape(text string) string {
	joined := strings.ReplaceAll(strings.ReplaceAll(text, "\n", ""), `\n`, "\r\n")
	return escapedByte.ReplaceAllStringFunc(joined, func(escaped string) string {
		b, err := strconv.ParseUint(escaped[len(`\x`):], 16, 8)
		if err != nil {
			return escaped
		}
		return string([]byte{byte(b)})
	})
}

var escapedByte = regexp.MustCompile(`\\x[0-9a-f]{2}`)
