package lab

import (
	"io"
	"net"
	"sync"
	"time"
)

// FaultProxy passes TCP connections on and brings about network faults.
type FaultProxy struct {
	listener net.Listener
	target   string
	lock     sync.Mutex
	changed  *sync.Cond
	silent   [directions]bool
	delay    time.Duration
	conns    map[net.Conn]bool
	closed   bool
	// generation numbers the connections between two calls of SilenceOpen; those of earlier
	// ones stay silent for good.
	generation int
}

// Direction is a way that bytes go through a proxy.
type Direction int

// The directions.
const (
	// ToTarget is from whoever connected.
	ToTarget Direction = iota
	// FromTarget is back to whoever connected.
	FromTarget
	directions
)

// StartFaultProxy starts a proxy in front of an address.
func StartFaultProxy(target string) (*FaultProxy, error) {
	return StartFaultProxyAt("127.0.0.1:0", target)
}

// StartFaultProxyAt starts a proxy on an address of its own.
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

// Address is where the proxy listens.
func (p *FaultProxy) Address() string { return p.listener.Addr().String() }

// Silence cuts everything without a word: bytes stop, connections stay open.
func (p *FaultProxy) Silence(on bool) {
	p.SilenceOneWay(ToTarget, on)
	p.SilenceOneWay(FromTarget, on)
}

// SilenceOneWay cuts one direction without a word.
func (p *FaultProxy) SilenceOneWay(d Direction, on bool) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.silent[d] = on
	p.changed.Broadcast()
}

// SilenceOpen silences the connections that are open now for good: they pass nothing and
// aren't closed. New ones work.
func (p *FaultProxy) SilenceOpen() {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.generation++
	p.changed.Broadcast()
}

// Delay holds every piece of data up for a while.
func (p *FaultProxy) Delay(d time.Duration) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.delay = d
}

// Reset ends every connection with a reset.
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

// Close ends the proxy.
func (p *FaultProxy) Close() {
	p.lock.Lock()
	p.closed = true
	p.silent = [directions]bool{}
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
		go p.pass(in)
	}
}

func (p *FaultProxy) pass(in net.Conn) {
	defer p.forget(in)
	generation, open := p.remember(in)
	if !open || !p.await(ToTarget, generation) {
		return
	}
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer p.forget(out)
	if _, open := p.remember(out); !open {
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

// copy passes data on in one direction until it ends there.
func (p *FaultProxy) copy(to, from net.Conn, d Direction, generation int) {
	defer closeWrite(to)
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if !p.await(d, generation) {
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

// await waits as the present fault says; false means that the proxy is closed.
func (p *FaultProxy) await(d Direction, generation int) bool {
	p.lock.Lock()
	for (p.silent[d] || generation != p.generation) && !p.closed {
		p.changed.Wait()
	}
	closed, delay := p.closed, p.delay
	p.lock.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	return !closed
}

// remember keeps a connection, and tells its generation and whether the proxy is open.
func (p *FaultProxy) remember(c net.Conn) (generation int, open bool) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.conns[c] = true
	return p.generation, !p.closed
}

func (p *FaultProxy) forget(c net.Conn) {
	c.Close()
	p.lock.Lock()
	defer p.lock.Unlock()
	delete(p.conns, c)
}
