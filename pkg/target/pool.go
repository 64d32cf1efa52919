package target

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/madderpond/madderpond/pkg/clock"
	"github.com/madderpond/madderpond/pkg/core/routing"
	"github.com/madderpond/madderpond/pkg/traffic"
)

// Settings configure the connections to targets and how their responses are read.
type Settings struct {
	ConnectTimeout time.Duration
	// Source is the IP address that connections come from; the zero address leaves it to the system.
	Source      netip.Addr
	IdleTimeout time.Duration
	// AtMostOnceIdleTimeout is how long a connection may have been idle to carry work that must
	// not run twice.
	AtMostOnceIdleTimeout time.Duration
	MaxBufferedBytes      int
	// ShedStatus is the status of responses that shed a call; zero means any.
	ShedStatus     int
	ShedHeader     string
	LoadHeader     string
	DeadlineHeader string
	ProbePath      string
	// CallIDHeader carries the id of a call in its request and its response; empty means that the
	// ids aren't compared.
	CallIDHeader string
	// IdentityHeader carries the id of the registered target in a request; empty sends none.
	IdentityHeader string
	// TargetHeader carries the id of the target in the response to a probe.
	TargetHeader string
	// ColdHeader is where a target reports for how many milliseconds it stays cold; empty reads
	// none.
	ColdHeader string
	// LeavingHeader is where a target reports that it is about to stop; empty reads none.
	LeavingHeader string
	// LimitHeader is where a target announces how many calls per second it accepts from all boxes
	// together; empty reads none.
	LimitHeader string
	// StatusMayMeanNotExecuted is set where callers take some statuses to mean that the target
	// didn't execute the call; such responses without the shed header aren't passed to them.
	StatusMayMeanNotExecuted bool
	// AllowUnframed accepts responses whose end is the end of their connection.
	AllowUnframed bool
	// MaxHeadBytes is the length of the longest head of a response that is read. Shorter ones than the buffer of a
	// connection are read whatever it is.
	MaxHeadBytes int
	// ReserveMemory reserves memory to buffer a response, in bytes, if there is any; nil means without limit.
	ReserveMemory func(bytes int) (release func(), ok bool)
	// Traffic counts what connections to targets put on the link; nil counts nothing.
	Traffic *traffic.Counter
	// DialRelay connects to another box to which calls are relayed.
	DialRelay func(ctx context.Context, address string) (net.Conn, error)
}

// Pools keeps idle connections, in a pool for each address.
type Pools struct {
	settings  Settings
	clock     *clock.Clock
	lock      sync.Mutex
	byAddress map[string]*pool
	// withheld has the targets for which calls or probes are withheld; anyWithheld is set while
	// there are any.
	withheld    map[*routing.Endpoint]Withholding
	anyWithheld atomic.Bool
}

type pool struct {
	idle      []*conn
	openCount int
}

// NewPools returns empty pools.
func NewPools(s Settings, c *clock.Clock) *Pools {
	if s.ReserveMemory == nil {
		s.ReserveMemory = reserveUnlimited
	}
	return &Pools{settings: s, clock: c, byAddress: map[string]*pool{}, withheld: map[*routing.Endpoint]Withholding{}}
}

func reserveUnlimited(int) (release func(), ok bool) { return func() {}, true }

// takeIdle returns an idle connection that is still usable and has been idle for no longer than a
// timeout, or nil. It closes the connections it finds that are dead or that their target may be
// about to close.
func (p *Pools) takeIdle(address string, timeout time.Duration) *conn {
	for {
		c := p.popIdle(address, timeout)
		if c == nil || c.isUsable() && !c.isNearKeepAliveEnd(p.clock.Now()) {
			return c
		}
		p.close(address, c)
	}
}

func (p *Pools) popIdle(address string, timeout time.Duration) *conn {
	p.lock.Lock()
	defer p.lock.Unlock()
	x := p.byAddress[address]
	if x == nil || len(x.idle) == 0 {
		return nil
	}
	// The last one has been idle for the shortest time.
	c := x.idle[len(x.idle)-1]
	if p.clock.Now().Sub(c.idleSince) > timeout {
		return nil
	}
	x.idle = x.idle[:len(x.idle)-1]
	return c
}

// open dials a new connection to a target, or to the box that calls are relayed to.
func (p *Pools) open(ctx context.Context, x *routing.Endpoint) (*conn, error) {
	c, err := p.dial(ctx, x)
	if err != nil {
		return nil, err
	}
	p.lock.Lock()
	defer p.lock.Unlock()
	p.pool(x.Address).openCount++
	return c, nil
}

func (p *Pools) dial(ctx context.Context, x *routing.Endpoint) (*conn, error) {
	if x.Relay == "" {
		return dial(ctx, p.settings.Source, x.Address, p.settings.Traffic)
	}
	raw, err := p.settings.DialRelay(ctx, x.Address)
	if err != nil {
		return nil, err
	}
	return newConn(raw), nil
}

func (p *Pools) pool(address string) *pool {
	x := p.byAddress[address]
	if x == nil {
		x = &pool{}
		p.byAddress[address] = x
	}
	return x
}

// putIdle returns a connection without an outstanding response to its pool. It closes the
// connection if more than maxConnections to the address are open; zero means no maximum.
func (p *Pools) putIdle(e *routing.Endpoint, c *conn, maxConnections int) {
	c.raw.SetDeadline(time.Time{})
	c.idleSince = p.clock.Now()
	p.lock.Lock()
	x := p.pool(e.Address)
	if maxConnections > 0 && x.openCount > maxConnections {
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

// CloseIdle closes the connections that have been idle for longer than the idle timeout, and drops
// expired withholdings.
func (p *Pools) CloseIdle() {
	type idleConn struct {
		address string
		conn    *conn
	}
	var expired []idleConn
	p.lock.Lock()
	oldest := p.clock.Now().Add(-p.settings.IdleTimeout)
	for address, x := range p.byAddress {
		// The connections are ordered by idleSince, the longest idle first.
		n := 0
		for n < len(x.idle) && x.idle[n].idleSince < oldest {
			expired = append(expired, idleConn{address, x.idle[n]})
			n++
		}
		x.idle = append(x.idle[:0], x.idle[n:]...)
	}
	p.dropExpiredWithheld()
	p.lock.Unlock()
	for _, o := range expired {
		p.close(o.address, o.conn)
	}
}

// Status has the number of open and of idle connections to an address.
type Status struct {
	Address string `json:"address"`
	Open    int    `json:"open"`
	Idle    int    `json:"idle"`
}

// Status returns the connection counts of every address.
func (p *Pools) Status() []Status {
	p.lock.Lock()
	defer p.lock.Unlock()
	all := make([]Status, 0, len(p.byAddress))
	for a, x := range p.byAddress {
		all = append(all, Status{Address: a, Open: x.openCount, Idle: len(x.idle)})
	}
	return all
}
