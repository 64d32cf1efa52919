package control

import (
	"time"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
	"github.com/madderpond/madderpond/pkg/wire"
)

// useWindow is over what time operators are shown the rates of workspaces: several times as long as boxes
// take to tell, and as an operator takes to look twice.
const useWindow = 10 * time.Second

// useBook is what a leader has been told of workspaces' calls. A new leader begins with an empty one.
type useBook map[units.WorkspaceName]*workspaceUse

// workspaceUse counts the calls that boxes let in and refused.
type workspaceUse struct {
	admitted, refused windowCount
}

// windowCount counts events over the last window: those of the present one, and of the one before in part.
type windowCount struct {
	began           units.Instant
	present, before float64
}

func (c *windowCount) add(now units.Instant, n float64) {
	c.turn(now)
	c.present += n
}

// turn begins another window when the present one is over.
func (c *windowCount) turn(now units.Instant) {
	switch passed := now.Sub(c.began); {
	case passed < useWindow:
	case passed < 2*useWindow:
		c.before, c.present, c.began = c.present, 0, c.began.Add(useWindow)
	default:
		c.before, c.present, c.began = 0, 0, now
	}
}

// perSecond returns how many events a second the last window had.
func (c *windowCount) perSecond(now units.Instant) float64 {
	c.turn(now)
	left := 1 - now.Sub(c.began).Seconds()/useWindow.Seconds()
	return (c.present + c.before*left) / useWindow.Seconds()
}

// takeUses takes what a box tells of workspaces' calls. Those that the table doesn't limit are left out, so that the book
// doesn't outgrow it.
func (r *Replica) takeUses(request *wire.RenewRequest) {
	for _, x := range request.Uses {
		name := units.WorkspaceName(x.Workspace)
		u := r.uses[name]
		if u == nil {
			if w := r.state.Table().Workspace(name); w == nil || w.Rate <= 0 {
				continue
			}
			u = &workspaceUse{}
			r.uses[name] = u
		}
		u.admitted.add(r.now, float64(x.Admitted))
		u.refused.add(r.now, float64(x.Refused))
	}
}

// WorkspaceViews are what operators see of the workspaces; only the leader knows what they use.
func (r *Replica) WorkspaceViews(now units.Instant) []table.WorkspaceView {
	held := r.state.Table().Workspaces
	list := make([]table.WorkspaceView, 0, len(held))
	for i := range held {
		v := held[i].View()
		if r.node.IsLeader() && v.Rate > 0 {
			v.Use = r.useOf(v.Name, now)
		}
		list = append(list, v)
	}
	return list
}

func (r *Replica) useOf(name units.WorkspaceName, now units.Instant) *table.WorkspaceUse {
	u := r.uses[name]
	if u == nil {
		return &table.WorkspaceUse{}
	}
	return &table.WorkspaceUse{Admitted: units.CallRate(u.admitted.perSecond(now)), Refused: units.CallRate(u.refused.perSecond(now))}
}
