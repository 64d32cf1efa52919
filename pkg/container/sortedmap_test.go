package container

import (
	"maps"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// A sorted map must have the same content as a built-in map after the same changes, and maps from before
// a change must stay unchanged.
func TestSortedMapFollowsAMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		most := rapid.SampledFrom([]int{5, 100, 3000}).Draw(t, "keys")
		var m SortedMap[int, int]
		model := map[int]int{}
		earlier, earlierModel := m, maps.Clone(model)
		for range rapid.IntRange(0, 300).Draw(t, "steps") {
			first := rapid.IntRange(0, most).Draw(t, "first")
			run := rapid.IntRange(1, 40).Draw(t, "run")
			value := rapid.IntRange(0, 3).Draw(t, "value")
			deletes := rapid.Bool().Draw(t, "deletes")
			for k := first; k < first+run; k++ {
				if deletes {
					m = m.Delete(k)
					delete(model, k)
				} else {
					m = m.Put(k, value)
					model[k] = value
				}
			}
			if rapid.IntRange(0, 9).Draw(t, "keep") == 0 {
				earlier, earlierModel = m, maps.Clone(model)
			}
		}
		checkSortedMap(t, m, model)
		checkSortedMap(t, earlier, earlierModel)
		checkDifference(t, earlier, m, earlierModel, model)
	})
}

func checkSortedMap(t *rapid.T, m SortedMap[int, int], model map[int]int) {
	if m.Len() != len(model) {
		t.Fatalf("%d keys, not %d", m.Len(), len(model))
	}
	var keys []int
	for k, v := range m.All() {
		keys = append(keys, k)
		if got, found := m.Get(k); !found || got != v || model[k] != v {
			t.Fatalf("key %d has %d and %d, not %d", k, v, got, model[k])
		}
	}
	if want := slices.Sorted(maps.Keys(model)); !slices.Equal(keys, want) {
		t.Fatalf("the keys are %v, not %v", keys, want)
	}
}

func checkDifference(t *rapid.T, from, to SortedMap[int, int], before, after map[int]int) {
	next := maps.Clone(before)
	last := -1
	Difference(from, to, func(a, b int) bool { return a == b },
		func(k int) {
			if _, found := next[k]; !found || k <= last {
				t.Fatalf("key %d is removed after %d", k, last)
			}
			last = k
			delete(next, k)
		},
		func(k, v int) {
			if old, found := next[k]; found && old == v || k <= last {
				t.Fatalf("key %d is put after %d though it doesn't differ, or out of order", k, last)
			}
			last = k
			next[k] = v
		})
	if d := cmp.Diff(after, next); d != "" {
		t.Fatal(d)
	}
}

func filledMap(size int) SortedMap[int, int] {
	var m SortedMap[int, int]
	for k := range size {
		m = m.Put(k, k)
	}
	return m
}

// The allocations of a change and of its difference must not grow in proportion to the size of the
// map. They may grow with the additional tree levels of a larger map: up to threefold for a map of
// a hundred times as many keys.
func TestChangesOfSortedMapsDontGrowWithThem(t *testing.T) {
	const maxGrowthFactor = 3
	cost := func(size int) float64 {
		m := filledMap(size)
		return testing.AllocsPerRun(100, func() {
			next := m.Put(size/2, -1)
			Difference(m, next, func(a, b int) bool { return a == b }, func(int) {}, func(int, int) {})
		})
	}
	small, large := cost(1_000), cost(100_000)
	if large > maxGrowthFactor*small {
		t.Errorf("%v allocations at 1,000 keys, %v at 100,000", small, large)
	}
}

// BenchmarkSortedMapPut measures setting an existing key of a large map.
func BenchmarkSortedMapPut(b *testing.B) {
	m := filledMap(10_000)
	b.ReportAllocs()
	for i := range b.N {
		m.Put(i%10_000, -1)
	}
}
