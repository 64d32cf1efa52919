package control

import (
	"time"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
	"github.com/madderpond/madderpond/pkg/wire"
)

// usageWindow is over what time operators are shown the rates of workspaces: several times as long as boxes
// take to tell, and as an operator takes to look twice.
const usageWindow = 10 * time.Second

// usageTracker is what a leader has been told of workspaces' calls. A new leader begins with an empty one.
type usageTracker map[units.WorkspaceName]*workspaceUsage

// workspaceUsage counts the calls that boxes let in and refused.
type workspaceUsage struct {
	admitted, refused windowCounter
}

// windowCounter counts events over the last window: those of the present one, and of the one before in part.
type windowCounter struct {
	windowStart       units.Instant
	current, previous float64
}

func (c *windowCounter) add(now units.Instant, n float64) {
	c.advance(now)
	c.current += n
}

// advance begins another window when the present one is over.
func (c *windowCounter) advance(now units.Instant) {
	switch passed := now.Sub(c.windowStart); {
	case passed < usageWindow:
	case passed < 2*usageWindow:
		c.previous, c.current, c.windowStart = c.current, 0, c.windowStart.Add(usageWindow)
	default:
		c.previous, c.current, c.windowStart = 0, 0, now
	}
}

// perSecond returns how many events a second the last window had.
func (c *windowCounter) perSecond(now units.Instant) float64 {
	c.advance(now)
	previousWeight := 1 - now.Sub(c.windowStart).Seconds()/usageWindow.Seconds()
	return (c.current + c.previous*previousWeight) / usageWindow.Seconds()
}

// recordUsage takes what a box tells of workspaces' calls. Those that the table doesn't limit are left out, so that the book
// doesn't outgrow it.
func (r *Replica) recordUsage(request *wire.RenewRequest) {
	for _, x := range request.Uses {
		name := units.WorkspaceName(x.Workspace)
		u := r.usage[name]
		if u == nil {
			if w := r.state.Table().Workspace(name); w == nil || w.Rate <= 0 {
				continue
			}
			u = &workspaceUsage{}
			r.usage[name] = u
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
			v.Use = r.usageOf(v.Name, now)
		}
		list = append(list, v)
	}
	return list
}

func (r *Replica) usageOf(name units.WorkspaceName, now units.Instant) *table.WorkspaceUse {
	u := r.usage[name]
	if u == nil {
		return &table.WorkspaceUse{}
	}
	return &table.WorkspaceUse{Admitted: units.CallRate(u.admitted.perSecond(now)), Refused: units.CallRate(u.refused.perSecond(now))}
}
