package replication

import (
	"testing"
	"time"

	"github.com/madderpond/madderpond/pkg/units"
)

// After a loss of power the others may start a little later than a replica whose disk is
// lost, and wait for the lease that it may have held until they hear of it.
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
		t.Errorf("asked %d times within 100 ms of the start", rounds)
	}
	if rounds := asked(time.Second, 3*time.Second); rounds > 11 {
		t.Errorf("asked %d times in two later seconds", rounds)
	}
}
