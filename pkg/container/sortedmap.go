package container

import (
	"cmp"
	"iter"
	"slices"
)

// SortedMap is an immutable sorted map, a B+ tree. Put and Delete return new maps, which share with it
// all nodes but those on the path to the key. The zero value is an empty map.
type SortedMap[K cmp.Ordered, V any] struct {
	root   *mapNode[K, V]
	length int
}

// mapNode is a node of a tree whose leaves all have the same depth. An inner node has a key for each
// child: a lower bound of the keys below the child, which need not be a key of the map any more.
type mapNode[K cmp.Ordered, V any] struct {
	keys     []K
	values   []V
	children []*mapNode[K, V]
}

// mapFanout is the maximum number of keys or children of a node. A change copies one node of each
// level: small nodes make changes cheap, and large ones make the tree flat.
const mapFanout = 32

// builtNodeSize is the number of keys or children of a node in a map that is built by SortedMapOf. It
// leaves room for later keys.
const builtNodeSize = mapFanout * 3 / 4

// SortedMapOf returns the map of the keys, which must be in ascending order, and their values. It is
// cheaper than a Put for each key.
func SortedMapOf[K cmp.Ordered, V any](keys []K, values []V) SortedMap[K, V] {
	var level []*mapNode[K, V]
	for i := 0; i < len(keys); i += builtNodeSize {
		end := min(i+builtNodeSize, len(keys))
		level = append(level, &mapNode[K, V]{keys: slices.Clip(keys[i:end]), values: slices.Clip(values[i:end])})
	}
	for len(level) > 1 {
		level = parentLevel(level)
	}
	m := SortedMap[K, V]{length: len(keys)}
	if len(level) > 0 {
		m.root = level[0]
	}
	return m
}

// parentLevel returns the parents of a level of nodes.
func parentLevel[K cmp.Ordered, V any](nodes []*mapNode[K, V]) []*mapNode[K, V] {
	var level []*mapNode[K, V]
	for children := range slices.Chunk(nodes, builtNodeSize) {
		n := &mapNode[K, V]{children: slices.Clip(children)}
		for _, c := range children {
			n.keys = append(n.keys, c.keys[0])
		}
		level = append(level, n)
	}
	return level
}

// Len returns the number of keys.
func (m SortedMap[K, V]) Len() int { return m.length }

// Get returns a key's value, and whether the key exists.
func (m SortedMap[K, V]) Get(k K) (V, bool) {
	for n := m.root; n != nil; {
		if n.children != nil {
			n = n.children[n.childIndex(k)]
			continue
		}
		if i, found := slices.BinarySearch(n.keys, k); found {
			return n.values[i], true
		}
		break
	}
	var none V
	return none, false
}

// childIndex returns the index of the child that a key belongs to.
func (n *mapNode[K, V]) childIndex(k K) int {
	i, found := slices.BinarySearch(n.keys, k)
	if found {
		return i
	}
	return max(0, i-1)
}

// All iterates over the keys and values in the order of the keys.
func (m SortedMap[K, V]) All() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) { m.root.each(yield) }
}

// Values iterates over the values in the order of their keys.
func (m SortedMap[K, V]) Values() iter.Seq[V] {
	return func(yield func(V) bool) {
		m.root.each(func(_ K, v V) bool { return yield(v) })
	}
}

func (n *mapNode[K, V]) each(yield func(K, V) bool) bool {
	if n == nil {
		return true
	}
	for _, c := range n.children {
		if !c.each(yield) {
			return false
		}
	}
	for i, v := range n.values {
		if !yield(n.keys[i], v) {
			return false
		}
	}
	return true
}

// Put returns a map with a key's value set.
func (m SortedMap[K, V]) Put(k K, v V) SortedMap[K, V] {
	if m.root == nil {
		return SortedMap[K, V]{root: &mapNode[K, V]{keys: []K{k}, values: []V{v}}, length: 1}
	}
	nodes, added := m.root.put(k, v)
	next := SortedMap[K, V]{root: nodes[0], length: m.length}
	if added {
		next.length++
	}
	if len(nodes) > 1 {
		next.root = &mapNode[K, V]{keys: []K{nodes[0].keys[0], nodes[1].keys[0]}, children: nodes}
	}
	return next
}

// put returns the one or two nodes that replace n, and whether the key is new.
func (n *mapNode[K, V]) put(k K, v V) (nodes []*mapNode[K, V], added bool) {
	if n.children == nil {
		return n.putLeaf(k, v)
	}
	i := n.childIndex(k)
	below, added := n.children[i].put(k, v)
	next := &mapNode[K, V]{keys: slices.Clone(n.keys), children: slices.Clone(n.children)}
	next.children[i] = below[0]
	next.keys[i] = min(next.keys[i], k)
	if len(below) > 1 {
		next.children = slices.Insert(next.children, i+1, below[1])
		next.keys = slices.Insert(next.keys, i+1, below[1].keys[0])
	}
	return next.split(), added
}

func (n *mapNode[K, V]) putLeaf(k K, v V) (nodes []*mapNode[K, V], added bool) {
	i, found := slices.BinarySearch(n.keys, k)
	if found {
		next := &mapNode[K, V]{keys: n.keys, values: slices.Clone(n.values)}
		next.values[i] = v
		return []*mapNode[K, V]{next}, false
	}
	next := &mapNode[K, V]{keys: withInserted(n.keys, i, k), values: withInserted(n.values, i, v)}
	return next.split(), true
}

// withInserted returns a copy of a list with a value inserted at index i.
func withInserted[T any](list []T, i int, x T) []T { return slices.Concat(list[:i], []T{x}, list[i:]) }

// split splits a node that has become too large. The node must not be shared with a map yet.
func (n *mapNode[K, V]) split() []*mapNode[K, V] {
	if len(n.keys) <= mapFanout {
		return []*mapNode[K, V]{n}
	}
	half := len(n.keys) / 2
	left := &mapNode[K, V]{keys: slices.Clip(n.keys[:half])}
	right := &mapNode[K, V]{keys: slices.Clone(n.keys[half:])}
	if n.children != nil {
		left.children, right.children = slices.Clip(n.children[:half]), slices.Clone(n.children[half:])
	} else {
		left.values, right.values = slices.Clip(n.values[:half]), slices.Clone(n.values[half:])
	}
	return []*mapNode[K, V]{left, right}
}

// Delete returns a map without a key.
func (m SortedMap[K, V]) Delete(k K) SortedMap[K, V] {
	if _, found := m.Get(k); !found {
		return m
	}
	next := SortedMap[K, V]{root: m.root.withoutKey(k), length: m.length - 1}
	for next.root != nil && len(next.root.children) == 1 {
		next.root = next.root.children[0]
	}
	return next
}

// withoutKey returns the node without a key that exists below it, or nil if nothing is left. Small
// nodes aren't merged, since later keys fill them.
func (n *mapNode[K, V]) withoutKey(k K) *mapNode[K, V] {
	if n.children == nil {
		i, _ := slices.BinarySearch(n.keys, k)
		if len(n.keys) == 1 {
			return nil
		}
		return &mapNode[K, V]{keys: withoutIndex(n.keys, i), values: withoutIndex(n.values, i)}
	}
	i := n.childIndex(k)
	below := n.children[i].withoutKey(k)
	if below != nil {
		next := &mapNode[K, V]{keys: n.keys, children: slices.Clone(n.children)}
		next.children[i] = below
		return next
	}
	if len(n.children) == 1 {
		return nil
	}
	return &mapNode[K, V]{keys: withoutIndex(n.keys, i), children: withoutIndex(n.children, i)}
}

// withoutIndex returns a copy of a list without the value at index i.
func withoutIndex[T any](list []T, i int) []T { return slices.Concat(list[:i], list[i+1:]) }
