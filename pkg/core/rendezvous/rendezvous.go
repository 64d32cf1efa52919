// Package rendezvous ranks names for other names: the boxes that may coordinate a target, or the replicas
// that a box may attach to. All processes work out the same ranking from names alone, and a name that comes
// or goes changes the rank of no other.
package rendezvous

import "github.com/cespare/xxhash/v2"

// Hash ranks one of two names for the other; the highest comes first. Other processes count on the order
// of the names in it.
func Hash[A, B ~string](a A, b B) uint64 {
	// Names are short, so that nothing is allocated.
	var buffer [96]byte
	key := append(append(append(buffer[:0], a...), 0), b...)
	return xxhash.Sum64(key)
}
