package container

import "slices"

// OrderedMap is a map that keeps the insertion order of its keys, so that the same events always
// have the same effects. It is meant for small numbers of keys, since deleting one takes linear
// time.
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

// Put sets a key's value; a new key is added at the end.
func (o *OrderedMap[K, V]) Put(k K, v V) {
	if _, known := o.values[k]; !known {
		o.keys = append(o.keys, k)
	}
	o.values[k] = v
}

// Delete removes a key, if it exists.
func (o *OrderedMap[K, V]) Delete(k K) {
	if _, known := o.values[k]; !known {
		return
	}
	delete(o.values, k)
	o.keys = slices.DeleteFunc(o.keys, func(other K) bool { return other == k })
}

// Len returns the number of keys.
func (o *OrderedMap[K, V]) Len() int { return len(o.keys) }

// Keys returns a copy of the keys in insertion order, so that a caller may delete keys while it
// iterates over them.
func (o *OrderedMap[K, V]) Keys() []K { return slices.Clone(o.keys) }
