package main

import (
	"fmt"
	"sync"
	"time"
)

// tally counts the answers to the requests on a route.
type tally struct {
	lock   sync.Mutex
	all    int
	served int
	denied int
	others map[int]int
}

func (t *tally) count(status int) {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.all++
	switch {
	case status/100 == 2:
		t.served++
	case isDenial(status):
		t.denied++
	}
	if t.others == nil {
		t.others = map[int]int{}
	}
	t.others[status]++
}

// isDenial reports whether a status counts for the rule DENIED; endpoints give none of them.
func isDenial(status int) bool {
	return status/100 == 3 || status/100 == 4 && status != 408 && status != 421 && status != 429
}

const (
	// The usual traffic, and the dose of a burst in the site file: x = 1.7 for 3 s.
	usualPerS = 95.0
	burstX    = 1.7
	burstS    = 3.0
	// moveAfter is when the route is moved, from the beginning of the burst on.
	moveAfter = 2600 * time.Millisecond
)

// movedRoute: many clients come at once, so that requests wait at the fronts for an endpoint. The operator moves the
// route to another service, and leaves the first one out of the configuration. The requests are proper, and all
// configurations have their route, so that hardly any may be answered with 404.
func movedRoute(r *record, trouble bool) (bool, error) {
	f, err := newFleet(r, 5, 3)
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return false, err
	}
	const host, path = "jepu9.example", "/archive/41"
	services := []string{"drafts", "drafts-2"}
	order := func(version int, service string, listed ...string) error {
		rule := route{host, "/archive/", "safe", service, 2.5, 0.6, 2}
		at, err := f.order("PUT", "/v1/config", configuration(version, listed, rule))
		if err == nil {
			r.at(at, "version r%d is acknowledged: /archive/ goes to %s, the services are %v", version, service, listed)
		}
		return err
	}
	if err := order(1, services[0], services...); err != nil {
		return false, err
	}
	ran := func(e *endpoint, id, method, path string, at time.Time) {
		r.at(at, "run: %s %s %s by %s of %s", id, method, path, e.id, e.service)
	}
	for i := range 16 {
		e := &endpoint{
			f: f, id: fmt.Sprintf("i-%08d", i), service: services[i/8], zone: zones[i%3], address: fmt.Sprintf("%s%d:8224", f.prefix, 100+i),
			work: 240 * time.Millisecond, slots: 3, queue: 12, ran: ran,
		}
		if err := e.run(); err != nil {
			return false, err
		}
		defer e.crash()
		if ok, at := e.beat("ready"); ok {
			r.at(at, "the first heartbeat of %s of %s is acknowledged", e.id, e.service)
			go e.beats()
			continue
		}
		return false, fmt.Errorf("%s isn't registered", e.id)
	}
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(seconds(contactS + 1))
	var total, before tally
	seen := func(id string, b *box, sent time.Time, status int) {
		total.count(status)
		r.at(sent, "sent: %s GET %s to %s", id, path, b.name)
		r.now("answered: %s %d", id, status)
	}
	done := make(chan struct{})
	usual := load(f, host, "GET", path, usualPerS, 2500*time.Millisecond, "", done, func(id string, b *box, sent time.Time, status int) {
		before.count(status)
		seen(id, b, sent, status)
	})
	time.Sleep(4 * time.Second)
	before.lock.Lock()
	calm := float64(before.served) / float64(max(1, before.all))
	before.lock.Unlock()
	if calm < 0.9 {
		return false, fmt.Errorf("only %.2f of the requests are served in calm", calm)
	}
	extra := &sync.WaitGroup{}
	end := make(chan struct{})
	if trouble {
		r.now("burst: %.1f times the traffic for %.0f s", burstX, burstS)
		extra = load(f, host, "GET", path, usualPerS*(burstX-1), 2500*time.Millisecond, "", end, seen)
	}
	time.Sleep(moveAfter)
	if err := order(2, services[1], services[1]); err != nil {
		return false, err
	}
	time.Sleep(seconds(burstS) - moveAfter)
	close(end)
	extra.Wait()
	time.Sleep(4 * time.Second)
	close(done)
	usual.Wait()
	allowed := 5 + float64(total.all)/500
	r.say("requests %d, answers by status %v; denied %d, the rule allows %.1f", total.all, total.others, total.denied, allowed)
	return float64(total.denied) <= allowed, nil
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
