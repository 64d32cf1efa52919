package control

import (
	"math"
	"testing"
	"time"

	"github.com/madderpond/madderpond/pkg/core/apikey"
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
	"github.com/madderpond/madderpond/pkg/wire"
)

// reportUsage has a box report calls once a second for a number of seconds.
func reportUsage(r *singleReplica, seconds int, uses ...*wire.WorkspaceUse) {
	for range seconds {
		r.now = r.now.Add(time.Second)
		r.renew(1, &wire.RenewRequest{Box: &wire.Box{Id: "b", Domain: "d", Address: "10.0.0.1:7000"}, Uses: uses})
	}
}

// The leader shows operators how many calls of a workspace with a limit were admitted and refused
// per second. What boxes report of workspaces without a limit, or of unknown ones, isn't kept.
func TestOperatorsSeeWhatWorkspacesUse(t *testing.T) {
	r := newSingleReplica(t)
	keys := func(name string) []apikey.Digest { return []apikey.Digest{apikey.DigestOf([]byte(name))} }
	r.deliver(DocumentSubmitted{Request: 1, Document: &table.Document{
		Version: 1, Services: []table.Service{{Name: "s", Work: table.Repeatable, Deadline: time.Second}},
		Workspaces: table.Workspaces{
			{Name: "free", Keys: keys("free")}, {Name: "idle", Keys: keys("idle"), Rate: 5}, {Name: "shops", Keys: keys("shops"), Rate: 20, Burst: 20},
		},
	}})
	uses := []*wire.WorkspaceUse{{Workspace: "shops", Admitted: 16, Refused: 3}, {Workspace: "free", Admitted: 9}, {Workspace: "foreign", Admitted: 9}}
	use := func(name units.WorkspaceName) *table.WorkspaceUse {
		for _, v := range r.core.WorkspaceViews(r.now) {
			if v.Name == name {
				return v.Use
			}
		}
		return nil
	}
	reportUsage(r, 25, uses...)
	if u := use("shops"); u == nil || math.Abs(float64(u.Admitted)-16) > 2 || math.Abs(float64(u.Refused)-3) > 1 {
		t.Errorf("the workspace's use is %+v", u)
	}
	if u := use("idle"); u == nil || u.Admitted != 0 {
		t.Errorf("the use of a workspace without calls is %+v", u)
	}
	if use("free") != nil || len(r.core.usage) != 1 {
		t.Errorf("%d workspaces are counted, and the use of one without a limit is %+v", len(r.core.usage), use("free"))
	}
	reportUsage(r, 25)
	if u := use("shops"); u.Admitted != 0 || u.Refused != 0 {
		t.Errorf("25 s after its last call its use is %+v", u)
	}
}
