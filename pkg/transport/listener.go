package transport

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/madderpond/madderpond/pkg/fault"
	"github.com/madderpond/madderpond/pkg/wire"
)

// Handler serves one accepted connection until it ends; the connection is
// closed once it returns.
type Handler func(hello *wire.Hello, c *Conn)

// Gate decides when an accepted connection is served.
type Gate interface {
	// Wait returns once a connection from an address may be served.
	Wait(from netip.Addr)
}

// Listener accepts connections of other processes.
type Listener struct {
	domain   string
	log      *logrus.Entry
	security *Security
	listener net.Listener
	handler  Handler
	gate     Gate
	lock     sync.Mutex
	conns    map[net.Conn]bool
	closed   bool
}

// maxConns bounds the connections that are open at a time.
const maxConns = 4096

// Listen opens a port for other processes, which tell by their failure domain whether they are in the
// given one. The gate may be nil; then each connection is served at once. The error is an Unavailable
// fault.
func Listen(address, domain string, security *Security, log *logrus.Entry, gate Gate, handler Handler) (*Listener, error) {
	raw, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "choose an address of this box whose port is free", "can't listen on %s", address)
	}
	l := &Listener{domain: domain, log: log, security: security, listener: raw, gate: gate, handler: handler, conns: map[net.Conn]bool{}}
	go l.run()
	return l, nil
}

// Address returns the address that is listened on.
func (l *Listener) Address() string { return l.listener.Addr().String() }

// Close ends the listener and every connection it has accepted.
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
	c, hello, err := accept(raw, l.security)
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

// logRefusal says why a connection isn't served. One that ends before its first message is
// of a caller that dialled several addresses and was served by another; after a restart
// there may be hundreds.
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
