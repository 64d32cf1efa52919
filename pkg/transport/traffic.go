package transport

import (
	"cmp"
	"slices"
	"sync"

	"github.com/madderpond/madderpond/pkg/wire"
)

// Locality says whether messages pass between failure domains.
type Locality string

// The ways. Only the accepting side of a connection knows where the other one is: it counts what
// passes both ways, and the dialling side what it sends.
const (
	SameDomain    Locality = "same-domain"
	OtherDomain   Locality = "other-domain"
	UnknownDomain Locality = "dialled"
)

// Traffic is how many messages of a kind have passed, and their bytes without those of the connection.
type Traffic struct {
	Kind     string   `json:"kind"`
	Locality Locality `json:"crossing"`
	// Sent is set for messages of this process, unset for those that came.
	Sent     bool   `json:"sent"`
	Messages uint64 `json:"messages"`
	Bytes    uint64 `json:"bytes"`
}

// trafficKey tells counters apart.
type trafficKey struct {
	kind     wire.Kind
	locality Locality
	sent     bool
}

// trafficCounters counts the messages of this process.
type trafficCounters struct {
	lock   sync.Mutex
	counts map[trafficKey]*Traffic
}

// traffic counts for the whole process, as its metrics do.
var traffic = &trafficCounters{counts: map[trafficKey]*Traffic{}}

func (b *trafficCounters) add(k trafficKey, bytes int) {
	b.lock.Lock()
	defer b.lock.Unlock()
	c := b.counts[k]
	if c == nil {
		c = &Traffic{Kind: string(k.kind), Locality: k.locality, Sent: k.sent}
		b.counts[k] = c
	}
	c.Messages++
	c.Bytes += uint64(bytes)
}

// TrafficCounts returns what has passed since the start of the process, the most bytes first.
func TrafficCounts() []Traffic {
	traffic.lock.Lock()
	defer traffic.lock.Unlock()
	list := make([]Traffic, 0, len(traffic.counts))
	for _, c := range traffic.counts {
		list = append(list, *c)
	}
	slices.SortFunc(list, func(a, b Traffic) int { return cmp.Or(cmp.Compare(b.Bytes, a.Bytes), cmp.Compare(a.Kind, b.Kind)) })
	return list
}
