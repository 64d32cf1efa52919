package lab

import (
	"io"
	"net"
	"net/netip"
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
	// conns holds the open connections with the client's address, also those to the target.
	conns  map[net.Conn]netip.Addr
	closed bool
	// cuts holds the clients that are cut off from the target.
	cuts map[netip.Addr]CutMode
	// opened counts the connections that each client has opened.
	opened map[netip.Addr]int
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

// CutMode is how a client's connections fail while it is cut off.
type CutMode int

// The modes of a cut.
const (
	// CutSilent holds back all data while connections stay open.
	CutSilent CutMode = iota + 1
	// CutReset resets open and new connections.
	CutReset
	// CutNew resets new connections only.
	CutNew
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
	p := &FaultProxy{listener: listener, target: target, conns: map[net.Conn]netip.Addr{}, cuts: map[netip.Addr]CutMode{}, opened: map[netip.Addr]int{}}
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

// CutOff cuts the client at an address off from the target, until Reconnect.
func (p *FaultProxy) CutOff(client netip.Addr, m CutMode) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.cuts[client] = m
	if m != CutReset {
		return
	}
	for c, from := range p.conns {
		if from == client {
			reset(c)
		}
	}
}

// Opened returns how many connections the client at an address has opened.
func (p *FaultProxy) Opened(client netip.Addr) int {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.opened[client]
}

// Reconnect ends the cut of a client.
func (p *FaultProxy) Reconnect(client netip.Addr) {
	p.lock.Lock()
	defer p.lock.Unlock()
	delete(p.cuts, client)
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
		reset(c)
	}
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

// Close stops the proxy and resets its connections.
func (p *FaultProxy) Close() {
	p.lock.Lock()
	p.closed = true
	p.blackholed = [directions]bool{}
	clear(p.cuts)
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
	client := in.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()
	p.countOpened(client)
	generation, open := p.addConn(in, client)
	if !open {
		reset(in)
		return
	}
	if !p.awaitForwarding(ToTarget, generation, client) {
		return
	}
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer p.closeConn(out)
	if _, open := p.addConn(out, client); !open {
		return
	}
	done := make(chan struct{})
	go func() {
		p.copy(out, in, ToTarget, generation, client)
		close(done)
	}()
	p.copy(in, out, FromTarget, generation, client)
	<-done
}

// copy forwards data in one direction until that direction is closed.
func (p *FaultProxy) copy(to, from net.Conn, d Direction, generation int, client netip.Addr) {
	defer closeWrite(to)
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if !p.awaitForwarding(d, generation, client) {
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

// awaitForwarding blocks while the direction is blackholed or the client is cut off in silence, then
// for the delay. It returns false if the proxy is closed.
func (p *FaultProxy) awaitForwarding(d Direction, generation int, client netip.Addr) bool {
	p.lock.Lock()
	for (p.blackholed[d] || generation != p.generation || p.cuts[client] == CutSilent) && !p.closed {
		p.changed.Wait()
	}
	closed, delay := p.closed, p.delay
	p.lock.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	return !closed
}

func (p *FaultProxy) countOpened(client netip.Addr) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.opened[client]++
}

// addConn registers a connection of a client; it returns the connection's generation and whether
// the proxy forwards the client's new connections.
func (p *FaultProxy) addConn(c net.Conn, client netip.Addr) (generation int, open bool) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.conns[c] = client
	m := p.cuts[client]
	return p.generation, !p.closed && m != CutReset && m != CutNew
}

func (p *FaultProxy) closeConn(c net.Conn) {
	c.Close()
	p.lock.Lock()
	defer p.lock.Unlock()
	delete(p.conns, c)
}
