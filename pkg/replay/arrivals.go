package replay

import (
	"time"

	"github.com/madderpond/madderpond/pkg/core/routing"
)

// arrivalHandler takes a call that comes to a box.
type arrivalHandler func(box int, spec *Service, work time.Duration)

// scheduleArrival brings about a service's next call, and all that follow.
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

// callRate is how many calls a second come.
func (v *Service) callRate() float64 {
	return v.Load * float64(v.Targets*v.Slots) / v.Mean.Std().Seconds()
}

// pickBox is the platform's balancer, which learns late of boxes that are gone.
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

// readinessCheckPeriod is how often the platform asks the boxes whether they are ready; it
// acts on what it saw one period later.
const readinessCheckPeriod = 500 * time.Millisecond

// checkReadiness is the platform's balancer learning, late, which boxes are ready.
func (s *simulation) checkReadiness() {
	for _, b := range s.boxes {
		stale := s.now.Sub(b.renewedAt) > leaseTime/2
		shunned := b.dead || b.frozen || stale || !b.router.Serving(s.now)
		s.after(readinessCheckPeriod, func() { b.excluded = shunned && s.mayExcludeBox() })
	}
	if !s.ended {
		s.after(readinessCheckPeriod, s.checkReadiness)
	}
}

// mayExcludeBox keeps the balancer from having nowhere to send calls.
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
		// A caller that finds a box dead is no matter of the routing.
		if counted {
			s.result.addRefusal("dead-box", 0)
		}
		return
	}
	c := &call{service: spec, arrived: s.now, work: work, box: b, duringOverload: s.loadFactor[spec.Name]*spec.Load > 1}
	s.reduce(b, &routing.CallArrived{Owner: c, Host: []byte(spec.Name), Path: []byte("/")})
}
