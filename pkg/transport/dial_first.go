package transport

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/madderpond/madderpond/pkg/fault"
	"github.com/madderpond/madderpond/pkg/wire"
)

// dialStagger is how long an address has to answer before the next one is dialed as
// well: several round trips within a region, so that usually only one connection is
// made.
const dialStagger = 10 * time.Millisecond

// dialResult is the result of one of several attempts to connect.
type dialResult struct {
	conn  *Conn
	index int
	err   error
}

// DialFirst connects to one of several processes, preferring earlier addresses, and
// returns the connection and the index of its address. The next address is dialed when
// one fails or doesn't answer within dialStagger. All attempts continue until one
// succeeds, which cancels the others. Errors are of kind Unavailable.
func DialFirst(ctx context.Context, addresses []string, security *Security, hello *wire.Hello) (*Conn, int, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan dialResult, len(addresses))
	lastError := error(fault.New(fault.Unavailable, "name replicas in the settings", "there is no address to connect to"))
	started := 0
	for ended := 0; ended < len(addresses); {
		var next <-chan time.Time
		if started < len(addresses) {
			go dialAddress(ctx, started, addresses[started], security, hello, results)
			started++
			next = time.After(dialStagger)
		}
		select {
		case d := <-results:
			ended++
			if d.err == nil {
				go closeUnused(results, started-ended)
				return d.conn, d.index, nil
			}
			lastError = d.err
		case <-next:
		}
	}
	return nil, 0, lastError
}

func dialAddress(ctx context.Context, index int, address string, security *Security, hello *wire.Hello, results chan<- dialResult) {
	// DialContext sets the protocol version in the hello, so each attempt needs its own copy.
	helloCopy := proto.Clone(hello).(*wire.Hello)
	conn, err := DialContext(ctx, address, security, helloCopy)
	results <- dialResult{conn: conn, index: index, err: err}
}

// closeUnused closes connections that were established after another one was chosen.
func closeUnused(results <-chan dialResult, pending int) {
	for range pending {
		if d := <-results; d.conn != nil {
			d.conn.Close()
		}
	}
}
