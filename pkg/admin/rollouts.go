package admin

import (
	"encoding/json"
	"path"

	"github.com/valyala/fasthttp"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/fault"
	"github.com/madderpond/madderpond/pkg/units"
)

// getRollouts lists the last rollout of each service, on the leader with its answer counts.
func (s *Server) getRollouts(ctx *fasthttp.RequestCtx) error {
	if err := s.requireReplica(); err != nil {
		return err
	}
	return writeJSON(ctx, s.replica.Status().Rollouts)
}

// getRollout returns a service's last rollout, read from the newest replicated state.
func (s *Server) getRollout(ctx *fasthttp.RequestCtx) error {
	if err := s.requireReplica(); err != nil {
		return err
	}
	name := units.ServiceName(path.Base(string(ctx.Path())))
	r, err := s.replica.Rollout(name)
	if err != nil {
		return err
	}
	if r == nil {
		return fault.New(fault.NotFound, "order one", "service %s has had no rollout", name)
	}
	return writeJSON(ctx, r)
}

// putRollout starts a rollout of a service.
func (s *Server) putRollout(ctx *fasthttp.RequestCtx) error {
	o := table.RolloutOrder{}
	if err := json.Unmarshal(ctx.PostBody(), &o); err != nil {
		return fault.Wrap(err, fault.Invalid, "see docs/API.md", "the order can't be read")
	}
	o.Abort = false
	return s.orderRollout(ctx, o)
}

// deleteRollout aborts a service's rollout in progress, which rolls it back.
func (s *Server) deleteRollout(ctx *fasthttp.RequestCtx) error {
	return s.orderRollout(ctx, table.RolloutOrder{Abort: true})
}

func (s *Server) orderRollout(ctx *fasthttp.RequestCtx, o table.RolloutOrder) error {
	if err := s.requireReplica(); err != nil {
		return err
	}
	o.Service = units.ServiceName(path.Base(string(ctx.Path())))
	o.Operator = string(ctx.QueryArgs().Peek("operator"))
	if err := s.replica.SubmitRollout(o); err != nil {
		return err
	}
	return writeJSON(ctx, o)
}
