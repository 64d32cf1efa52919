package test

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/madderpond/madderpond/pkg/lab"
)

// spareDescriptors is how many more descriptors a process gets than it has open when the limit is set.
const spareDescriptors = 4

// A process that had no descriptor left for a connection accepted none any more, also once it had some again.
func TestAProcessThatWasOutOfDescriptorsServesAgain(t *testing.T) {
	x := startCluster(t, clusterOptions{replicas: 1, boxes: 1, targets: 2})
	x.applySheets(nil)
	box, replica := x.cluster.Boxes[0], x.cluster.Replicas[0]
	for _, c := range []struct {
		name    string
		node    *lab.Node
		address string
	}{
		{"callers", box, box.Entry},
		{"administration of a box", box, box.Admin},
		{"boxes at a replica", replica, replica.Peer},
		{"administration of a replica", replica, replica.Admin},
	} {
		t.Run(c.name, func(t *testing.T) {
			restore := limitDescriptors(t, c.node.Process.PID())
			defer restore()
			connections := dialMany(c.address, 3*spareDescriptors)
			if c.address == box.Entry {
				requireRefused(t, c.address)
			}
			time.Sleep(100 * time.Millisecond)
			for _, conn := range connections {
				conn.Close()
			}
			restore()
			err := lab.Eventually(waitTimeout, func() error {
				if _, err := c.node.Dump(); err != nil {
					return err
				}
				if err := callOnce(box.Entry); err != nil {
					return err
				}
				return dialPeer(replica.Peer)
			})
			if err != nil {
				t.Error(err)
			}
		})
	}
}

// limitDescriptors leaves a process few descriptors more than it has open; the function returned undoes that.
func limitDescriptors(t *testing.T, pid int) (restore func()) {
	t.Helper()
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		t.Fatal(err)
	}
	var before unix.Rlimit
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, nil, &before); err != nil {
		t.Fatal(err)
	}
	limited := unix.Rlimit{Cur: uint64(len(open) + spareDescriptors), Max: before.Max}
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &limited, nil); err != nil {
		t.Fatal(err)
	}
	return func() {
		if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &before, nil); err != nil {
			t.Error(err)
		}
	}
}

func dialMany(address string, n int) []net.Conn {
	var all []net.Conn
	for range n {
		c, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			continue
		}
		all = append(all, c)
	}
	return all
}

// requireRefused waits until a new connection is refused or reset, so that its caller goes elsewhere at once.
func requireRefused(t *testing.T, address string) {
	t.Helper()
	err := lab.Eventually(waitTimeout, func() error {
		c, err := net.DialTimeout("tcp", address, time.Second)
		if errors.Is(err, unix.ECONNREFUSED) {
			return nil
		}
		if err != nil {
			return err
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(200 * time.Millisecond))
		fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: repeatable.test\r\n\r\n")
		if _, err := c.Read(make([]byte, 1)); !errors.Is(err, unix.ECONNRESET) {
			return fmt.Errorf("a connection waits unaccepted: %v", err)
		}
		return nil
	})
	if err != nil {
		t.Error(err)
	}
}

// callOnce makes a call on a connection of its own; the error is that it wasn't served.
func callOnce(address string) error {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: repeatable.test\r\n\r\n")
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err == nil && a.StatusCode != http.StatusOK {
		err = fmt.Errorf("the call got %s", a.Status)
	}
	return err
}

// dialPeer reports whether a process answers connections of other processes: it closes one that sends junk.
func dialPeer(address string) error {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Second))
	if _, err := fmt.Fprint(c, "junk junk junk junk"); err != nil {
		return nil
	}
	_, err = c.Read(make([]byte, 1))
	if os.IsTimeout(err) {
		return fmt.Errorf("%s doesn't accept connections", address)
	}
	return nil
}
