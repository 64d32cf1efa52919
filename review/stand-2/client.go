package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

var callers = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 5 * time.Second}, Timeout: 10 * time.Second}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// call sends one client attempt to a front. The status is 0 without an answer.
func call(f *fleet, b *box, host, method, path, id string, deadline time.Duration, body string) (int, http.Header) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	q, _ := http.NewRequestWithContext(ctx, method, "http://"+f.frontAddress(b)+path, strings.NewReader(body))
	q.Host = host
	q.Header.Set("Madderpond-Request-Id", id)
	q.Header.Set("Madderpond-Request-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	a, err := callers.Do(q)
	if err != nil {
		return 0, nil
	}
	defer a.Body.Close()
	if _, err := io.Copy(io.Discard, a.Body); err != nil {
		return 0, nil
	}
	return a.StatusCode, a.Header
}

// load sends requests at a rate to all fronts in turn until done is closed.
func load(f *fleet, host, method, path string, perS float64, deadline time.Duration, body string, done chan struct{}, seen func(id string, b *box, sent time.Time, status int)) *sync.WaitGroup {
	var all sync.WaitGroup
	all.Add(1)
	go func() {
		defer all.Done()
		t := time.NewTicker(time.Duration(float64(time.Second) / perS))
		defer t.Stop()
		for i := 0; ; i++ {
			select {
			case <-done:
				return
			case <-t.C:
			}
			all.Add(1)
			go func(b *box) {
				defer all.Done()
				id, sent := newID(), time.Now()
				s, _ := call(f, b, host, method, path, id, deadline, body)
				seen(id, b, sent, s)
			}(f.fronts[i%len(f.fronts)])
		}
	}()
	return &all
}

// route is a rule of the configuration.
type route struct {
	host, prefix, kind, service string
	timeout, aim                float64
	attempts                    int
}

// configuration returns the body of PUT /v1/config.
func configuration(version int, services []string, routes ...route) map[string]any {
	byHost := map[string][]any{}
	for i, r := range routes {
		byHost[r.host] = append(byHost[r.host], map[string]any{
			"name": fmt.Sprintf("r-%d", i), "kind": r.kind, "target-latency-s": r.aim, "priority": 1,
			"match":  map[string]any{"path-prefix": r.prefix},
			"action": map[string]any{"service": r.service, "timeout-s": r.timeout, "max-attempts": r.attempts},
		})
	}
	var listeners, clusters []any
	for h, rules := range byHost {
		listeners = append(listeners, map[string]any{"host": h, "rules": rules})
	}
	for _, s := range services {
		clusters = append(clusters, map[string]any{"name": s, "health-path": "/health", "max-connections": 220, "protocol": "h1", "tls": false})
	}
	return map[string]any{
		"version":   fmt.Sprintf("r%d", version),
		"limits":    map[string]any{"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout-s": 3, "idle-timeout-s": 15},
		"listeners": listeners, "clusters": clusters,
	}
}
