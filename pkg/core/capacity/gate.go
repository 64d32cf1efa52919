// Package capacity decides how many calls a box accepts, from what its own link and processor can
// carry. A box that gets more calls than that can't refuse them by answering: it would have to read
// each call and write the refusal, over the link and with the processor that are full. It accepts no
// connections instead, so that callers reach another box at once.
package capacity

import (
	"math"
	"time"

	"github.com/madderpond/madderpond/pkg/units"
)

const (
	// openUtilization is the fraction of a resource that calls may use before the box closes. The rest is
	// for variations in size and for messages between processes.
	openUtilization = 0.75
	// minClosedUtilization and maxClosedUtilization bound the fraction that a closed box counts as available
	// again. It is less than openUtilization, so that the queues for the resource become shorter and the
	// packets of refused connections have room: a box that others could relieve needn't be used to its
	// limit. The more calls come while it is open, the likelier it is that others get fewer.
	minClosedUtilization = 0.2
	maxClosedUtilization = 0.4
	// usualDemand is the calls' demand, relative to the resource, up to which maxClosedUtilization holds. Where
	// all boxes are somewhat overloaded, a refused connection is tried at two more, which multiplies the
	// demand at each by up to three.
	usualDemand = 3
	// demandGain is the weight of the newest period in which the box was open.
	demandGain = 0.25
	// maxSavedCalls, in mean calls, bounds the unused capacity that is saved, within minSavedTime and
	// maxSavedTime, which are times at full use: it is how long the last call of a burst waits for the
	// resource. While connections wait to be accepted, more come of which the box learns too late.
	maxSavedCalls = 6
	minSavedTime  = 50 * time.Millisecond
	maxSavedTime  = 200 * time.Millisecond
	// maxDebtTime bounds the capacity that calls on kept connections may use in advance, so that the box
	// accepts connections again soon after they have ended.
	maxDebtTime = 250 * time.Millisecond
	// reopenTime is how much capacity must be saved before the box accepts connections again. It is
	// enough for a few calls, since opening and closing the listener costs processor time.
	reopenTime = 20 * time.Millisecond
	// pingInterval is the time between two pings while the box is short of capacity.
	pingInterval = 20 * time.Millisecond
	// maxDelay is how much longer a ping may take than the shortest one before the box counts as delayed:
	// its link or processor has a queue then. It is a fraction of the shortest latency objectives.
	maxDelay = 30 * time.Millisecond
	// shortestPingWindow is the number of pings after which a lasting delay counts as usual.
	shortestPingWindow = 32
	// maxPingTime is how long the box waits for the answer to a ping. Then it learns nothing from it.
	maxPingTime = 2 * time.Second
	// pressureMemory is how long after it last refused connections a box counts as short of capacity.
	pressureMemory = time.Second
	// overloadTime is how long a box is short of capacity before it counts as overloaded. A shorter crowd
	// passes before a load balancer reacts.
	overloadTime = time.Second
	// meanWindow is the number of calls over which the mean use per call is taken.
	meanWindow = 32
	// assumedWeight is the number of calls that the assumed use per call counts for.
	assumedWeight = 4
	// assumedBytes and assumedProcessorTime are the use per call before any call has ended.
	assumedBytes         = 3 << 10
	assumedProcessorTime = time.Millisecond
	// maxCallGap is the longest time between the ends of two calls in which all use counts as that of the
	// second one: the box also uses its resources while there are no calls.
	maxCallGap = time.Second
	// maxUseTime bounds what one call adds to the mean use, as a time at full use: several calls share
	// the resource with one that uses it for longer.
	maxUseTime = 250 * time.Millisecond
)

// Settings are what the box's machine can do; zero means that a resource isn't limited.
type Settings struct {
	// LinkRate is the rate of the link in each direction, in bytes per second.
	LinkRate float64
	// Cores is the part of the processor that the box may use.
	Cores float64
}

// Usage is what calls have used since the start of the process.
type Usage struct {
	// Received and Sent are bytes on connections to callers and targets.
	Received, Sent uint64
	// Processor is the processor time of the whole process.
	Processor time.Duration
}

// totals returns the use of each resource.
func (u *Usage) totals() [resourceCount]float64 {
	return [resourceCount]float64{LinkIn: float64(u.Received), LinkOut: float64(u.Sent), Processor: u.Processor.Seconds()}
}

// Resource is a limited part of the box's machine.
type Resource uint8

// The resources.
const (
	LinkIn Resource = iota
	LinkOut
	Processor
	resourceCount
)

var resourceNames = [resourceCount]string{LinkIn: "link-in", LinkOut: "link-out", Processor: "processor"}

// String returns the resource's name in logs and metrics.
func (r Resource) String() string { return resourceNames[r] }

// Gate decides whether the box accepts connections. It has no clock of its own.
type Gate struct {
	accounts  [resourceCount]account
	updatedAt units.Instant
	// ended is the number of calls that the mean use is based on, meanWindow at most. endedAt is when the
	// last one ended.
	ended   int
	endedAt units.Instant
	// closed is set while no connections are accepted; closures counts how often that began.
	closed   bool
	closures uint64
	// postponed counts the calls that were found to wait for their bodies.
	postponed uint64
	// shortSince and shortUntil are the time for which the box counts as short of capacity; zero before it
	// first is. scarcest is the resource that was short last.
	shortSince, shortUntil units.Instant
	scarcest               Resource
	// pingedAt is when the last ping was sent; pinging is set until it is answered. pingTime is how long the
	// answer to the one before took, shortestPing the least of all; zero before there was one.
	pingedAt               units.Instant
	pinging                bool
	pingTime, shortestPing time.Duration
	// openedAt is when the gate last opened, or last had all capacity saved. spent is what calls have
	// taken of the scarcest resource since, as a time at full use.
	openedAt units.Instant
	spent    time.Duration
	// meanOpen and meanSpent are the means, in seconds, of the times that calls took to use up what was
	// saved, and of what they spent in them.
	meanOpen, meanSpent float64
}

// account is the balance of one resource.
type account struct {
	// capacity is what the resource can do per second; zero means unlimited.
	capacity float64
	// saved is the unused capacity, as a time at full use; negative for capacity used in advance.
	saved time.Duration
	// perCall is the mean use per call, total the use until the last call ended.
	perCall, total float64
}

// NewGate returns an open gate.
func NewGate(s Settings, now units.Instant) *Gate {
	g := &Gate{updatedAt: now, openedAt: now, ended: assumedWeight}
	g.accounts = [resourceCount]account{
		LinkIn:    {capacity: s.LinkRate, perCall: assumedBytes},
		LinkOut:   {capacity: s.LinkRate, perCall: assumedBytes},
		Processor: {capacity: s.Cores, perCall: assumedProcessorTime.Seconds()},
	}
	for i := range g.accounts {
		if x := &g.accounts[i]; x.capacity > 0 {
			x.saved = x.maxSaved()
		}
	}
	return g
}

// Accepts reports whether the box accepts connections at this time.
func (g *Gate) Accepts(now units.Instant) bool {
	g.update(now)
	return !g.closed
}

// ChangesAt returns when the gate will open or close if no call is admitted until then; false means never.
func (g *Gate) ChangesAt(now units.Instant) (units.Instant, bool) {
	g.update(now)
	return g.nextChange()
}

// Closures returns how often the gate has closed.
func (g *Gate) Closures() uint64 { return g.closures }

// Admit records that a call is about to be read: with a new connection, or with each later call on it.
func (g *Gate) Admit(now units.Instant) {
	g.update(now)
	var scarcest *account
	longest := time.Duration(0)
	for i := range g.accounts {
		x := &g.accounts[i]
		if x.capacity == 0 {
			continue
		}
		longest = max(longest, x.debit())
		if x.saved <= 0 && (scarcest == nil || x.saved < scarcest.saved) {
			scarcest = x
			g.scarcest = Resource(i)
		}
	}
	g.spent += longest
	if scarcest == nil {
		return
	}
	g.closeIfOpen(now)
}

// Postpone takes back the processor time debited for a call whose body is still to come: nothing has to be done
// for it until then. The link's account isn't changed, since the body takes the link meanwhile.
func (g *Gate) Postpone(now units.Instant) {
	g.update(now)
	g.postponed++
	if x := &g.accounts[Processor]; x.capacity > 0 {
		x.saved = min(x.maxSaved(), x.saved+x.timePerCall())
		g.spent = max(0, g.spent-x.timePerCall())
	}
}

// Resume debits the processor time of a call whose body has come.
func (g *Gate) Resume(now units.Instant) {
	g.update(now)
	x := &g.accounts[Processor]
	if x.capacity == 0 {
		return
	}
	g.spent += x.debit()
	if x.saved <= 0 {
		g.scarcest = Processor
		g.closeIfOpen(now)
	}
}

// closeIfOpen closes the gate since a resource is used up.
func (g *Gate) closeIfOpen(now units.Instant) {
	g.setShort(now)
	if g.closed {
		return
	}
	g.meanOpen += demandGain * (now.Sub(g.openedAt).Seconds() - g.meanOpen)
	g.meanSpent += demandGain * (g.spent.Seconds() - g.meanSpent)
	g.close()
}

func (g *Gate) setShort(now units.Instant) {
	if !g.closed && now >= g.shortUntil {
		g.shortSince = now
	}
	g.shortUntil = now.Add(pressureMemory)
}

func (g *Gate) close() {
	g.closed = true
	g.closures++
}

// CallEnded records the end of a call, at the given use by all calls.
func (g *Gate) CallEnded(now units.Instant, u Usage) {
	isFirst := now.Sub(g.endedAt) > maxCallGap
	g.endedAt = now
	if isFirst {
		g.setTotals(&u)
		return
	}
	g.ended = min(meanWindow, g.ended+1)
	for r, total := range u.totals() {
		x := &g.accounts[r]
		used := min(total-x.total, x.capacity*maxUseTime.Seconds())
		x.perCall += (used - x.perCall) / float64(g.ended)
	}
	g.setTotals(&u)
}

func (g *Gate) setTotals(u *Usage) {
	for r, total := range u.totals() {
		g.accounts[r].total = total
	}
}

// IsShort reports whether the box has refused connections until recently. Delays are then likely to
// arise at the box itself, and connections that callers keep to it bring more calls than it can carry.
func (g *Gate) IsShort(now units.Instant) bool {
	g.update(now)
	return g.closed || now < g.shortUntil
}

// IsOverloaded reports whether the box has been short of capacity for so long that no more connections should
// be sent to it.
func (g *Gate) IsOverloaded(now units.Instant) bool {
	return g.IsShort(now) && now.Sub(g.shortSince) >= overloadTime
}

// ShortUntil returns until when the box will be short of capacity at least.
func (g *Gate) ShortUntil() units.Instant {
	if g.closed {
		return g.updatedAt.Add(pressureMemory)
	}
	return g.shortUntil
}

// ClosesIdle reports whether idle connections of callers should be closed: calls on kept connections
// alone use more than the box can carry.
func (g *Gate) ClosesIdle(now units.Instant) bool {
	g.update(now)
	for i := range g.accounts {
		if x := &g.accounts[i]; x.capacity > 0 && x.saved < -x.maxSaved() {
			return true
		}
	}
	return false
}

// update takes the gate through its changes until now.
func (g *Gate) update(now units.Instant) {
	for {
		at, ok := g.nextChange()
		if !ok || at > now {
			g.advance(now)
			return
		}
		g.advance(at)
		g.change()
	}
}

// nextChange returns when the gate opens or closes; false means not before something else happens. A closed
// gate opens once enough is saved and pings aren't delayed. An open one closes when a ping is.
func (g *Gate) nextChange() (units.Instant, bool) {
	delayedAt := g.pingedAt.Add(g.shortestPing + maxDelay)
	if !g.closed {
		at := max(g.updatedAt, delayedAt)
		return at, g.pinging && at < g.shortUntil
	}
	if g.pingTime > g.shortestPing+maxDelay || g.pinging && g.updatedAt >= delayedAt {
		return max(g.updatedAt, g.pingedAt.Add(maxPingTime)), g.pinging
	}
	least, _ := g.leastSaved()
	return g.updatedAt.Add(time.Duration(math.Ceil(float64(max(0, reopenTime-least)) / g.closedUtilization()))), true
}

// change opens or closes the gate.
func (g *Gate) change() {
	if g.closed {
		g.closed, g.openedAt, g.spent = false, g.updatedAt, 0
		g.shortUntil = g.updatedAt.Add(pressureMemory)
		if g.pinging && g.updatedAt >= g.pingedAt.Add(maxPingTime) {
			g.pinging, g.pingTime = false, 0
		}
		return
	}
	g.setShort(g.updatedAt)
	g.close()
}

// PingDueAt returns when the box should measure how long a message to another process and its answer take.
// Connections and calls that it doesn't see yet may wait in the queue for its link. False means that it
// needn't.
func (g *Gate) PingDueAt(now units.Instant) (units.Instant, bool) {
	if !g.IsShort(now) || g.pinging {
		return 0, false
	}
	return max(now, g.pingedAt.Add(pingInterval)), true
}

// PingSent records that a ping was sent.
func (g *Gate) PingSent(now units.Instant) {
	g.update(now)
	g.pingedAt, g.pinging = now, true
}

// PingEnded records the answer to the last ping, or that there won't be one.
func (g *Gate) PingEnded(now units.Instant, answered bool) {
	g.update(now)
	g.pinging = false
	if !answered {
		g.pingTime = 0
		return
	}
	g.pingTime = now.Sub(g.pingedAt)
	if g.shortestPing == 0 || g.pingTime < g.shortestPing {
		g.shortestPing = g.pingTime
	}
	// The other process may be farther away than the one before.
	g.shortestPing += (g.pingTime - g.shortestPing) / shortestPingWindow
	// A delay without a shortage may arise at the other process, to which many boxes may have just attached.
	if g.pingTime > g.shortestPing+maxDelay && g.pingedAt < g.shortUntil {
		g.setShort(now)
	}
}

// advance saves the capacity that has become available.
func (g *Gate) advance(now units.Instant) {
	utilization := openUtilization
	if g.closed {
		utilization = g.closedUtilization()
	}
	earned := time.Duration(utilization * float64(now.Sub(g.updatedAt)))
	g.updatedAt = now
	for i := range g.accounts {
		if x := &g.accounts[i]; x.capacity > 0 {
			x.saved = min(x.maxSaved(), x.saved+earned)
		}
	}
	if _, isFull := g.leastSaved(); isFull {
		g.openedAt, g.spent = now, 0
	}
}

// leastSaved returns the least that is saved of any resource, and whether as much as possible is saved
// of all.
func (g *Gate) leastSaved() (least time.Duration, isFull bool) {
	least, isFull = time.Duration(math.MaxInt64), true
	for i := range g.accounts {
		if x := &g.accounts[i]; x.capacity > 0 {
			least = min(least, x.saved)
			isFull = isFull && x.saved >= x.maxSaved()
		}
	}
	return least, isFull
}

// closedUtilization returns the fraction of a resource that counts as available while the gate is closed.
func (g *Gate) closedUtilization() float64 {
	return min(maxClosedUtilization, max(minClosedUtilization, usualDemand*maxClosedUtilization*g.meanOpen/g.meanSpent))
}

// debit takes the mean call's use from what is saved, and returns it.
func (x *account) debit() time.Duration {
	used := x.timePerCall()
	x.saved = max(-maxDebtTime, x.saved-used)
	return used
}

// timePerCall returns how long the mean call takes all of the resource.
func (x *account) timePerCall() time.Duration {
	return time.Duration(x.perCall / x.capacity * float64(time.Second))
}

// maxSaved returns the most unused capacity that is saved.
func (x *account) maxSaved() time.Duration {
	return min(maxSavedTime, max(minSavedTime, maxSavedCalls*x.timePerCall()))
}

// Status shows the gate's state to operators.
type Status struct {
	Closed bool `json:"closed"`
	// Scarcest is the resource that was short when the gate last closed; empty if it never was.
	Scarcest string `json:"scarcest,omitempty"`
	// SavedMs and PerCallMs are by resource: the unused capacity, and what the mean call takes.
	SavedMs   map[string]float64 `json:"savedMs"`
	PerCallMs map[string]float64 `json:"perCallMs"`
	// Postponed counts the calls that have waited for their bodies.
	Postponed uint64 `json:"postponed"`
}

// Status returns the gate's state.
func (g *Gate) Status(now units.Instant) Status {
	g.update(now)
	s := Status{Closed: g.closed, Postponed: g.postponed, SavedMs: map[string]float64{}, PerCallMs: map[string]float64{}}
	if g.shortUntil != 0 {
		s.Scarcest = g.scarcest.String()
	}
	for i := range g.accounts {
		x := &g.accounts[i]
		if x.capacity == 0 {
			continue
		}
		s.SavedMs[Resource(i).String()] = millis(x.saved)
		s.PerCallMs[Resource(i).String()] = millis(x.timePerCall())
	}
	return s
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1e3 }
