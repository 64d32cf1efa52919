package target

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/madderpond/madderpond/pkg/clock"
	"github.com/madderpond/madderpond/pkg/core/routing"
)

// Settings are what the connections to targets need to know.
type Settings struct {
	ConnectTimeout time.Duration
	IdleTimeout    time.Duration
	// AtMostOnceIdleTimeout is how long a connection may have rested to carry work that must not run
	// twice.
	AtMostOnceIdleTimeout time.Duration
	MaxBufferedBytes      int
	ShedStatus            int
	ShedHeader            string
	LoadHeader            string
	DeadlineHeader        string
	ProbePath             string
	// CallIDHeader names a call and its answer; empty compares nothing.
	CallIDHeader string
	// IdentityHeader names the registered target that is meant; empty sends none.
	IdentityHeader string
	// TargetHeader is where a target names itself in the answer to a probe.
	TargetHeader string
	// ColdHeader is where a target says for how many milliseconds it stays cold; empty reads
	// none.
	ColdHeader string
	// LeavingHeader is where a target says that it is about to end; empty reads none.
	LeavingHeader string
	// LimitHeader is where a target names how many calls a second it takes from all boxes together;
	// empty reads none.
	LimitHeader string
	// StatusMayMeanNotExecuted is set where some statuses promise that a call hasn't run.
	StatusMayMeanNotExecuted bool
	// AllowUnframed lets answers count that end with their connection.
	AllowUnframed bool
}

// Pools keeps idle connections, an address each.
type Pools struct {
	settings  Settings
	clock     *clock.Clock
	lock      sync.Mutex
	byAddress map[string]*pool
	// withheld are the targets that want nothing; anyWithheld is set while there are any.
	withheld    map[*routing.Endpoint]Withholding
	anyWithheld atomic.Bool
}

type pool struct {
	idle      []*conn
	openCount int
}

// NewPools returns empty pools.
func NewPools(s Settings, c *clock.Clock) *Pools {
	return &Pools{settings: s, clock: c, byAddress: map[string]*pool{}, withheld: map[*routing.Endpoint]Withholding{}}
}

// takeIdle returns an idle connection that is still alive and has rested for no longer than a
// limit, or nil. Dead ones that it meets are closed, and those that their targets may
// close any moment.
func (p *Pools) takeIdle(address string, limit time.Duration) *conn {
	for {
		c := p.popIdle(address, limit)
		if c == nil || c.isUsable() && !c.isNearKeepAliveEnd(p.clock.Now()) {
			return c
		}
		p.close(address, c)
	}
}

func (p *Pools) popIdle(address string, limit time.Duration) *conn {
	p.lock.Lock()
	defer p.lock.Unlock()
	x := p.byAddress[address]
	if x == nil || len(x.idle) == 0 {
		return nil
	}
	// The last one has rested for the least time.
	c := x.idle[len(x.idle)-1]
	if p.clock.Now().Sub(c.idleSince) > limit {
		return nil
	}
	x.idle = x.idle[:len(x.idle)-1]
	return c
}

// open opens a new connection.
func (p *Pools) open(ctx context.Context, address string) (*conn, error) {
	c, err := dial(ctx, address)
	if err != nil {
		return nil, err
	}
	p.lock.Lock()
	defer p.lock.Unlock()
	p.pool(address).openCount++
	return c, nil
}

func (p *Pools) pool(address string) *pool {
	x := p.byAddress[address]
	if x == nil {
		x = &pool{}
		p.byAddress[address] = x
	}
	return x
}

// putIdle gives a connection back on which nothing is owed. It is closed when the
// box has as many open as it may.
func (p *Pools) putIdle(e *routing.Endpoint, c *conn, connections int) {
	c.raw.SetDeadline(time.Time{})
	c.idleSince = p.clock.Now()
	p.lock.Lock()
	x := p.pool(e.Address)
	if connections > 0 && x.openCount > connections {
		p.lock.Unlock()
		p.close(e.Address, c)
		return
	}
	x.idle = append(x.idle, c)
	p.lock.Unlock()
}

func (p *Pools) close(address string, c *conn) {
	c.raw.Close()
	p.lock.Lock()
	defer p.lock.Unlock()
	x := p.pool(address)
	x.openCount--
	if x.openCount == 0 {
		delete(p.byAddress, address)
	}
}

// CloseIdle closes the connections that have been idle for too long.
func (p *Pools) CloseIdle() {
	type old struct {
		address string
		conn    *conn
	}
	var olds []old
	p.lock.Lock()
	oldest := p.clock.Now().Add(-p.settings.IdleTimeout)
	for address, x := range p.byAddress {
		// The longest idle stand first.
		n := 0
		for n < len(x.idle) && x.idle[n].idleSince < oldest {
			olds = append(olds, old{address, x.idle[n]})
			n++
		}
		x.idle = append(x.idle[:0], x.idle[n:]...)
	}
	p.dropExpiredWithheld()
	p.lock.Unlock()
	for _, o := range olds {
		p.close(o.address, o.conn)
	}
}

// Status counts the connections of an address.
type Status struct {
	Address string `json:"address"`
	Open    int    `json:"open"`
	Idle    int    `json:"idle"`
}

// Status returns the pools' state.
func (p *Pools) Status() []Status {
	p.lock.Lock()
	defer p.lock.Unlock()
	all := make([]Status, 0, len(p.byAddress))
	for a, x := range p.byAddress {
		all = append(all, Status{Address: a, Open: x.openCount, Idle: len(x.idle)})
	}
	return all
}
