package transport

import (
	"context"
	"sync"
	"time"

	"github.com/madderpond/madderpond/pkg/wire"
)

const (
	// linkQueueLength is the number of messages that may wait to be sent. Further
	// messages are dropped; callers tolerate loss, as on any network.
	linkQueueLength = 256
	// minRedialDelay is the delay after the first failed dial; it doubles with each
	// further failure, up to maxRedialDelay.
	minRedialDelay = 20 * time.Millisecond
	maxRedialDelay = 500 * time.Millisecond
)

// Link sends messages to one process and reconnects when the connection is lost.
// Messages may be lost, as on any network; each connection preserves their order.
type Link struct {
	address  string
	security *Security
	hello    func() *wire.Hello
	queue    chan *wire.Envelope
	done     chan struct{}
	once     sync.Once
	// receive is called with each message that the peer sends back; nil drops them.
	receive func(*wire.Envelope)
	// wakeups signals that the peer is reachable.
	wakeups chan struct{}
	// minRedialDelay is the delay after the first failed dial.
	minRedialDelay time.Duration
}

// NewLink returns a link that connects when the first message is sent.
func NewLink(address string, security *Security, hello func() *wire.Hello) *Link {
	return newLink(address, security, hello, nil, minRedialDelay)
}

// NewDuplexLink is NewLink for a peer that also sends messages back, which receive is called with.
func NewDuplexLink(address string, security *Security, hello func() *wire.Hello, receive func(*wire.Envelope)) *Link {
	return newLink(address, security, hello, receive, minRedialDelay)
}

func newLink(address string, security *Security, hello func() *wire.Hello, receive func(*wire.Envelope), redialDelay time.Duration) *Link {
	l := &Link{
		address: address, security: security,
		hello:   hello,
		receive: receive,
		queue:   make(chan *wire.Envelope, linkQueueLength),
		done:    make(chan struct{}),
		wakeups: make(chan struct{}, 1),

		minRedialDelay: redialDelay,
	}
	go l.run()
	return l
}

// Wake signals that the peer is reachable. It ends the delay after a failed dial, and
// restarts an attempt to connect that may have begun before the peer listened.
func (l *Link) Wake() {
	select {
	case l.wakeups <- struct{}{}:
	default:
	}
}

// Send queues a message without blocking. It returns false if the queue is full and the
// message is dropped.
func (l *Link) Send(m *wire.Envelope) bool {
	select {
	case l.queue <- m:
		return true
	default:
		return false
	}
}

// Close stops the link and closes its connection; queued messages are dropped.
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

// connect dials once. After a failure it waits for the redial delay, doubles the delay and
// drops the queued messages.
func (l *Link) connect(redialDelay *time.Duration) *Conn {
	conn, err := l.dial()
	if err == nil {
		*redialDelay = l.minRedialDelay
		go l.receiveUntilEnd(conn)
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

// dial connects, and restarts the attempt once if Wake is called meanwhile: TCP would
// retransmit a packet that was lost before the peer listened only after a second.
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

// drain drops the messages that were queued while there was no connection, as outdated.
func (l *Link) drain() {
	for {
		select {
		case <-l.queue:
		default:
			return
		}
	}
}

// receiveUntilEnd passes on the messages that the peer sends back, and closes the connection when the
// peer ends it.
func (l *Link) receiveUntilEnd(conn *Conn) {
	for {
		m, err := conn.Receive()
		if err != nil {
			conn.Close()
			return
		}
		if l.receive != nil {
			l.receive(m)
		}
	}
}
