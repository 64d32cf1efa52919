package routing

import (
	"time"

	"github.com/madderpond/madderpond/pkg/core/capacity"
	"github.com/madderpond/madderpond/pkg/units"
)

// Bytes on a box's link beside the bodies of calls, packet headers included.
const (
	skewHeadBytes      = 300
	skewRefusalBytes   = 500
	skewProbeBytes     = 200
	skewMessageBytes   = 200
	skewRefusedBytes   = 60
	skewConnectBytes   = 120
	skewAnswerSpread   = 0.6
	skewBitsPerByte    = 8
	skewBitsPerMegabit = 1e6
)

// Processor time that a box spends on what happens to it, in seconds of a core.
const (
	skewCallWork  = 400 * time.Microsecond
	skewEventWork = 100 * time.Microsecond
	skewProbeTime = 100 * time.Microsecond
)

// skewMachine is what a box's machine can do: a link with a rate each way, and a part of a core. Each is
// a queue that is served in order; without a rate nothing waits.
type skewMachine struct {
	in, out, processor skewResource
	gate               *capacity.Gate
}

// newSkewMachine returns a machine with a link of so many megabits a second each way, and a part of a core.
func newSkewMachine(mbps, cores float64, now units.Instant) skewMachine {
	bytes := mbps * skewBitsPerMegabit / skewBitsPerByte
	return skewMachine{
		in: skewResource{rate: bytes}, out: skewResource{rate: bytes}, processor: skewResource{rate: cores},
		gate: capacity.NewGate(capacity.Settings{LinkRate: bytes, Cores: cores}, now),
	}
}

// isLimited reports whether the link or the processor has a rate.
func (x *skewMachine) isLimited() bool { return x.in.rate > 0 || x.processor.rate > 0 }

// keepsConnections reports whether callers may keep their connections.
func (x *skewMachine) keepsConnections(now units.Instant) bool { return !x.gate.IsShort(now) }

// usage is what the box's calls have used.
func (x *skewMachine) usage() capacity.Usage {
	return capacity.Usage{Received: uint64(x.in.used), Sent: uint64(x.out.used), Processor: time.Duration(x.processor.used * float64(time.Second))}
}

// skewResource serves amounts in order at a rate a second; zero means at once.
type skewResource struct {
	rate   float64
	freeAt units.Instant
	used   float64
}

// use returns how long it takes from an instant until an amount has been served.
func (x *skewResource) use(at units.Instant, amount float64) time.Duration {
	if x.rate == 0 {
		return 0
	}
	x.used += amount
	x.freeAt = max(x.freeAt, at).Add(time.Duration(amount / x.rate * float64(time.Second)))
	return x.freeAt.Sub(at)
}

// upload returns how long bytes of a box take until they have left its machine.
func (f *skewFleet) upload(b *skewBox, bytes float64) time.Duration {
	return b.machine.out.use(f.now, bytes)
}

// receiveAfter returns how long it takes until bytes that reach a box's machine after a delay are through its link.
func (f *skewFleet) receiveAfter(b *skewBox, delay time.Duration, bytes float64) time.Duration {
	return delay + b.machine.in.use(f.now.Add(delay), bytes)
}

// receive has a box process bytes that reach its machine after a delay, unless it has been restarted by then.
func (f *skewFleet) receive(b *skewBox, after time.Duration, bytes float64, work time.Duration, do func()) {
	f.process(b, f.receiveAfter(b, after, bytes), work, do)
}

// process has a box do some work after a delay, unless it has been restarted by then.
func (f *skewFleet) process(b *skewBox, delay, work time.Duration, do func()) {
	if b.machine.processor.rate == 0 {
		f.later(b, delay, do)
		return
	}
	f.later(b, delay, func() {
		f.later(b, b.machine.processor.use(f.now, work.Seconds()), do)
	})
}

// answerBytes draws the size of an answer.
func (f *skewFleet) answerBytes(b *skewBox, c *skewClass) float64 {
	if b.machine.in.rate == 0 {
		return 0
	}
	return skewHeadBytes + f.random.ExpFloat64()*skewAnswerSpread*c.answer + (1-skewAnswerSpread)*c.answer
}

// maxSkewTries is the number of boxes that a caller tries whose connections are refused.
const maxSkewTries = 3

// skewConnectPatience is how long a caller waits for a connection to be accepted.
const skewConnectPatience = time.Second

// connectAndCall makes a call on a new connection, at another box if that refuses the connection, closes it unread
// or takes too long to accept it. A caller that keeps the connection has later calls on it.
func (f *skewFleet) connectAndCall(b *skewBox, c *skewCall, keeper *skewClient, tries int) {
	began := f.now
	again := func() {
		if tries == 1 {
			c.ended, c.refusedConnection = f.now, true
			return
		}
		f.connectAndCall(f.otherBox(b, c.client), c, keeper, tries-1)
	}
	refuse := func() { f.after(f.upload(b, skewRefusedBytes)+skewClientTrip, again) }
	f.receive(b, skewClientTrip, skewRefusedBytes, 0, func() {
		if !b.machine.gate.Accepts(f.now) {
			refuse()
			return
		}
		closures := b.machine.gate.Closures()
		f.after(f.upload(b, skewRefusedBytes)+skewClientTrip, func() {
			if f.now.Sub(began) > skewConnectPatience {
				again()
				return
			}
			// The request follows at once, whether or not the connection will be accepted.
			handshake := f.receiveAfter(b, skewClientTrip, skewRefusedBytes)
			request := f.receiveAfter(b, skewClientTrip, skewHeadBytes+c.class.request)
			f.after(handshake, func() {
				// Closing the listener ends the connections that haven't been accepted.
				if b.machine.gate.Closures() != closures || !b.machine.gate.Accepts(f.now) {
					refuse()
					return
				}
				f.admit(b)
				if keeper != nil {
					keeper.box = b
				}
				f.process(b, request-handshake, skewCallWork, func() { f.arrive(b, c) })
			})
		})
	})
}

// admit has a box count a call, and tells its router whether it is short of capacity.
func (f *skewFleet) admit(b *skewBox) {
	b.machine.gate.Admit(f.now)
	f.updateShort(b)
}

// pingIfDue has a box ping another process once that is due.
func (f *skewFleet) pingIfDue(b *skewBox) {
	at, ok := b.machine.gate.PingDueAt(f.now)
	if !ok {
		return
	}
	f.later(b, at.Sub(f.now), func() {
		if at, ok := b.machine.gate.PingDueAt(f.now); ok && at <= f.now {
			f.ping(b)
		}
	})
}

// ping has a box measure how long a message to another process and its answer take.
func (f *skewFleet) ping(b *skewBox) {
	if !b.machine.isLimited() {
		return
	}
	b.machine.gate.PingSent(f.now)
	f.receive(b, f.upload(b, skewRefusedBytes)+2*f.tripTime(b.domain, skewDomain(0)), skewRefusedBytes, 0, func() {
		b.machine.gate.PingEnded(f.now, true)
		f.pingIfDue(b)
	})
}

func (f *skewFleet) updateShort(b *skewBox) {
	f.pingIfDue(b)
	isShort := b.machine.gate.IsShort(f.now)
	if isShort != b.router.isShort {
		f.deliver(b, &CapacityChanged{Short: isShort})
	}
	if isShort {
		f.later(b, b.machine.gate.ShortUntil().Sub(f.now), func() {
			if !b.machine.gate.IsShort(f.now) && b.router.isShort {
				f.deliver(b, &CapacityChanged{})
			}
		})
	}
}

// callOnOpenConnection has a box get a call on a connection that is open.
func (f *skewFleet) callOnOpenConnection(b *skewBox, c *skewCall) {
	c.box, c.incarnation = b, b.incarnation
	f.receive(b, skewClientTrip, skewHeadBytes+c.class.request, skewCallWork, func() { f.arrive(b, c) })
}

// arrive has a box get a call that it has read.
func (f *skewFleet) arrive(b *skewBox, c *skewCall) {
	c.box, c.incarnation = b, b.incarnation
	f.deliver(b, &CallArrived{Owner: c, Host: []byte(c.class.host), Path: []byte("/"), Deadline: c.patience, Credential: f.credential})
}

// otherBox returns a random box other than one that refused a connection: of the caller's failure domain, or of
// any domain if that has no other.
func (f *skewFleet) otherBox(refusing *skewBox, domain units.Domain) *skewBox {
	if b := f.randomBox(func(b *skewBox) bool { return b != refusing && b.domain == domain }); b != nil {
		return b
	}
	return f.randomBox(func(b *skewBox) bool { return b != refusing })
}
