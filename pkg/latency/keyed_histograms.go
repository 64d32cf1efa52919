package latency

import (
	"sync"
	"time"
)

// KeyedHistograms keeps a histogram for each key, up to a maximum number of keys. Beyond it, the
// least recently observed key is evicted. It is safe for concurrent use.
type KeyedHistograms[K comparable] struct {
	precision Precision
	maxKeys   int

	lock    sync.Mutex
	entries map[K]*histogramEntry
	// observations is the number of observations so far; it orders the entries by their last one.
	observations uint64
}

type histogramEntry struct {
	histogram       *Histogram
	lastObservation uint64
}

// NewKeyedHistograms returns an empty set of histograms for at most maxKeys keys.
func NewKeyedHistograms[K comparable](p Precision, maxKeys int) *KeyedHistograms[K] {
	return &KeyedHistograms[K]{precision: p, maxKeys: maxKeys, entries: map[K]*histogramEntry{}}
}

// Observe records a duration for a key.
func (k *KeyedHistograms[K]) Observe(key K, d time.Duration) {
	k.lock.Lock()
	defer k.lock.Unlock()
	k.observations++
	e := k.entries[key]
	if e == nil {
		k.evictLeastRecent()
		e = &histogramEntry{histogram: NewHistogram(k.precision)}
		k.entries[key] = e
	}
	e.lastObservation = k.observations
	e.histogram.Observe(d)
}

func (k *KeyedHistograms[K]) evictLeastRecent() {
	if len(k.entries) < k.maxKeys {
		return
	}
	var oldest K
	least := k.observations
	for key, e := range k.entries {
		if e.lastObservation < least {
			oldest, least = key, e.lastObservation
		}
	}
	delete(k.entries, oldest)
}

// Each calls f with the summary of every key, in no particular order.
func (k *KeyedHistograms[K]) Each(f func(K, Summary)) {
	k.lock.Lock()
	defer k.lock.Unlock()
	for key, e := range k.entries {
		f(key, e.histogram.Summary())
	}
}
