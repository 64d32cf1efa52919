package test

import "sync"

// workers do things side by side until they are stopped.
type workers struct {
	done chan struct{}
	work sync.WaitGroup
}

func newWorkers() workers { return workers{done: make(chan struct{})} }

// spawn does something beside the others.
func (w *workers) spawn(f func()) {
	w.work.Add(1)
	go func() {
		defer w.work.Done()
		f()
	}()
}

// repeat does something again and again until the workers are stopped.
func (w *workers) repeat(f func()) {
	w.spawn(func() {
		for !w.stopped() {
			f()
		}
	})
}

// stopped tells whether the workers are to end.
func (w *workers) stopped() bool {
	select {
	case <-w.done:
		return true
	default:
		return false
	}
}

// stop ends the workers and waits for them; it may be called twice.
func (w *workers) stop() {
	if !w.stopped() {
		close(w.done)
	}
	w.work.Wait()
}
