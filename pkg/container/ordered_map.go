package container

import "slices"

// OrderedMap is a map that keeps the order in which its keys came, so that the same events
// always give the same effects. It is meant for small numbers of keys: removing one takes
// time in proportion to them.
type OrderedMap[K comparable, V any] struct {
	values map[K]V
	keys   []K
}

// NewOrderedMap returns an empty map.
func NewOrderedMap[K comparable, V any]() *OrderedMap[K, V] {
	return &OrderedMap[K, V]{values: map[K]V{}}
}

// Get returns a key's value, or the zero value.
func (o *OrderedMap[K, V]) Get(k K) V { return o.values[k] }

// Put sets a key's value; a new key comes last.
func (o *OrderedMap[K, V]) Put(k K, v V) {
	if _, known := o.values[k]; !known {
		o.keys = append(o.keys, k)
	}
	o.values[k] = v
}

// Delete removes a key, if it is there.
func (o *OrderedMap[K, V]) Delete(k K) {
	if _, known := o.values[k]; !known {
		return
	}
	delete(o.values, k)
	o.keys = slices.DeleteFunc(o.keys, func(other K) bool { return other == k })
}

// Len returns the number of keys.
func (o *OrderedMap[K, V]) Len() int { return len(o.keys) }

// Keys returns a copy of the keys, so that they may be removed meanwhile.
func (o *OrderedMap[K, V]) Keys() []K { return slices.Clone(o.keys) }
