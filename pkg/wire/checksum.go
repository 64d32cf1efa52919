package wire

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// ChecksumNames sums up a list of names, so that a list which the other side knows needn't
// be sent again.
func ChecksumNames(names []string) uint64 {
	return xxhash.Sum64String(strings.Join(names, "\n"))
}
