package admin

import (
	"path"

	"github.com/valyala/fasthttp"

	"github.com/madderpond/madderpond/pkg/core/crash"
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/fault"
)

// getQuarantines lists the quarantined calls, which targets receive only in trials, according to
// the state of this replica.
func (s *Server) getQuarantines(ctx *fasthttp.RequestCtx) error {
	if err := s.requireReplica(); err != nil {
		return err
	}
	return writeJSON(ctx, s.replica.Quarantines())
}

// deleteQuarantine releases a call from quarantine, so that targets receive it again.
func (s *Server) deleteQuarantine(ctx *fasthttp.RequestCtx) error {
	if err := s.requireReplica(); err != nil {
		return err
	}
	name := path.Base(string(ctx.Path()))
	f, ok := crash.ParseFingerprint(name)
	if !ok {
		return fault.New(fault.Invalid, "use a name as GET /v1/quarantines gives it", "%q names no call", name)
	}
	operator := string(ctx.QueryArgs().Peek("operator"))
	if len(operator) > table.MaxNameLength {
		return fault.New(fault.Invalid, "use a name of at most 64 characters", "the operator's name is too long")
	}
	if err := s.replica.SubmitRelease(f, operator); err != nil {
		return err
	}
	return writeJSON(ctx, map[string]string{"released": name})
}
