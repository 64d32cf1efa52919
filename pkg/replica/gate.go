package replica

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/madderpond/madderpond/pkg/units"
)

// maxGateDelay is the longest that connections of boxes are delayed. It is shorter than the
// time after which a box without a table abandons an unresponsive replica, which is a quarter
// of subscription.DefaultReplicaTimeout.
const maxGateDelay = 150 * time.Millisecond

// startupGate delays connections of boxes while a replica starts. After a power failure,
// hundreds of boxes connect while the replicas elect a leader and commit the end of the log,
// and without a leader there is nothing to send them.
type startupGate struct {
	open chan struct{}
	once sync.Once
}

func newStartupGate() *startupGate { return &startupGate{open: make(chan struct{})} }

// release opens the gate for all current and future connections.
func (g *startupGate) release() { g.once.Do(func() { close(g.open) }) }

// Wait blocks until a connection from an address may be served. Connections of other replicas
// may be served at once, those of boxes once this replica has the newest table or has been
// starting for maxGateDelay. Wait also returns when the replica stops.
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

// isReplicaAddress returns whether an IP address is that of another known replica.
func (r *Replica) isReplicaAddress(ip netip.Addr) bool {
	r.lock.Lock()
	peers := r.core.Peers()
	r.lock.Unlock()
	return slices.ContainsFunc(peers, func(id units.ReplicaID) bool { return hasIP(r.addressOf(id), ip) })
}

// addressOf returns another replica's address. In a cluster that grows automatically, a
// replica's ID is its address.
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
