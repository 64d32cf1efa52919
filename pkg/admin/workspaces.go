package admin

import "github.com/valyala/fasthttp"

// getWorkspaces lists the workspaces of the document in force, as this replica knows them, and on the leader what
// boxes let in of each.
func (s *Server) getWorkspaces(ctx *fasthttp.RequestCtx) error {
	if err := s.requireReplica(); err != nil {
		return err
	}
	return writeJSON(ctx, s.replica.Workspaces())
}
