package transport

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/madderpond/madderpond/pkg/fault"
	"github.com/madderpond/madderpond/pkg/listening"
	"github.com/madderpond/madderpond/pkg/wire"
)

// Handler serves one accepted connection; the connection is closed when it
// returns.
type Handler func(hello *wire.Hello, c *Conn)

// Gate decides when an accepted connection is served.
type Gate interface {
	// Wait blocks until a connection from an address may be served.
	Wait(from netip.Addr)
}

// Listener accepts connections from other processes.
type Listener struct {
	domain   string
	log      *logrus.Entry
	security *Security
	listener net.Listener
	handler  Handler
	// relayHandler serves relay connections; nil refuses them.
	relayHandler RelayHandler
	gate         Gate
	lock         sync.Mutex
	conns        map[net.Conn]bool
	closed       bool
}

// maxConns is the largest number of open connections; further ones are closed at once.
const maxConns = 4096

// Listen starts to accept connections on an address. The domain is this process's failure domain; the
// peers' hellos name theirs. If the gate is nil, each connection is served at once. The error is an
// Unavailable fault.
func Listen(address, domain string, security *Security, log *logrus.Entry, gate Gate, handler Handler) (*Listener, error) {
	raw, err := listening.Listen("tcp", address, log)
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "choose an address of this box whose port is free", "can't listen on %s", address)
	}
	l := &Listener{domain: domain, log: log, security: security, listener: raw, gate: gate, handler: handler, conns: map[net.Conn]bool{}}
	go l.run()
	return l, nil
}

// Address returns the address that the listener is bound to.
func (l *Listener) Address() string { return l.listener.Addr().String() }

// Close closes the listener and all accepted connections.
func (l *Listener) Close() {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.closed = true
	l.listener.Close()
	for c := range l.conns {
		c.Close()
	}
}

func (l *Listener) run() {
	for {
		raw, err := l.listener.Accept()
		if err != nil {
			return
		}
		if !l.admit(raw) {
			raw.Close()
			continue
		}
		go l.serve(raw)
	}
}

func (l *Listener) admit(raw net.Conn) bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.closed || len(l.conns) >= maxConns {
		return false
	}
	l.conns[raw] = true
	return true
}

func (l *Listener) serve(raw net.Conn) {
	defer l.remove(raw)
	if from, ok := raw.RemoteAddr().(*net.TCPAddr); ok && l.gate != nil {
		l.gate.Wait(from.AddrPort().Addr().Unmap())
	}
	raw.SetDeadline(time.Now().Add(helloTimeout))
	wrapped := l.security.wrapServer(raw)
	first, err := readFirst(wrapped)
	if err != nil {
		l.logRefusal(raw, handshakeError(err))
		return
	}
	if first == relayPreface[0] {
		l.serveRelay(raw, wrapped)
		return
	}
	c, hello, err := accept(raw, &prefixedConn{Conn: wrapped, first: first, unread: true}, l.security)
	if err != nil {
		l.logRefusal(raw, err)
		return
	}
	defer c.Close()
	c.locality = OtherDomain
	if hello.Domain == l.domain {
		c.locality = SameDomain
	}
	l.handler(hello, c)
}

// ServeRelays sets the handler of relay connections; until then they are refused.
func (l *Listener) ServeRelays(handler RelayHandler) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.relayHandler = handler
}

func (l *Listener) serveRelay(raw, wrapped net.Conn) {
	l.lock.Lock()
	handler := l.relayHandler
	l.lock.Unlock()
	if handler == nil {
		l.logRefusal(raw, fault.New(fault.Protocol, "relay calls to entry boxes only", "this process accepts no relayed calls"))
		return
	}
	c, hello, err := acceptRelay(raw, wrapped, l.security)
	if err != nil {
		l.logRefusal(raw, err)
		return
	}
	raw.SetDeadline(time.Time{})
	handler(hello, c)
}

// logRefusal logs why a connection isn't served. A connection that ends before its first
// message usually belongs to a process that dialed several addresses and chose another one;
// after a restart there may be hundreds, so these are logged at debug level.
func (l *Listener) logRefusal(raw net.Conn, err error) {
	entry := l.log.WithError(err).WithField("remote", raw.RemoteAddr().String())
	if errors.Is(err, io.EOF) {
		entry.Debug("a connection ended before its first message")
		return
	}
	entry.Warn("connection refused")
}

func (l *Listener) remove(raw net.Conn) {
	l.lock.Lock()
	defer l.lock.Unlock()
	delete(l.conns, raw)
	raw.Close()
}
