package entry

import (
	"maps"
	"time"

	"github.com/madderpond/madderpond/pkg/core/routing"
	"github.com/madderpond/madderpond/pkg/transport"
	"github.com/madderpond/madderpond/pkg/units"
	"github.com/madderpond/madderpond/pkg/wire"
)

// peerLinks are the connections to other boxes by address, opened on first use. send is
// called under the entry's lock and doesn't block.
type peerLinks struct {
	entry *Entry
	links map[string]*peerLink
}

// peerLink is a connection to another box, with the time of the last message sent on it.
type peerLink struct {
	*transport.Link
	lastUsedAt units.Instant
}

// peerIdleTimeout is the time without a message after which the connection to a box is closed: each
// one costs memory and a heartbeat a second at both boxes, and is needed for short times only.
const peerIdleTimeout = 30 * time.Second

// queryIdleTimeout is the same for connections on which only queries between boxes and their answers
// were sent of late: a box that is cut off may ask many.
const queryIdleTimeout = 5 * time.Second

func newPeerLinks(e *Entry) *peerLinks {
	return &peerLinks{entry: e, links: map[string]*peerLink{}}
}

func (p *peerLinks) send(id units.BoxID, m *wire.Envelope) {
	address := p.addressOf(id)
	if address == "" {
		return
	}
	link := p.links[address]
	if link == nil {
		link = &peerLink{Link: transport.NewLink(address, p.entry.Security, p.entry.hello)}
		p.links[address] = link
	}
	usedAt := p.entry.Clock.Now()
	if m.GetReach() != nil {
		usedAt = usedAt.Add(queryIdleTimeout - peerIdleTimeout)
	}
	link.lastUsedAt = max(link.lastUsedAt, usedAt)
	m.From, m.To = p.entry.Settings.Box, string(id)
	link.Send(m)
}

func (p *peerLinks) addressOf(id units.BoxID) string {
	if b := p.entry.core.Subscription().Table().Box(id); b != nil {
		return b.Address
	}
	return ""
}

// hello returns the first message that the box sends on a connection to another process.
func (e *Entry) hello() *wire.Hello {
	return &wire.Hello{Box: e.Settings.Box, Domain: e.Settings.Domain}
}

// closeIdle closes the connections that were idle for longer than peerIdleTimeout.
func (p *peerLinks) closeIdle() {
	p.entry.lock.Lock()
	defer p.entry.lock.Unlock()
	now := p.entry.Clock.Now()
	maps.DeleteFunc(p.links, func(_ string, l *peerLink) bool {
		idle := now.Sub(l.lastUsedAt) > peerIdleTimeout
		if idle {
			l.Close()
		}
		return idle
	})
}

func (p *peerLinks) close() {
	p.entry.lock.Lock()
	defer p.entry.lock.Unlock()
	for _, l := range p.links {
		l.Close()
	}
}

// ServePeer handles the messages of another box until its connection ends. It returns at once if
// the first message isn't one that boxes send each other.
func (e *Entry) ServePeer(hello *wire.Hello, first *wire.Envelope, c *transport.Conn) {
	from := units.BoxID(hello.Box)
	if !e.handlePeerMessage(from, first) {
		return
	}
	for {
		m, err := c.Receive()
		if err != nil {
			return
		}
		e.handlePeerMessage(from, m)
	}
}

// handlePeerMessage handles a message of another box; it returns false if the message isn't one
// that boxes send each other.
func (e *Entry) handlePeerMessage(from units.BoxID, m *wire.Envelope) bool {
	switch {
	case m.GetLoan() != nil:
		e.reduce(&routing.PeerLoan{From: from, Message: wire.ToLoan(m.GetLoan())})
	case m.GetLimit() != nil:
		e.reduce(&routing.PeerLimit{From: from, Message: wire.ToLimit(m.GetLimit())})
	case m.GetQuota() != nil:
		e.reduce(&routing.PeerQuota{From: from, Message: wire.ToQuota(m.GetQuota())})
	case m.GetCanary() != nil:
		e.reduce(&routing.PeerCanary{From: from, Message: wire.ToCanary(m.GetCanary())})
	case m.GetReach() != nil:
		e.reduce(&routing.PeerReach{From: from, Message: wire.ToReach(m.GetReach())})
	default:
		return false
	}
	return true
}
