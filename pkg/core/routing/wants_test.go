package routing

import (
	"testing"
	"time"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// A box that holds calls itself lends nothing; what others ask of it must not pile
// up all the same.
func TestOldWantsAreForgotten(t *testing.T) {
	now := units.Instant(time.Second)
	r, err := NewRouter(Settings{Box: "me", Loans: true, ShareDelay: time.Second, MaxDeadline: time.Hour}, now)
	if err != nil {
		t.Fatal(err)
	}
	next := table.NewTable()
	next.Revision = 1
	next.Boxes = []table.Box{{ID: "me"}, {ID: "other"}}
	next.Services["s"] = &table.Entry{
		Service: table.Service{Name: "s", Work: table.Patient, Hosts: []string{"s"}, Deadline: time.Hour, HoldLimit: time.Hour, HoldCount: 10},
		Rows:    table.RowsOf(table.Row{Service: "s", Target: "t", Address: "127.0.0.1:1", Weight: 1, MaxInFlight: 1, State: table.Active}),
	}
	var e Effects
	r.Reduce(now, &LeaseChanged{Until: now.Add(time.Hour)}, &e)
	r.Reduce(now, &TableChanged{Table: next}, &e)
	r.Reduce(now, &CallArrived{Owner: 1, Host: []byte("s"), Path: []byte("/")}, &e)
	for n := range uint64(10_000) {
		now = now.Add(time.Millisecond)
		e.Reset()
		r.Reduce(now, &PeerMessage{From: "other", Message: LoanMessage{Kind: RequestSlots, Service: "s", Count: 1, Nonce: n}}, &e)
	}
	if n := len(r.services["s"].loans.pending); n > int(loanRequestTTL/time.Millisecond)+1 {
		t.Fatalf("%d old wants are kept", n)
	}
}
