package transport

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/madderpond/madderpond/pkg/fault"
	"github.com/madderpond/madderpond/pkg/wire"
)

// A relay connection carries HTTP between two boxes, one call at a time. It begins with a preface, by
// which the accepting side distinguishes it from a session, and the dialing side's hello. The
// accepting side confirms it, so that no call is sent to a process that doesn't take part.

// relayPreface is sent first on a relay connection. Its first byte differs from that of a session,
// which is the version of yamux, zero.
var relayPreface = []byte("madderpond relay 1\n")

// relayConfirmation is the answer to a preface and hello that are accepted.
const relayConfirmation = byte('+')

// RelayHandler serves one accepted relay connection; the connection is closed when it returns.
type RelayHandler func(hello *wire.Hello, c *RelayConn)

// RelayConn is the accepting side of a relay connection.
type RelayConn struct {
	net.Conn
	// Box is the box that relays calls on the connection.
	Box string
	// raw is the connection below TLS, if that is used.
	raw    net.Conn
	reader *bufio.Reader
}

// Read reads from the connection.
func (c *RelayConn) Read(p []byte) (int, error) { return c.reader.Read(p) }

// Raw returns the network connection, and whether its content is encrypted.
func (c *RelayConn) Raw() (raw net.Conn, encrypted bool) { return c.raw, c.raw != c.Conn }

// DialRelay opens a connection to relay calls to another box. Errors are of kind Unavailable.
func DialRelay(ctx context.Context, address string, security *Security, hello *wire.Hello) (net.Conn, error) {
	var dialer net.Dialer
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, connectError(err, address)
	}
	c := security.wrapClient(raw)
	// Canceling the context ends the handshake, which otherwise lasts until its deadline.
	stop := context.AfterFunc(ctx, func() { raw.SetDeadline(time.Unix(0, 1)) })
	err = openRelay(c, hello)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		c.Close()
		return nil, connectError(err, address)
	}
	raw.SetDeadline(time.Time{})
	return c, nil
}

func openRelay(c net.Conn, hello *wire.Hello) error {
	hello.Protocol = protocolVersion
	var opening bytes.Buffer
	opening.Write(relayPreface)
	if _, err := protodelim.MarshalTo(&opening, &wire.Envelope{Body: &wire.Envelope_Hello{Hello: hello}}); err != nil {
		return err
	}
	if _, err := c.Write(opening.Bytes()); err != nil {
		return err
	}
	var answer [1]byte
	if _, err := io.ReadFull(c, answer[:]); err != nil {
		return err
	}
	if answer[0] != relayConfirmation {
		return fault.New(fault.Protocol, "run the same version of madderpond on both sides", "the box doesn't accept relayed calls")
	}
	return nil
}

// acceptRelay is the accepting side of openRelay. The first byte has been read. Errors are of kind
// Protocol or Unauthorized.
func acceptRelay(raw, wrapped net.Conn, security *Security) (*RelayConn, *wire.Hello, error) {
	c := &RelayConn{Conn: wrapped, raw: raw, reader: bufio.NewReader(wrapped)}
	preface := make([]byte, len(relayPreface)-1)
	if _, err := io.ReadFull(c.reader, preface); err != nil {
		return nil, nil, handshakeError(err)
	}
	if !bytes.Equal(preface, relayPreface[1:]) {
		return nil, nil, fault.New(fault.Protocol, "let only madderpond's own processes connect to this port", "the connection begins with an unknown preface")
	}
	m, err := ReadEnvelope(c.reader)
	if err != nil {
		return nil, nil, err
	}
	hello, err := security.acceptHello(wrapped, m)
	if err != nil {
		return nil, nil, err
	}
	if hello.Box == "" {
		return nil, nil, fault.New(fault.Protocol, "run the same version of madderpond on both sides", "the hello of a relay connection names no box")
	}
	if _, err := wrapped.Write([]byte{relayConfirmation}); err != nil {
		return nil, nil, handshakeError(err)
	}
	c.Box = hello.Box
	return c, hello, nil
}

// prefixedConn is a connection whose first byte has been read.
type prefixedConn struct {
	net.Conn
	first  byte
	unread bool
}

// Read returns the first byte, then reads from the connection.
func (c *prefixedConn) Read(p []byte) (int, error) {
	if !c.unread || len(p) == 0 {
		return c.Conn.Read(p)
	}
	c.unread = false
	p[0] = c.first
	return 1, nil
}

// unprefixed returns the connection below a prefixedConn.
func unprefixed(c net.Conn) net.Conn {
	if p, ok := c.(*prefixedConn); ok {
		return p.Conn
	}
	return c
}

// readFirst reads the first byte of a connection.
func readFirst(c net.Conn) (byte, error) {
	var first [1]byte
	_, err := io.ReadFull(c, first[:])
	return first[0], err
}
