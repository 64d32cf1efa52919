package subscription

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/madderpond/madderpond/pkg/core/rendezvous"
	"github.com/madderpond/madderpond/pkg/units"
	"github.com/madderpond/madderpond/pkg/wire"
)

// avoidTime is how long a replica that was given up ranks after all others.
const avoidTime = 3 * time.Second

// replicaList selects the replicas to attach to. Some are known from the settings, others from the
// leader's list of active replicas.
type replicaList struct {
	random *rand.Rand
	// known are all known replicas, those of the settings first.
	known []units.ReplicaID
	// listed are the replicas in the leader's last list.
	listed []units.ReplicaID
	// domains are the failure domains of the listed replicas, as far as they are known.
	domains map[units.ReplicaID]units.Domain
	// checksum is the checksum of the leader's last list, with its domains.
	checksum     uint64
	avoidedSince map[units.ReplicaID]units.Instant
	// current is the replica that the box is attached to or moves to; empty after it was given up.
	current units.ReplicaID
}

func newReplicaList(settings []units.ReplicaID, random *rand.Rand) replicaList {
	return replicaList{
		random: random, known: slices.Clone(settings), avoidedSince: map[units.ReplicaID]units.Instant{},
	}
}

// configure replaces the replicas from the settings. Those in the leader's last list remain known.
func (l *replicaList) configure(settings []units.ReplicaID) {
	l.known = slices.Clone(settings)
	l.addKnown(l.listed)
}

func (l *replicaList) addKnown(list []units.ReplicaID) {
	for _, id := range list {
		if !slices.Contains(l.known, id) {
			l.known = append(l.known, id)
		}
	}
}

// updateListed replaces the leader's list of active replicas. An empty list means no change.
func (l *replicaList) updateListed(names, domains []string) {
	if len(names) == 0 {
		return
	}
	l.checksum = wire.ChecksumReplicas(names, domains)
	l.listed = l.listed[:0]
	l.domains = map[units.ReplicaID]units.Domain{}
	for i, n := range names {
		l.listed = append(l.listed, units.ReplicaID(n))
		if i < len(domains) {
			l.domains[units.ReplicaID(n)] = units.Domain(domains[i])
		}
	}
	l.addKnown(l.listed)
}

// avoidCurrent gives up the current replica and ranks it last for avoidTime.
func (l *replicaList) avoidCurrent(now units.Instant) {
	if l.current != "" {
		l.avoidedSince[l.current] = now
		l.current = ""
	}
}

// candidates returns up to n replicas to attach to by rank, in random order within a rank:
// those in the leader's list, then the other known ones. Avoided replicas come last, and only if
// includeAvoided is set or there is no other: a suspended process still accepts connections as fast
// as one that works.
func (l *replicaList) candidates(now units.Instant, n int, includeAvoided bool) []units.ReplicaID {
	list := slices.Clone(l.known)
	l.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	slices.SortStableFunc(list, func(a, b units.ReplicaID) int { return l.rank(a, now) - l.rank(b, now) })
	if i := slices.IndexFunc(list, func(id units.ReplicaID) bool { return l.rank(id, now) == rankAvoided }); i > 0 && !includeAvoided {
		list = list[:i]
	}
	return list[:min(n, len(list))]
}

// The ranks of a candidate, the best first.
const (
	rankListed = iota
	rankKnown
	rankAvoided
)

func (l *replicaList) rank(id units.ReplicaID, now units.Instant) int {
	if since := l.avoidedSince[id]; since != 0 && now.Sub(since) <= avoidTime {
		return rankAvoided
	}
	if slices.Contains(l.listed, id) {
		return rankListed
	}
	return rankKnown
}

// preferred returns the replica that a box should be attached to. It is in the box's own domain if
// any listed one is, so that updates don't cross domains, and chosen by rendezvous hashing, so that
// boxes are spread evenly. It is empty if no replica is listed or the preferred one is avoided.
func (l *replicaList) preferred(box units.BoxID, domain units.Domain, now units.Instant) units.ReplicaID {
	preferable := slices.DeleteFunc(slices.Clone(l.listed), func(id units.ReplicaID) bool { return domain == "" || l.domains[id] != domain })
	if len(preferable) == 0 {
		preferable = l.listed
	}
	var best units.ReplicaID
	for _, id := range preferable {
		if best == "" || rendezvous.Hash(box, id) > rendezvous.Hash(box, best) {
			best = id
		}
	}
	if best != "" && l.rank(best, now) == rankAvoided {
		return ""
	}
	return best
}
