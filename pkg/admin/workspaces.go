package admin

import "github.com/valyala/fasthttp"

// getWorkspaces lists the workspaces of the document in force, by the state of this replica,
// and on the leader also the rates of calls that boxes admit and refuse for each.
func (s *Server) getWorkspaces(ctx *fasthttp.RequestCtx) error {
	if err := s.requireReplica(); err != nil {
		return err
	}
	return writeJSON(ctx, s.replica.Workspaces())
}
