package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// run is a request that an endpoint has run.
type run struct {
	endpoint, service, id, method, uri, host, sum string
	length                                        int64
}

// endpoint is a sound endpoint of a service. It works on its slots' number of requests at once,
// tells its load, and registers by itself.
type endpoint struct {
	fleet            *fleet
	id, service      string
	zone             string
	address          string
	work             time.Duration
	slots            chan struct{}
	waiting, working atomic.Int64
	sequence         atomic.Int64
	state            atomic.Value
	server           *http.Server
	done             chan struct{}
	lock             sync.Mutex
	runs             []run
}

const endpointSlots = 3

func (f *fleet) newEndpoint(id, service, zone string, work time.Duration) (*endpoint, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &endpoint{fleet: f, id: id, service: service, zone: zone, address: l.Addr().String(), work: work, slots: make(chan struct{}, endpointSlots), done: make(chan struct{})}
	e.state.Store("ready")
	e.server = &http.Server{Handler: e}
	go e.server.Serve(l)
	if err := e.beat(); err != nil {
		return nil, err
	}
	go func() {
		for {
			select {
			case <-e.done:
				return
			case <-time.After(1500 * time.Millisecond):
				e.beat()
			}
		}
	}()
	return e, nil
}

// beat sends a heartbeat.
func (e *endpoint) beat() error {
	return e.fleet.order(http.MethodPut, "/v1/instances/"+e.id, map[string]any{
		"address": e.address,
		"info":    map[string]any{"service": e.service, "version": "v1", "zone": e.zone, "slots": endpointSlots},
		"status":  map[string]any{"state": e.state.Load(), "sequence": e.sequence.Add(1), "cold-remaining-s": 0},
	})
}

func (e *endpoint) load() string {
	return fmt.Sprintf("%d,%d,%d,100", e.working.Load(), e.waiting.Load(), endpointSlots)
}

// ServeHTTP answers as the page on the protocol says.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("Madderpond-Server-Load", e.load())
		w.Header().Set("Madderpond-Instance-Id", e.id)
		return
	}
	id := r.Header.Get("Madderpond-Request-Id")
	w.Header().Set("Madderpond-Request-Id", id)
	if expected := r.Header.Get("Madderpond-Expected-Instance"); expected != "" && expected != e.id {
		w.Header().Set("Madderpond-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	deadline := time.Hour
	if ms, err := strconv.Atoi(r.Header.Get("Madderpond-Request-Deadline-Ms")); err == nil {
		deadline = time.Duration(ms) * time.Millisecond
	}
	began := time.Now()
	sum := sha256.New()
	length, err := io.Copy(sum, r.Body)
	if err != nil {
		return
	}
	e.waiting.Add(1)
	select {
	case e.slots <- struct{}{}:
		e.waiting.Add(-1)
	case <-time.After(deadline - time.Since(began)):
		e.waiting.Add(-1)
		w.Header().Set("Madderpond-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		e.waiting.Add(-1)
		return
	}
	e.working.Add(1)
	x := run{endpoint: e.id, service: e.service, id: id, method: r.Method, uri: r.RequestURI, host: r.Host, sum: hex.EncodeToString(sum.Sum(nil)[:8]), length: length}
	e.lock.Lock()
	e.runs = append(e.runs, x)
	e.lock.Unlock()
	e.fleet.record.printf("run      id=%s endpoint=%s service=%s %s %s body=%d sha256=%s", x.id, x.endpoint, x.service, x.method, x.uri, x.length, x.sum)
	time.Sleep(e.work)
	e.working.Add(-1)
	<-e.slots
	w.Header().Set("Madderpond-Server-Load", e.load())
	w.Header().Set("Madderpond-Server-Stamp", "stamp-"+e.id+"-"+id)
	fmt.Fprintf(w, "%s ran %s", e.id, id)
}

// all returns what the endpoint has run.
func (e *endpoint) all() []run {
	e.lock.Lock()
	defer e.lock.Unlock()
	return append([]run{}, e.runs...)
}

func (e *endpoint) stop() {
	close(e.done)
	e.server.Close()
}
