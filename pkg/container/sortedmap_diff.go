package container

import "cmp"

// Difference calls removed and put for the changes that lead from one map to another, in the order of
// the keys. If one map was derived from the other, it takes time in proportion to the changes.
func Difference[K cmp.Ordered, V any](from, to SortedMap[K, V], equal func(a, b V) bool, removed func(K), put func(K, V)) {
	before, after := differingLeaves(from.root, to.root)
	a, b := newMapCursor(before), newMapCursor(after)
	for a.valid() || b.valid() {
		switch {
		case !b.valid() || a.valid() && a.key() < b.key():
			removed(a.key())
			a.next()
		case !a.valid() || b.key() < a.key():
			put(b.key(), b.value())
			b.next()
		default:
			if !equal(a.value(), b.value()) {
				put(b.key(), b.value())
			}
			a.next()
			b.next()
		}
	}
}

// differingLeaves returns the leaves that the two trees don't share.
func differingLeaves[K cmp.Ordered, V any](from, to *mapNode[K, V]) (before, after []*mapNode[K, V]) {
	before, after = appendNode(before, from), appendNode(after, to)
	for {
		before, after = dropShared(before, after)
		deepBefore, deepAfter := depthOf(before), depthOf(after)
		if deepBefore == 0 && deepAfter == 0 {
			return before, after
		}
		if deepBefore >= deepAfter {
			before = childrenOf(before)
		}
		if deepAfter >= deepBefore {
			after = childrenOf(after)
		}
	}
}

func appendNode[K cmp.Ordered, V any](list []*mapNode[K, V], n *mapNode[K, V]) []*mapNode[K, V] {
	if n == nil {
		return list
	}
	return append(list, n)
}

// dropShared drops the nodes that are in both lists, since there is no difference below them.
func dropShared[K cmp.Ordered, V any](a, b []*mapNode[K, V]) (onlyA, onlyB []*mapNode[K, V]) {
	shared := make(map[*mapNode[K, V]]bool, len(a))
	for _, n := range a {
		shared[n] = false
	}
	for _, n := range b {
		if _, found := shared[n]; found {
			shared[n] = true
			continue
		}
		onlyB = append(onlyB, n)
	}
	for _, n := range a {
		if !shared[n] {
			onlyA = append(onlyA, n)
		}
	}
	return onlyA, onlyB
}

// depthOf returns how many levels are below the nodes of a list, which all have the same depth.
func depthOf[K cmp.Ordered, V any](list []*mapNode[K, V]) int {
	if len(list) == 0 {
		return 0
	}
	depth := 0
	for n := list[0]; n.children != nil; n = n.children[0] {
		depth++
	}
	return depth
}

func childrenOf[K cmp.Ordered, V any](list []*mapNode[K, V]) []*mapNode[K, V] {
	var children []*mapNode[K, V]
	for _, n := range list {
		children = append(children, n.children...)
	}
	return children
}

// mapCursor iterates over the keys of a list of leaves.
type mapCursor[K cmp.Ordered, V any] struct {
	leaves []*mapNode[K, V]
	index  int
}

func newMapCursor[K cmp.Ordered, V any](leaves []*mapNode[K, V]) *mapCursor[K, V] {
	return &mapCursor[K, V]{leaves: leaves}
}

func (c *mapCursor[K, V]) valid() bool { return len(c.leaves) > 0 }
func (c *mapCursor[K, V]) key() K      { return c.leaves[0].keys[c.index] }
func (c *mapCursor[K, V]) value() V    { return c.leaves[0].values[c.index] }

func (c *mapCursor[K, V]) next() {
	c.index++
	if c.index == len(c.leaves[0].keys) {
		c.leaves, c.index = c.leaves[1:], 0
	}
}
