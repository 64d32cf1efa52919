// Package boxlist reads the list of live and leaving boxes that is published by the platform, whose
// load balancer sends calls to the boxes. The list lags behind the boxes' actual state, and a box that
// stopped serving because of an outdated entry would refuse calls that it could serve. So a box that
// is listed as leaving only reports itself as not ready, and continues to serve.
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
	"github.com/madderpond/madderpond/pkg/response"
	"github.com/madderpond/madderpond/pkg/units"
)

// List is the platform's list, as published in JSON.
type List struct {
	Live    []units.BoxID `json:"live"`
	Leaving []units.BoxID `json:"leaving"`
}

// Source is where the list is read from.
type Source interface {
	// Read returns the current list, or an Unavailable or Invalid fault.
	Read() (*List, error)
}

// NewSource returns the source at the location in the settings: a file path or an http:// URL.
func NewSource(location string) Source {
	if strings.HasPrefix(location, "http://") {
		return newHTTPSource(location)
	}
	return &fileSource{path: location}
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

type httpSource struct {
	url    string
	client *fasthttp.Client
}

const (
	// readTimeout bounds one HTTP request to the platform.
	readTimeout = 2 * time.Second
	// maxListBytes bounds the answer to it, far above a list of thousands of boxes.
	maxListBytes = 1 << 20
)

func newHTTPSource(url string) *httpSource {
	return &httpSource{url: url, client: &fasthttp.Client{
		Transport: response.Transport{}, ReadTimeout: readTimeout, MaxResponseBodySize: maxListBytes,
	}}
}

// Read requests the list by HTTP.
func (s *httpSource) Read() (*List, error) {
	request, answer := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(answer)
	request.SetRequestURI(s.url)
	if err := s.client.DoTimeout(request, answer, readTimeout); err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "check platform.list", "the platform doesn't answer with a list")
	}
	if status := answer.StatusCode(); status != fasthttp.StatusOK {
		return nil, fault.New(fault.Unavailable, "check platform.list", "the platform answers with status %d", status)
	}
	return parseList(answer.Body())
}

// parseList parses a list. Entries that aren't non-empty strings are ignored, since other programs
// may have written them; the remaining entries are valid.
func parseList(data []byte) (*List, error) {
	var l struct {
		Live    []json.RawMessage `json:"live"`
		Leaving []json.RawMessage `json:"leaving"`
	}
	if err := json.Unmarshal(data, &l); err != nil {
		return nil, fault.Wrap(err, fault.Invalid, `publish {"live": [...], "leaving": [...]}`, "the platform's list can't be parsed")
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

// Watcher reads the list periodically and keeps the last one.
type Watcher struct {
	*common.Common
	source  Source
	lock    sync.Mutex
	status  Status
	stop    chan struct{}
	stopped chan struct{}
}

// Status is what a watcher has last read, as the administration API's GET /v1/dump returns it.
type Status struct {
	List List `json:"list"`
	// ReadAt is when the list was last read successfully; zero means never.
	ReadAt time.Time `json:"readAt"`
	Error  string    `json:"error,omitempty"`
	// Leaving is set if the list has this box as leaving.
	Leaving bool `json:"leaving"`
}

// NewWatcher returns a watcher of the list that is configured in the settings, or nil if there is
// none.
func NewWatcher(c *common.Common) *Watcher {
	if c.Settings.Platform.List == "" {
		return nil
	}
	return &Watcher{
		Common: c, source: NewSource(c.Settings.Platform.List), stop: make(chan struct{}), stopped: make(chan struct{}),
	}
}

// Start starts to read the list in the background. changed is called whenever this box begins or
// ceases to be listed as leaving.
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

// readOnce reads the list and reports whether this box is listed as leaving and whether that has
// changed. A failure keeps the last list.
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

// Stop stops reading and waits for the background goroutine to end.
func (w *Watcher) Stop() {
	close(w.stop)
	<-w.stopped
}
