package entry

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/madderpond/madderpond/pkg/config"
	"github.com/madderpond/madderpond/pkg/core/routing"
	"github.com/madderpond/madderpond/pkg/rawserver"
	"github.com/madderpond/madderpond/pkg/target"
)

// streamedBytes is the size of a body that a box of uploadMemoryMB can't hold.
const streamedBytes = 3 << 20

// streamTarget answers each request by a function of its head and body.
type streamTarget struct {
	address string
	calls   atomic.Int64
}

// startStreamTarget starts a target. answer gets each request before its body is read, and the connection.
func startStreamTarget(t *testing.T, answer func(r *http.Request, c net.Conn)) *streamTarget {
	x := &streamTarget{}
	x.address = rawserver.Serve(t, func(c net.Conn) {
		reader := bufio.NewReader(c)
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			x.calls.Add(1)
			answer(r, c)
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
		}
	})
	return x
}

// answerDigest answers with the digest of a body.
func answerDigest(r *http.Request, c net.Conn) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	text := fmt.Sprintf("%x", digestOf(body))
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
}

// startStreamBox starts a box that has to stream bodies of streamedBytes to its target.
func startStreamBox(t *testing.T, x *streamTarget) *Entry {
	return startTestBox(t, linkTable(x.address), func(s *config.Settings) {
		s.MemoryLimitMB, s.Entry.MaxBody = uploadMemoryMB, 2*streamedBytes
		s.Entry.ReadTimeout = config.Duration(awaitTimeout)
		s.Entry.HangUpCheck = config.Duration(20 * time.Millisecond)
	})
}

// stall begins an upload and sends no more than its beginning.
func stall(t *testing.T, e *Entry, size int, header string) net.Conn {
	c, err := net.Dial("tcp", e.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: vault\r\n%sContent-Length: %d\r\n\r\n%s", header, size, bytes.Repeat([]byte("x"), 16<<10))
	return c
}

// One large body from a slow caller kept those of all others out.
func TestASlowLargeBodyKeepsNoOthersOut(t *testing.T) {
	e := startStreamBox(t, startStreamTarget(t, answerDigest))
	stall(t, e, streamedBytes, "")
	time.Sleep(50 * time.Millisecond)
	var wait sync.WaitGroup
	for i := range 8 {
		wait.Go(func() {
			body := bytes.Repeat([]byte{byte(i), 'x', 'y'}, streamedBytes/3-i)
			began := time.Now()
			status, text, err := upload(e, body, i%2 == 0, map[string]string{"X-Deadline-Ms": "15000"})
			if want := fmt.Sprintf("%x", digestOf(body)); err != nil || status != http.StatusOK || text != want {
				t.Errorf("upload %d: status %d, digest %s instead of %s, %v after %s", i, status, text, want, err, time.Since(began))
			}
			if s := e.bodies.Status(); s.Used > s.Limit {
				t.Errorf("bodies take %d bytes, %d is the limit", s.Used, s.Limit)
			}
		})
	}
	wait.Wait()
	await(t, "the release of all memory but that of the slow body", func() bool { return e.bodies.Status().Used <= streamWindowBytes })
}

// What a target answers before it has read a body is passed on, and neither connection is used again. Where the
// target closes its connection, an answer that it didn't run the call was lost.
func TestAnEarlyAnswerToALargeBody(t *testing.T) {
	const shed = "HTTP/1.1 503 Service Unavailable\r\nX-Shed: 1\r\nContent-Length: 0\r\n\r\n"
	const denied = "HTTP/1.1 403 Forbidden\r\nContent-Length: 2\r\n\r\nno"
	for _, c := range []struct {
		answer  string
		closes  bool
		size    int
		status  int
		outcome string
	}{
		{shed, false, streamedBytes, http.StatusServiceUnavailable, routing.NotRun.String()},
		{shed, true, streamedBytes, http.StatusServiceUnavailable, routing.NotRun.String()},
		{denied, false, streamedBytes, http.StatusForbidden, ""},
		{denied, true, streamedBytes, http.StatusForbidden, ""},
		{shed, false, uploadBytes, http.StatusServiceUnavailable, routing.NotRun.String()},
		{shed, true, uploadBytes, http.StatusServiceUnavailable, routing.NotRun.String()},
		{denied, false, uploadBytes, http.StatusForbidden, ""},
		{denied, true, uploadBytes, http.StatusForbidden, ""},
	} {
		t.Run(fmt.Sprintf("status %d, closes %t, %d bytes", c.status, c.closes, c.size), func(t *testing.T) {
			x := startStreamTarget(t, func(r *http.Request, conn net.Conn) {
				if r.Method != http.MethodPost {
					answerDigest(r, conn)
					return
				}
				io.WriteString(conn, c.answer)
				if c.closes {
					conn.Close()
				}
			})
			e := startStreamBox(t, x)
			a, err := sendWhole(e.Address(), "Host: vault\r\n", c.size, 0)
			if err != nil {
				t.Fatal(err)
			}
			if a.StatusCode != c.status || a.Header.Get(target.OutcomeHeader) != c.outcome {
				t.Errorf("the caller got %s with %v", a.Status, a.Header)
			}
			if n := x.calls.Load(); n != 1 {
				t.Errorf("targets got %d requests, not 1", n)
			}
			// The target is left alone for a moment after it has shed a call.
			await(t, "the answer to a further call", func() bool {
				_, err := get(e.Address(), "/")
				return err == nil
			})
		})
	}
}

// A target answered a long upload at once without a length, sent part of the answer's body and reset the connection
// while the upload was still being written. The caller took the part for the answer.
func TestAnEarlyAnswerThatIsResetIsNotWhole(t *testing.T) {
	for name, s := range map[string]struct {
		memoryMB, size int
		pause          time.Duration
	}{
		"held":     {284, 24 << 20, 0},
		"streamed": {uploadMemoryMB, streamedBytes, 2 * time.Millisecond},
	} {
		for _, resets := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, resets %t", name, resets), func(t *testing.T) {
				x := startStreamTarget(t, func(r *http.Request, c net.Conn) {
					io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
					if !resets {
						c.(*net.TCPConn).CloseWrite()
						return
					}
					time.Sleep(20 * time.Millisecond)
					c.(*net.TCPConn).SetLinger(0)
					c.Close()
				})
				e := startTestBox(t, linkTable(x.address), func(c *config.Settings) {
					c.MemoryLimitMB, c.Entry.MaxBody, c.Entry.Unframed = s.memoryMB, 2*s.size, true
					c.Entry.ReadTimeout = config.Duration(awaitTimeout)
				})
				a, err := sendWhole(e.Address(), "Host: vault\r\n", s.size, s.pause)
				if err != nil {
					t.Fatal(err)
				}
				body, err := io.ReadAll(a.Body)
				whole := a.StatusCode == http.StatusOK && err == nil
				if whole == resets {
					t.Errorf("the caller got %s with %q, %v", a.Status, body, err)
				}
			})
		}
	}
}

// A streamed body whose target breaks off isn't sent again, and its caller isn't told that it wasn't run.
func TestAStreamedBodyIsNotSentTwice(t *testing.T) {
	x := startStreamTarget(t, func(r *http.Request, c net.Conn) {
		io.CopyN(io.Discard, r.Body, streamedBytes/2)
		c.Close()
	})
	e := startStreamBox(t, x)
	a, err := sendWhole(e.Address(), "Host: vault\r\n", streamedBytes, 0)
	if err != nil {
		t.Fatal(err)
	}
	if a.StatusCode != http.StatusBadGateway || a.Header.Get(target.OutcomeHeader) != routing.Unknown.String() {
		t.Errorf("the caller got %s with %v", a.Status, a.Header)
	}
	if n := x.calls.Load(); n != 1 {
		t.Errorf("targets got %d requests, not 1", n)
	}
}

// When the caller of a streamed body leaves or its deadline passes, the target hears of it, and all memory is free.
func TestTheEndOfAStreamedBody(t *testing.T) {
	for name, header := range map[string]string{"caller leaves": "", "deadline passes": "X-Deadline-Ms: 300\r\n"} {
		t.Run(name, func(t *testing.T) {
			ended := make(chan error, 1)
			e := startStreamBox(t, startStreamTarget(t, func(r *http.Request, _ net.Conn) {
				_, err := io.Copy(io.Discard, r.Body)
				ended <- err
			}))
			c := stall(t, e, streamedBytes, header)
			await(t, "the streaming of the body", func() bool { return e.bodies.Status().Streamed == 1 })
			if header == "" {
				c.Close()
			}
			select {
			case err := <-ended:
				if err == nil {
					t.Error("the target took the body for whole")
				}
			case <-time.After(awaitTimeout):
				t.Fatal("the target didn't hear of the end")
			}
			await(t, "the release of all memory", func() bool { return e.bodies.Status().Used == 0 })
			if s := e.Status().Routing; s.Calls != 0 {
				t.Errorf("%d calls are left", s.Calls)
			}
		})
	}
}

// A caller that can't send its body before its deadline is refused before that has passed.
func TestABodyThatComesTooSlowlyIsRefused(t *testing.T) {
	e := startUploadBox(t)
	began := time.Now()
	const deadline = 8 * time.Second
	head := fmt.Sprintf("Host: vault\r\nX-Deadline-Ms: %d\r\n", deadline.Milliseconds())
	c, err := net.Dial("tcp", e.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprintf(c, "POST / HTTP/1.1\r\n%sContent-Length: %d\r\n\r\n", head, uploadBytes)
	go func() {
		for {
			if _, err := io.WriteString(c, strings.Repeat("x", 1<<10)); err != nil {
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	}()
	c.SetReadDeadline(began.Add(deadline))
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if a.StatusCode != http.StatusRequestTimeout || a.Header.Get(target.OutcomeHeader) != routing.NotRun.String() {
		t.Errorf("the caller got %s with %v", a.Status, a.Header)
	}
	if took := time.Since(began); took > deadline/2 {
		t.Errorf("the caller was refused after %s", took)
	}
}

// A body that the link can't carry before the call's deadline waited for half of that, and was refused then.
func TestABodyTooLongForTheLinkIsRefusedAtOnce(t *testing.T) {
	x := startStreamTarget(t, answerDigest)
	e := startTestBox(t, linkTable(x.address), func(s *config.Settings) {
		s.MemoryLimitMB, s.Entry.MaxBody, s.Entry.LinkMbps = uploadMemoryMB, 2*streamedBytes, linkMbps
	})
	// A caller that asks first is told at once, before any of the body.
	c, err := net.Dial("tcp", e.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	began := time.Now()
	c.SetDeadline(began.Add(awaitTimeout))
	fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: vault\r\nX-Deadline-Ms: 2000\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n", streamedBytes)
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if a.StatusCode != http.StatusServiceUnavailable || a.Header.Get(target.ReasonHeader) != routing.BodyTooLate.String() || a.Header.Get("Retry-After") == "" {
		t.Errorf("the caller got %s with %v", a.Status, a.Header)
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("the caller was refused after %s", took)
	}
}

// A box refused connections while the calls that it had accepted only waited for their callers.
func TestACallThatWaitsForItsBodyTakesNoProcessorTime(t *testing.T) {
	const cores = 0.01
	e := startTestBox(t, linkTable(startStreamTarget(t, answerDigest).address), func(s *config.Settings) { s.Entry.Cores = cores })
	before := e.admission.status().SavedMs["processor"]
	c, err := net.Dial("tcp", e.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	await(t, "the debit of the call", func() bool { return e.admission.status().SavedMs["processor"] < before })
	fmt.Fprint(c, "POST / HTTP/1.1\r\nHost: vault\r\nContent-Length: 50000\r\n\r\n")
	await(t, "its return", func() bool {
		s := e.admission.status()
		return s.SavedMs["processor"] > before-s.PerCallMs["processor"]/2
	})
	if n := e.admission.status().Postponed; n != 1 {
		t.Errorf("%d calls count as waiting for their bodies, not 1", n)
	}
}
