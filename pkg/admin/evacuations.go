package admin

import (
	"path"

	"github.com/valyala/fasthttp"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/fault"
	"github.com/madderpond/madderpond/pkg/units"
)

// getEvacuations lists the failure domains that are or were evacuated, according to the table of
// this replica.
func (s *Server) getEvacuations(ctx *fasthttp.RequestCtx) error {
	if err := s.requireReplica(); err != nil {
		return err
	}
	list := s.replica.Table().Evacuations
	if list == nil {
		list = []table.Evacuation{}
	}
	return writeJSON(ctx, list)
}

// putEvacuation evacuates a failure domain.
func (s *Server) putEvacuation(ctx *fasthttp.RequestCtx) error { return s.orderEvacuation(ctx, true) }

// deleteEvacuation ends the evacuation of a failure domain.
func (s *Server) deleteEvacuation(ctx *fasthttp.RequestCtx) error {
	return s.orderEvacuation(ctx, false)
}

func (s *Server) orderEvacuation(ctx *fasthttp.RequestCtx, evacuate bool) error {
	if err := s.requireReplica(); err != nil {
		return err
	}
	o := table.EvacuationOrder{
		Domain: units.Domain(path.Base(string(ctx.Path()))), Evacuate: evacuate,
		Operator: string(ctx.QueryArgs().Peek("operator")),
	}
	if len(o.Operator) > table.MaxNameLength {
		return fault.New(fault.Invalid, "use a name of at most 64 characters", "the operator's name is too long")
	}
	if err := s.replica.SubmitEvacuation(o); err != nil {
		return err
	}
	return writeJSON(ctx, map[string]any{"domain": o.Domain, "active": evacuate})
}
