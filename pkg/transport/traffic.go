package transport

import (
	"cmp"
	"slices"
	"sync"

	"github.com/madderpond/madderpond/pkg/wire"
)

// Crossing says whether messages pass between failure domains.
type Crossing string

// The ways. Only the accepting side of a connection knows where the other one is: it counts what
// passes both ways, and the dialling side what it sends.
const (
	SameDomain  Crossing = "same-domain"
	OtherDomain Crossing = "other-domain"
	Dialled     Crossing = "dialled"
)

// Traffic is how many messages of a kind have passed, and their bytes without those of the connection.
type Traffic struct {
	Kind     string   `json:"kind"`
	Crossing Crossing `json:"crossing"`
	// Sent is set for messages of this process, unset for those that came.
	Sent     bool   `json:"sent"`
	Messages uint64 `json:"messages"`
	Bytes    uint64 `json:"bytes"`
}

// trafficKey tells counters apart.
type trafficKey struct {
	kind     wire.Kind
	crossing Crossing
	sent     bool
}

// trafficBook counts the messages of this process.
type trafficBook struct {
	lock   sync.Mutex
	counts map[trafficKey]*Traffic
}

// traffic counts for the whole process, as its metrics do.
var traffic = &trafficBook{counts: map[trafficKey]*Traffic{}}

func (b *trafficBook) note(k trafficKey, bytes int) {
	b.lock.Lock()
	defer b.lock.Unlock()
	c := b.counts[k]
	if c == nil {
		c = &Traffic{Kind: string(k.kind), Crossing: k.crossing, Sent: k.sent}
		b.counts[k] = c
	}
	c.Messages++
	c.Bytes += uint64(bytes)
}

// Counts returns what has passed since the start of the process, the most bytes first.
func Counts() []Traffic {
	traffic.lock.Lock()
	defer traffic.lock.Unlock()
	list := make([]Traffic, 0, len(traffic.counts))
	for _, c := range traffic.counts {
		list = append(list, *c)
	}
	slices.SortFunc(list, func(a, b Traffic) int { return cmp.Or(cmp.Compare(b.Bytes, a.Bytes), cmp.Compare(a.Kind, b.Kind)) })
	return list
}
