package routing

import (
	"time"

	"github.com/madderpond/madderpond/pkg/units"
)

// ReachMessageKind is the kind of a ReachMessage.
type ReachMessageKind uint8

// The kinds of messages between boxes about the targets that they reach.
const (
	// ReachQuery asks a box which targets it reaches. Only boxes that are cut off send queries.
	ReachQuery ReachMessageKind = iota + 1
	// ReachAnswer is the answer.
	ReachAnswer
)

// ReachMessage is a message between two boxes about the targets that they reach.
type ReachMessage struct {
	Kind ReachMessageKind
	// HeardAge is the time since the sender last heard any target; negative if it never has.
	HeardAge time.Duration
	// HearsNothing is set if the sender is cut off and has heard no target of any service since.
	HearsNothing bool
	// Scopes are those that the sender of a query is cut off from, in an answer what its sender knows
	// of the same.
	Scopes []ReachScope
	// Relayed is the number of other boxes' calls in flight at the sender of an answer. Full is set if
	// it accepts no more.
	Relayed int
	Full    bool
	// Helpers are other boxes that the sender of an answer knows to reach the targets.
	Helpers []units.BoxID
}

// ReachScope is what a box knows of its links to the targets of a service in some regions.
type ReachScope struct {
	Service units.ServiceName
	// Regions are empty for all regions.
	Regions []units.Region
	CutOff  bool
	// CutAge is for how long the box has been cut off; zero if it isn't.
	CutAge time.Duration
	// HeardAge is the time since any of the targets was last heard; negative for never.
	HeardAge time.Duration
}

// PeerReach is a ReachMessage received from another box.
type PeerReach struct {
	From    units.BoxID
	Message ReachMessage
}

func (*PeerReach) routingEvent() {}

// scopeKey identifies the targets of a service in some regions.
type scopeKey struct {
	service units.ServiceName
	regions string
}

func newScopeKey(service units.ServiceName, regions []units.Region) scopeKey {
	key := scopeKey{service: service}
	for _, name := range regions {
		key.regions += string(name) + ","
	}
	return key
}

func (x *reach) key() scopeKey { return newScopeKey(x.service.row.Name, x.regionNames()) }

func (x *reach) regionNames() []units.Region {
	if x.regions == nil {
		return nil
	}
	return x.regions.Names
}

// age returns the time since an instant; negative for the zero instant.
func (r *Router) age(at units.Instant) time.Duration {
	if at == 0 {
		return -1
	}
	return r.now.Sub(at)
}

// before returns the instant that lies an age in the past; zero for a negative age.
func (r *Router) before(age time.Duration) units.Instant {
	if age < 0 {
		return 0
	}
	return max(1, r.now.Add(-age))
}
