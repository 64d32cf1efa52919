package entry

import (
	"maps"
	"time"

	"github.com/madderpond/madderpond/pkg/core/box"
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
	// replyTo is the box whose message is being handled; empty for none. The answers to queries that it
	// is sent meanwhile are collected in replies, and go back on the connection of that message.
	replyTo units.BoxID
	replies []*wire.Envelope
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
// were sent of late: a box that is cut off, or gets most calls, may query many.
const queryIdleTimeout = 5 * time.Second

func newPeerLinks(e *Entry) *peerLinks {
	return &peerLinks{entry: e, links: map[string]*peerLink{}}
}

func (p *peerLinks) send(id units.BoxID, m *wire.Envelope) {
	m.From, m.To = p.entry.Settings.Box, string(id)
	if id == p.replyTo && isQuery(m) {
		p.replies = append(p.replies, m)
		return
	}
	address := p.addressOf(id)
	if address == "" {
		return
	}
	link := p.links[address]
	if link == nil {
		receive := func(m *wire.Envelope) { p.entry.handleReply(address, m) }
		link = &peerLink{Link: transport.NewDuplexLink(address, p.entry.Security, p.entry.hello, receive)}
		p.links[address] = link
	}
	usedAt := p.entry.Clock.Now()
	if isQuery(m) {
		usedAt = usedAt.Add(queryIdleTimeout - peerIdleTimeout)
	}
	link.lastUsedAt = max(link.lastUsedAt, usedAt)
	link.Send(m)
}

// isQuery reports whether a message is a query to another box or the answer to one. A box may query all
// others, each seldom.
func isQuery(m *wire.Envelope) bool { return m.GetReach() != nil || m.GetTokens() != nil }

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
	event := peerEvent(from, first)
	if event == nil {
		return
	}
	for event == nil || e.replyOn(c, from, event) {
		m, err := c.Receive()
		if err != nil {
			return
		}
		event = peerEvent(from, m)
	}
}

// replyOn handles a message of another box and sends what replies to it. It returns false if the
// connection fails.
func (e *Entry) replyOn(c *transport.Conn, from units.BoxID, event box.Event) bool {
	for _, m := range e.reduceReplying(from, event) {
		if err := c.Send(m); err != nil {
			e.Log.WithError(err).WithField("box", from).Debug("a reply to another box can't be sent")
			return false
		}
	}
	return true
}

// reduceReplying is reduce for a message of another box. It returns the replies.
func (e *Entry) reduceReplying(from units.BoxID, event box.Event) []*wire.Envelope {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.peers.replyTo = from
	e.reduceLocked(event)
	replies := e.peers.replies
	e.peers.replyTo, e.peers.replies = "", nil
	return replies
}

// handleReply handles a message that came back on a connection which this box opened to an address. It
// has to be from the box that is listed there.
func (e *Entry) handleReply(address string, m *wire.Envelope) {
	e.lock.Lock()
	defer e.lock.Unlock()
	from := units.BoxID(m.From)
	if !isQuery(m) || e.peers.addressOf(from) != address {
		e.Log.WithField("box", from).Debug("a message that isn't a reply of the box at this address is dropped")
		return
	}
	e.reduceLocked(peerEvent(from, m))
}

// peerEvent returns the event that a message of another box is; nil if the message isn't one that
// boxes send each other.
func peerEvent(from units.BoxID, m *wire.Envelope) box.Event {
	switch {
	case m.GetLoan() != nil:
		return &routing.PeerLoan{From: from, Message: wire.ToLoan(m.GetLoan())}
	case m.GetLimit() != nil:
		return &routing.PeerLimit{From: from, Message: wire.ToLimit(m.GetLimit())}
	case m.GetQuota() != nil:
		return &routing.PeerQuota{From: from, Message: wire.ToQuota(m.GetQuota())}
	case m.GetCanary() != nil:
		return &routing.PeerCanary{From: from, Message: wire.ToCanary(m.GetCanary())}
	case m.GetTokens() != nil:
		return &routing.PeerTokens{From: from, Message: wire.ToTokens(m.GetTokens())}
	case m.GetReach() != nil:
		return &routing.PeerReach{From: from, Message: wire.ToReach(m.GetReach())}
	}
	return nil
}
