package transport

import (
	"context"
	"sync"
	"time"

	"github.com/madderpond/madderpond/pkg/wire"
)

const (
	// linkQueueLength bounds the messages that wait for a connection; when it is full
	// the oldest kind of loss applies: the message is dropped, as a network may.
	linkQueueLength = 256
	// minRedialDelay doubles with each failure up to maxRedial.
	minRedialDelay = 20 * time.Millisecond
	maxRedialDelay = 500 * time.Millisecond
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
	// wakeups brings the news that the other side is there.
	wakeups chan struct{}
	// minRedialDelay is the wait after the first failure.
	minRedialDelay time.Duration
}

// NewLink returns a link that starts to connect with its first message.
func NewLink(address string, security *Security, hello func() *wire.Hello) *Link {
	return newLink(address, security, hello, minRedialDelay)
}

func newLink(address string, security *Security, hello func() *wire.Hello, redialDelay time.Duration) *Link {
	l := &Link{
		address: address, security: security,
		hello:   hello,
		queue:   make(chan *wire.Envelope, linkQueueLength),
		done:    make(chan struct{}),
		wakeups: make(chan struct{}, 1),

		minRedialDelay: redialDelay,
	}
	go l.run()
	return l
}

// Wake says that the other side has just been heard: what is left of the wait after a
// failure, or of an attempt to connect that began before it was there, is in vain.
func (l *Link) Wake() {
	select {
	case l.wakeups <- struct{}{}:
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
	redialDelay := l.minRedialDelay
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
				conn = l.connect(&redialDelay)
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
func (l *Link) connect(redialDelay *time.Duration) *Conn {
	conn, err := l.dial()
	if err == nil {
		*redialDelay = l.minRedialDelay
		go l.closeOnEnd(conn)
		return conn
	}
	select {
	case <-l.done:
	case <-l.wakeups:
		*redialDelay = l.minRedialDelay
	case <-time.After(*redialDelay):
		*redialDelay = min(2**redialDelay, maxRedialDelay)
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
		case <-l.wakeups:
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

// closeOnEnd reads what the other side sends on this connection, which is nothing
// but its end.
func (l *Link) closeOnEnd(conn *Conn) {
	for {
		if _, err := conn.Receive(); err != nil {
			conn.Close()
			return
		}
	}
}
