// Package container holds the small generic containers that the decision logic
// shares. None of them is safe for concurrent use.
package container

// Ring is a ring buffer of the last values pushed, up to a fixed number.
type Ring[T any] struct {
	values []T
	start  int
	limit  int
}

// NewRing returns an empty ring for at most limit values; limit must be positive.
func NewRing[T any](limit int) *Ring[T] {
	return &Ring[T]{limit: limit}
}

// Push adds a value, dropping the oldest when the ring is full.
func (r *Ring[T]) Push(v T) {
	if len(r.values) < r.limit {
		r.values = append(r.values, v)
		return
	}
	r.values[r.start] = v
	r.start = (r.start + 1) % r.limit
}

// Len returns the number of values kept.
func (r *Ring[T]) Len() int { return len(r.values) }

// At returns the i-th value, counted from the oldest, which has index zero.
func (r *Ring[T]) At(i int) T {
	return r.values[(r.start+i)%len(r.values)]
}

// All returns a copy of the values, oldest first.
func (r *Ring[T]) All() []T {
	all := make([]T, 0, len(r.values))
	for i := range r.values {
		all = append(all, r.At(i))
	}
	return all
}
