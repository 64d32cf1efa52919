package admin

import (
	"encoding/json"
	"path"

	"github.com/valyala/fasthttp"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/fault"
	"github.com/madderpond/madderpond/pkg/units"
)

// getDocument returns the newest document, byte for byte as it was uploaded.
func (s *Server) getDocument(ctx *fasthttp.RequestCtx) error {
	if err := s.requireReplica(); err != nil {
		return err
	}
	d, err := s.replica.ReadDocument()
	if err != nil {
		return err
	}
	if d == nil {
		return fault.New(fault.NotFound, "put one with PUT /v1/document", "there is no document yet")
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(d.Source)
	return nil
}

// putDocument replaces the whole table by a document, unless a document of its version or a
// higher one is in force already.
func (s *Server) putDocument(ctx *fasthttp.RequestCtx) error {
	if err := s.requireReplica(); err != nil {
		return err
	}
	body := ctx.PostBody()
	d := &table.Document{}
	if err := json.Unmarshal(body, d); err != nil {
		return fault.Wrap(err, fault.Invalid, "see docs/API.md for what a document looks like", "the document can't be read")
	}
	if d.Version == 0 {
		return fault.New(fault.Invalid, "give a version above 0", "the document has no version")
	}
	d.Source = append([]byte(nil), body...)
	if err := s.replica.PutDocument(d); err != nil {
		return err
	}
	return writeJSON(ctx, map[string]units.DocumentVersion{"version": d.Version})
}

// getTargets lists the targets that registered themselves.
func (s *Server) getTargets(ctx *fasthttp.RequestCtx) error {
	if err := s.requireReplica(); err != nil {
		return err
	}
	return writeJSON(ctx, s.replica.Targets())
}

// putTarget submits a target's registration or its next report.
func (s *Server) putTarget(ctx *fasthttp.RequestCtx) error {
	if err := s.requireReplica(); err != nil {
		return err
	}
	r := &table.Registration{}
	if err := json.Unmarshal(ctx.PostBody(), r); err != nil {
		return fault.Wrap(err, fault.Invalid, "see docs/API.md for what a report looks like", "the report can't be read")
	}
	r.Target = units.TargetID(path.Base(string(ctx.Path())))
	if err := s.replica.ReportTarget(r); err != nil {
		return err
	}
	return writeJSON(ctx, r)
}

// deleteTarget removes a registered target permanently.
func (s *Server) deleteTarget(ctx *fasthttp.RequestCtx) error {
	if err := s.requireReplica(); err != nil {
		return err
	}
	id := units.TargetID(path.Base(string(ctx.Path())))
	if err := s.replica.RemoveTarget(id); err != nil {
		return err
	}
	return writeJSON(ctx, map[string]units.TargetID{"target": id})
}
