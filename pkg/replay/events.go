package replay

import (
	"slices"
	"time"

	"github.com/madderpond/madderpond/pkg/core/routing"
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// eventKinds maps each kind of event of a trace to the functions that start and end it; end is nil for
// events that last.
var eventKinds = map[string]struct {
	begin func(*simulation, Event)
	end   func(*simulation, Event)
}{
	"slow":   {func(s *simulation, e Event) { s.eachTarget(e, func(t *target) { t.slow = e.Factor }) }, func(s *simulation, e Event) { s.eachTarget(e, func(t *target) { t.slow = 1 }) }},
	"fail":   {func(s *simulation, e Event) { s.eachTarget(e, func(t *target) { t.fails = true }) }, func(s *simulation, e Event) { s.eachTarget(e, func(t *target) { t.fails = false }) }},
	"shed":   {func(s *simulation, e Event) { s.eachTarget(e, func(t *target) { t.sheds = true }) }, func(s *simulation, e Event) { s.eachTarget(e, func(t *target) { t.sheds = false }) }},
	"lie":    {func(s *simulation, e Event) { s.eachTarget(e, func(t *target) { t.hidesLoad = true }) }, func(s *simulation, e Event) { s.eachTarget(e, func(t *target) { t.hidesLoad = false }) }},
	"freeze": {func(s *simulation, e Event) { s.eachTarget(e, func(t *target) { t.frozen = true }) }, func(s *simulation, e Event) { s.eachTarget(e, s.unfreezeTarget) }},
	"burst":  {(*simulation).beginBurst, func(s *simulation, e Event) { s.loadFactor[e.Service] = 1 }},
	"leave":  {func(s *simulation, e Event) { s.editRows(e, func(r *table.Row, _ int) { r.State = table.Leaving }) }, func(s *simulation, e Event) { s.editRows(e, func(r *table.Row, _ int) { r.State = table.Active }) }},
	"weights": {func(s *simulation, e Event) {
		s.editRows(e, func(r *table.Row, k int) { r.Weight = e.Weights[k%len(e.Weights)] })
	}, nil},
	"kill-box":    {func(s *simulation, e Event) { s.boxes[e.Box].dead = true; s.delistBox(e.Box) }, nil},
	"freeze-box":  {func(s *simulation, e Event) { s.boxes[e.Box].frozen = true; s.delistBoxIfLeaseExpires(e) }, func(s *simulation, e Event) { s.unfreezeBox(e.Box) }},
	"cut-control": {func(s *simulation, e Event) { s.boxes[e.Box].cutControl = true; s.delistBoxIfLeaseExpires(e) }, func(s *simulation, e Event) { s.reconnectBox(e.Box) }},
	"cut-box":     {func(s *simulation, e Event) { s.boxes[e.Box].cut = true; s.delistBoxIfLeaseExpires(e) }, func(s *simulation, e Event) { s.reconnectBox(e.Box) }},
}

// startEvent starts an event and schedules its end, if it has one.
func (s *simulation) startEvent(e Event) {
	h := eventKinds[e.Kind]
	h.begin(s, e)
	if e.For > 0 && h.end != nil {
		s.after(e.For.Std(), func() { h.end(s, e) })
	}
}

// beginBurst raises a service's load. If that exceeds the capacity of its slots, the slot time of
// the burst is added to the capacity that the goodput is measured against.
func (s *simulation) beginBurst(e Event) {
	s.loadFactor[e.Service] = e.Factor
	if spec := s.spec(e.Service); e.Factor*spec.Load > 1 {
		s.overloadCapacity += time.Duration(spec.Targets*spec.Slots) * e.For.Std()
	}
}

// eachTarget calls f for the targets that an event selects.
func (s *simulation) eachTarget(e Event, f func(*target)) {
	for _, t := range s.targetOrder {
		if e.Service != "" && t.row.Service != e.Service || e.Domain != "" && t.row.Domain != e.Domain {
			continue
		}
		if len(e.Targets) > 0 && !slices.Contains(e.Targets, s.indexOf(t)) {
			continue
		}
		f(t)
	}
}

// indexOf returns a target's index among its service's targets, or -1.
func (s *simulation) indexOf(t *target) int {
	k := 0
	for _, o := range s.targetOrder {
		if o == t {
			return k
		}
		if o.row.Service == t.row.Service {
			k++
		}
	}
	return -1
}

func (s *simulation) unfreezeTarget(t *target) {
	t.frozen = false
	for _, j := range s.busyJobs(t) {
		s.after(j.work, func() { s.complete(t, j, routing.Answered) })
	}
}

// busyJobs returns a target's running jobs in an order that is the same in every run.
func (s *simulation) busyJobs(t *target) []*job {
	jobs := make([]*job, 0, len(t.busy))
	for j := range t.busy {
		jobs = append(jobs, j)
	}
	slices.SortFunc(jobs, func(a, b *job) int {
		if a.call == nil || b.call == nil || a.call.arrived == b.call.arrived {
			return int(a.attempt) - int(b.attempt)
		}
		return int(a.call.arrived - b.call.arrived)
	})
	return jobs
}

// editRows changes the selected rows of a service in an accepted edit, which reaches the boxes
// after editDelay.
func (s *simulation) editRows(e Event, change func(*table.Row, int)) {
	old := s.table.Services[e.Service]
	entry := &table.Entry{Service: old.Service, Version: old.Version + 1, Rows: old.Rows}
	for k, row := range old.Rows.List() {
		if len(e.Targets) == 0 || slices.Contains(e.Targets, k) {
			change(&row, k)
			entry.Rows = entry.Rows.With(row)
			s.targets[row.Target].row = row
		}
	}
	s.publish(&table.Delta{Changed: []*table.Entry{entry}})
}

// publish applies a change to the table and sends the new table to every connected box after
// editDelay.
func (s *simulation) publish(d *table.Delta) {
	d.From, d.Revision = s.table.Revision, s.table.Revision+1
	s.table, _ = s.table.Patch(d)
	next := s.table
	for _, b := range s.boxes {
		s.after(editDelay, func() {
			if !b.cut && !b.cutControl {
				s.updateTable(b, next)
			}
		})
	}
}

// delistBox removes a lost box from the table once its lease has expired.
func (s *simulation) delistBox(i int) {
	s.after(boxLossDelay, func() { s.publishBoxes(func(id units.BoxID) bool { return id != s.boxes[i].id }) })
}

// delistBoxIfLeaseExpires removes a box from the table if the event outlasts the box's lease.
func (s *simulation) delistBoxIfLeaseExpires(e Event) {
	if e.For == 0 || e.For.Std() > boxLossDelay {
		s.delistBox(e.Box)
	}
}

func (s *simulation) publishBoxes(keep func(units.BoxID) bool) {
	var boxes []table.Box
	for _, b := range s.boxes {
		if keep(b.id) && !b.dead {
			boxes = append(boxes, table.Box{ID: b.id})
		}
	}
	s.publish(&table.Delta{Boxes: table.BoxDifference(s.table.Boxes, boxes)})
}

func (s *simulation) unfreezeBox(i int) {
	b := s.boxes[i]
	b.frozen = false
	pending := b.pendingEvents
	b.pendingEvents = nil
	for _, e := range pending {
		if lease, ok := e.(*routing.LeaseChanged); ok && lease.Until < s.now {
			continue
		}
		s.reduce(b, e)
	}
	s.reconnectBox(i)
}

// reconnectBox reconnects a box to the control state and adds it to the table's boxes again.
func (s *simulation) reconnectBox(i int) {
	s.boxes[i].cut, s.boxes[i].cutControl = false, false
	s.publishBoxes(func(units.BoxID) bool { return true })
	s.scheduleWake(s.boxes[i])
}

// recordEntries records the services' rows at the beginning of each second.
func (s *simulation) recordEntries() {
	s.entriesBySecond[int(s.now/units.Instant(time.Second))] = s.table.Services
	if !s.ended {
		s.after(time.Second, s.recordEntries)
	}
}

// weightError returns the greatest difference between a target's fraction of its service's calls in
// a second and its fraction of the weights, in percentage points, over the seconds in which the
// weights didn't change.
func (s *simulation) weightError() float64 {
	worst := 0.0
	first := int((startInstant + units.Instant(s.trace.warmup())) / units.Instant(time.Second))
	last := int((startInstant + units.Instant(s.trace.end())) / units.Instant(time.Second))
	for second := first; second < last; second++ {
		for _, n := range s.table.ServiceNames() {
			// The previous second must have the same rows, since an edit reaches the
			// boxes after editDelay.
			entry := s.entriesBySecond[second-1][n]
			if entry == s.entriesBySecond[second][n] && entry == s.entriesBySecond[second+1][n] {
				worst = max(worst, s.weightErrorAt(entry, second))
			}
		}
	}
	return worst
}

func (s *simulation) weightErrorAt(entry *table.Entry, second int) float64 {
	runs, weights := 0, 0
	for r := range entry.Rows.All() {
		runs += s.targets[r.Target].perSecond[second]
		if r.State == table.Active {
			weights += r.Weight
		}
	}
	if runs == 0 || weights == 0 {
		return 0
	}
	worst := 0.0
	for r := range entry.Rows.All() {
		fraction := float64(s.targets[r.Target].perSecond[second]) / float64(runs)
		want := 0.0
		if r.State == table.Active {
			want = float64(r.Weight) / float64(weights)
		}
		worst = max(worst, 100*max(fraction-want, want-fraction))
	}
	return worst
}
