package lab

import (
	"net"
	"time"
)

// idleConnSettleTime gives a box time to accept new connections before it is measured.
const idleConnSettleTime = 500 * time.Millisecond

// openIdleConns opens n connections that send nothing.
func openIdleConns(address string, n int) ([]net.Conn, error) {
	var conns []net.Conn
	for range n {
		c, err := net.Dial("tcp", address)
		if err != nil {
			for _, o := range conns {
				o.Close()
			}
			return nil, err
		}
		conns = append(conns, c)
	}
	time.Sleep(idleConnSettleTime)
	return conns, nil
}
