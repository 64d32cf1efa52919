package boxlist

import (
	"bufio"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/madderpond/madderpond/pkg/common"
	"github.com/madderpond/madderpond/pkg/config"
	"github.com/madderpond/madderpond/pkg/fault"
	"github.com/madderpond/madderpond/pkg/rawserver"
	"github.com/madderpond/madderpond/pkg/units"
)

func TestABoxHearsThatItIsLeaving(t *testing.T) {
	path := filepath.Join(t.TempDir(), "boxes.json")
	write := func(text string) {
		t.Helper()
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(`{"live": ["b1", "b2"]}`)
	s := config.Defaults()
	s.Box, s.Platform.List, s.Platform.Every = "b1", path, config.Duration(5*time.Millisecond)
	w := NewWatcher(&common.Common{Settings: s})
	changes := make(chan bool, 10)
	w.Start(func(leaving bool) { changes <- leaving })
	defer w.Stop()
	write(`{"live": ["b2"], "leaving": ["b1"]}`)
	if !<-changes {
		t.Fatal("the first change reported the box as staying")
	}
	// A list that can't be read changes nothing.
	write(`{"live": nonsense`)
	write(`{"live": ["b1", "b2"], "leaving": []}`)
	if <-changes {
		t.Fatal("the second change reported the box as leaving")
	}
}

func TestAListThatCanNotBeReadIsAFault(t *testing.T) {
	path := filepath.Join(t.TempDir(), "boxes.json")
	if _, err := NewSource(path).Read(); fault.KindOf(err) != fault.Unavailable {
		t.Fatalf("unexpected error: %v", err)
	}
	if err := os.WriteFile(path, []byte("junk"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := NewSource(path).Read(); fault.KindOf(err) != fault.Invalid {
		t.Fatalf("unexpected error: %v", err)
	}
	if _, err := NewSource("http://127.0.0.1:1/boxes").Read(); fault.KindOf(err) != fault.Unavailable {
		t.Fatalf("unexpected error: %v", err)
	}
}

// Entries that aren't names are ignored, and the remaining ones are used.
func TestEntriesOfOtherWritersNameNoBox(t *testing.T) {
	l, err := parseList([]byte(`{"live": ["b1", 5, null, {"name": "b2"}, "b3"], "leaving": [["b4"], "b5"], "resting": 7}`))
	if err != nil {
		t.Fatal(err)
	}
	want := &List{Live: []units.BoxID{"b1", "b3"}, Leaving: []units.BoxID{"b5"}}
	if diff := cmp.Diff(want, l); diff != "" {
		t.Error(diff)
	}
}

// startRawPlatform starts a platform that serves each connection by a function.
func startRawPlatform(t *testing.T, serve func(net.Conn)) (url string) {
	return "http://" + rawserver.Serve(t, serve) + "/boxes"
}

func TestAnswersThatAreNoListAreFaults(t *testing.T) {
	const list = `{"live":["a"],"leaving":["b"]}`
	scenarios := []struct {
		testName string
		start    string
		isList   bool
	}{
		{"status 000", "HTTP/1.1 000 OK\r\nContent-Length: 30\r\n\r\n" + list, false},
		{"blank in a name", "HTTP/1.1 200 OK\r\nContent Length: 30\r\n\r\n" + list, false},
		{"cut short", "HTTP/1.1 200 OK\r\nContent-Length: 31\r\n\r\n" + list, false},
		{"status 500", "HTTP/1.1 500 Failing\r\nContent-Length: 30\r\n\r\n" + list, false},
		{"with a length", "HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\n" + list, true},
		{"in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1e\r\n" + list + "\r\n0\r\n\r\n", true},
		{"without a length", "HTTP/1.0 200 OK\r\n\r\n" + list, true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			url := startRawPlatform(t, func(c net.Conn) { rawserver.AnswerOne(c, bufio.NewReader(c), s.start) })
			l, err := NewSource(url).Read()
			if (err == nil) != s.isList {
				t.Errorf("read %+v, %v", l, err)
			}
		})
	}
}

// A list without end was kept in memory until the request's timeout.
func TestAListWithoutEndTakesBoundedMemory(t *testing.T) {
	const maxHeapBytes = 32 << 20
	block := strings.Repeat("x", 1<<20)
	url := startRawPlatform(t, func(c net.Conn) { rawserver.AnswerEndlessly(c, "HTTP/1.1 200 OK\r\n\r\n", block) })
	done := make(chan error, 1)
	go func() {
		_, err := NewSource(url).Read()
		done <- err
	}()
	for {
		select {
		case err := <-done:
			if err == nil {
				t.Error("the bytes were taken for a list")
			}
			return
		case <-time.After(time.Millisecond):
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			if m.HeapAlloc > maxHeapBytes {
				t.Fatalf("%d bytes of heap", m.HeapAlloc)
			}
		}
	}
}
