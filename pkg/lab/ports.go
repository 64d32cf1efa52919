package lab

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// Ports are chosen below the system's ephemeral range: an outgoing connection could take an
// ephemeral port between its choice and its use.
const (
	firstPort    = 15000
	portRange    = 15000
	maxPortTries = 200
)

// usedPorts are the ports that this process has returned. Clusters that start at the same
// time must not get the same port before either listens on it.
var usedPorts = struct {
	sync.Mutex
	byNumber map[int]bool
}{byNumber: map[int]bool{}}

// FreeAddress returns a loopback address whose port was just free and that no earlier call has
// returned. The error is that of the last port tried.
func FreeAddress() (string, error) {
	usedPorts.Lock()
	defer usedPorts.Unlock()
	err := fmt.Errorf("%d randomly chosen ports in a row had already been returned", maxPortTries)
	for range maxPortTries {
		port := firstPort + rand.IntN(portRange)
		if usedPorts.byNumber[port] {
			continue
		}
		var l net.Listener
		l, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			l.Close()
			usedPorts.byNumber[port] = true
			return l.Addr().String(), nil
		}
	}
	return "", err
}
