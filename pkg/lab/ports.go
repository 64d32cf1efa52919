package lab

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// Ports are drawn from below those that the system gives to outgoing connections; one of
// these could take a port between its choice and its use.
const (
	firstPort  = 15000
	portRange  = 15000
	portsTried = 200
)

// drawnPorts are the ports that this process has given out. Clusters that start at the
// same time must not draw the same one before either listens there.
var drawnPorts = struct {
	sync.Mutex
	known map[int]bool
}{known: map[int]bool{}}

// FreeAddress returns a loopback address whose port was free a moment ago, and that no
// earlier call has returned. The error is that of the last port tried.
func FreeAddress() (string, error) {
	drawnPorts.Lock()
	defer drawnPorts.Unlock()
	err := fmt.Errorf("%d ports in a row had been given out", portsTried)
	for range portsTried {
		port := firstPort + rand.IntN(portRange)
		if drawnPorts.known[port] {
			continue
		}
		var l net.Listener
		l, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			l.Close()
			drawnPorts.known[port] = true
			return l.Addr().String(), nil
		}
	}
	return "", err
}
