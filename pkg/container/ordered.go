package container

import "slices"

// Ordered is a map that keeps the order in which its keys came, so that the same events
// always give the same effects. It is meant for small numbers of keys: removing one takes
// time in proportion to them.
type Ordered[K comparable, V any] struct {
	values map[K]V
	keys   []K
}

// NewOrdered returns an empty map.
func NewOrdered[K comparable, V any]() *Ordered[K, V] {
	return &Ordered[K, V]{values: map[K]V{}}
}

// Get returns a key's value, or the zero value.
func (o *Ordered[K, V]) Get(k K) V { return o.values[k] }

// Put sets a key's value; a new key comes last.
func (o *Ordered[K, V]) Put(k K, v V) {
	if _, known := o.values[k]; !known {
		o.keys = append(o.keys, k)
	}
	o.values[k] = v
}

// Delete removes a key, if it is there.
func (o *Ordered[K, V]) Delete(k K) {
	if _, known := o.values[k]; !known {
		return
	}
	delete(o.values, k)
	o.keys = slices.DeleteFunc(o.keys, func(other K) bool { return other == k })
}

// Len returns the number of keys.
func (o *Ordered[K, V]) Len() int { return len(o.keys) }

// Keys returns a copy of the keys, so that they may be removed meanwhile.
func (o *Ordered[K, V]) Keys() []K { return slices.Clone(o.keys) }
