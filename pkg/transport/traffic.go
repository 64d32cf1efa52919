package transport

import (
	"cmp"
	"slices"
	"sync"

	"github.com/madderpond/madderpond/pkg/wire"
)

// Locality is whether a connection crosses failure domains.
type Locality string

// The localities. Only the accepting side of a connection knows the peer's failure domain. It counts
// messages in both directions; the dialing side counts the messages that it sends, as UnknownDomain.
const (
	SameDomain    Locality = "same-domain"
	OtherDomain   Locality = "other-domain"
	UnknownDomain Locality = "dialled"
)

// Traffic is the number of messages of one kind, and their size in bytes without the overhead of
// yamux, TLS and TCP.
type Traffic struct {
	Kind     string   `json:"kind"`
	Locality Locality `json:"crossing"`
	// Sent is set for sent messages, unset for received ones.
	Sent     bool   `json:"sent"`
	Messages uint64 `json:"messages"`
	Bytes    uint64 `json:"bytes"`
}

// trafficKey identifies a counter.
type trafficKey struct {
	kind     wire.Kind
	locality Locality
	sent     bool
}

// trafficCounters holds the counters of all connections.
type trafficCounters struct {
	lock   sync.Mutex
	counts map[trafficKey]*Traffic
}

// traffic counts for the whole process, as metrics are published for the process.
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

// TrafficCounts returns the traffic since the start of the process, in descending order of bytes.
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
