// Package transport sends envelopes between madderpond's processes: protobuf
// messages, each prefixed with its length, on a yamux stream over TCP.
package transport

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/madderpond/madderpond/pkg/fault"
	"github.com/madderpond/madderpond/pkg/wire"
)

const (
	// protocolVersion is incremented when messages change incompatibly.
	protocolVersion = 4
	// maxMessageBytes is the largest size of a message; snapshots are the largest messages.
	maxMessageBytes = 64 << 20
	// peerTimeout is how long the peer may be unresponsive before the connection is closed;
	// a broken network path alone causes no error.
	peerTimeout = 2 * time.Second
	// helloTimeout is how long an accepted connection may take to send its hello.
	helloTimeout = 2 * time.Second
)

// Conn is a connection to another process. Send may be called from several
// goroutines, Receive from one.
type Conn struct {
	session *yamux.Session
	stream  net.Conn
	reader  *bufio.Reader
	lock    sync.Mutex
	writer  *bufio.Writer
	// locality is where the peer is; UnknownDomain on the dialing side.
	locality Locality
}

func yamuxSettings() *yamux.Config {
	c := yamux.DefaultConfig()
	c.KeepAliveInterval = peerTimeout / 2
	c.ConnectionWriteTimeout = peerTimeout
	c.StreamOpenTimeout = peerTimeout
	c.LogOutput = discard{}
	return c
}

// discard drops yamux's log output; relevant failures are returned as errors.
type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }

func newConn(session *yamux.Session, stream net.Conn) *Conn {
	return &Conn{
		session: session,
		stream:  stream,
		reader:  bufio.NewReader(stream),
		writer:  bufio.NewWriter(stream),

		locality: UnknownDomain,
	}
}

// Dial connects to another process and sends it a hello, whose protocol version it
// sets. Errors are of kind Unavailable.
func Dial(address string, security *Security, hello *wire.Hello) (*Conn, error) {
	return DialContext(context.Background(), address, security, hello)
}

// DialContext is Dial with a context that cancels the attempt to connect.
func DialContext(ctx context.Context, address string, security *Security, hello *wire.Hello) (*Conn, error) {
	dialer := net.Dialer{Timeout: peerTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, connectError(err, address)
	}
	underlying := &sessionConn{Conn: security.wrapClient(raw)}
	session, err := yamux.Client(underlying, yamuxSettings())
	if err != nil {
		raw.Close()
		return nil, connectError(err, address)
	}
	stream, err := session.OpenStream()
	if err != nil {
		session.Close()
		return nil, connectError(err, address)
	}
	underlying.setStream(stream)
	c := newConn(session, stream)
	hello.Protocol = protocolVersion
	if err := c.Send(&wire.Envelope{Body: &wire.Envelope_Hello{Hello: hello}}); err != nil {
		c.Close()
		return nil, connectError(err, address)
	}
	return c, nil
}

func connectError(err error, address string) error {
	return fault.Wrap(err, fault.Unavailable, "check that the process runs there and that the network lets it through", "can't connect to %s", address)
}

// accept is the accepting side of Dial: it receives the peer's hello, until the connection's deadline,
// which it clears. Errors are of kind Protocol or Unauthorized.
func accept(raw, wrapped net.Conn, security *Security) (*Conn, *wire.Hello, error) {
	underlying := &sessionConn{Conn: wrapped}
	session, err := yamux.Server(underlying, yamuxSettings())
	if err != nil {
		raw.Close()
		return nil, nil, handshakeError(err)
	}
	stream, err := session.AcceptStream()
	if err != nil {
		session.Close()
		return nil, nil, handshakeError(err)
	}
	underlying.setStream(stream)
	c := newConn(session, stream)
	m, err := c.Receive()
	if err != nil {
		c.Close()
		return nil, nil, err
	}
	raw.SetDeadline(time.Time{})
	hello, err := security.acceptHello(unprefixed(wrapped), m)
	if err != nil {
		c.Close()
		return nil, nil, err
	}
	return c, hello, nil
}

func handshakeError(err error) error {
	return fault.Wrap(err, fault.Protocol, "let only madderpond's own processes connect to this port", "the session can't be established")
}

// Send writes one message. The error is an Unavailable fault, also when the peer doesn't
// read the message in time.
func (c *Conn) Send(m *wire.Envelope) error {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.stream.SetWriteDeadline(time.Now().Add(peerTimeout))
	n, err := protodelim.MarshalTo(c.writer, m)
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, "wait for the connection to be re-established", "a message can't be sent")
	}
	if err := c.writer.Flush(); err != nil {
		return fault.Wrap(err, fault.Unavailable, "wait for the connection to be re-established", "a message can't be sent")
	}
	traffic.add(trafficKey{kind: wire.KindOf(m), locality: c.locality, sent: true}, n)
	return nil
}

// Receive reads one message. The error is a Protocol fault.
func (c *Conn) Receive() (*wire.Envelope, error) {
	m, err := ReadEnvelope(c.reader)
	if err == nil && c.locality != UnknownDomain {
		traffic.add(trafficKey{kind: wire.KindOf(m), locality: c.locality}, proto.Size(m))
	}
	return m, err
}

// ReadEnvelope reads one message, prefixed with its length. The error is a Protocol
// fault.
func ReadEnvelope(r protodelim.Reader) (*wire.Envelope, error) {
	m := &wire.Envelope{}
	options := protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}
	if err := options.UnmarshalFrom(r, m); err != nil {
		return nil, fault.Wrap(err, fault.Protocol, "let only madderpond's own processes connect to this port", "a message can't be read")
	}
	return m, nil
}

// Ping sends a small message and waits for the peer's answer. The error is an Unavailable fault if there
// is none.
func (c *Conn) Ping() error {
	_, err := c.session.Ping()
	return fault.Wrap(err, fault.Unavailable, "wait for the connection to be re-established", "a ping wasn't answered")
}

// closed returns whether the connection is known to have ended.
func (c *Conn) closed() bool { return c.session.IsClosed() }

// Close closes the connection.
func (c *Conn) Close() error { return c.session.Close() }
