package listening

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/sirupsen/logrus"
)

// failingListener fails with each of its errors before it accepts.
type failingListener struct {
	net.Listener
	failures []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.failures) > 0 {
		err := l.failures[0]
		l.failures = l.failures[1:]
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", err)}
	}
	return l.Listener.Accept()
}

func listenFailing(t *testing.T, failures ...error) *Listener {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	l := NewListener(&failingListener{Listener: inner, failures: failures}, logrus.NewEntry(logger))
	t.Cleanup(func() { l.Close() })
	return l
}

// A server stopped for good when a connection found no descriptor.
func TestAShortageDoesNotEndAListener(t *testing.T) {
	l := listenFailing(t, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM)
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	accepted.Close()
}

func TestOtherErrorsEndAListener(t *testing.T) {
	l := listenFailing(t, syscall.EINVAL)
	if _, err := l.Accept(); !errors.Is(err, syscall.EINVAL) {
		t.Errorf("the error is %v", err)
	}
}

func TestClosingEndsTheWaitAfterAShortage(t *testing.T) {
	failures := make([]error, 1000)
	for i := range failures {
		failures[i] = syscall.EMFILE
	}
	l := listenFailing(t, failures...)
	go l.Close()
	if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("the error is %v", err)
	}
}
