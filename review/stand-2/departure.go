package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// departure: endpoints start again under their ids (with a new born), and leave by DELETE while all processes of the
// core, killed at the same moment, come back. Nothing may reach them later than drain-s after the acknowledgement.
func departure(r *record, trouble bool) (bool, error) {
	f, err := newFleet(r, 5, 3)
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return false, err
	}
	const service, host = "drafts", "jepu9.example"
	if _, err := f.order("PUT", "/v1/config", configuration(1, []string{service}, route{host, "/a/", "safe", service, 1.2, 0.6, 2})); err != nil {
		return false, err
	}
	type arrival struct {
		id string
		at time.Time
	}
	var lock sync.Mutex
	arrivals := map[*endpoint][]arrival{}
	ran := func(e *endpoint, id, method, path string, at time.Time) {
		lock.Lock()
		defer lock.Unlock()
		arrivals[e] = append(arrivals[e], arrival{id, at})
		r.at(at, "run: %s %s %s by %s", id, method, path, e.id)
	}
	begin := func(i int) (*endpoint, error) {
		e := &endpoint{
			f: f, id: fmt.Sprintf("i-%08d", i), service: service, zone: zones[i%3], address: fmt.Sprintf("%s%d:8224", f.prefix, 100+i),
			born: time.Now().UnixMilli(), work: 20 * time.Millisecond, slots: 8, ran: ran, tellsLoad: os.Getenv("TELLS_LOAD") == "1",
		}
		if err := e.run(); err != nil {
			return nil, err
		}
		if ok, _ := e.beat("ready"); !ok {
			return nil, fmt.Errorf("%s isn't registered", e.id)
		}
		go e.beats()
		return e, nil
	}
	var all []*endpoint
	for i := range 14 {
		e, err := begin(i)
		if err != nil {
			return false, err
		}
		all = append(all, e)
	}
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	done := make(chan struct{})
	var counts sync.Map
	sentTo := map[string]*box{}
	running := load(f, host, "GET", "/a/x", 60, 1500*time.Millisecond, "", done, func(id string, b *box, sent time.Time, status int) {
		n, _ := counts.LoadOrStore(status, new(int))
		r.at(sent, "sent: %s to %s", id, b.name)
		r.now("answered: %s by %s with %d", id, b.name, status)
		lock.Lock()
		*n.(*int)++
		sentTo[id] = b
		lock.Unlock()
	})
	// A long day: hundreds of changes of the configuration.
	for v := 2; v <= changes+1; v++ {
		c := configuration(v, []string{service}, route{host, "/a/", "safe", service, 1.2, 0.6, 2}, route{host, fmt.Sprintf("/idle%d/", v%8), "safe", service, 1.2, 0.6, 2})
		if _, err := f.order("PUT", "/v1/config", c); err != nil {
			return false, err
		}
	}
	r.say("%d changes of the configuration have been acknowledged", changes)
	time.Sleep(time.Second)

	// Two of the fourteen endpoints end and start again, each under its id (srv_crash, share 0.15 at most).
	var leaving []*endpoint
	for i := range 2 {
		all[i].crash()
		r.say("endpoint %s ends", all[i].id)
	}
	time.Sleep(2500 * time.Millisecond)
	for i := range 2 {
		x, err := begin(i)
		if err != nil {
			return false, err
		}
		leaving = append(leaving, x)
		r.say("endpoint %s has started again under its id, and is registered", x.id)
	}
	time.Sleep(5 * time.Second)

	stable := time.Now()
	if trouble {
		r.say("all processes of the core are killed")
		for _, b := range f.cores {
			b.kill()
		}
		time.Sleep(300 * time.Millisecond)
	}
	// Both leave now (scale_in, share 0.15 at most), and say so by DELETE alone.
	type departed struct {
		at time.Time
		by *box
	}
	acked := make([]departed, len(leaving))
	var acks sync.WaitGroup
	for i, x := range leaving {
		x.leaving.Store(true)
		r.say("endpoint %s leaves: it sends DELETE", x.id)
		acks.Go(func() { acked[i].at, acked[i].by = x.depart() })
	}
	if trouble {
		time.Sleep(200 * time.Millisecond)
		for _, b := range f.cores {
			if err := f.start(b); err != nil {
				return false, err
			}
		}
		stable = time.Now()
		r.say("all processes of the core have been started again")
	}
	acks.Wait()
	for i, x := range leaving {
		r.at(acked[i].at, "%s acknowledges the DELETE of %s", acked[i].by.name, x.id)
	}
	// They go on serving for longer than drain-s.
	time.Sleep(10 * time.Second)
	close(done)
	running.Wait()
	lock.Lock()
	defer lock.Unlock()
	total := 0
	for i, x := range leaving {
		x.crash()
		// Requests count from machines in touch: contact-s after the last start of a core machine.
		from := acked[i].at.Add(time.Duration(drainS * float64(time.Second)))
		if t := stable.Add(time.Duration(contactS * float64(time.Second))); t.After(from) {
			from = t
		}
		late := 0
		for _, a := range arrivals[x] {
			if a.at.After(from) {
				late++
				r.at(a.at, "late: %s reaches %s from %s, %.3f s after the acknowledgement", a.id, x.id, sentTo[a.id].name, a.at.Sub(acked[i].at).Seconds())
			}
		}
		r.say("%s: acknowledged by %s %.3f s after the start of the core; %d requests reached it later than drain-s after that", x.id, acked[i].by.name, acked[i].at.Sub(stable).Seconds(), late)
		total += late
	}
	counts.Range(func(k, v any) bool { r.say("clients' answers with status %v: %d", k, *v.(*int)); return true })
	return total == 0, nil
}

// changes is how many changes of the configuration there are before the endpoint's second start. PROTOCOL.md: "a day
// may be long and contain hundreds of changes".
const changes = 995
