package latency

import (
	"sync"
	"time"
)

// KeyedHistograms keeps a histogram for each of many keys, up to a limit: then the one that was used
// least recently makes room. It is safe for concurrent use.
type KeyedHistograms[K comparable] struct {
	precision Precision
	maxKeys   int

	lock    sync.Mutex
	entries map[K]*histogramEntry
	// observations counts what was observed; it orders the pages by their last use.
	observations uint64
}

type histogramEntry struct {
	histogram       *Histogram
	lastObservation uint64
}

// NewKeyedHistograms returns an empty book for at most limit keys.
func NewKeyedHistograms[K comparable](p Precision, limit int) *KeyedHistograms[K] {
	return &KeyedHistograms[K]{precision: p, maxKeys: limit, entries: map[K]*histogramEntry{}}
}

// Observe counts a duration for a key.
func (b *KeyedHistograms[K]) Observe(key K, took time.Duration) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.observations++
	p := b.entries[key]
	if p == nil {
		b.evictLeastRecent()
		p = &histogramEntry{histogram: NewHistogram(b.precision)}
		b.entries[key] = p
	}
	p.lastObservation = b.observations
	p.histogram.Observe(took)
}

func (b *KeyedHistograms[K]) evictLeastRecent() {
	if len(b.entries) < b.maxKeys {
		return
	}
	var oldest K
	least := b.observations
	for key, p := range b.entries {
		if p.lastObservation < least {
			oldest, least = key, p.lastObservation
		}
	}
	delete(b.entries, oldest)
}

// Each calls f for every key, in no order.
func (b *KeyedHistograms[K]) Each(f func(K, Summary)) {
	b.lock.Lock()
	defer b.lock.Unlock()
	for key, p := range b.entries {
		f(key, p.histogram.Summary())
	}
}
