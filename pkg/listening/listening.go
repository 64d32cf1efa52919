// Package listening accepts connections also after the process has lacked descriptors or memory for one.
package listening

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// retryInterval is the time between two attempts to accept a connection that there was nothing for.
	retryInterval = 20 * time.Millisecond
	// logInterval is the time between two log lines about that.
	logInterval = time.Second
)

// IsShortage reports whether an operation failed because the process or the machine lacks something now. It says
// nothing about the other end of a connection.
func IsShortage(err error) bool {
	for _, e := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// Listener is a listener whose Accept tries again when the process lacks descriptors or memory.
type Listener struct {
	net.Listener
	log  *logrus.Entry
	done chan struct{}
	once sync.Once
	// loggedAt is when a shortage was last logged.
	loggedAt time.Time
}

// Listen listens on an address. The errors are those of net.Listen.
func Listen(network, address string, log *logrus.Entry) (*Listener, error) {
	l, err := net.Listen(network, address)
	if err != nil {
		return nil, err
	}
	return NewListener(l, log), nil
}

// NewListener returns a listener around another one.
func NewListener(l net.Listener, log *logrus.Entry) *Listener {
	return &Listener{Listener: l, log: log, done: make(chan struct{})}
}

// Accept waits for a connection.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err == nil || !IsShortage(err) {
			return c, err
		}
		l.logShortage(err)
		select {
		case <-l.done:
			return nil, net.ErrClosed
		case <-time.After(retryInterval):
		}
	}
}

func (l *Listener) logShortage(err error) {
	if time.Since(l.loggedAt) < logInterval {
		return
	}
	l.loggedAt = time.Now()
	l.log.WithError(err).WithField("address", l.Addr().String()).Warning("no connection can be accepted now; raise the limit of open files")
}

// Close stops listening.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.done) })
	return l.Listener.Close()
}
