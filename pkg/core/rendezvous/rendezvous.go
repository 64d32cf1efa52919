// Package rendezvous implements rendezvous hashing (highest random weight): it ranks, for example, the boxes
// that may coordinate a target, or the replicas that a box may attach to. All processes compute the same
// ranking from the names alone, and adding or removing a name doesn't change the rank of any other.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Hash returns the rank of one name for another; the highest ranks first. Other processes depend on the order
// of the two names and on the algorithm, so neither may change.
func Hash[A, B ~string](a A, b B) uint64 {
	// Names are short enough for the buffer, which avoids an allocation.
	var buffer [96]byte
	key := append(append(append(buffer[:0], a...), 0), b...)
	return xxhash.Sum64(key)
}

// Highest returns the up to n names with the highest hashes, the highest first.
func Highest[N ~string](names []N, n int, hash func(N) uint64) []N {
	type ranked struct {
		name N
		hash uint64
	}
	all := make([]ranked, 0, len(names))
	for _, x := range names {
		all = append(all, ranked{x, hash(x)})
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.name, b.name)) })
	highest := make([]N, 0, n)
	for _, x := range all[:min(n, len(all))] {
		highest = append(highest, x.name)
	}
	return highest
}
