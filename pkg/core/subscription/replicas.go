package subscription

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/madderpond/madderpond/pkg/core/rendezvous"
	"github.com/madderpond/madderpond/pkg/units"
	"github.com/madderpond/madderpond/pkg/wire"
)

// avoidTime is how long a replica that had to be left comes after all others.
const avoidTime = 3 * time.Second

// replicaList is the choice of the replicas to attach to. The settings name some
// replicas, the leader names those that it knows to be at work.
type replicaList struct {
	random *rand.Rand
	// known are all replicas: those of the settings first, then those learned.
	known []units.ReplicaID
	// listed are those that the leader listed last.
	listed []units.ReplicaID
	// domains are the failure domains of those, as far as they are known.
	domains map[units.ReplicaID]units.Domain
	// checksum sums up both, as they came.
	checksum uint64
	leftAt   map[units.ReplicaID]units.Instant
	// current is the replica that the box is attached to, or was last.
	current units.ReplicaID
}

func newReplicaList(settings []units.ReplicaID, random *rand.Rand) replicaList {
	return replicaList{
		random: random, known: slices.Clone(settings), leftAt: map[units.ReplicaID]units.Instant{},
	}
}

// configure takes the replicas that the settings name now. Those that the leader named
// last stay known as well.
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

// updateListed takes the leader's list of replicas at work; an empty one says nothing.
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

// avoidCurrent says that the present replica had to be left.
func (l *replicaList) avoidCurrent(now units.Instant) {
	if l.current != "" {
		l.leftAt[l.current] = now
		l.current = ""
	}
}

// candidates returns up to n replicas to attach to, the best first and equals in a random
// order: those that the leader named, then the other known ones. Those that were left
// lately come last, and only when desperate is set or no other is known: a process that
// stands still is connected to as fast as one that works.
func (l *replicaList) candidates(now units.Instant, n int, includeAvoided bool) []units.ReplicaID {
	list := slices.Clone(l.known)
	l.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	slices.SortStableFunc(list, func(a, b units.ReplicaID) int { return l.rank(a, now) - l.rank(b, now) })
	if i := slices.IndexFunc(list, func(id units.ReplicaID) bool { return l.rank(id, now) == rankAvoided }); i > 0 && !includeAvoided {
		list = list[:i]
	}
	return list[:min(n, len(list))]
}

// The ranks of a replica as a candidate.
const (
	rankListed = iota
	rankKnown
	rankAvoided
)

func (l *replicaList) rank(id units.ReplicaID, now units.Instant) int {
	if left := l.leftAt[id]; left != 0 && now.Sub(left) <= avoidTime {
		return rankAvoided
	}
	if slices.Contains(l.listed, id) {
		return rankListed
	}
	return rankKnown
}

// preferred returns the replica that a box of a domain is to be attached to: one of its own domain where there are
// any, so that what each box gets crosses no border, and of those the one that comes first for the box, so
// that boxes are spread over them. It is empty where none is known, or the preferred was left lately.
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
