package entry

import (
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/madderpond/madderpond/pkg/clock"
	"github.com/madderpond/madderpond/pkg/core/capacity"
	"github.com/madderpond/madderpond/pkg/traffic"
	"github.com/madderpond/madderpond/pkg/units"
)

// processorSampleInterval is the time between two readings of the process's processor time, each of
// which takes a system call.
const processorSampleInterval = 50 * time.Millisecond

// maxAskInterval bounds the time between two looks at the gate while the box is short of capacity: the answer
// to a ping may have opened or closed it.
const maxAskInterval = 10 * time.Millisecond

// admission keeps the calls that a box reads to what its link and processor can carry. It wraps the
// gate, which decides, with a lock, a clock, and the counters of what calls use.
type admission struct {
	clock *clock.Clock
	log   *logrus.Entry
	// callers and targets count the traffic with each.
	callers, targets traffic.Counter
	// onShort is called when the box becomes short of capacity, and when it no longer is.
	onShort func(isShort bool)
	// sendPing sends a message to another process, and reports whether it has answered.
	sendPing func() bool
	// limited is set if the link or the processor is; otherwise nothing is counted.
	limited bool

	// short is what onShort was last called with.
	short atomic.Bool

	lock sync.Mutex
	gate *capacity.Gate
	// shortTimer ends a shortage.
	shortTimer *time.Timer
	// measuring is set while the delay of pings is measured.
	measuring bool
	// processorTime was read at processorReadAt.
	processorTime   time.Duration
	processorReadAt units.Instant
	// idle are the callers' connections on which no call is in flight.
	idle map[*callerConn]struct{}

	// refusedPeriods counts the periods in which the box listened for no connections.
	refusedPeriods atomic.Uint64
}

// newAdmission returns an admission whose gate is open.
func newAdmission(s capacity.Settings, c *clock.Clock, log *logrus.Entry, onShort func(isShort bool), sendPing func() bool) *admission {
	a := &admission{clock: c, log: log, onShort: onShort, sendPing: sendPing, limited: s != capacity.Settings{}, gate: capacity.NewGate(s, c.Now()), idle: map[*callerConn]struct{}{}}
	a.shortTimer = time.AfterFunc(time.Hour, a.updateShort)
	a.shortTimer.Stop()
	return a
}

// measureDelay pings another process for as long as the box is short of capacity.
func (a *admission) measureDelay() {
	a.lock.Lock()
	defer a.lock.Unlock()
	if a.measuring {
		return
	}
	a.measuring = true
	for a.gate.IsShort(a.clock.Now()) {
		now := a.clock.Now()
		at, isDue := a.gate.PingDueAt(now)
		a.lock.Unlock()
		if isDue {
			time.Sleep(at.Sub(now))
			a.ping()
		} else {
			// Another ping is under way.
			time.Sleep(maxAskInterval)
		}
		a.lock.Lock()
	}
	a.measuring = false
}

// ping measures the delay once.
func (a *admission) ping() {
	if !a.limited {
		return
	}
	a.lock.Lock()
	a.gate.PingSent(a.clock.Now())
	a.lock.Unlock()
	answered := a.sendPing()
	a.lock.Lock()
	defer a.lock.Unlock()
	a.gate.PingEnded(a.clock.Now(), answered)
}

// accepts reports whether connections may be accepted now, and when to ask again at the latest; zero means
// that this doesn't change before a call is admitted.
func (a *admission) accepts() (ok bool, askAgainIn time.Duration) {
	a.lock.Lock()
	defer a.lock.Unlock()
	now := a.clock.Now()
	ok = a.gate.Accepts(now)
	if at, changes := a.gate.ChangesAt(now); changes {
		return ok, max(minWakeDelay, at.Sub(now))
	}
	if a.short.Load() {
		return ok, maxAskInterval
	}
	return ok, 0
}

// admit counts a call that is about to be read, and closes idle connections if calls on kept
// connections alone are too many.
func (a *admission) admit() {
	if !a.limited {
		return
	}
	a.lock.Lock()
	now := a.clock.Now()
	a.gate.Admit(now)
	becomesShort := !a.short.Load() && a.gate.IsShort(now)
	var surplus []*callerConn
	if a.gate.ClosesIdle(now) {
		surplus = a.takeIdle()
	}
	a.lock.Unlock()
	closeAll(surplus)
	if becomesShort {
		a.updateShort()
	}
}

// postpone counts a call as one whose body is still to come; resume ends that.
func (a *admission) postpone() {
	if !a.limited {
		return
	}
	a.lock.Lock()
	defer a.lock.Unlock()
	a.gate.Postpone(a.clock.Now())
}

// resume counts a call whose body has come.
func (a *admission) resume() {
	if !a.limited {
		return
	}
	a.lock.Lock()
	now := a.clock.Now()
	a.gate.Resume(now)
	becomesShort := !a.short.Load() && a.gate.IsShort(now)
	a.lock.Unlock()
	if becomesShort {
		a.updateShort()
	}
}

// callEnded counts what a call has used.
func (a *admission) callEnded() {
	if !a.limited {
		return
	}
	a.lock.Lock()
	defer a.lock.Unlock()
	now := a.clock.Now()
	a.readProcessorTime(now)
	a.gate.CallEnded(now, capacity.Usage{
		Received:  a.callers.Received() + a.targets.Received(),
		Sent:      a.callers.Sent() + a.targets.Sent(),
		Processor: a.processorTime,
	})
}

// closeIdle closes the connections on which no call is in flight.
func (a *admission) closeIdle() {
	a.lock.Lock()
	surplus := a.takeIdle()
	a.lock.Unlock()
	closeAll(surplus)
}

// takeIdle removes the idle connections, which the caller has to close.
func (a *admission) takeIdle() []*callerConn {
	if len(a.idle) == 0 {
		return nil
	}
	all := make([]*callerConn, 0, len(a.idle))
	for c := range a.idle {
		c.closedIdle.Store(true)
		all = append(all, c)
	}
	clear(a.idle)
	return all
}

func closeAll(all []*callerConn) {
	for _, c := range all {
		c.Close()
	}
}

func (a *admission) readProcessorTime(now units.Instant) {
	if now.Sub(a.processorReadAt) < processorSampleInterval {
		return
	}
	a.processorReadAt = now
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		a.log.WithError(err).Warning("the process's processor time can't be read")
		return
	}
	a.processorTime = time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// keepsConnections reports whether callers may keep their connections.
func (a *admission) keepsConnections() bool { return !a.short.Load() }

// isOverloaded reports whether no more connections should be sent to the box.
func (a *admission) isOverloaded() bool {
	a.lock.Lock()
	defer a.lock.Unlock()
	return a.gate.IsOverloaded(a.clock.Now())
}

// updateShort reports a change of whether the box is short of capacity.
func (a *admission) updateShort() {
	a.lock.Lock()
	now := a.clock.Now()
	isShort := a.gate.IsShort(now)
	changed := a.short.Swap(isShort) != isShort
	if isShort {
		a.shortTimer.Reset(a.gate.ShortUntil().Sub(now))
	}
	a.lock.Unlock()
	if !changed {
		return
	}
	status := a.status()
	if isShort {
		go a.measureDelay()
	}
	a.log.WithFields(logrus.Fields{
		"kind": "capacity", "short": isShort, "resource": status.Scarcest, "perCallMs": status.PerCallMs, "savedMs": status.SavedMs,
		"refusedPeriods": status.RefusedPeriods,
	}).Info(shortMessages[isShort])
	a.onShort(isShort)
}

var shortMessages = map[bool]string{
	true:  "this box gets more calls than its link or processor can carry; it refuses connections in part",
	false: "this box accepts all connections again",
}

// setIdle adds a connection to those on which no call is in flight, or removes it.
func (a *admission) setIdle(c *callerConn, isIdle bool) {
	a.lock.Lock()
	defer a.lock.Unlock()
	if isIdle {
		a.idle[c] = struct{}{}
		return
	}
	delete(a.idle, c)
}

// AdmissionStatus shows what the box's link and processor carry.
type AdmissionStatus struct {
	capacity.Status
	// RefusedPeriods counts how often the box stopped accepting connections.
	RefusedPeriods uint64 `json:"refusedPeriods"`
	// CallerBytes and TargetBytes are the traffic with each: received, sent.
	CallerBytes [2]uint64 `json:"callerBytes"`
	TargetBytes [2]uint64 `json:"targetBytes"`
}

func (a *admission) status() AdmissionStatus {
	a.lock.Lock()
	defer a.lock.Unlock()
	return AdmissionStatus{
		Status: a.gate.Status(a.clock.Now()), RefusedPeriods: a.refusedPeriods.Load(),
		CallerBytes: [2]uint64{a.callers.Received(), a.callers.Sent()},
		TargetBytes: [2]uint64{a.targets.Received(), a.targets.Sent()},
	}
}

// stop ends the timer.
func (a *admission) stop() {
	a.lock.Lock()
	defer a.lock.Unlock()
	a.shortTimer.Stop()
}
