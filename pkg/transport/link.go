package transport

import (
	"context"
	"sync"
	"time"

	"github.com/madderpond/madderpond/pkg/wire"
)

const (
	// linkQueue bounds the messages that wait for a connection; when it is full
	// the oldest kind of loss applies: the message is dropped, as a network may.
	linkQueue = 256
	// firstRedial doubles with each failure up to maxRedial.
	firstRedial = 20 * time.Millisecond
	maxRedial   = 500 * time.Millisecond
)

// Link sends messages to one process and makes its connection anew whenever it
// is lost. Messages may be lost, as on any network; their order is kept on each
// connection.
type Link struct {
	address  string
	security *Security
	hello    func() *wire.Hello
	queue    chan *wire.Envelope
	done     chan struct{}
	once     sync.Once
	// woken brings the news that the other side is there.
	woken chan struct{}
	// firstRedial is the wait after the first failure.
	firstRedial time.Duration
}

// NewLink returns a link that starts to connect with its first message.
func NewLink(address string, security *Security, hello func() *wire.Hello) *Link {
	return newLink(address, security, hello, firstRedial)
}

func newLink(address string, security *Security, hello func() *wire.Hello, redial time.Duration) *Link {
	l := &Link{
		address: address, security: security,
		hello: hello,
		queue: make(chan *wire.Envelope, linkQueue),
		done:  make(chan struct{}),
		woken: make(chan struct{}, 1),

		firstRedial: redial,
	}
	go l.run()
	return l
}

// Wake says that the other side has just been heard: what is left of the wait after a
// failure, or of an attempt to connect that began before it was there, is in vain.
func (l *Link) Wake() {
	select {
	case l.woken <- struct{}{}:
	default:
	}
}

// Send queues a message; it never blocks, and tells whether there was room.
func (l *Link) Send(m *wire.Envelope) bool {
	select {
	case l.queue <- m:
		return true
	default:
		return false
	}
}

// Close ends the link and its connection.
func (l *Link) Close() { l.once.Do(func() { close(l.done) }) }

func (l *Link) run() {
	var conn *Conn
	redial := l.firstRedial
	defer func() {
		if conn != nil {
			conn.Close()
		}
	}()
	for {
		select {
		case <-l.done:
			return
		case m := <-l.queue:
			if conn != nil && conn.closed() {
				conn = nil
			}
			if conn == nil {
				conn = l.connect(&redial)
			}
			if conn == nil {
				continue
			}
			if err := conn.Send(m); err != nil {
				conn.Close()
				conn = nil
			}
		}
	}
}

// connect dials once; after a failure it waits a little longer each time.
func (l *Link) connect(redial *time.Duration) *Conn {
	conn, err := l.dial()
	if err == nil {
		*redial = l.firstRedial
		go l.watch(conn)
		return conn
	}
	select {
	case <-l.done:
	case <-l.woken:
		*redial = l.firstRedial
	case <-time.After(*redial):
		*redial = min(2**redial, maxRedial)
	}
	l.drain()
	return nil
}

// dial connects, and begins anew once when the other side is heard meanwhile: packets
// that it lost before it was there are sent again only after a second.
func (l *Link) dial() (*Conn, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		select {
		case <-l.woken:
			cancel()
		case <-l.done:
			cancel()
		case <-ended:
		}
	}()
	conn, err := DialContext(ctx, l.address, l.security, l.hello())
	if err == nil || ctx.Err() == nil {
		return conn, err
	}
	return Dial(l.address, l.security, l.hello())
}

// drain drops what has become old while there was no connection.
func (l *Link) drain() {
	for {
		select {
		case <-l.queue:
		default:
			return
		}
	}
}

// watch reads what the other side sends on this connection, which is nothing
// but its end.
func (l *Link) watch(conn *Conn) {
	for {
		if _, err := conn.Receive(); err != nil {
			conn.Close()
			return
		}
	}
}
