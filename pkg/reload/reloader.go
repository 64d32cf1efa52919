// Package reload applies a changed settings file to a running process, as far as that is possible
// without a restart.
package reload

import (
	"os"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/madderpond/madderpond/pkg/config"
	"github.com/madderpond/madderpond/pkg/fault"
)

// pollInterval is how often the file is checked, since it may change without a signal.
const pollInterval = time.Second

// Source is where the settings are read from.
type Source struct {
	// Path is the settings file.
	Path string
	// Load reads and validates the file; its error is a Settings fault.
	Load func(path string) (*config.Settings, error)
}

// Apply applies the fields of new settings that can change without a restart.
type Apply func(*config.Settings)

// Status is the state of the settings file and of the settings in force.
type Status struct {
	File string `json:"file"`
	// InForce are the settings that the process uses.
	InForce *config.Settings `json:"inForce"`
	// PendingRestart are the fields that differ in the file and need a restart to be applied.
	PendingRestart []string `json:"waiting"`
	// Refused is the error for which the file in its current state was rejected, if it was.
	Refused string `json:"refused,omitempty"`
	// ReadAt is when the file was last read.
	ReadAt time.Time `json:"readAt"`
}

// fileStamp identifies a version of a file, to detect that it was written. It is zero for a
// missing file.
type fileStamp struct {
	modified time.Time
	size     int64
}

// Reloader keeps a process's settings up to date.
type Reloader struct {
	log    *logrus.Entry
	source Source
	apply  Apply

	lock           sync.Mutex
	inForce        *config.Settings
	pendingRestart []string
	refused        error
	readAt         time.Time
	stamp          fileStamp
}

// NewReloader returns a reloader for settings that are already in force.
func NewReloader(log *logrus.Entry, inForce *config.Settings, source Source, apply Apply) *Reloader {
	r := &Reloader{log: log, source: source, apply: apply, inForce: inForce, readAt: time.Now()}
	r.stamp = r.readStamp()
	return r
}

// Run reads the file again on each signal, and whenever it has changed, until done is closed.
func (r *Reloader) Run(signals <-chan os.Signal, done <-chan struct{}) {
	ticker := time.NewTicker(pollInterval)
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

// reloadIfChanged reads the file if it was written since it was last read. A missing file is
// ignored until the next signal, since it may be about to be replaced.
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

// Reload reads the file and applies what can change without a restart. An invalid file is rejected
// as a whole, and the settings in force stay.
func (r *Reloader) Reload() {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.stamp = r.readStamp()
	r.readAt = time.Now()
	next, err := r.source.Load(r.source.Path)
	r.refused = err
	if err != nil {
		r.log.WithError(err).WithFields(logrus.Fields{"kind": "reload-refused", "file": r.source.Path, "remedy": fault.RemedyOf(err)}).
			Warn("rejected the changed settings file; the settings in force stay")
		return
	}
	r.applyRunning(next)
}

// applyRunning applies the fields that can change without a restart, and lists the others as
// pending.
func (r *Reloader) applyRunning(next *config.Settings) {
	var applied []string
	r.pendingRestart = nil
	for _, d := range config.Differences(r.inForce, next) {
		if d.Reloadable {
			applied = append(applied, d.Path)
		} else {
			r.pendingRestart = append(r.pendingRestart, d.Path)
		}
	}
	merged := config.MergeReloadable(r.inForce, next)
	r.inForce = merged
	if len(applied) > 0 {
		r.apply(merged)
	}
	r.log.WithFields(logrus.Fields{"kind": "reload", "file": r.source.Path, "taken": applied, "waiting": r.pendingRestart}).
		Info("read the settings file again; the fields listed as waiting need a restart")
}

// Status returns the state of the settings file.
func (r *Reloader) Status() Status {
	r.lock.Lock()
	defer r.lock.Unlock()
	s := Status{File: r.source.Path, InForce: r.inForce, PendingRestart: r.pendingRestart, ReadAt: r.readAt.UTC()}
	if r.refused != nil {
		s.Refused = r.refused.Error()
	}
	return s
}
