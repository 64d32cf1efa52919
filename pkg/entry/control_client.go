package entry

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/madderpond/madderpond/pkg/config"
	"github.com/madderpond/madderpond/pkg/core/subscription"
	"github.com/madderpond/madderpond/pkg/transport"
	"github.com/madderpond/madderpond/pkg/units"
	"github.com/madderpond/madderpond/pkg/wire"
)

// controlClient holds the connection to the control replica that the core has
// chosen. Its methods are called under the entry's lock and don't block.
type controlClient struct {
	entry     *Entry
	addresses map[units.ReplicaID]string
	current   *attachment
}

// attachment is one connection to a replica, or an attempt to make one.
type attachment struct {
	number subscription.Attachment
	queue  chan *wire.Envelope
	done   chan struct{}
	// conn is nil before it is made.
	conn *transport.Conn
}

// maxQueuedMessages bounds the messages that are queued to be sent; further ones are dropped.
const maxQueuedMessages = 16

func newControlClient(e *Entry) *controlClient {
	c := &controlClient{entry: e}
	c.setReplicas(e.Settings.Replicas)
	return c
}

// setReplicas replaces the addresses of the replicas with those in the settings.
func (c *controlClient) setReplicas(replicas []config.Replica) {
	c.addresses = make(map[units.ReplicaID]string, len(replicas))
	for _, r := range replicas {
		c.addresses[units.ReplicaID(r.Box)] = r.Address
	}
}

// attach dials all of the replicas at the same time and keeps the first connection that is
// made: a replica that is down or starting causes no delay as long as another is up.
func (c *controlClient) attach(to []units.ReplicaID, n subscription.Attachment, dialTimeout time.Duration) {
	c.close()
	a := &attachment{number: n, queue: make(chan *wire.Envelope, maxQueuedMessages), done: make(chan struct{})}
	c.current = a
	addresses := make([]string, 0, len(to))
	for _, id := range to {
		addresses = append(addresses, c.addressOf(id))
	}
	go c.run(a, to, addresses, dialTimeout)
}

// addressOf returns the address of a replica. In a cluster that forms itself, a replica's id
// is its address.
func (c *controlClient) addressOf(id units.ReplicaID) string {
	if address := c.addresses[id]; address != "" {
		return address
	}
	return string(id)
}

func (c *controlClient) send(m *wire.Envelope) {
	if c.current == nil {
		return
	}
	select {
	case c.current.queue <- m:
	default:
	}
}

// ping reports whether the attached replica has answered a ping. It waits for the answer.
func (c *controlClient) ping() bool {
	c.entry.lock.Lock()
	var conn *transport.Conn
	if c.current != nil {
		conn = c.current.conn
	}
	c.entry.lock.Unlock()
	if conn == nil {
		return false
	}
	if err := conn.Ping(); err != nil {
		c.entry.Log.WithError(err).Debug("the delay of messages can't be measured")
		return false
	}
	return true
}

func (c *controlClient) close() {
	if c.current != nil {
		close(c.current.done)
		c.current = nil
	}
}

func (c *controlClient) run(a *attachment, replicas []units.ReplicaID, addresses []string, dialTimeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	go func() {
		select {
		case <-a.done:
			cancel()
		case <-ctx.Done():
		}
	}()
	conn, i, err := transport.DialFirst(ctx, addresses, c.entry.Security, c.entry.hello())
	cancel()
	if err != nil {
		c.endAttachment(a, err)
		return
	}
	defer conn.Close()
	c.entry.Log.WithFields(logrus.Fields{"kind": "control-attach", "replica": replicas[i], "dialled": len(addresses)}).Info("attached to a control replica")
	c.entry.lock.Lock()
	a.conn = conn
	c.entry.lock.Unlock()
	go c.entry.admission.ping()
	c.entry.reduce(subscription.Attached{Attachment: a.number, Replica: replicas[i]})
	go c.receive(a, conn)
	for {
		select {
		case <-a.done:
			return
		case m := <-a.queue:
			if err := conn.Send(m); err != nil {
				c.endAttachment(a, err)
				return
			}
		}
	}
}

// endAttachment reports to the core that an attachment has ended, and logs it unless this box ended it
// itself.
func (c *controlClient) endAttachment(a *attachment, err error) {
	select {
	case <-a.done:
	default:
		c.entry.Log.WithError(err).WithField("kind", "control-lost").Warn("the connection to a control replica was lost")
	}
	c.entry.reduce(subscription.Detached{Attachment: a.number})
}

func (c *controlClient) receive(a *attachment, conn *transport.Conn) {
	for {
		m, err := conn.Receive()
		if err != nil {
			c.endAttachment(a, err)
			return
		}
		c.entry.reduce(subscription.Received{Attachment: a.number, Envelope: m})
	}
}
