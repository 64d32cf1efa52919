package pacing

import (
	"sync"
	"time"

	"github.com/madderpond/madderpond/pkg/clock"
	"github.com/madderpond/madderpond/pkg/latency"
	"github.com/madderpond/madderpond/pkg/units"
)

// Pacer has the writers of answers wait for their turn on a box's link. A nil one limits
// nothing.
type Pacer struct {
	clock *clock.Clock
	lock  sync.Mutex
	link  *Link
	// timer goes off when the next piece may be written.
	timer *time.Timer
	// lastID is the newest writer's id; turns holds those that wait.
	lastID    WriterID
	grants    map[WriterID]chan struct{}
	counts    Counts
	waitTimes *latency.Histogram
}

// Counts says what a pacer has done since the start.
type Counts struct {
	// InFlight is how many large answers are being written, Most the most at a time.
	InFlight    int `json:"underWay"`
	MaxInFlight int `json:"most"`
	// Pieces and Bytes are what large answers wrote, SmallBytes what went at once.
	Pieces     uint64 `json:"pieces"`
	Bytes      uint64 `json:"bytes"`
	SmallBytes uint64 `json:"smallBytes"`
	// Incomplete counts large answers that ended before their last byte.
	Incomplete uint64 `json:"cutShort"`
	// WaitTimes is how long pieces waited for their turn.
	WaitTimes latency.Summary `json:"waits"`
}

// NewPacer returns a pacer for a link of that rate, or nil where it isn't limited.
func NewPacer(r Rate, c *clock.Clock) *Pacer {
	if r <= 0 {
		return nil
	}
	p := &Pacer{clock: c, link: NewLink(r), grants: map[WriterID]chan struct{}{}, waitTimes: latency.NewHistogram(latency.Coarse)}
	p.timer = time.AfterFunc(0, p.grantDue)
	return p
}

// Counts returns what the pacer has done since the start.
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

// AdmitSmall tells whether an answer of that length is small, and counts it if so: it goes
// at once, and large ones yield to it.
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

// wait returns when a piece may be written.
func (p *Pacer) wait(bytes int, aim time.Duration) time.Duration {
	asked := p.clock.Now()
	<-p.enqueue(asked, bytes, aim)
	waited := p.clock.Now().Sub(asked)
	p.waitTimes.Observe(waited)
	return waited
}

func (p *Pacer) enqueue(now units.Instant, bytes int, aim time.Duration) chan struct{} {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.lastID++
	turn := make(chan struct{})
	p.grants[p.lastID] = turn
	p.link.Enqueue(now, p.lastID, bytes, aim)
	p.grantDueLocked()
	return turn
}

// grantDue lets the pieces go whose turn has come.
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

// recordPiece counts a piece that goes out.
func (p *Pacer) recordPiece(bytes int) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.counts.Pieces++
	p.counts.Bytes += uint64(bytes)
}

// refund gives the link's time for a piece to other writers, when its caller has hung up.
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

func (p *Pacer) recordEnd(whole bool) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.counts.InFlight--
	if !whole {
		p.counts.Incomplete++
	}
}
