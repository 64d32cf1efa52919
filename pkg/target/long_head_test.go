package target

import (
	"fmt"
	"strings"
	"testing"

	"github.com/madderpond/madderpond/pkg/core/routing"
)

// maxTestHeadBytes is the longest head of an answer in these tests.
const maxTestHeadBytes = 16 << 10

// longHead returns an answer whose head has about a number of bytes, in fields of a size.
func longHead(bytes, fieldBytes int) string {
	var b strings.Builder
	b.WriteString(`HTTP/1.1 200 OK\nX-Call: call-1\nContent-Length: 2\n`)
	for i := 0; i < bytes/fieldBytes; i++ {
		name := fmt.Sprintf("X-Long-%d: ", i)
		fmt.Fprintf(&b, `%s%s\n`, name, strings.Repeat("x", fieldBytes-len(name)-len("\r\n")))
	}
	return b.String() + `\nok`
}

// The heads of sound answers were taken for broken ones where they didn't fit into the buffer of a connection.
func TestLongHeadsAreRead(t *testing.T) {
	for name, answer := range map[string]string{
		"3 KB in one field":    longHead(3<<10, 3<<10),
		"6 KB in one field":    longHead(6<<10, 6<<10),
		"30 fields of 0.5 KB":  longHead(15<<10, 512),
		"15 KB in one field":   longHead(15<<10, 15<<10),
		"behind interim heads": `HTTP/1.1 103 Early Hints\nLink: a\n\n` + longHead(6<<10, 1<<10),
	} {
		t.Run(name, func(t *testing.T) {
			for _, r := range answerReaders {
				want := r.read(t, longHead(1<<10, 1<<10), "CLOSE")
				if got := r.read(t, answer, "CLOSE"); got != want {
					t.Errorf("%s: %s, want %s", r.name, got, want)
				}
			}
		})
	}
}

func TestHeadsOverTheLimitAreBroken(t *testing.T) {
	for name, answer := range map[string]string{
		"in one field": longHead(18<<10, 18<<10),
		"in many":      longHead(18<<10, 256),
		"cut off":      strings.TrimSuffix(longHead(6<<10, 1<<10), `\nok`),
	} {
		t.Run(name, func(t *testing.T) {
			for _, r := range answerReaders {
				if got, want := r.read(t, answer, "CLOSE"), routing.Broken.String(); got != want {
					t.Errorf("%s: %s, want %s", r.name, got, want)
				}
			}
		})
	}
}

// A connection that has carried a long head keeps no large buffer, and the next answer on it is read.
func TestAConnectionIsUsedAgainAfterALongHead(t *testing.T) {
	next := strings.ReplaceAll(longHead(1<<10, 1<<10), "call-1", "call-2")
	x := startStubTarget(t, longHead(10<<10, 1<<10)+"\nLATER\n"+next)
	pools := newTestPools()
	for _, id := range []string{"call-1", "call-2"} {
		if got := callOnce(pools, x.address, id, false); !strings.HasPrefix(got, routing.Answered.String()) {
			t.Errorf("%s: %s", id, got)
		}
		idle := pools.pool(x.address).idle
		if len(idle) != 1 {
			t.Fatalf("%d idle connections after %s, want 1", len(idle), id)
		}
		if n := idle[0].reader.Size(); n != bufferSize {
			t.Errorf("the connection has a buffer of %d bytes after %s", n, id)
		}
	}
}

func TestALongHeadTakesReservedMemory(t *testing.T) {
	for _, available := range []bool{true, false} {
		reserved := 0
		pools := newTestPools()
		pools.settings.ReserveMemory = func(n int) (func(), bool) {
			if !available {
				return nil, false
			}
			reserved += n
			return func() { reserved -= n }, true
		}
		x := startStubTarget(t, longHead(10<<10, 1<<10)+"\n")
		got := callOnce(pools, x.address, "call-1", false)
		if want := map[bool]string{true: routing.Answered.String(), false: routing.Broken.String()}[available]; !strings.HasPrefix(got, want) {
			t.Errorf("with memory %t: %s, want %s", available, got, want)
		}
		if reserved != 0 {
			t.Errorf("%d bytes are still reserved", reserved)
		}
	}
}
