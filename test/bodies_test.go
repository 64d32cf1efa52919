package test

import (
	"bufio"
	"bytes"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/madderpond/madderpond/pkg/config"
	"github.com/madderpond/madderpond/pkg/lab"
)

// rawUpload is a caller that sends a body at its own rate, and reads the answer once it has sent all.
type rawUpload struct {
	address string
	// host is the one of the service; empty means that of repeatable work.
	host string
	size int
	// rate is in bytes per second; zero is without limit.
	rate float64
	// header has further lines of the head, head is how many bytes of padding it has.
	header string
	head   int
	// chunked sends the body in chunks.
	chunked bool
	// patience is for how long the caller waits for its answer.
	patience time.Duration
}

// send sends the body and describes how that ended: "answered", a refusal with its reason, or what happened to
// the connection.
func (u *rawUpload) send() string {
	c, err := net.DialTimeout("tcp", u.address, time.Second)
	if err != nil {
		return "no connection"
	}
	defer c.Close()
	began := time.Now()
	c.SetDeadline(began.Add(u.patience))
	host := cmp.Or(u.host, "repeatable.test")
	framing := fmt.Sprintf("Content-Length: %d", u.size)
	out := io.Writer(c)
	if u.chunked {
		framing = "Transfer-Encoding: chunked"
		out = httputil.NewChunkedWriter(c)
	}
	fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: %s\r\nX-Deadline-Ms: %d\r\nX-Padding: %s\r\n%s%s\r\n\r\n",
		host, u.patience.Milliseconds(), strings.Repeat("p", u.head), u.header, framing)
	piece := bytes.Repeat([]byte("x"), 16<<10)
	if u.rate > 0 {
		piece = piece[:max(512, min(len(piece), int(u.rate/50)))]
	}
	for sent := 0; sent < u.size; {
		n, err := out.Write(piece[:min(len(piece), u.size-sent)])
		if err != nil {
			return "reset while sending"
		}
		sent += n
		if u.rate > 0 {
			time.Sleep(time.Until(began.Add(time.Duration(float64(sent) / u.rate * float64(time.Second)))))
		}
	}
	if u.chunked {
		io.WriteString(c, "0\r\n\r\n")
	}
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	switch {
	case os.IsTimeout(err):
		return "no answer"
	case err != nil:
		return "reset"
	case a.StatusCode == http.StatusOK:
		return "answered"
	}
	return fmt.Sprintf("%d %s %s", a.StatusCode, a.Header.Get("X-Madderpond-Reason"), a.Header.Get("X-Madderpond-Outcome"))
}

// anonymousMB returns how much memory of its own a process has.
func anonymousMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb >> 10
		}
	}
	return 0
}

// every calls a function at an interval until stop is called, which waits for the last call.
func every(interval time.Duration, do func()) (stop func()) {
	done := make(chan struct{})
	var running sync.WaitGroup
	running.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(interval):
				do()
			}
		}
	})
	return func() {
		close(done)
		running.Wait()
	}
}

// watchMemory follows how much memory of its own a process has, until peakMB is called, which returns the most.
func watchMemory(pid int) (peakMB func() int) {
	peak := 0
	stop := every(5*time.Millisecond, func() { peak = max(peak, anonymousMB(pid)) })
	return func() int {
		stop()
		return peak
	}
}

// uploadCase is a load of uploads on a box with little memory.
type uploadCase struct {
	name string
	// memoryMB is the memory of the box's machine, of which the settings give heapFraction to the heap.
	memoryMB int
	callers  int
	// interval is the time between two callers.
	interval time.Duration
	upload   rawUpload
}

// closedReason is the reason of a refusal on a connection that the box was closing as idle.
const closedReason = "connection-closed"

// heapFraction is the part of a machine's memory that boxes are set to use for their heaps.
const heapFraction = 0.6

// Uploads, and calls with long heads, took a box over its memory, and the calls of others ended with it.
func TestABoxStaysBelowItsMemory(t *testing.T) {
	const connections = 3300
	for _, c := range []uploadCase{
		{"long heads, 184 MB", 184, 3200, 0, rawUpload{size: 4000, rate: 500, head: 15_000}},
		{"long heads, 284 MB", 284, 3200, 0, rawUpload{size: 4000, rate: 500, head: 15_000}},
		{"small bodies, 184 MB", 184, 1600, 2 * time.Millisecond, rawUpload{size: 64 << 10, rate: 16_000}},
		{"large bodies, 184 MB", 184, 10, 0, rawUpload{size: 48 << 20, rate: 24 << 20}},
		{"large bodies, 284 MB", 284, 10, 0, rawUpload{size: 48 << 20, rate: 24 << 20}},
		{"many large bodies, 184 MB", 184, 200, 0, rawUpload{size: 2 << 20, rate: 1 << 20}},
		{"a body of the largest size, 136 MB", 136, 1, 0, rawUpload{size: 64 << 20, rate: 24 << 20}},
		{"three bodies of the largest size, 136 MB", 136, 3, 0, rawUpload{size: 64 << 20, rate: 24 << 20}},
		{"three bodies of the largest size in chunks, 136 MB", 136, 3, 0, rawUpload{size: 64 << 20, rate: 24 << 20, chunked: true}},
		{"three bodies of the largest size in chunks, 284 MB", 284, 3, 0, rawUpload{size: 64 << 20, rate: 24 << 20, chunked: true}},
		{"20 large bodies in chunks, 184 MB", 184, 20, 0, rawUpload{size: 8 << 20, rate: 8 << 20, chunked: true}},
		{"many large bodies in chunks, 136 MB", 136, 200, 0, rawUpload{size: 2 << 20, rate: 1 << 20, chunked: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			x := startCluster(t, clusterOptions{
				replicas: 1, boxes: 1, targets: 4, targetArguments: []string{"--slots", "64", "--queue", "256"},
				adjust: func(s *config.Settings) {
					s.MemoryLimitMB = int(heapFraction * float64(c.memoryMB))
					s.Entry.MaxConnections, s.Entry.MaxBody, s.Entry.HeaderBytes = connections, 64<<20, 20<<10
				},
			})
			x.applySheets(nil)
			box := x.cluster.Boxes[0]
			small := lab.NewCaller(box.Entry)
			peakMB := watchMemory(box.Process.PID())
			stopCalls := every(20*time.Millisecond, func() { small.Do(lab.CallSpec{Host: "once.test", AtMostOnce: true}) })
			ends := c.run(box.Entry)
			stopCalls()
			peak := peakMB()
			t.Logf("%d MB at most; the callers: %v", peak, ends)
			if peak > c.memoryMB {
				t.Errorf("the box took %d MB", peak)
			}
			if ends["no answer"] > 0 || ends["reset"] > 0 {
				t.Errorf("callers got neither an answer nor a refusal: %v", ends)
			}
			runs := x.runs()
			for _, call := range small.Calls() {
				switch {
				case (call.Status == 0 || call.Reason == closedReason) && runs[call.RequestID] > 0:
					t.Errorf("small call %s has run, though its connection ended with %q %q", call.RequestID, call.Detail, call.Reason)
				case call.Status != 0 && call.Reason != closedReason && call.Verdict != lab.Complete:
					t.Errorf("a small call got %+v", call)
				}
			}
		})
	}
}

// run starts the callers, and counts how they ended.
func (c *uploadCase) run(address string) map[string]int {
	var wait sync.WaitGroup
	var lock sync.Mutex
	ends := map[string]int{}
	for range c.callers {
		time.Sleep(c.interval)
		wait.Go(func() {
			u := c.upload
			u.address, u.patience = address, 15*time.Second
			end := u.send()
			lock.Lock()
			defer lock.Unlock()
			ends[end]++
		})
	}
	wait.Wait()
	return ends
}

// sendAll starts uploads of the same kind, and counts how they end.
func sendAll(u rawUpload, n int) (ends map[string]int, wait func()) {
	c := &uploadCase{callers: n, upload: u}
	ends = map[string]int{}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for end, n := range c.run(u.address) {
			ends[end] = n
		}
	}()
	return ends, func() { <-done }
}

// uploadBox are the settings of a box that holds one body of streamedSize, and streams others.
func uploadBox(s *config.Settings) {
	s.MemoryLimitMB, s.Entry.MaxBody = 40, 32<<20
	s.Entry.LinkMbps = 10_000
}

// streamedSize is the size of an upload at such a box.
const streamedSize = 12 << 20

// Bodies that a box relays to another one are streamed there and at the box that helps.
func TestLargeBodiesAreRelayed(t *testing.T) {
	certificates := withCertificates(t, newAuthority(t, "ours"))
	x := startLossCluster(t, smallLoss(func(s *config.Settings) {
		uploadBox(s)
		if certificates != nil {
			certificates(s)
		}
	}))
	x.cutOffFirstBox()
	first := x.cluster.Boxes[0]
	for _, host := range []string{"shop.test", "pay.test"} {
		ends, wait := sendAll(rawUpload{address: first.Entry, host: host, size: streamedSize, rate: 24 << 20}, 4)
		wait()
		if ends["answered"] != 4 {
			t.Errorf("%s: the callers: %v", host, ends)
		}
	}
	x.mustBeClean()
}

// A box that is told to stop while large bodies come serves them, or says truthfully that it hasn't.
func TestABoxStopsBesideLargeBodies(t *testing.T) {
	for _, delay := range []time.Duration{0, 200 * time.Millisecond, 700 * time.Millisecond} {
		t.Run(fmt.Sprintf("%s after they began", delay), func(t *testing.T) {
			t.Parallel()
			x := startCluster(t, clusterOptions{replicas: 1, boxes: 1, targets: 3, targetArguments: []string{"--slots", "8"}, adjust: uploadBox})
			x.applySheets(nil)
			box := x.cluster.Boxes[0]
			ends, wait := sendAll(rawUpload{address: box.Entry, size: streamedSize, rate: 12 << 20}, 5)
			x.must(lab.Eventually(waitTimeout, func() error {
				d, err := box.Dump()
				if err == nil && d.Entry.Bodies.Used == 0 {
					err = fmt.Errorf("no body has come")
				}
				return err
			}))
			time.Sleep(delay)
			box.Process.Terminate()
			wait()
			if ends["reset"]+ends["reset while sending"]+ends["no answer"] > 0 {
				t.Errorf("the callers: %v", ends)
			}
			if _, err := box.Process.AwaitExit(waitTimeout); err != nil {
				t.Error(err)
			}
		})
	}
}

// Settings that are read again while large bodies come end none of them, and targets that break off or shed are
// reported truthfully.
func TestLargeBodiesBesideReloadsAndFailingTargets(t *testing.T) {
	x := startCluster(t, clusterOptions{replicas: 1, boxes: 1, targets: 3, targetArguments: []string{"--slots", "2", "--queue", "1"}, adjust: uploadBox})
	x.applySheets(nil)
	box := x.cluster.Boxes[0]
	ends, wait := sendAll(rawUpload{address: box.Entry, size: streamedSize, rate: 12 << 20}, 6)
	for range 5 {
		box.Process.Reload()
		time.Sleep(200 * time.Millisecond)
	}
	wait()
	for end := range ends {
		if end != "answered" && !strings.HasSuffix(end, "not-run") {
			t.Errorf("the callers: %v", ends)
		}
	}
	if ends["answered"] == 0 {
		t.Errorf("no upload was served: %v", ends)
	}
}
