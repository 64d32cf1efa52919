package wire

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// ChecksumNames sums up a list of names, so that a list which the other side knows needn't
// be sent again.
func ChecksumNames(names []string) uint64 {
	return xxhash.Sum64String(strings.Join(names, "\n"))
}

// ChecksumReplicas sums up the names of replicas and their failure domains.
func ChecksumReplicas(names, domains []string) uint64 {
	return ChecksumNames(append(slices.Clone(names), domains...))
}
