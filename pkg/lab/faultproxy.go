package lab

import (
	"io"
	"net"
	"sync"
	"time"
)

// FaultProxy forwards TCP connections and injects network faults.
type FaultProxy struct {
	listener   net.Listener
	target     string
	lock       sync.Mutex
	changed    *sync.Cond
	blackholed [directions]bool
	delay      time.Duration
	conns      map[net.Conn]bool
	closed     bool
	// generation is incremented by each BlackholeOpenConns; connections of earlier
	// generations stay blackholed.
	generation int
}

// Direction is the direction of data through a proxy.
type Direction int

// The directions.
const (
	// ToTarget is from the client to the target.
	ToTarget Direction = iota
	// FromTarget is from the target to the client.
	FromTarget
	directions
)

// StartFaultProxy starts a proxy for a target address on a free loopback port.
func StartFaultProxy(target string) (*FaultProxy, error) {
	return StartFaultProxyAt("127.0.0.1:0", target)
}

// StartFaultProxyAt starts a proxy for a target address that listens on a given address.
func StartFaultProxyAt(listen, target string) (*FaultProxy, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &FaultProxy{listener: listener, target: target, conns: map[net.Conn]bool{}}
	p.changed = sync.NewCond(&p.lock)
	go p.run()
	return p, nil
}

// Address returns the address that the proxy listens on.
func (p *FaultProxy) Address() string { return p.listener.Addr().String() }

// Blackhole stops or resumes forwarding in both directions while connections stay open.
func (p *FaultProxy) Blackhole(on bool) {
	p.BlackholeOneWay(ToTarget, on)
	p.BlackholeOneWay(FromTarget, on)
}

// BlackholeOneWay stops or resumes forwarding in one direction while connections stay open.
func (p *FaultProxy) BlackholeOneWay(d Direction, on bool) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.blackholed[d] = on
	p.changed.Broadcast()
}

// BlackholeOpenConns permanently stops forwarding on the connections that are open now, without
// closing them. New connections work.
func (p *FaultProxy) BlackholeOpenConns() {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.generation++
	p.changed.Broadcast()
}

// SetDelay delays every chunk of data in both directions.
func (p *FaultProxy) SetDelay(d time.Duration) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.delay = d
}

// Reset closes every connection with a TCP reset.
func (p *FaultProxy) Reset() {
	p.lock.Lock()
	defer p.lock.Unlock()
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		c.Close()
	}
}

// Close stops the proxy and resets its connections.
func (p *FaultProxy) Close() {
	p.lock.Lock()
	p.closed = true
	p.blackholed = [directions]bool{}
	p.changed.Broadcast()
	p.lock.Unlock()
	p.listener.Close()
	p.Reset()
}

func (p *FaultProxy) run() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(in)
	}
}

func (p *FaultProxy) forward(in net.Conn) {
	defer p.closeConn(in)
	generation, open := p.addConn(in)
	if !open || !p.awaitForwarding(ToTarget, generation) {
		return
	}
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer p.closeConn(out)
	if _, open := p.addConn(out); !open {
		return
	}
	done := make(chan struct{})
	go func() {
		p.copy(out, in, ToTarget, generation)
		close(done)
	}()
	p.copy(in, out, FromTarget, generation)
	<-done
}

// copy forwards data in one direction until that direction is closed.
func (p *FaultProxy) copy(to, from net.Conn, d Direction, generation int) {
	defer closeWrite(to)
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if !p.awaitForwarding(d, generation) {
				return
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				to.Close()
			}
			return
		}
	}
}

func closeWrite(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.CloseWrite()
	}
}

// awaitForwarding blocks while the direction is blackholed, then for the delay. It returns false
// if the proxy is closed.
func (p *FaultProxy) awaitForwarding(d Direction, generation int) bool {
	p.lock.Lock()
	for (p.blackholed[d] || generation != p.generation) && !p.closed {
		p.changed.Wait()
	}
	closed, delay := p.closed, p.delay
	p.lock.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	return !closed
}

// addConn registers a connection; it returns the connection's generation and whether the proxy
// is open.
func (p *FaultProxy) addConn(c net.Conn) (generation int, open bool) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.conns[c] = true
	return p.generation, !p.closed
}

func (p *FaultProxy) closeConn(c net.Conn) {
	c.Close()
	p.lock.Lock()
	defer p.lock.Unlock()
	delete(p.conns, c)
}
