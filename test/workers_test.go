package test

import "sync"

// workers run functions concurrently until they are stopped.
type workers struct {
	done chan struct{}
	work sync.WaitGroup
}

func newWorkers() workers { return workers{done: make(chan struct{})} }

// spawn runs a function in a goroutine.
func (w *workers) spawn(f func()) {
	w.work.Add(1)
	go func() {
		defer w.work.Done()
		f()
	}()
}

// repeat runs a function repeatedly until the workers are stopped.
func (w *workers) repeat(f func()) {
	w.spawn(func() {
		for !w.stopped() {
			f()
		}
	})
}

// stopped reports whether the workers were told to stop.
func (w *workers) stopped() bool {
	select {
	case <-w.done:
		return true
	default:
		return false
	}
}

// stop ends the workers and waits for them; it may be called again.
func (w *workers) stop() {
	if !w.stopped() {
		close(w.done)
	}
	w.work.Wait()
}
