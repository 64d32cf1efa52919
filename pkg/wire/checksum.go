package wire

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// ChecksumNames returns the checksum of a list of names. Peers compare it to avoid sending
// a list that the receiver already has.
func ChecksumNames(names []string) uint64 {
	return xxhash.Sum64String(strings.Join(names, "\n"))
}

// ChecksumReplicas returns the checksum of the names of replicas and their failure domains.
func ChecksumReplicas(names, domains []string) uint64 {
	return ChecksumNames(append(slices.Clone(names), domains...))
}
