package replay

import (
	"slices"
	"time"

	"github.com/madderpond/madderpond/pkg/core/routing"
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// target is a simulated target with slots, a bounded queue, shedding and load readings.
type target struct {
	row        table.Row
	slots      int
	queue      []*job
	queueLimit int
	busy       map[*job]bool
	slow       float64
	fails      bool
	hidesLoad  bool
	sheds      bool
	frozen     bool
	// peak is the highest number of jobs present when a call was accepted.
	peak int
	// probeTime is the slot time that probes used.
	probeTime time.Duration
	runs      int
	// perSecond counts the calls started in each second; weightError uses it.
	perSecond map[int]int
}

// job is a call attempt or a probe at a target.
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

// reading returns the load that the target reports.
func (t *target) reading() routing.TargetReport {
	if t.hidesLoad {
		return routing.TargetReport{HasLoad: true}
	}
	return routing.TargetReport{HasLoad: true, InFlight: float64(len(t.busy) + len(t.queue))}
}

// receiveJob starts, queues or sheds a job that reaches a target.
func (s *simulation) receiveJob(t *target, j *job) {
	if j.canceled {
		return
	}
	present := len(t.busy) + len(t.queue)
	if t.sheds || present >= t.slots+t.queueLimit {
		s.reply(t, j, routing.Shed)
		return
	}
	if !j.probe {
		t.peak = max(t.peak, present+1)
	}
	if len(t.busy) < t.slots {
		s.startJob(t, j)
		return
	}
	t.queue = append(t.queue, j)
}

func (s *simulation) startJob(t *target, j *job) {
	t.busy[j] = true
	if j.probe {
		t.probeTime += s.trace.Network.Probe.Std()
	} else {
		t.runs++
		t.perSecond[int(s.now/units.Instant(time.Second))]++
	}
	if t.fails {
		s.after(failureDelay, func() { s.complete(t, j, routing.Failed) })
		return
	}
	if t.frozen {
		return
	}
	s.after(time.Duration(float64(j.work)*t.slow), func() { s.complete(t, j, routing.Answered) })
}

// failureDelay is the time in which a failing target answers.
const failureDelay = 200 * time.Microsecond

func (s *simulation) complete(t *target, j *job, result routing.AttemptResult) {
	if !t.busy[j] {
		return
	}
	s.freeSlot(t, j)
	s.reply(t, j, result)
}

// freeSlot frees a job's slot and starts queued jobs.
func (s *simulation) freeSlot(t *target, j *job) {
	delete(t.busy, j)
	for len(t.queue) > 0 && len(t.busy) < t.slots {
		next := t.queue[0]
		t.queue = t.queue[1:]
		s.startJob(t, next)
	}
}

// reply sends a job's result back to its box.
func (s *simulation) reply(t *target, j *job, result routing.AttemptResult) {
	reading := t.reading()
	s.after(s.networkDelay(t.row.Domain, j.box.domain), func() {
		j.done = true
		if j.probe {
			s.reduce(j.box, &routing.ProbeEnded{Target: j.endpoint, Healthy: result == routing.Answered, Report: reading})
			return
		}
		j.box.idle[t.row.Target]++
		s.reduce(j.box, &routing.AttemptEnded{Call: j.call.id, Attempt: j.attempt, Result: result, Report: reading})
	})
}

// cancel removes a job from its target after the network delay.
func (s *simulation) cancel(j *job) {
	t := j.target
	s.after(s.networkDelay(t.row.Domain, j.box.domain), func() {
		if j.done || j.canceled {
			return
		}
		j.canceled = true
		t.queue = slices.DeleteFunc(t.queue, func(o *job) bool { return o == j })
		if t.busy[j] {
			s.freeSlot(t, j)
		}
	})
}
