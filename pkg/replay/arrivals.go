package replay

import (
	"time"

	"github.com/madderpond/madderpond/pkg/core/routing"
)

// arrivalHandler handles a call that arrives at a box, with its service and the time that it runs.
type arrivalHandler func(box int, spec *Service, work time.Duration)

// scheduleArrival schedules a service's next call; each arrival schedules the following one.
func (s *simulation) scheduleArrival(spec *Service, arrive arrivalHandler) {
	gap := s.arrivals.ExpFloat64() / (spec.callRate() * max(1, s.loadFactor[spec.Name]))
	s.after(time.Duration(gap*float64(time.Second)), func() {
		if s.ended {
			return
		}
		work := time.Duration(s.arrivals.ExpFloat64() * float64(spec.Mean))
		b := s.pickBox()
		s.scheduleArrival(spec, arrive)
		arrive(b, spec, work)
	})
}

// callRate is the service's offered load in calls a second.
func (v *Service) callRate() float64 {
	return v.Load * float64(v.Targets*v.Slots) / v.Mean.Std().Seconds()
}

// pickBox chooses the box of a call as the platform's load balancer does, which excludes boxes
// that are gone only after a delay.
func (s *simulation) pickBox() int {
	if s.trace.BusyBoxes > 0 && s.arrivals.Float64() < s.trace.BusyShare {
		return s.arrivals.IntN(s.trace.BusyBoxes)
	}
	for {
		i := s.arrivals.IntN(len(s.boxes))
		if !s.boxes[i].excluded {
			return i
		}
	}
}

// readinessCheckPeriod is the interval of the platform's readiness checks; the load balancer
// applies their results one period later.
const readinessCheckPeriod = 500 * time.Millisecond

// checkReadiness updates, after a delay, the boxes that the platform's load balancer excludes.
func (s *simulation) checkReadiness() {
	for _, b := range s.boxes {
		stale := s.now.Sub(b.renewedAt) > leaseTime/2
		excluded := b.dead || b.frozen || stale || !b.router.Serving(s.now)
		s.after(readinessCheckPeriod, func() { b.excluded = excluded && s.mayExcludeBox() })
	}
	if !s.ended {
		s.after(readinessCheckPeriod, s.checkReadiness)
	}
}

// mayExcludeBox reports whether another box remains, so that the load balancer never excludes all.
func (s *simulation) mayExcludeBox() bool {
	n := 0
	for _, b := range s.boxes {
		if !b.excluded {
			n++
		}
	}
	return n > 1
}

func (s *simulation) receiveCall(i int, spec *Service, work time.Duration) {
	b := s.boxes[i]
	counted := s.isMeasured(s.now)
	if counted {
		s.result.Offered++
	}
	if b.dead {
		// Routing has no part in a call to a dead box.
		if counted {
			s.result.addRefusal("dead-box", 0)
		}
		return
	}
	c := &call{service: spec, arrived: s.now, work: work, box: b, duringOverload: s.loadFactor[spec.Name]*spec.Load > 1}
	s.reduce(b, &routing.CallArrived{Owner: c, Host: []byte(spec.Name), Path: []byte("/")})
}
