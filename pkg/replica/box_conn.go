package replica

import (
	"github.com/madderpond/madderpond/pkg/core/control"
	"github.com/madderpond/madderpond/pkg/transport"
	"github.com/madderpond/madderpond/pkg/wire"
)

// boxQueueLength is the number of messages that may wait to be sent to one box. A box that
// can't keep up is disconnected; it reconnects and receives the whole table.
const boxQueueLength = 512

// boxConn is a box's connection to this replica, with a queue of messages to send.
type boxConn struct {
	conn  *transport.Conn
	queue chan *wire.Envelope
	done  chan struct{}
}

// send queues a message without blocking. It closes the connection if the queue is full.
func (b *boxConn) send(m *wire.Envelope) {
	select {
	case b.queue <- m:
	default:
		b.conn.Close()
	}
}

func (b *boxConn) run() {
	for {
		select {
		case <-b.done:
			return
		case m := <-b.queue:
			if err := b.conn.Send(m); err != nil {
				b.conn.Close()
				return
			}
		}
	}
}

// ServeBox handles a box's messages until its connection ends. first is a message
// that has already been received on it.
func (r *Replica) ServeBox(first *wire.Envelope, c *transport.Conn) {
	b := &boxConn{conn: c, queue: make(chan *wire.Envelope, boxQueueLength), done: make(chan struct{})}
	r.lock.Lock()
	r.lastConn++
	id := r.lastConn
	r.boxes[id] = b
	r.lock.Unlock()
	go b.run()
	for m := first; ; {
		r.handle(control.BoxMessage{Connection: id, Envelope: m})
		var err error
		if m, err = c.Receive(); err != nil {
			break
		}
	}
	close(b.done)
	r.lock.Lock()
	defer r.lock.Unlock()
	delete(r.boxes, id)
	r.reduce(control.BoxDetached{Connection: id})
}
