package latency

import (
	"sync"
	"time"
)

// Book keeps a histogram for each of many keys, up to a limit: then the one that was used
// least recently makes room. It is safe for concurrent use.
type Book[K comparable] struct {
	precision Precision
	limit     int

	lock  sync.Mutex
	pages map[K]*page
	// uses counts what was observed; it orders the pages by their last use.
	uses uint64
}

type page struct {
	histogram *Histogram
	lastUse   uint64
}

// NewBook returns an empty book for at most limit keys.
func NewBook[K comparable](p Precision, limit int) *Book[K] {
	return &Book[K]{precision: p, limit: limit, pages: map[K]*page{}}
}

// Observe counts a duration for a key.
func (b *Book[K]) Observe(key K, took time.Duration) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.uses++
	p := b.pages[key]
	if p == nil {
		b.makeRoom()
		p = &page{histogram: NewHistogram(b.precision)}
		b.pages[key] = p
	}
	p.lastUse = b.uses
	p.histogram.Observe(took)
}

func (b *Book[K]) makeRoom() {
	if len(b.pages) < b.limit {
		return
	}
	var oldest K
	least := b.uses
	for key, p := range b.pages {
		if p.lastUse < least {
			oldest, least = key, p.lastUse
		}
	}
	delete(b.pages, oldest)
}

// Each calls f for every key, in no order.
func (b *Book[K]) Each(f func(K, Summary)) {
	b.lock.Lock()
	defer b.lock.Unlock()
	for key, p := range b.pages {
		f(key, p.histogram.Summary())
	}
}
