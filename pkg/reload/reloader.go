// Package reload has a running process take a changed settings file, as far as that is
// possible without a restart.
package reload

import (
	"os"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/madderpond/madderpond/pkg/config"
	"github.com/madderpond/madderpond/pkg/fault"
)

// pollEvery is how often the file is looked at: it may change without a signal.
const pollEvery = time.Second

// Source is where the settings come from.
type Source struct {
	// Path is the settings file.
	Path string
	// Load reads and checks it; its error is a Settings fault.
	Load func(path string) (*config.Settings, error)
}

// Apply takes the fields of new settings that a running process can take.
type Apply func(*config.Settings)

// Status is what became of the settings file since the start.
type Status struct {
	File string `json:"file"`
	// InForce are the settings that the process works with.
	InForce *config.Settings `json:"inForce"`
	// Waiting are the fields of the file that differ and take a restart.
	Waiting []string `json:"waiting"`
	// Refused says why the file as it stands isn't taken.
	Refused string `json:"refused,omitempty"`
	// ReadAt is when the file was read last.
	ReadAt time.Time `json:"readAt"`
}

// fileStamp tells whether a file has been written since.
type fileStamp struct {
	modified time.Time
	size     int64
}

// Reloader keeps a process's settings up to date.
type Reloader struct {
	log    *logrus.Entry
	source Source
	apply  Apply

	lock    sync.Mutex
	inForce *config.Settings
	waiting []string
	refused error
	readAt  time.Time
	stamp   fileStamp
}

// NewReloader returns a reloader of settings that are in force already.
func NewReloader(log *logrus.Entry, inForce *config.Settings, source Source, apply Apply) *Reloader {
	r := &Reloader{log: log, source: source, apply: apply, inForce: inForce, readAt: time.Now()}
	r.stamp = r.readStamp()
	return r
}

// Run reads the file again with each signal, and whenever it has changed, until done is
// closed.
func (r *Reloader) Run(signals <-chan os.Signal, done <-chan struct{}) {
	ticker := time.NewTicker(pollEvery)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-signals:
			r.Reload()
		case <-ticker.C:
			r.reloadIfChanged()
		}
	}
}

// reloadIfChanged reads a file that has been written since it was read last. One that
// can't be found is left to the next signal: it may be about to be replaced.
func (r *Reloader) reloadIfChanged() {
	stamp := r.readStamp()
	if stamp == r.stamp || stamp == (fileStamp{}) {
		return
	}
	r.Reload()
}

func (r *Reloader) readStamp() fileStamp {
	info, err := os.Stat(r.source.Path)
	if err != nil {
		return fileStamp{}
	}
	return fileStamp{modified: info.ModTime(), size: info.Size()}
}

// Reload reads the file and takes what a running process can take. A file with a fault is
// refused as a whole, and the settings in force stay.
func (r *Reloader) Reload() {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.stamp = r.readStamp()
	r.readAt = time.Now()
	next, err := r.source.Load(r.source.Path)
	r.refused = err
	if err != nil {
		r.log.WithError(err).WithFields(logrus.Fields{"kind": "reload-refused", "file": r.source.Path, "remedy": fault.RemedyOf(err)}).
			Warn("the changed settings can't be used; those in force stay")
		return
	}
	r.take(next)
}

func (r *Reloader) take(next *config.Settings) {
	var taken []string
	r.waiting = nil
	for _, d := range config.Differences(r.inForce, next) {
		if d.Reloadable {
			taken = append(taken, d.Path)
		} else {
			r.waiting = append(r.waiting, d.Path)
		}
	}
	merged := config.MergeReloadable(r.inForce, next)
	r.inForce = merged
	if len(taken) > 0 {
		r.apply(merged)
	}
	r.log.WithFields(logrus.Fields{"kind": "reload", "file": r.source.Path, "taken": taken, "waiting": r.waiting}).
		Info("the settings have been read again; what waits takes a restart")
}

// Status returns what became of the settings file.
func (r *Reloader) Status() Status {
	r.lock.Lock()
	defer r.lock.Unlock()
	s := Status{File: r.source.Path, InForce: r.inForce, Waiting: r.waiting, ReadAt: r.readAt.UTC()}
	if r.refused != nil {
		s.Refused = r.refused.Error()
	}
	return s
}
