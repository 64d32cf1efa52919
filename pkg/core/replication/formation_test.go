package replication

import (
	"testing"
	"time"

	"github.com/madderpond/madderpond/pkg/units"
)

// After a power failure the others may start a little later than a replica that lost its disk. They
// wait for the expiry of a lease that it may have held, until its presence request arrives; so it
// must send these often at first.
func TestAnEmptyReplicaAsksOftenAtFirst(t *testing.T) {
	n := NewNode(Settings{
		ID: "a", Incarnation: "a.1", Boot: 1, Peers: []units.ReplicaID{"b", "c"}, ElectionTimeout: time.Second, Heartbeat: 100 * time.Millisecond,
	}, &DurableState{}, units.Instant(time.Second))
	asked := func(from, to time.Duration) int {
		rounds := 0
		for at := from; at < to; at += time.Millisecond {
			e := &Effects{}
			n.Tick(units.Instant(time.Second).Add(at), e)
			if len(e.Sends) > 0 {
				rounds++
			}
		}
		return rounds
	}
	if rounds := asked(0, 100*time.Millisecond); rounds < 4 {
		t.Errorf("sent presence requests %d times within 100 ms of the start", rounds)
	}
	if rounds := asked(time.Second, 3*time.Second); rounds > 11 {
		t.Errorf("sent presence requests %d times in two later seconds", rounds)
	}
}
