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
	// last is the newest writer's id; turns holds those that wait.
	last   WriterID
	turns  map[WriterID]chan struct{}
	counts Counts
	waits  *latency.Histogram
}

// Counts says what a pacer has done since the start.
type Counts struct {
	// UnderWay is how many large answers are being written, Most the most at a time.
	UnderWay int `json:"underWay"`
	Most     int `json:"most"`
	// Pieces and Bytes are what large answers wrote, SmallBytes what went at once.
	Pieces     uint64 `json:"pieces"`
	Bytes      uint64 `json:"bytes"`
	SmallBytes uint64 `json:"smallBytes"`
	// CutShort counts large answers that ended before their last byte.
	CutShort uint64 `json:"cutShort"`
	// Waits is how long pieces waited for their turn.
	Waits latency.Summary `json:"waits"`
}

// NewPacer returns a pacer for a link of that rate, or nil where it isn't limited.
func NewPacer(r Rate, c *clock.Clock) *Pacer {
	if r <= 0 {
		return nil
	}
	p := &Pacer{clock: c, link: NewLink(r), turns: map[WriterID]chan struct{}{}, waits: latency.NewHistogram(latency.Coarse)}
	p.timer = time.AfterFunc(0, p.grant)
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
	counts.Waits = p.waits.Summary()
	return counts
}

// WriteSmall tells whether an answer of that length is small, and counts it if so: it goes
// at once, and large ones yield to it.
func (p *Pacer) WriteSmall(bytes int) bool {
	if p == nil {
		return true
	}
	p.lock.Lock()
	defer p.lock.Unlock()
	if !p.link.IsSmall(bytes) {
		return false
	}
	p.link.Wrote(p.clock.Now(), bytes)
	p.counts.SmallBytes += uint64(bytes)
	return true
}

// wait returns when a piece may be written.
func (p *Pacer) wait(bytes int, aim time.Duration) time.Duration {
	asked := p.clock.Now()
	<-p.ask(asked, bytes, aim)
	waited := p.clock.Now().Sub(asked)
	p.waits.Observe(waited)
	return waited
}

func (p *Pacer) ask(now units.Instant, bytes int, aim time.Duration) chan struct{} {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.last++
	turn := make(chan struct{})
	p.turns[p.last] = turn
	p.link.Ask(now, p.last, bytes, aim)
	p.grantLocked()
	return turn
}

// grant lets the pieces go whose turn has come.
func (p *Pacer) grant() {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.grantLocked()
}

func (p *Pacer) grantLocked() {
	for {
		id, ok := p.link.Next(p.clock.Now())
		if !ok {
			break
		}
		close(p.turns[id])
		delete(p.turns, id)
	}
	if due, ok := p.link.Due(); ok {
		p.timer.Reset(max(0, p.clock.Until(due)))
	}
}

// wrote counts a piece that goes out.
func (p *Pacer) wrote(bytes int) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.counts.Pieces++
	p.counts.Bytes += uint64(bytes)
}

// unused gives the time of a piece to the others, whose writer has nobody to write to.
func (p *Pacer) unused(bytes int) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.link.Unused(bytes)
	p.grantLocked()
}

func (p *Pacer) began() {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.counts.UnderWay++
	p.counts.Most = max(p.counts.Most, p.counts.UnderWay)
}

func (p *Pacer) ended(whole bool) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.counts.UnderWay--
	if !whole {
		p.counts.CutShort++
	}
}
