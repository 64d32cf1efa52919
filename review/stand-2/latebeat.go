package main

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// cutLink is a path to a core machine that a cut holds up: what is sent arrives once the cut has ended.
type cutLink struct {
	listener net.Listener
	healed   chan struct{}
}

func newCutLink(f *fleet, listen string, to *box) (*cutLink, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	x := &cutLink{listener: l, healed: make(chan struct{})}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go x.carry(f, c, to)
		}
	}()
	return x, nil
}

// carry forwards a connection's bytes after the cut.
func (x *cutLink) carry(f *fleet, c net.Conn, to *box) {
	defer c.Close()
	<-x.healed
	core, err := net.Dial("tcp", net.JoinHostPort(to.ip, fmt.Sprint(f.ports["control"])))
	if err != nil {
		return
	}
	defer core.Close()
	go func() {
		io.Copy(c, core)
		c.Close()
	}()
	io.Copy(core, c)
	// The answer may still come.
	time.Sleep(time.Second)
}

// lateBeat: the first heartbeat of an endpoint is held up by a cut. The endpoint crashes behind the cut and starts
// again, with a new id, at the same address; the cut ends, the new start registers, and then the old heartbeat arrives.
// The endpoint goes on to send heartbeats, each acknowledged, and must get requests.
func lateBeat(r *record, trouble bool) (bool, error) {
	f, err := newFleet(r, 5, 3)
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return false, err
	}
	const first, added, host = "drafts", "archive", "jepu9.example"
	routes := []route{{host, "/a/", "safe", first, 1.2, 0.6, 2}}
	if _, err := f.order("PUT", "/v1/config", configuration(1, []string{first}, routes...)); err != nil {
		return false, err
	}
	ran := func(e *endpoint, id, method, path string, at time.Time) {
		r.at(at, "run: %s %s %s by %s", id, method, path, e.id)
	}
	newEndpoint := func(i int, id, service string) *endpoint {
		return &endpoint{
			f: f, id: id, service: service, zone: zones[i%3], address: fmt.Sprintf("%s%d:8224", f.prefix, 100+i),
			work: 20 * time.Millisecond, slots: 3, ran: ran, tellsLoad: true,
		}
	}
	register := func(e *endpoint) error {
		if err := e.run(); err != nil {
			return err
		}
		if ok, at := e.beat("ready"); ok {
			r.at(at, "the first heartbeat of %s is acknowledged", e.id)
			go e.beats()
			return nil
		}
		return fmt.Errorf("%s isn't registered", e.id)
	}
	for i := range 14 {
		if err := register(newEndpoint(i, fmt.Sprintf("i-%08d", i), first)); err != nil {
			return false, err
		}
	}
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	routes = append(routes, route{host, "/archive/", "safe", added, 1.2, 0.6, 2})
	at, err := f.order("PUT", "/v1/config", configuration(2, []string{first, added}, routes...))
	if err != nil {
		return false, err
	}
	r.at(at, "r2 is acknowledged: it adds the service %s and the route /archive/", added)
	time.Sleep(2 * time.Second)

	// The first start, behind a cut of 5 s; it crashes after 2 s.
	before := newEndpoint(20, "i-before00", added)
	if err := before.run(); err != nil {
		return false, err
	}
	began := time.Now()
	link, err := newCutLink(f, fmt.Sprintf("%s%d:%d", f.prefix, 90, f.ports["control"]), f.cores[0])
	if err != nil {
		return false, err
	}
	defer link.listener.Close()
	if trouble {
		r.say("%s starts; a cut holds up its first heartbeat", before.id)
		behind := &box{name: "core behind the cut", ip: f.prefix + "90"}
		go f.control(behind, "PUT", "/v1/instances/"+before.id, before.beatBody("ready"))
	} else if ok, _ := before.beat("ready"); ok {
		r.say("%s starts; its first heartbeat is acknowledged", before.id)
	}
	time.Sleep(2 * time.Second)
	before.crash()
	r.say("%s crashes", before.id)
	time.Sleep(time.Second)
	after := newEndpoint(20, "i-after000", added)
	// Its calls are refused by the cut until that ends.
	time.Sleep(time.Until(began.Add(5 * time.Second)))
	if err := register(after); err != nil {
		return false, err
	}
	r.say("the cut has ended, and %s is registered at the same address", after.id)
	time.Sleep(300 * time.Millisecond)
	close(link.healed)
	if trouble {
		r.say("the heartbeat that the cut held up arrives")
	}

	// Steady state: nothing is disrupted any more.
	time.Sleep(time.Duration((contactS + 5) * float64(time.Second)))
	r.say("the steady state begins; the requests count from here")
	done := make(chan struct{})
	var lock sync.Mutex
	sent, served, statuses := map[string]int{}, map[string]int{}, map[string]map[int]int{}
	var running []*sync.WaitGroup
	for _, prefix := range []string{"/a/", "/archive/"} {
		statuses[prefix] = map[int]int{}
		running = append(running, load(f, host, "GET", prefix+"x", 20, 1500*time.Millisecond, "", done, func(id string, b *box, at time.Time, status int) {
			r.at(at, "sent: %s %s to %s", id, prefix, b.name)
			r.now("answered: %s by %s with %d", id, b.name, status)
			lock.Lock()
			defer lock.Unlock()
			sent[prefix]++
			statuses[prefix][status]++
			if status == 200 {
				served[prefix]++
			}
		}))
	}
	time.Sleep(20 * time.Second)
	close(done)
	for _, w := range running {
		w.Wait()
	}
	r.say("%s has sent %d heartbeats", after.id, after.sequence.Load())
	for _, prefix := range []string{"/a/", "/archive/"} {
		r.say("%s: %d sent, %d served, statuses %v", prefix, sent[prefix], served[prefix], statuses[prefix])
	}
	if sent["/archive/"] < 20 || served["/a/"] == 0 {
		return false, fmt.Errorf("too few requests")
	}
	ofFirst, ofAdded := float64(served["/a/"])/float64(sent["/a/"]), float64(served["/archive/"])/float64(sent["/archive/"])
	return ofAdded >= ofFirst/4, nil
}
