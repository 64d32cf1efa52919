package pacing

import (
	"sync"
	"time"

	"github.com/madderpond/madderpond/pkg/clock"
	"github.com/madderpond/madderpond/pkg/latency"
	"github.com/madderpond/madderpond/pkg/units"
)

// Pacer blocks the writers of large responses until the box's link grants them a piece. A nil
// Pacer limits nothing.
type Pacer struct {
	clock *clock.Clock
	lock  sync.Mutex
	link  *Link
	// timer fires when the next piece may be granted.
	timer *time.Timer
	// lastID is the newest writer's id; grants has a channel for each waiting writer, closed
	// when its piece is granted.
	lastID    WriterID
	grants    map[WriterID]chan struct{}
	counts    Counts
	waitTimes *latency.Histogram
}

// Counts are the totals of a pacer since the process started.
type Counts struct {
	// InFlight is how many large responses are being written, MaxInFlight the highest such number.
	InFlight    int `json:"underWay"`
	MaxInFlight int `json:"most"`
	// Pieces and Bytes count what was written of large responses, SmallBytes of small ones.
	Pieces     uint64 `json:"pieces"`
	Bytes      uint64 `json:"bytes"`
	SmallBytes uint64 `json:"smallBytes"`
	// Incomplete counts large responses that ended before their last byte.
	Incomplete uint64 `json:"cutShort"`
	// WaitTimes summarizes how long pieces waited for a grant.
	WaitTimes latency.Summary `json:"waits"`
}

// NewPacer returns a pacer for a link of that rate, or nil if the rate is unlimited.
func NewPacer(r Rate, c *clock.Clock) *Pacer {
	if r <= 0 {
		return nil
	}
	p := &Pacer{clock: c, link: NewLink(r), grants: map[WriterID]chan struct{}{}, waitTimes: latency.NewHistogram(latency.Coarse)}
	p.timer = time.AfterFunc(0, p.grantDue)
	return p
}

// Counts returns the totals so far.
func (p *Pacer) Counts() Counts {
	if p == nil {
		return Counts{}
	}
	p.lock.Lock()
	defer p.lock.Unlock()
	counts := p.counts
	counts.WaitTimes = p.waitTimes.Summary()
	return counts
}

// AdmitSmall reports whether a response of that many bytes is small, and counts it if so: it
// may be written at once, and large ones yield to it.
func (p *Pacer) AdmitSmall(bytes int) bool {
	if p == nil {
		return true
	}
	p.lock.Lock()
	defer p.lock.Unlock()
	if !p.link.IsSmall(bytes) {
		return false
	}
	p.link.RecordSmall(p.clock.Now(), bytes)
	p.counts.SmallBytes += uint64(bytes)
	return true
}

// wait blocks until a piece may be written and returns how long that took.
func (p *Pacer) wait(bytes int, objective time.Duration) time.Duration {
	start := p.clock.Now()
	<-p.enqueue(start, bytes, objective)
	waited := p.clock.Now().Sub(start)
	p.waitTimes.Observe(waited)
	return waited
}

func (p *Pacer) enqueue(now units.Instant, bytes int, objective time.Duration) chan struct{} {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.lastID++
	granted := make(chan struct{})
	p.grants[p.lastID] = granted
	p.link.Enqueue(now, p.lastID, bytes, objective)
	p.grantDueLocked()
	return granted
}

// grantDue grants the pieces that may be written now.
func (p *Pacer) grantDue() {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.grantDueLocked()
}

func (p *Pacer) grantDueLocked() {
	for {
		id, ok := p.link.NextWriter(p.clock.Now())
		if !ok {
			break
		}
		close(p.grants[id])
		delete(p.grants, id)
	}
	if due, ok := p.link.NextGrantAt(); ok {
		p.timer.Reset(max(0, p.clock.Until(due)))
	}
}

// recordPiece counts a piece that is written.
func (p *Pacer) recordPiece(bytes int) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.counts.Pieces++
	p.counts.Bytes += uint64(bytes)
}

// refund gives the link time of a piece to other writers, after its caller has disconnected.
func (p *Pacer) refund(bytes int) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.link.Refund(bytes)
	p.grantDueLocked()
}

func (p *Pacer) recordStart() {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.counts.InFlight++
	p.counts.MaxInFlight = max(p.counts.MaxInFlight, p.counts.InFlight)
}

func (p *Pacer) recordEnd(complete bool) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.counts.InFlight--
	if !complete {
		p.counts.Incomplete++
	}
}
