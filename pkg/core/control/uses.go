package control

import (
	"time"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
	"github.com/madderpond/madderpond/pkg/wire"
)

// usageWindow is the window over which the call rates shown to operators are averaged: several
// times as long as boxes take to report, and about as long as an operator takes to look twice.
const usageWindow = 10 * time.Second

// usageTracker counts the workspaces' calls as boxes report them to the leader. A new leader starts
// with an empty one.
type usageTracker map[units.WorkspaceName]*workspaceUsage

// workspaceUsage counts the calls that boxes admitted and refused.
type workspaceUsage struct {
	admitted, refused windowCounter
}

// windowCounter counts events over a sliding window: those of the current fixed window, plus the
// share of the previous one that the sliding window still covers.
type windowCounter struct {
	windowStart       units.Instant
	current, previous float64
}

func (c *windowCounter) add(now units.Instant, n float64) {
	c.advance(now)
	c.current += n
}

// advance starts a new fixed window when the current one is over.
func (c *windowCounter) advance(now units.Instant) {
	switch passed := now.Sub(c.windowStart); {
	case passed < usageWindow:
	case passed < 2*usageWindow:
		c.previous, c.current, c.windowStart = c.current, 0, c.windowStart.Add(usageWindow)
	default:
		c.previous, c.current, c.windowStart = 0, 0, now
	}
}

// perSecond returns the average number of events per second over the sliding window.
func (c *windowCounter) perSecond(now units.Instant) float64 {
	c.advance(now)
	previousWeight := 1 - now.Sub(c.windowStart).Seconds()/usageWindow.Seconds()
	return (c.current + c.previous*previousWeight) / usageWindow.Seconds()
}

// recordUsage records the workspaces' calls that a box reports. Workspaces without a rate limit in
// the table are left out, so that the tracker doesn't grow beyond the table.
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

// WorkspaceViews returns the workspaces as operators see them; only the leader knows their usage.
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
