package entry

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/madderpond/madderpond/pkg/config"
)

const (
	// uploadBytes is the size of a large body in these tests, uploadMemoryMB the memory limit of the box:
	// two such bodies fit at a time.
	uploadBytes    = 1 << 20
	uploadMemoryMB = 4
)

// startUploadBox starts a box with little memory, and a target that answers with a body's size and digest.
func startUploadBox(t *testing.T) *Entry {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	server := &fasthttp.Server{Logger: logrus.New(), MaxRequestBodySize: 2 * uploadBytes, Handler: func(ctx *fasthttp.RequestCtx) {
		fmt.Fprintf(ctx, "%x", digestOf(ctx.Request.Body()))
	}}
	go server.Serve(l)
	return startTestBox(t, linkTable(l.Addr().String()), func(s *config.Settings) {
		s.MemoryLimitMB, s.Entry.MaxBody = uploadMemoryMB, uploadBytes
		s.Entry.ReadTimeout = config.Duration(awaitTimeout)
	})
}

func digestOf(body []byte) int {
	digest := len(body)
	for _, c := range body {
		digest = digest*31 + int(c)
	}
	return digest
}

// upload sends a body and returns the answer's status and body.
func upload(e *Entry, body []byte, chunked bool, header map[string]string) (int, string, error) {
	var reader io.Reader = bytes.NewReader(body)
	if chunked {
		reader = io.MultiReader(reader)
	}
	r, err := http.NewRequest(http.MethodPost, "http://"+e.Address()+"/", reader)
	if err != nil {
		return 0, "", err
	}
	r.Host = "vault"
	for k, v := range header {
		r.Header.Set(k, v)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: awaitTimeout}
	a, err := client.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer a.Body.Close()
	text, err := io.ReadAll(a.Body)
	return a.StatusCode, string(text), err
}

// Uploads took a box over its memory, and the calls of others ended with it.
func TestLargeBodiesWaitForMemory(t *testing.T) {
	e := startUploadBox(t)
	var wait sync.WaitGroup
	for i := range 12 {
		wait.Go(func() {
			body := bytes.Repeat([]byte{byte(i), 'x'}, uploadBytes/2-i)
			status, text, err := upload(e, body, i%2 == 0, nil)
			if want := fmt.Sprintf("%x", digestOf(body)); err != nil || status != http.StatusOK || text != want {
				t.Errorf("upload %d: status %d, digest %s instead of %s, %v", i, status, text, want, err)
			}
			if s := e.bodies.Status(); s.Used > s.Limit {
				t.Errorf("bodies take %d bytes, %d is the limit", s.Used, s.Limit)
			}
		})
	}
	wait.Wait()
	await(t, "the release of all memory", func() bool { s := e.bodies.Status(); return s.Used == 0 && s.Waiting == 0 })
}

// A body in chunks, whose length shows at its end, takes the memory reserved and a quarter more at most.
func TestABodyInChunksTakesTheMemoryReserved(t *testing.T) {
	sent := bytes.Repeat([]byte("x"), uploadBytes)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	body, err := readRest(bytes.NewReader(sent[smallBodyBytes+1:]), sent[:smallBodyBytes+1], uploadBytes)
	runtime.ReadMemStats(&after)
	if err != nil || !bytes.Equal(body, sent) {
		t.Errorf("%d bytes were read in place of %d: %v", len(body), len(sent), err)
	}
	if taken := after.TotalAlloc - before.TotalAlloc; taken > uploadBytes*5/4 {
		t.Errorf("a body of %d bytes took %d bytes of memory", uploadBytes, taken)
	}
}

// A body in chunks is refused behind the limit, also where that is below what is read without a reservation.
func TestABodyInChunksOverALowLimitIsRefused(t *testing.T) {
	const limit = 1000
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go fasthttp.Serve(l, func(*fasthttp.RequestCtx) {})
	e := startTestBox(t, linkTable(l.Addr().String()), func(s *config.Settings) { s.Entry.MaxBody = limit })
	for size, want := range map[int]int{limit: http.StatusOK, limit + 1: http.StatusRequestEntityTooLarge} {
		if status, _, err := upload(e, make([]byte, size), true, nil); err != nil || status != want {
			t.Errorf("a body of %d bytes got %d, %d is wanted: %v", size, status, want, err)
		}
	}
}

// BenchmarkBodyInChunks reads 100 KB in chunks where 32 MB are allowed: 48 us with a buffer that doubles, 3,650 us
// with one of 32 MB, 58 to 96 us with one that grows in a few steps.
func BenchmarkBodyInChunks(b *testing.B) {
	sent := bytes.Repeat([]byte("x"), 100<<10)
	for b.Loop() {
		if _, err := readRest(bytes.NewReader(sent[smallBodyBytes+1:]), sent[:smallBodyBytes+1], 32<<20); err != nil {
			b.Fatal(err)
		}
	}
}

// A call that finds no memory for its body is refused before that is read, small ones go on, and what
// callers that leave have held is free again.
func TestACallWithoutMemoryForItsBodyIsRefused(t *testing.T) {
	e := startUploadBox(t)
	// The HTTP server reads some of a body before it hands it over.
	beginning := bytes.Repeat([]byte("x"), 16<<10)
	var stalled []net.Conn
	for range 2 {
		c, err := net.Dial("tcp", e.Address())
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: vault\r\nContent-Length: %d\r\n\r\n%s", uploadBytes, beginning)
		stalled = append(stalled, c)
	}
	await(t, "the reservation of all memory", func() bool { return e.bodies.Status().Used == 2*uploadBytes })
	c, err := net.Dial("tcp", e.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: vault\r\nX-Deadline-Ms: 200\r\nContent-Length: %d\r\n\r\n%s", uploadBytes, beginning)
	c.SetDeadline(time.Now().Add(awaitTimeout))
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if a.StatusCode != http.StatusServiceUnavailable || a.Header.Get("X-Madderpond-Outcome") != "not-run" || a.Header.Get("Retry-After") == "" {
		t.Errorf("the call got %s with %v", a.Status, a.Header)
	}
	small := []byte("small")
	if status, text, err := upload(e, small, false, nil); err != nil || status != http.StatusOK || text != fmt.Sprintf("%x", digestOf(small)) {
		t.Errorf("a small call got %d, %s, %v", status, text, err)
	}
	for _, c := range stalled {
		c.Close()
	}
	await(t, "the release of all memory", func() bool { return e.bodies.Status().Used == 0 })
	if status, _, err := upload(e, make([]byte, uploadBytes+1), false, nil); err == nil && status != http.StatusRequestEntityTooLarge {
		t.Errorf("a body over the limit got %d", status)
	}
}
