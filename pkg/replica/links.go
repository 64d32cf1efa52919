package replica

import (
	"github.com/madderpond/madderpond/pkg/transport"
	"github.com/madderpond/madderpond/pkg/units"
	"github.com/madderpond/madderpond/pkg/wire"
)

func (r *Replica) newLink(address string) *transport.Link {
	return transport.NewLink(address, r.Security, func() *wire.Hello {
		return &wire.Hello{Replica: string(r.identity.Replica), Domain: r.Settings.Domain}
	})
}

// wakeLink makes the link to a replica connect at once, since that replica has just connected
// to this one and so is reachable.
func (r *Replica) wakeLink(id units.ReplicaID) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if link := r.links[id]; link != nil {
		link.Wake()
	}
}

// linkTo returns the link to another replica, or nil if its address is unknown. In a cluster
// that grows automatically, a replica's ID is its address.
func (r *Replica) linkTo(id units.ReplicaID) *transport.Link {
	link := r.links[id]
	if link == nil && len(r.Settings.Seeds) > 0 {
		link = r.newLink(string(id))
		r.links[id] = link
	}
	return link
}
