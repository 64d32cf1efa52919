package traffic

import (
	"io"
	"net"
	"testing"
	"time"
)

// pipe returns the two ends of a connection, the first of which is counted.
func pipe(t *testing.T) (*Conn, net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	sender, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	receiver, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		sender.Close()
		receiver.Close()
	})
	return Count(receiver, &Counter{}), sender
}

// A slow sender's bytes were read one packet at a time, each of which took processor time.
func TestAReadWaitsForTheLowWaterMark(t *testing.T) {
	const mark = 64
	c, sender := pipe(t)
	if err := c.SetReadLowWater(mark); err != nil {
		t.Fatal(err)
	}
	go func() {
		for range mark {
			sender.Write([]byte("x"))
			time.Sleep(time.Millisecond)
		}
	}()
	p := make([]byte, 2*mark)
	n, err := c.Read(p)
	if err != nil || n != mark {
		t.Errorf("%d bytes were read, not %d: %v", n, mark, err)
	}
}

// A sender that ends the connection below the mark isn't waited for.
func TestTheEndOfAConnectionIsReadBelowTheMark(t *testing.T) {
	c, sender := pipe(t)
	if err := c.SetReadLowWater(1000); err != nil {
		t.Fatal(err)
	}
	sender.Write([]byte("x"))
	sender.Close()
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	data, err := io.ReadAll(c)
	if err != nil || len(data) != 1 {
		t.Errorf("%d bytes were read, not 1: %v", len(data), err)
	}
}
