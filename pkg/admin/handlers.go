package admin

import (
	"bytes"
	"encoding/json"
	"io"
	"runtime"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/madderpond/madderpond/pkg/boxlist"
	"github.com/madderpond/madderpond/pkg/config"
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/entry"
	"github.com/madderpond/madderpond/pkg/fault"
	"github.com/madderpond/madderpond/pkg/replica"
	"github.com/madderpond/madderpond/pkg/units"
)

func (s *Server) live(ctx *fasthttp.RequestCtx) error {
	ctx.SetBodyString("live\n")
	return nil
}

// ready answers 200 while the platform should send calls to this process: while its entry is
// ready or, without an entry, while its replica knows a leader.
func (s *Server) ready(ctx *fasthttp.RequestCtx) error {
	if s.entry != nil && s.entry.Ready() || s.entry == nil && s.replica.Leader() != "" {
		ctx.SetBodyString("ready\n")
		return nil
	}
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	ctx.SetBodyString("not ready\n")
	return nil
}

// leaving answers 200 during a planned stop.
func (s *Server) leaving(ctx *fasthttp.RequestCtx) error {
	if s.entry != nil && s.entry.Leaving() {
		ctx.SetBodyString("leaving\n")
		return nil
	}
	ctx.SetStatusCode(fasthttp.StatusNotFound)
	ctx.SetBodyString("staying\n")
	return nil
}

// requireReplica returns an Invalid fault if this process has no control replica.
func (s *Server) requireReplica() error {
	if s.replica != nil {
		return nil
	}
	return fault.New(fault.Invalid, "ask a box that has the role control", "this process is no control replica")
}

// UnconfirmedHeader is set on a response whose table may not be the newest.
const UnconfirmedHeader = "X-Madderpond-Unconfirmed"

// getTable returns the newest table. Without a leader it returns the replica's own with
// UnconfirmedHeader, since it may be all that is left of the table.
func (s *Server) getTable(ctx *fasthttp.RequestCtx) error {
	if err := s.requireReplica(); err != nil {
		return err
	}
	t, err := s.replica.ReadTable()
	if err != nil {
		s.Log.WithError(err).Info("table returned without the leader's word")
		ctx.Response.Header.Set(UnconfirmedHeader, "true")
		t = s.replica.Table()
	}
	return writeJSON(ctx, t)
}

func (s *Server) getHistory(ctx *fasthttp.RequestCtx) error {
	if err := s.requireReplica(); err != nil {
		return err
	}
	return writeJSON(ctx, s.replica.History())
}

func (s *Server) postEdit(ctx *fasthttp.RequestCtx) error {
	if err := s.requireReplica(); err != nil {
		return err
	}
	edit, err := readEdit(ctx.PostBody())
	if err != nil {
		return err
	}
	result, err := s.replica.SubmitEdit(edit)
	if err != nil {
		return err
	}
	s.Log.WithFields(map[string]any{
		"edit": result.Edit, "operator": result.Operator, "outcome": result.Outcome.String(), "revision": result.Revision,
	}).Info("edit decided")
	if result.Outcome != table.Accepted {
		ctx.SetStatusCode(editStatuses[result.Outcome])
	}
	return writeJSON(ctx, result)
}

var editStatuses = map[table.Outcome]int{
	table.Conflicted: fasthttp.StatusConflict,
	table.Rejected:   fasthttp.StatusUnprocessableEntity,
}

func readEdit(body []byte) (*table.Edit, error) {
	edit := &table.Edit{}
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(edit); err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "see docs/API.md for what an edit looks like", "the edit can't be read")
	}
	if _, err := d.Token(); err != io.EOF {
		return nil, fault.New(fault.Invalid, "send one edit in a request", "something follows the edit")
	}
	if len(edit.ID) > table.MaxNameLength {
		return nil, fault.New(fault.Invalid, "use an id of at most 64 characters", "the edit's id is too long")
	}
	return edit, nil
}

// maxWatchWait bounds how long a request to watch the table waits for a change.
const maxWatchWait = 30 * time.Second

// watch is a long poll: it returns the table as soon as its revision is above that of the
// parameter after, or the unchanged table after maxWatchWait.
func (s *Server) watch(ctx *fasthttp.RequestCtx) error {
	if err := s.requireReplica(); err != nil {
		return err
	}
	after, err := strconv.ParseUint(string(ctx.QueryArgs().Peek("after")), 10, 64)
	if err != nil {
		return fault.New(fault.Invalid, "give the revision you know as ?after=N", "after isn't a revision")
	}
	timeout := time.After(maxWatchWait)
	for {
		changed := s.replica.Changed()
		t := s.replica.Table()
		if t.Revision > units.Revision(after) {
			return writeJSON(ctx, t)
		}
		select {
		case <-changed:
		case <-timeout:
			return writeJSON(ctx, t)
		}
	}
}

func (s *Server) getStatus(ctx *fasthttp.RequestCtx) error {
	if err := s.requireReplica(); err != nil {
		return err
	}
	return writeJSON(ctx, s.replica.Status())
}

// FormRequest is the optional body of the request that forms the cluster.
type FormRequest struct {
	// State is the state that the cluster starts with, as control.RecoverState returns it.
	State []byte `json:"state,omitempty"`
}

func (s *Server) form(ctx *fasthttp.RequestCtx) error {
	if err := s.requireReplica(); err != nil {
		return err
	}
	request := FormRequest{}
	if body := ctx.PostBody(); len(body) > 0 {
		if err := json.Unmarshal(body, &request); err != nil {
			return fault.Wrap(err, fault.Invalid, "send no body, or {\"state\": ...} with the state in base64", "the body can't be read")
		}
	}
	if err := s.replica.FormCluster(request.State); err != nil {
		return err
	}
	return writeJSON(ctx, s.replica.Status())
}

func (s *Server) getSettings(ctx *fasthttp.RequestCtx) error {
	return writeJSON(ctx, s.reloader.Status())
}

// Dump is the state of a process for diagnosis. Components that it doesn't have are nil.
type Dump struct {
	Box      string           `json:"box"`
	At       time.Time        `json:"at"`
	Settings *config.Settings `json:"settings"`
	Entry    *entry.Status    `json:"entry,omitempty"`
	Control  *replica.Status  `json:"control,omitempty"`
	Table    *table.Table     `json:"table,omitempty"`
	Platform *boxlist.Status  `json:"platform,omitempty"`
	Runtime  Runtime          `json:"runtime"`
}

// Runtime holds figures of the Go runtime.
type Runtime struct {
	Goroutines int    `json:"goroutines"`
	HeapBytes  uint64 `json:"heapBytes"`
	SysBytes   uint64 `json:"sysBytes"`
	Version    string `json:"version"`
}

func (s *Server) dump(ctx *fasthttp.RequestCtx) error {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	d := Dump{
		Box: s.Settings.Box, At: time.Now().UTC(), Settings: s.reloader.Status().InForce,
		Runtime: Runtime{
			Goroutines: runtime.NumGoroutine(), HeapBytes: m.HeapAlloc, SysBytes: m.Sys, Version: runtime.Version(),
		},
	}
	if s.entry != nil {
		status := s.entry.Status()
		d.Entry = &status
	}
	if s.replica != nil {
		status := s.replica.Status()
		d.Control = &status
		d.Table = s.replica.Table()
	}
	if s.boxList != nil {
		status := s.boxList.Status()
		d.Platform = &status
	}
	return writeJSON(ctx, &d)
}
