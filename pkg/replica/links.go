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

// wakeLink has the link to a replica that has just connected made at once.
func (r *Replica) wakeLink(id units.ReplicaID) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if link := r.links[id]; link != nil {
		link.Wake()
	}
}

// linkTo returns the link to another replica, or nil when nothing is known of it. In
// a cluster that grows by itself a replica's name is its address.
func (r *Replica) linkTo(id units.ReplicaID) *transport.Link {
	link := r.links[id]
	if link == nil && len(r.Settings.Seeds) > 0 {
		link = r.newLink(string(id))
		r.links[id] = link
	}
	return link
}
