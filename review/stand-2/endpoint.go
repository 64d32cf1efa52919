package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// endpoint is a stand-in for a back end, as PROTOCOL.md describes one.
type endpoint struct {
	f             *fleet
	id, service   string
	zone, address string
	born          int64
	work          time.Duration
	slots         int
	// queue is how many requests wait for a slot; zero turns away what finds none.
	queue            int
	working          chan struct{}
	tellsLoad        bool
	sequence         atomic.Int64
	leaving, stopped atomic.Bool
	running          atomic.Int64
	server           *http.Server
	quit             chan struct{}
	once             sync.Once
	// workOn is how long it works on a request for a path, if that isn't the same for all.
	workOn func(path string) time.Duration
	// came is called with each request that reaches it, before it may wait or be turned away.
	came func(e *endpoint, id string, at time.Time)
	// ran is called with each request that it begins to work on.
	ran func(e *endpoint, id, method, path string, at time.Time)
}

// run listens and begins to send heartbeats.
func (e *endpoint) run() error {
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	e.quit = make(chan struct{})
	e.working = make(chan struct{}, e.slots)
	e.server = &http.Server{Handler: e, IdleTimeout: 10 * time.Second}
	go e.server.Serve(l)
	return nil
}

func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	at := time.Now()
	h := w.Header()
	if e.tellsLoad {
		h.Set("Madderpond-Server-Load", fmt.Sprintf("%d,0,%d,100", e.running.Load(), e.slots))
	}
	if e.leaving.Load() {
		h.Set("Connection", "close")
	}
	if r.URL.Path == "/health" {
		h.Set("Madderpond-Instance-Id", e.id)
		if e.leaving.Load() {
			w.WriteHeader(503)
		}
		return
	}
	id := r.Header.Get("Madderpond-Request-Id")
	h.Set("Madderpond-Request-Id", id)
	if x := r.Header.Get("Madderpond-Expected-Instance"); x != "" && x != e.id {
		h.Set("Madderpond-Not-Executed", "1")
		w.WriteHeader(421)
		return
	}
	if e.came != nil {
		e.came(e, id, at)
	}
	if e.running.Add(1) > int64(e.slots+e.queue) {
		e.running.Add(-1)
		h.Set("Madderpond-Not-Executed", "1")
		w.WriteHeader(503)
		return
	}
	defer e.running.Add(-1)
	io.Copy(io.Discard, r.Body)
	if e.queue > 0 {
		if !e.awaitSlot(r, at) {
			h.Set("Madderpond-Not-Executed", "1")
			w.WriteHeader(503)
			return
		}
		defer func() { <-e.working }()
		at = time.Now()
	}
	if e.ran != nil {
		e.ran(e, id, r.Method, r.URL.RequestURI(), at)
	}
	work := e.work
	if e.workOn != nil {
		work = e.workOn(r.URL.Path)
	}
	time.Sleep(work)
	h.Set("Madderpond-Server-Stamp", "stamp."+e.id+"."+id)
	fmt.Fprintf(w, "the body for %s", id)
}

// awaitSlot waits for a slot, until the request's deadline or its connection's end.
func (e *endpoint) awaitSlot(r *http.Request, came time.Time) bool {
	left := time.Minute
	if ms, err := strconv.Atoi(r.Header.Get("Madderpond-Request-Deadline-Ms")); err == nil {
		left = time.Until(came.Add(time.Duration(ms) * time.Millisecond))
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case e.working <- struct{}{}:
		return true
	case <-timer.C:
	case <-r.Context().Done():
	}
	return false
}

func (e *endpoint) beatBody(state string) map[string]any {
	b := map[string]any{
		"address": e.address,
		"info":    map[string]any{"service": e.service, "version": "v1", "zone": e.zone, "slots": e.slots},
		"status":  map[string]any{"state": state, "sequence": e.sequence.Add(1), "cold-remaining-s": 0},
	}
	if e.born != 0 {
		b["born"] = e.born
	}
	return b
}

// beat sends a heartbeat until it is acknowledged within a second, to one node after another.
func (e *endpoint) beat(state string) (ok bool, at time.Time) {
	for i, n := rand.IntN(len(e.f.cores)), 0; n < 200 && !e.stopped.Load(); i, n = i+1, n+1 {
		b := e.f.cores[i%len(e.f.cores)]
		if s, _ := e.f.control(b, "PUT", "/v1/instances/"+e.id, e.beatBody(state)); s/100 == 2 {
			return true, time.Now()
		}
		time.Sleep(20 * time.Millisecond)
	}
	return false, time.Time{}
}

// beats sends heartbeats until the endpoint leaves or ends.
func (e *endpoint) beats() {
	for {
		select {
		case <-e.quit:
			return
		case <-time.After(time.Duration(heartbeatS * (0.9 + 0.2*rand.Float64()) * float64(time.Second))):
			if !e.leaving.Load() {
				e.beat("ready")
			}
		}
	}
}

// depart sends DELETE until it is acknowledged within a second, to one node after another, and returns the
// time of the acknowledgement and who gave it.
func (e *endpoint) depart() (at time.Time, by *box) {
	for i := rand.IntN(len(e.f.cores)); !e.stopped.Load(); i++ {
		b := e.f.cores[i%len(e.f.cores)]
		s, _ := e.f.control(b, "DELETE", "/v1/instances/"+e.id, nil)
		if s/100 == 2 {
			return time.Now(), b
		}
		time.Sleep(5 * time.Millisecond)
	}
	return time.Time{}, nil
}

// crash ends the endpoint without a word.
func (e *endpoint) crash() {
	e.once.Do(func() {
		e.stopped.Store(true)
		close(e.quit)
		e.server.Close()
	})
}
