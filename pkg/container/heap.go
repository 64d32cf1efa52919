package container

// Heap is a binary heap that is ordered by a function.
type Heap[T any] struct {
	values []T
	less   func(a, b T) bool
}

// NewHeap returns an empty heap whose first value is the least one by the function less.
func NewHeap[T any](less func(a, b T) bool) *Heap[T] {
	return &Heap[T]{less: less}
}

// Len returns the number of values.
func (h *Heap[T]) Len() int { return len(h.values) }

// Push adds a value.
func (h *Heap[T]) Push(v T) {
	h.values = append(h.values, v)
	h.siftUp(len(h.values) - 1)
}

// Peek returns the first value without removing it; ok is false if the heap is empty.
func (h *Heap[T]) Peek() (v T, ok bool) {
	if len(h.values) == 0 {
		return v, false
	}
	return h.values[0], true
}

// Pop removes and returns the first value; ok is false if the heap is empty.
func (h *Heap[T]) Pop() (v T, ok bool) {
	if len(h.values) == 0 {
		return v, false
	}
	v = h.values[0]
	last := len(h.values) - 1
	h.values[0] = h.values[last]
	var zero T
	h.values[last] = zero
	h.values = h.values[:last]
	h.siftDown(0)
	return v, true
}

func (h *Heap[T]) siftUp(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.values[i], h.values[parent]) {
			return
		}
		h.values[i], h.values[parent] = h.values[parent], h.values[i]
		i = parent
	}
}

func (h *Heap[T]) siftDown(i int) {
	for {
		first := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(h.values); child++ {
			if h.less(h.values[child], h.values[first]) {
				first = child
			}
		}
		if first == i {
			return
		}
		h.values[i], h.values[first] = h.values[first], h.values[i]
		i = first
	}
}
