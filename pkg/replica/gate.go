package replica

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/madderpond/madderpond/pkg/units"
)

// maxGateDelay is the longest that boxes' connections are held up. It is below the time after
// which a box without a table leaves a silent replica, a quarter of
// subscription.DefaultSilence.
const maxGateDelay = 150 * time.Millisecond

// startupGate holds up boxes' connections while a replica starts. After a loss of power
// hundreds of boxes connect at the moment in which the replicas elect a leader and commit
// the log's end, and without a leader there is nothing to tell them. What that saves wasn't
// measured by itself.
type startupGate struct {
	open chan struct{}
	once sync.Once
}

func newStartupGate() *startupGate { return &startupGate{open: make(chan struct{})} }

// release lets all connections through, now and later.
func (g *startupGate) release() { g.once.Do(func() { close(g.open) }) }

// Wait returns once a connection from an address may be served: at once for another
// replica, and for a box once this replica knows the newest table, or has been starting for gateLimit.
func (r *Replica) Wait(from netip.Addr) {
	select {
	case <-r.gate.open:
		return
	default:
	}
	if r.isReplicaAddress(from) {
		return
	}
	select {
	case <-r.gate.open:
	case <-r.done:
	}
}

// isReplicaAddress tells whether another replica is known at an IP number.
func (r *Replica) isReplicaAddress(ip netip.Addr) bool {
	r.lock.Lock()
	peers := r.core.Peers()
	r.lock.Unlock()
	return slices.ContainsFunc(peers, func(id units.ReplicaID) bool { return hasIP(r.addressOf(id), ip) })
}

// addressOf returns where another replica is reached. In a cluster that grows by itself a
// replica's name is its address.
func (r *Replica) addressOf(id units.ReplicaID) string {
	for _, x := range r.Settings.Replicas {
		if units.ReplicaID(x.Box) == id {
			return x.Address
		}
	}
	return string(id)
}

func hasIP(address string, ip netip.Addr) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && a.Addr() == ip
}
