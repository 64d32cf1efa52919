package lab

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/madderpond/madderpond/pkg/clock"
	"github.com/madderpond/madderpond/pkg/core/subscription"
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/transport"
	"github.com/madderpond/madderpond/pkg/units"
	"github.com/madderpond/madderpond/pkg/wire"
)

// Subscriber runs only the subscription of a box: the real subscription core on a real
// connection. Many of them in one process put the load of many boxes on the control replicas.
type Subscriber struct {
	lock       sync.Mutex
	core       *subscription.Subscription
	clock      *clock.Clock
	addresses  map[units.ReplicaID]string
	conn       *transport.Conn
	attachment subscription.Attachment
	// onRevision is called with the revision of each new table; may be nil.
	onRevision func(units.Revision)
	done       chan struct{}
	Messages   atomic.Int64
	Bytes      atomic.Int64
}

// subscriberTickPeriod is the interval between ticks of a subscriber's core.
const subscriberTickPeriod = 20 * time.Millisecond

// StartSubscriber starts a subscriber with a box id. order lists the replicas; onRevision may be nil.
func StartSubscriber(id units.BoxID, addresses map[units.ReplicaID]string, order []units.ReplicaID, seed uint64, onRevision func(units.Revision)) *Subscriber {
	c := clock.NewClock()
	s := &Subscriber{
		clock: c, addresses: addresses, onRevision: onRevision, done: make(chan struct{}),
		core: subscription.NewSubscription(subscription.Settings{
			Box: table.Box{ID: id, Address: "127.0.0.1:1"}, Replicas: order, RenewInterval: subscription.DefaultRenewInterval,
			ReplicaTimeout: subscription.DefaultReplicaTimeout, Start: seed, Seed: seed,
		}, c.Now()),
	}
	go s.run()
	return s
}

// Stop stops the subscriber and closes its connection.
func (s *Subscriber) Stop() {
	close(s.done)
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.conn != nil {
		s.conn.Close()
	}
}

func (s *Subscriber) run() {
	ticker := time.NewTicker(subscriberTickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-s.done:
			return
		case <-ticker.C:
			s.reduce(subscription.Tick{})
		}
	}
}

func (s *Subscriber) reduce(event subscription.Event) {
	s.lock.Lock()
	defer s.lock.Unlock()
	var e subscription.Effects
	s.core.Reduce(s.clock.Now(), event, &e)
	if e.Attach {
		s.attach(&e)
	}
	for _, m := range e.Sends {
		if s.conn != nil {
			s.count(m)
			s.conn.Send(m)
		}
	}
	if e.Table != nil && s.onRevision != nil {
		s.onRevision(e.Table.Revision)
	}
}

func (s *Subscriber) attach(e *subscription.Effects) {
	if s.conn != nil {
		s.conn.Close()
		s.conn = nil
	}
	s.attachment = e.Attachment
	go s.dial(e.Replicas, e.Attachment, e.DialTimeout)
}

func (s *Subscriber) dial(replicas []units.ReplicaID, n subscription.Attachment, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	addresses := make([]string, 0, len(replicas))
	for _, id := range replicas {
		addresses = append(addresses, s.addresses[id])
	}
	conn, i, err := transport.DialFirst(ctx, addresses, nil, &wire.Hello{Box: "lab"})
	if err != nil {
		s.reduce(subscription.Detached{Attachment: n})
		return
	}
	s.lock.Lock()
	if s.attachment != n {
		s.lock.Unlock()
		conn.Close()
		return
	}
	s.conn = conn
	s.lock.Unlock()
	go s.receive(conn, n)
	s.reduce(subscription.Attached{Attachment: n, Replica: replicas[i]})
}

func (s *Subscriber) receive(conn *transport.Conn, n subscription.Attachment) {
	for {
		m, err := conn.Receive()
		if err != nil {
			s.reduce(subscription.Detached{Attachment: n})
			return
		}
		s.count(m)
		s.reduce(subscription.Received{Attachment: n, Envelope: m})
	}
}

// frameOverheadBytes is what the yamux header, the message's length prefix and the TCP and IP headers add to a
// message, in bytes.
const frameOverheadBytes = 12 + 2 + 40

func (s *Subscriber) count(m *wire.Envelope) {
	s.Messages.Add(1)
	s.Bytes.Add(int64(proto.Size(m)) + frameOverheadBytes)
}
