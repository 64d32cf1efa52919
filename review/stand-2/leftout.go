package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// endsAfter is how long after its acknowledgement the first leaving endpoint ends, and endsApart by how much
	// later each further one does.
	endsAfter = 2200 * time.Millisecond
	endsApart = 300 * time.Millisecond
	// reportWork is the work of a long request, lookupWork that of a short one.
	reportWork = 5 * time.Second
	lookupWork = 20 * time.Millisecond
)

// leftOut: the operator moves the routes of a service to another one, and leaves the first one out of the configuration.
// Its endpoints then leave: they send DELETE, serve on for drain-s and somewhat longer, and end. Long requests that they
// were at work on before end with them. The fronts may send these to other endpoints once more, but not to those that
// were acknowledged as gone more than drain-s ago.
func leftOut(r *record, trouble bool) (bool, error) {
	f, err := newFleet(r, 5, 3)
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return false, err
	}
	const host, previous, next = "jepu9.example", "drafts", "drafts-2"
	order := func(version int, service string, listed ...string) error {
		at, err := f.order("PUT", "/v1/config", configuration(version, listed,
			route{host, "/lookup/", "safe", service, 4, 4, 2}, route{host, "/reports/", "safe", service, 12, 12, 3}))
		if err == nil {
			r.at(at, "version r%d is acknowledged: the routes go to %s, the services are %v", version, service, listed)
		}
		return err
	}
	if err := order(1, previous, previous, next); err != nil {
		return false, err
	}
	var lock sync.Mutex
	gone := map[string]time.Time{}
	late := 0
	came := func(e *endpoint, id string, at time.Time) {
		lock.Lock()
		defer lock.Unlock()
		r.at(at, "came: %s to %s of %s", id, e.id, e.service)
		if left, ok := gone[e.id]; ok && at.Sub(left) > seconds(drainS) {
			late++
			r.at(at, "late: %s to %s, %.3f s after its DELETE was acknowledged", id, e.id, at.Sub(left).Seconds())
		}
	}
	work := func(path string) time.Duration {
		if strings.HasPrefix(path, "/reports/") {
			return reportWork
		}
		return lookupWork
	}
	var leaving []*endpoint
	for i := range 27 {
		e := &endpoint{
			f: f, id: fmt.Sprintf("i-%08d", i), service: next, zone: zones[i%3], address: fmt.Sprintf("%s%d:8224", f.prefix, 100+i),
			slots: 3, queue: 12, workOn: work, came: came,
		}
		if i < 4 {
			e.service = previous
			leaving = append(leaving, e)
		}
		if err := e.run(); err != nil {
			return false, err
		}
		defer e.crash()
		if ok, at := e.beat("ready"); !ok {
			return false, fmt.Errorf("%s isn't registered", e.id)
		} else {
			r.at(at, "the first heartbeat of %s of %s is acknowledged", e.id, e.service)
		}
		go e.beats()
	}
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(seconds(contactS + 1))
	var total tally
	seen := func(id string, b *box, sent time.Time, status int) {
		total.count(status)
		r.at(sent, "sent: %s to %s", id, b.name)
		r.now("answered: %s %d", id, status)
	}
	done := make(chan struct{})
	loads := []*sync.WaitGroup{
		load(f, host, "GET", "/lookup/41", 50, 4*time.Second, "", done, seen),
		load(f, host, "GET", "/reports/41", 2, 12*time.Second, "", done, seen),
	}
	time.Sleep(8 * time.Second)
	listed := []string{next}
	if !trouble {
		listed = []string{previous, next}
	}
	if err := order(2, next, listed...); err != nil {
		return false, err
	}
	time.Sleep(50 * time.Millisecond)
	var all sync.WaitGroup
	for i, e := range leaving {
		all.Add(1)
		go func() {
			defer all.Done()
			e.leaving.Store(true)
			at, by := e.depart()
			lock.Lock()
			gone[e.id] = at
			lock.Unlock()
			r.at(at, "the DELETE of %s is acknowledged by %s", e.id, by.name)
			time.Sleep(endsAfter + time.Duration(i)*endsApart)
			r.now("%s ends", e.id)
			e.crash()
		}()
	}
	all.Wait()
	time.Sleep(time.Second)
	close(done)
	for _, l := range loads {
		l.Wait()
	}
	lock.Lock()
	defer lock.Unlock()
	r.say("requests %d, answers by status %v; %d reached an endpoint later than drain-s after its DELETE was acknowledged", total.all, total.others, late)
	return late == 0, nil
}
