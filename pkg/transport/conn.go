// Package transport carries envelopes between madderpond's processes: protobuf
// messages, each with its length before it, on a yamux stream over TCP.
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
	// protocolVersion is raised when messages change so that old processes can't
	// read them.
	protocolVersion = 4
	// maxMessageBytes bounds one message; a snapshot is the largest.
	maxMessageBytes = 64 << 20
	// peerTimeout is how long a connection may be dead before it is given up;
	// a cut connection raises no error of its own.
	peerTimeout = 2 * time.Second
	// helloTimeout is how long a new connection may take to say who it is.
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
	// locality says where the other side is.
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

// discard drops yamux's own log lines; what matters in them comes back as
// errors.
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

// Dial connects to another process and says who is calling. Errors are of kind
// Unavailable.
func Dial(address string, security *Security, hello *wire.Hello) (*Conn, error) {
	return DialContext(context.Background(), address, security, hello)
}

// DialContext is Dial for as long as the context lasts.
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

// accept takes the other side of Dial.
func accept(raw net.Conn, security *Security) (*Conn, *wire.Hello, error) {
	raw.SetDeadline(time.Now().Add(helloTimeout))
	wrapped := security.wrapServer(raw)
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
	hello := m.GetHello()
	if hello == nil || hello.Protocol != protocolVersion {
		c.Close()
		return nil, nil, fault.New(fault.Protocol, "run the same version of madderpond on both sides", "the first message is no hello of protocol %d", protocolVersion)
	}
	if err := security.verifyName(wrapped, hello); err != nil {
		c.Close()
		return nil, nil, err
	}
	return c, hello, nil
}

func handshakeError(err error) error {
	return fault.Wrap(err, fault.Protocol, "let only madderpond's own processes connect to this port", "a connection didn't begin as madderpond's do")
}

// Send writes one message; it fails when the other side takes too long.
func (c *Conn) Send(m *wire.Envelope) error {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.stream.SetWriteDeadline(time.Now().Add(peerTimeout))
	n, err := protodelim.MarshalTo(c.writer, m)
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, "wait for the connection to be made anew", "a message can't be sent")
	}
	if err := c.writer.Flush(); err != nil {
		return fault.Wrap(err, fault.Unavailable, "wait for the connection to be made anew", "a message can't be sent")
	}
	traffic.add(trafficKey{kind: wire.KindOf(m), locality: c.locality, sent: true}, n)
	return nil
}

// Receive reads one message. Bytes that aren't one give a Protocol fault.
func (c *Conn) Receive() (*wire.Envelope, error) {
	m, err := ReadEnvelope(c.reader)
	if err == nil && c.locality != UnknownDomain {
		traffic.add(trafficKey{kind: wire.KindOf(m), locality: c.locality}, proto.Size(m))
	}
	return m, err
}

// ReadEnvelope reads one message with its length before it.
func ReadEnvelope(r protodelim.Reader) (*wire.Envelope, error) {
	m := &wire.Envelope{}
	options := protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}
	if err := options.UnmarshalFrom(r, m); err != nil {
		return nil, fault.Wrap(err, fault.Protocol, "let only madderpond's own processes connect to this port", "a message can't be read")
	}
	return m, nil
}

// closed tells whether the connection has ended, as far as that is known.
func (c *Conn) closed() bool { return c.session.IsClosed() }

// Close ends the connection.
func (c *Conn) Close() error { return c.session.Close() }
