// Package boxlist reads the platform's list of live and leaving boxes. The list
// lags, so it only ever adds caution: a box that stands on it as leaving calls
// itself not ready, and serves on.
package boxlist

import (
	"encoding/json"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/madderpond/madderpond/pkg/common"
	"github.com/madderpond/madderpond/pkg/fault"
	"github.com/madderpond/madderpond/pkg/units"
)

// List is the platform's list as it is published, in JSON.
type List struct {
	Live    []units.BoxID `json:"live"`
	Leaving []units.BoxID `json:"leaving"`
}

// Source is where a list can be read.
type Source interface {
	// Read returns the present list, or an Unavailable or Invalid fault.
	Read() (*List, error)
}

// NewSource returns the source that a setting names: a file or a http URL.
func NewSource(place string) Source {
	if strings.HasPrefix(place, "http://") {
		return &httpSource{url: place}
	}
	return &fileSource{path: place}
}

type fileSource struct{ path string }

// Read reads the file.
func (s *fileSource) Read() (*List, error) {
	data, err := os.ReadFile(s.path)
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "check platform.list", "the platform's list can't be read")
	}
	return parseList(data)
}

type httpSource struct{ url string }

// readTimeout is how long the platform may take to answer.
const readTimeout = 2 * time.Second

// Read asks the platform.
func (s *httpSource) Read() (*List, error) {
	status, data, err := fasthttp.GetTimeout(nil, s.url, readTimeout)
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "check platform.list", "the platform doesn't answer")
	}
	if status != fasthttp.StatusOK {
		return nil, fault.New(fault.Unavailable, "check platform.list", "the platform answers %d", status)
	}
	return parseList(data)
}

// parseList reads a list. An entry that isn't a name is another writer's and names no box; the others
// hold.
func parseList(data []byte) (*List, error) {
	var l struct {
		Live    []json.RawMessage `json:"live"`
		Leaving []json.RawMessage `json:"leaving"`
	}
	if err := json.Unmarshal(data, &l); err != nil {
		return nil, fault.Wrap(err, fault.Invalid, `publish {"live": [...], "leaving": [...]}`, "the platform's list can't be understood")
	}
	return &List{Live: boxIDs(l.Live), Leaving: boxIDs(l.Leaving)}, nil
}

func boxIDs(entries []json.RawMessage) []units.BoxID {
	var names []units.BoxID
	for _, entry := range entries {
		var name units.BoxID
		if json.Unmarshal(entry, &name) == nil && name != "" {
			names = append(names, name)
		}
	}
	return names
}

// Watcher reads the list again and again and keeps the last one.
type Watcher struct {
	*common.Common
	source  Source
	lock    sync.Mutex
	status  Status
	stop    chan struct{}
	stopped chan struct{}
}

// Status is what a watcher last read, as the dump shows it.
type Status struct {
	List List `json:"list"`
	// ReadAt is when the list was last read; zero means never.
	ReadAt time.Time `json:"readAt"`
	Error  string    `json:"error,omitempty"`
	// Leaving is set when the list has this box as leaving.
	Leaving bool `json:"leaving"`
}

// NewWatcher returns a watcher of the list that the settings name. It returns nil
// when they name none.
func NewWatcher(c *common.Common) *Watcher {
	if c.Settings.Platform.List == "" {
		return nil
	}
	return &Watcher{
		Common: c, source: NewSource(c.Settings.Platform.List), stop: make(chan struct{}), stopped: make(chan struct{}),
	}
}

// Start begins to read. changed is called whenever this box begins or ceases to
// be listed as leaving.
func (w *Watcher) Start(changed func(leaving bool)) {
	go w.run(changed)
}

func (w *Watcher) run(changed func(bool)) {
	defer close(w.stopped)
	ticker := time.NewTicker(w.Settings.Platform.Every.Std())
	defer ticker.Stop()
	for {
		if leaving, differs := w.readOnce(); differs {
			changed(leaving)
		}
		select {
		case <-w.stop:
			return
		case <-ticker.C:
		}
	}
}

// readOnce reads the list; a failure keeps the last one.
func (w *Watcher) readOnce() (leaving, differs bool) {
	list, err := w.source.Read()
	w.lock.Lock()
	defer w.lock.Unlock()
	if err != nil {
		w.status.Error = err.Error()
		return w.status.Leaving, false
	}
	for _, b := range list.Leaving {
		leaving = leaving || string(b) == w.Settings.Box
	}
	differs = leaving != w.status.Leaving
	w.status = Status{List: *list, ReadAt: time.Now().UTC(), Leaving: leaving}
	return leaving, differs
}

// Status returns what was last read.
func (w *Watcher) Status() Status {
	w.lock.Lock()
	defer w.lock.Unlock()
	return w.status
}

// Stop ends the reading.
func (w *Watcher) Stop() {
	close(w.stop)
	<-w.stopped
}
