package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// maxBodyBytes is what the configuration's limits allow a client to send.
	maxBodyBytes = 67108864
	// smallBodyBytes is the size of the same uploads without trouble.
	smallBodyBytes = 64 << 10
	uploadCount    = 3
	// uploadMbps is the rate of each upload, in megabits a second; all together take 0.6 of a link.
	uploadMbps     = 200
	uploadDeadline = 8 * time.Second
	payers         = 12
	payDeadline    = 2500 * time.Millisecond
	// lostAllowed is how many such requests the rule allows.
	lostAllowed = 3
)

// lostRequest is a request whose connection ended without an answer.
type lostRequest struct {
	id  string
	err error
}

// uploadsCase sends uploads of the largest allowed size through one front, beside requests that
// can't be repeated, on kept connections.
func uploadsCase(r *record, trouble bool) (broken bool, err error) {
	f, err := newFleet(r, 2)
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return false, err
	}
	if err := f.configure([]route{
		{"shop.example", "/pay/", "unsafe", "ledger", 3, 0.5},
		{"shop.example", "/archive/", "safe", "archive", 9, 5},
	}); err != nil {
		return false, err
	}
	ledger, err := f.endpoints("ledger", 8, 300*time.Millisecond)
	if err != nil {
		return false, err
	}
	if _, err := f.endpoints("archive", 3, 100*time.Millisecond); err != nil {
		return false, err
	}
	if err := f.awaitCalm(); err != nil {
		return false, err
	}
	m := f.fronts[0]
	done := make(chan struct{})
	var platform, clients sync.WaitGroup
	peak, kills := 0, 0
	platform.Go(func() { peak, kills = f.enforceMemory(m, done) })
	until := time.Now().Add(8 * time.Second)
	var lock sync.Mutex
	var lost []lostRequest
	for p := range payers {
		clients.Go(func() {
			for _, x := range f.pay(m, p, until) {
				lock.Lock()
				lost = append(lost, x)
				lock.Unlock()
			}
		})
	}
	time.Sleep(2 * time.Second)
	size := maxBodyBytes
	if !trouble {
		size = smallBodyBytes
	}
	for i := range uploadCount {
		clients.Go(func() { f.upload(m, fmt.Sprintf("upload-%d", i), size) })
	}
	clients.Wait()
	close(done)
	platform.Wait()
	ran := map[string]bool{}
	for _, e := range ledger {
		for _, x := range e.all() {
			ran[x.id] = true
		}
	}
	passedOn := 0
	for _, x := range lost {
		if ran[x.id] {
			passedOn++
		}
		r.printf("lost     id=%s ran=%t %v", x.id, ran[x.id], x.err)
	}
	r.printf("result   %s had %d MB at most, killed %d times; requests of kept connections that ran at sound endpoints and ended without an answer: %d (the rule allows %d)",
		m.name, peak, kills, passedOn, lostAllowed)
	return passedOn > lostAllowed, nil
}

// pay sends requests one after the other on a kept connection, and returns those that ended
// without an answer. As a sound client, it opens another connection after that and repeats nothing.
func (f *fleet) pay(m *machine, payer int, until time.Time) []lostRequest {
	var lost []lostRequest
	var c *connection
	for n := 0; time.Now().Before(until); n++ {
		if c == nil {
			var err error
			if c, err = dial(f.address(m, "front")); err != nil {
				time.Sleep(100 * time.Millisecond)
				continue
			}
		}
		q := &request{id: fmt.Sprintf("pay-%d-%d", payer, n), method: "POST", host: "shop.example", uri: "/pay/x", deadline: payDeadline, body: []byte("amount=1")}
		f.record.printf("send     id=%s to %s %s %s", q.id, m.name, q.method, q.uri)
		a, err := c.send(q)
		if err != nil {
			f.record.printf("no answer id=%s %v", q.id, err)
			lost = append(lost, lostRequest{q.id, err})
			c.Close()
			c = nil
			continue
		}
		f.record.printf("answer   id=%s %d stamp=%s", q.id, a.status, a.stamp)
		if a.closes {
			c.Close()
			c = nil
		}
	}
	if c != nil {
		c.Close()
	}
	return lost
}

// upload sends a request with a large body.
func (f *fleet) upload(m *machine, id string, size int) {
	c, err := dial(f.address(m, "front"))
	if err != nil {
		f.record.printf("no connection id=%s %v", id, err)
		return
	}
	defer c.Close()
	q := &request{id: id, method: "POST", host: "shop.example", uri: "/archive/x", deadline: uploadDeadline}
	f.record.printf("send     id=%s to %s %s %s body=%d at %d Mbit/s", id, m.name, q.method, q.uri, size, uploadMbps)
	start := time.Now()
	c.SetDeadline(start.Add(uploadDeadline))
	if _, err := c.Write(q.head(size)); err != nil {
		f.record.printf("no answer id=%s %v", id, err)
		return
	}
	piece := make([]byte, 64<<10)
	for sent := 0; sent < size; {
		n, err := c.Write(piece[:min(len(piece), size-sent)])
		if err != nil {
			f.record.printf("no answer id=%s after %d bytes: %v", id, sent, err)
			return
		}
		sent += n
		time.Sleep(time.Until(start.Add(time.Duration(float64(sent) * 8 / uploadMbps * float64(time.Microsecond)))))
	}
	a, err := c.receive(q.method)
	f.record.printf("answer   id=%s %d stamp=%s %v", id, a.status, a.stamp, err)
}
