package target

import (
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/madderpond/madderpond/pkg/core/routing"
	"github.com/madderpond/madderpond/pkg/rawserver"
	"github.com/madderpond/madderpond/pkg/scriptargs"
	"github.com/madderpond/madderpond/pkg/traffic"
)

const (
	// endlessDeadline is the time of a call whose answer doesn't end.
	endlessDeadline = 500 * time.Millisecond
	// maxEndlessBytes and maxEndlessHeap bound what is read of an answer that isn't passed on, and the
	// memory that any answer takes.
	maxEndlessBytes = 1 << 20
	maxEndlessHeap  = 8 << 20
	// maxEndlessTime bounds the time of a call in a test, far above its deadline.
	maxEndlessTime = 20 * time.Second
)

// A target's bytes came without end, in a head or a body, until the box closed the connection.
func TestAnAnswerWithoutEndTakesBoundedMemoryAndTime(t *testing.T) {
	datadriven.Walk(t, "testdata/endless", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			start, again, _ := strings.Cut(d.Input+"\n", "AGAIN\n")
			address := startEndlessTarget(t, scriptargs.Unescape(start), scriptargs.Unescape(again))
			return readEndless(t, address) + "\n"
		})
	})
}

// startEndlessTarget answers each request with the start, and then with the other bytes until the
// connection ends.
func startEndlessTarget(t *testing.T, start, again string) string {
	block := strings.Repeat(again, 1<<10)
	return rawserver.Serve(t, func(c net.Conn) { rawserver.AnswerEndlessly(c, start, block) })
}

// readEndless makes a call and reports how it ended.
func readEndless(t *testing.T, address string) string {
	pools := newTestPools()
	pools.settings.Traffic = &traffic.Counter{}
	a := pools.NewAttempt(&routing.Effect{
		Endpoint: &routing.Endpoint{Service: "s", Target: "t", Address: address, Registered: true},
		Deadline: pools.clock.Now().Add(endlessDeadline), NotAfter: pools.clock.Now().Add(time.Minute),
	})
	a.Request.SetRequestURI("/")
	a.Request.Header.SetHost("s")
	a.Request.Header.Set("X-Call", "call-1")
	before := heapBytes()
	began := time.Now()
	result, streaming := a.Run()
	text := result.String()
	if streaming {
		text += ", passed on" + passOn(a)
	} else {
		a.Release()
		if read := pools.settings.Traffic.Received(); read <= maxEndlessBytes {
			text += ", bounded bytes"
		} else {
			text += fmt.Sprintf(", %d bytes read", read)
		}
	}
	if took := time.Since(began); took > maxEndlessTime {
		t.Errorf("the call took %s", took)
	}
	if grown := heapBytes() - before; grown > maxEndlessHeap {
		t.Errorf("the call took %d bytes of heap", grown)
	}
	if open := pools.Status(); len(open) == 0 {
		text += ", no connection left"
	}
	return text
}

// passOn reads a streamed body to its end.
func passOn(a *Attempt) string {
	ended := routing.AttemptResult(0)
	s := a.Stream(func(r routing.AttemptResult) { ended = r })
	_, err := io.Copy(io.Discard, s)
	s.Close()
	if err == nil {
		return ", looks whole"
	}
	return ", " + ended.String() + " at the deadline"
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
