package replica

import (
	"net/netip"
	"testing"
	"time"

	"github.com/madderpond/madderpond/pkg/clock"
	"github.com/madderpond/madderpond/pkg/common"
	"github.com/madderpond/madderpond/pkg/config"
	"github.com/madderpond/madderpond/pkg/core/control"
	"github.com/madderpond/madderpond/pkg/core/replication"
	"github.com/madderpond/madderpond/pkg/transport"
	"github.com/madderpond/madderpond/pkg/units"
)

// newGatedReplica returns a replica with only what the gate needs. It has two peers: one whose
// address is in the settings, and one whose ID is its address, as in a cluster that grows
// automatically. It hasn't sent them any message yet.
func newGatedReplica(t *testing.T) *Replica {
	t.Helper()
	s := config.Defaults()
	s.Replicas = []config.Replica{{Box: "control-2", Address: "127.0.0.2:7000"}}
	core, err := control.NewReplica(control.Settings{
		Replication: replication.Settings{ID: "control-1", ElectionTimeout: time.Second, Peers: []units.ReplicaID{"control-2", "127.0.0.3:7000"}},
	}, &replication.DurableState{}, 1)
	if err != nil {
		t.Fatal(err)
	}
	r := &Replica{
		Common: &common.Common{Settings: s, Clock: clock.NewClock()}, core: core, gate: newStartupGate(),
		done: make(chan struct{}), wake: make(chan struct{}), links: map[units.ReplicaID]*transport.Link{},
	}
	t.Cleanup(r.gate.release)
	return r
}

// waitAsync returns a channel that is closed once a connection from an address may be served.
func waitAsync(r *Replica, from string) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		r.Wait(netip.MustParseAddr(from))
		close(done)
	}()
	return done
}

func TestOtherReplicasPassTheGateAtOnce(t *testing.T) {
	r := newGatedReplica(t)
	for _, from := range []string{"127.0.0.2", "127.0.0.3"} {
		<-waitAsync(r, from)
	}
	box := waitAsync(r, "127.0.0.4")
	select {
	case <-box:
		t.Fatal("a box's connection was served before the replica has the newest table")
	case <-time.After(50 * time.Millisecond):
	}
	r.gate.release()
	<-box
	<-waitAsync(r, "127.0.0.5")
}

// The gate must open after maxGateDelay on a replica that can't catch up, and Wait must return
// when a replica stops.
func TestTheGateOpensByItself(t *testing.T) {
	r := newGatedReplica(t)
	r.Start()
	<-waitAsync(r, "127.0.0.4")
	close(r.done)
	r.timerLoop.Wait()
	r = newGatedReplica(t)
	box := waitAsync(r, "127.0.0.4")
	close(r.done)
	<-box
}
