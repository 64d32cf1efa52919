package transport

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/madderpond/madderpond/pkg/fault"
	"github.com/madderpond/madderpond/pkg/wire"
)

func listen(t *testing.T, handler Handler) *Listener {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	l, err := Listen("127.0.0.1:0", "here", nil, logrus.NewEntry(log), nil, handler)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	return l
}

func TestMessagesArriveInOrderAndALinkComesBack(t *testing.T) {
	const messages = 50
	got := make(chan uint64, 10*messages)
	l := listen(t, func(_ *wire.Hello, c *Conn) {
		for {
			m, err := c.Receive()
			if err != nil {
				return
			}
			got <- m.Boot
		}
	})
	link := NewLink(l.Address(), nil, func() *wire.Hello { return &wire.Hello{Box: "b"} })
	defer link.Close()
	for i := range uint64(messages) {
		if !link.Send(&wire.Envelope{Boot: i}) {
			t.Fatal("the queue is full")
		}
	}
	for i := range uint64(messages) {
		if n := <-got; n != i {
			t.Fatalf("received message %d, expected %d", n, i)
		}
	}
	// All connections are closed; the link must reconnect for the next messages.
	l.lock.Lock()
	for c := range l.conns {
		c.Close()
	}
	l.lock.Unlock()
	for i := uint64(1000); ; i++ {
		link.Send(&wire.Envelope{Boot: i})
		select {
		case n := <-got:
			if n < 1000 {
				t.Fatalf("an old message was received again: %d", n)
			}
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// After a failed dial, Wake must make the link connect at once, however long the remaining
// redial delay.
func TestAWokenLinkConnectsAtOnce(t *testing.T) {
	reserved, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := reserved.Addr().String()
	reserved.Close()
	link := newLink(address, nil, func() *wire.Hello { return &wire.Hello{Box: "b"} }, nil, time.Hour)
	defer link.Close()
	link.Send(&wire.Envelope{Boot: 1})
	for len(link.queue) > 0 {
		runtime.Gosched()
	}

	got := make(chan uint64, 10)
	log := logrus.New()
	log.SetOutput(io.Discard)
	l, err := Listen(address, "here", nil, logrus.NewEntry(log), nil, func(_ *wire.Hello, c *Conn) {
		if m, err := c.Receive(); err == nil {
			got <- m.Boot
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	for i := uint64(2); ; i++ {
		link.Wake()
		link.Send(&wire.Envelope{Boot: i})
		select {
		case <-got:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func TestAPeerRepliesOnTheConnectionOfALink(t *testing.T) {
	sent := make(chan error, 1)
	l := listen(t, func(_ *wire.Hello, c *Conn) {
		for {
			m, err := c.Receive()
			if err != nil {
				return
			}
			sent <- c.Send(&wire.Envelope{Boot: m.Boot + 1})
		}
	})
	got := make(chan uint64, 1)
	link := NewDuplexLink(l.Address(), nil, func() *wire.Hello { return &wire.Hello{Box: "b"} }, func(m *wire.Envelope) { got <- m.Boot })
	defer link.Close()
	for i := uint64(1); i < 10; i += 2 {
		link.Send(&wire.Envelope{Boot: i})
		if n := <-got; n != i+1 {
			t.Fatalf("message %d came back in place of %d", n, i+1)
		}
		// The link is closed only once the peer's send has returned.
		if err := <-sent; err != nil {
			t.Fatal(err)
		}
	}
}

func TestJunkOnThePortHarmsNobody(t *testing.T) {
	served := make(chan string, 10)
	l := listen(t, func(h *wire.Hello, c *Conn) {
		served <- h.Box
		// The connection lasts until the other side ends it.
		c.Receive()
	})
	junk := [][]byte{
		[]byte("GET / HTTP/1.1\r\n\r\n"),
		bytes.Repeat([]byte{0xff}, 4096),
		{0, 0, 0, 1, 0, 0, 0, 1, 0, 0, 0, 0, 0xff, 0xff, 0xff, 0xff, 0x7f},
		nil,
	}
	for _, j := range junk {
		c, err := net.Dial("tcp", l.Address())
		if err != nil {
			t.Fatal(err)
		}
		c.Write(j)
		c.Close()
	}
	c, err := Dial(l.Address(), nil, &wire.Hello{Box: "good"})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if who := <-served; who != "good" {
		t.Fatalf("%q was served", who)
	}
}

func TestAnotherProtocolNumberIsRefused(t *testing.T) {
	a, b := net.Pipe()
	defer a.Close()
	go func() {
		var m bytes.Buffer
		protodelim.MarshalTo(&m, &wire.Envelope{Body: &wire.Envelope_Hello{Hello: &wire.Hello{Protocol: 99}}})
		// A yamux frame that opens stream 1, then one with the message.
		a.Write([]byte{0, 1, 0, 1, 0, 0, 0, 1, 0, 0, 0, 0})
		a.Write([]byte{0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, byte(m.Len())})
		a.Write(m.Bytes())
		io.Copy(io.Discard, a)
	}()
	_, _, err := accept(b, b, nil)
	if fault.KindOf(err) != fault.Protocol {
		t.Fatalf("unexpected error: %v", err)
	}
}

func FuzzReadEnvelope(f *testing.F) {
	var encoded bytes.Buffer
	protodelim.MarshalTo(&encoded, &wire.Envelope{From: "a", Body: &wire.Envelope_VoteRequest{VoteRequest: &wire.VoteRequest{Term: 3}}})
	f.Add(encoded.Bytes())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := ReadEnvelope(bufio.NewReader(bytes.NewReader(data)))
		if (m == nil) == (err == nil) {
			t.Fatalf("message %v with error %v", m, err)
		}
		if err != nil && fault.KindOf(err) != fault.Protocol {
			t.Fatalf("unexpected kind: %v", err)
		}
	})
}

// The accepting side counts messages in both directions, by whether they cross failure domains.
func TestTrafficIsCountedByKindAndDomain(t *testing.T) {
	before := map[Traffic]Traffic{}
	key := func(c Traffic) Traffic { return Traffic{Kind: c.Kind, Locality: c.Locality, Sent: c.Sent} }
	for _, c := range TrafficCounts() {
		before[key(c)] = c
	}
	done := make(chan bool)
	l := listen(t, func(_ *wire.Hello, c *Conn) {
		c.Receive()
		c.Send(&wire.Envelope{Body: &wire.Envelope_RenewResponse{RenewResponse: &wire.RenewResponse{Box: "b"}}})
		done <- true
	})
	for _, domain := range []string{"here", "there"} {
		c, err := Dial(l.Address(), nil, &wire.Hello{Box: "b", Domain: domain})
		if err != nil {
			t.Fatal(err)
		}
		c.Send(&wire.Envelope{Body: &wire.Envelope_RenewRequest{RenewRequest: &wire.RenewRequest{Nonce: 1}}})
		<-done
		c.Close()
	}
	after := map[Traffic]Traffic{}
	for _, c := range TrafficCounts() {
		after[key(c)] = c
	}
	for _, x := range []Traffic{
		{Kind: "renew", Locality: SameDomain}, {Kind: "renew", Locality: OtherDomain}, {Kind: "grant", Locality: SameDomain, Sent: true},
		{Kind: "grant", Locality: OtherDomain, Sent: true},
	} {
		if got := after[x].Messages - before[x].Messages; got != 1 || after[x].Bytes <= before[x].Bytes {
			t.Errorf("%+v: %d messages, %d bytes", x, got, after[x].Bytes-before[x].Bytes)
		}
	}
}
