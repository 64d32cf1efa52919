package replay

import (
	"slices"
	"time"

	"github.com/madderpond/madderpond/pkg/core/routing"
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// target is a stand-in target: slots, a queue, shedding, readings.
type target struct {
	row    table.Row
	slots  int
	queue  []*job
	limit  int
	busy   map[*job]bool
	slow   float64
	fails  bool
	lies   bool
	sheds  bool
	frozen bool
	// peak is the most calls that were there at once.
	peak int
	// probed is the slot time that probes took.
	probed time.Duration
	runs   int
	// perSecond counts the runs of each second, for the shares.
	perSecond map[int]int
}

// job is a send or a probe on its way through a target.
type job struct {
	box      *box
	call     *call
	attempt  routing.AttemptNumber
	endpoint *routing.Endpoint
	work     time.Duration
	probe    bool
	canceled bool
	done     bool
	target   *target
}

// load is what the target says of itself.
func (t *target) load() routing.TargetReport {
	if t.lies {
		return routing.TargetReport{HasLoad: true}
	}
	return routing.TargetReport{HasLoad: true, InFlight: float64(len(t.busy) + len(t.queue))}
}

// arrive takes a job in, or sheds it.
func (s *simulation) arrive(t *target, j *job) {
	if j.canceled {
		return
	}
	present := len(t.busy) + len(t.queue)
	if t.sheds || present >= t.slots+t.limit {
		s.reply(t, j, routing.Shed)
		return
	}
	if !j.probe {
		t.peak = max(t.peak, present+1)
	}
	if len(t.busy) < t.slots {
		s.begin(t, j)
		return
	}
	t.queue = append(t.queue, j)
}

func (s *simulation) begin(t *target, j *job) {
	t.busy[j] = true
	if j.probe {
		t.probed += s.trace.Network.Probe.Std()
	} else {
		t.runs++
		t.perSecond[int(s.now/units.Instant(time.Second))]++
	}
	if t.fails {
		s.after(failTime, func() { s.complete(t, j, routing.Failed) })
		return
	}
	if t.frozen {
		return
	}
	s.after(time.Duration(float64(j.work)*t.slow), func() { s.complete(t, j, routing.Answered) })
}

// failTime is how quickly a failing target answers.
const failTime = 200 * time.Microsecond

func (s *simulation) complete(t *target, j *job, result routing.AttemptResult) {
	if !t.busy[j] {
		return
	}
	s.leave(t, j)
	s.reply(t, j, result)
}

// leave frees the job's slot for the next one.
func (s *simulation) leave(t *target, j *job) {
	delete(t.busy, j)
	for len(t.queue) > 0 && len(t.busy) < t.slots {
		next := t.queue[0]
		t.queue = t.queue[1:]
		s.begin(t, next)
	}
}

// reply sends a job's end back to its box.
func (s *simulation) reply(t *target, j *job, result routing.AttemptResult) {
	reading := t.load()
	s.after(s.delay(t.row.Domain, j.box.domain), func() {
		j.done = true
		if j.probe {
			s.give(j.box, &routing.ProbeEnded{Target: j.endpoint, Healthy: result == routing.Answered, Report: reading})
			return
		}
		j.box.idle[t.row.Target]++
		s.give(j.box, &routing.AttemptEnded{Call: j.call.id, Attempt: j.attempt, Result: result, Report: reading})
	})
}

// cancel takes a job away once the word has reached the target.
func (s *simulation) cancel(j *job) {
	t := j.target
	s.after(s.delay(t.row.Domain, j.box.domain), func() {
		if j.done || j.canceled {
			return
		}
		j.canceled = true
		t.queue = slices.DeleteFunc(t.queue, func(o *job) bool { return o == j })
		if t.busy[j] {
			s.leave(t, j)
		}
	})
}
