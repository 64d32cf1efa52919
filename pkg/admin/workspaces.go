package admin

import (
	"github.com/valyala/fasthttp"

	"github.com/madderpond/madderpond/pkg/core/table"
)

// getWorkspaces lists the workspaces of the document in force, as this replica knows them.
func (s *Server) getWorkspaces(ctx *fasthttp.RequestCtx) error {
	if err := s.needReplica(); err != nil {
		return err
	}
	held := s.replica.Table().Workspaces
	list := make([]table.WorkspaceView, 0, len(held))
	for i := range held {
		list = append(list, held[i].View())
	}
	return writeJSON(ctx, list)
}
