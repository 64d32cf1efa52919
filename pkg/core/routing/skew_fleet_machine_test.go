package routing

import (
	"time"

	"github.com/madderpond/madderpond/pkg/units"
)

// Bytes on a box's link beside the bodies of calls, packet headers included.
const (
	skewHeadBytes      = 300
	skewRefusalBytes   = 500
	skewProbeBytes     = 200
	skewMessageBytes   = 200
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
}

// newSkewMachine returns a machine with a link of so many megabits a second each way, and a part of a core.
func newSkewMachine(mbps, cores float64) skewMachine {
	bytes := mbps * skewBitsPerMegabit / skewBitsPerByte
	return skewMachine{in: skewResource{rate: bytes}, out: skewResource{rate: bytes}, processor: skewResource{rate: cores}}
}

// skewResource serves amounts in order at a rate a second; zero means at once.
type skewResource struct {
	rate   float64
	freeAt units.Instant
}

// use returns how long it takes from an instant until an amount has been served.
func (x *skewResource) use(at units.Instant, amount float64) time.Duration {
	if x.rate == 0 {
		return 0
	}
	x.freeAt = max(x.freeAt, at).Add(time.Duration(amount / x.rate * float64(time.Second)))
	return x.freeAt.Sub(at)
}

// upload returns how long bytes of a box take until they have left its machine.
func (f *skewFleet) upload(b *skewBox, bytes float64) time.Duration {
	return b.machine.out.use(f.now, bytes)
}

// receive has a box process bytes that reach its machine after a delay, unless it has been restarted by then.
func (f *skewFleet) receive(b *skewBox, after time.Duration, bytes float64, work time.Duration, do func()) {
	delay := after + b.machine.in.use(f.now.Add(after), bytes)
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
