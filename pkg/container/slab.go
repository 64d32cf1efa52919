package container

// Handle identifies a value of a slab. A handle of a released value never refers to a later value,
// since each use of a slot has its own generation.
type Handle uint64

// handleIndexBits is the width in bits of the index in a handle; the generation has the rest.
const handleIndexBits = 32

func newHandle(index, generation uint32) Handle {
	return Handle(uint64(generation)<<handleIndexBits | uint64(index))
}

func (h Handle) index() uint32      { return uint32(h) }
func (h Handle) generation() uint32 { return uint32(h >> handleIndexBits) }

type slabSlot[T any] struct {
	value      T
	generation uint32
	inUse      bool
}

// Slab keeps values in reused slots and identifies them by handles, so that a lookup is an index
// into a slice and a released value causes no garbage collection.
type Slab[T any] struct {
	slots  []*slabSlot[T]
	free   []uint32
	length int
}

// NewSlab returns an empty slab.
func NewSlab[T any]() *Slab[T] { return &Slab[T]{} }

// Len returns the number of values in use.
func (s *Slab[T]) Len() int { return s.length }

// Acquire returns the value of a free slot and its handle. The value is as its last user left it;
// the caller resets what it needs. The pointer stays valid until Release.
func (s *Slab[T]) Acquire() (Handle, *T) {
	s.length++
	if n := len(s.free); n > 0 {
		i := s.free[n-1]
		s.free = s.free[:n-1]
		p := s.slots[i]
		p.inUse = true
		return newHandle(i, p.generation), &p.value
	}
	p := &slabSlot[T]{generation: 1, inUse: true}
	s.slots = append(s.slots, p)
	return newHandle(uint32(len(s.slots)-1), p.generation), &p.value
}

// Get returns the value of a handle, or nil if it was released.
func (s *Slab[T]) Get(h Handle) *T {
	if int(h.index()) >= len(s.slots) {
		return nil
	}
	p := s.slots[h.index()]
	if !p.inUse || p.generation != h.generation() {
		return nil
	}
	return &p.value
}

// Release frees the slot of a handle. Releasing a handle twice does nothing.
func (s *Slab[T]) Release(h Handle) {
	if s.Get(h) == nil {
		return
	}
	p := s.slots[h.index()]
	p.inUse = false
	p.generation++
	s.free = append(s.free, h.index())
	s.length--
}

// Each calls f with every value in use, in the order of their slots.
func (s *Slab[T]) Each(f func(Handle, *T)) {
	for i, p := range s.slots {
		if p.inUse {
			f(newHandle(uint32(i), p.generation), &p.value)
		}
	}
}
