package test

import (
	"bytes"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/madderpond/madderpond/pkg/config"
	"github.com/madderpond/madderpond/pkg/lab"
)

// Bodies sent to a replica's administration took as much memory as there were connections, without a token too.
func TestDocumentsTakeBoundedMemory(t *testing.T) {
	const (
		memoryMB    = 100
		connections = 24
		size        = 8 << 20
	)
	x := startCluster(t, clusterOptions{replicas: 1, boxes: 1, targets: 1, adjust: func(s *config.Settings) {
		s.MemoryLimitMB = heapFraction * memoryMB
		s.Admin.MaxBody = size
	}})
	x.applySheets(nil)
	replica := x.cluster.Replicas[0]
	beginning := bytes.Repeat([]byte("x"), size-1)
	peakMB := watchMemory(replica.Process.PID())
	for _, path := range []string{"PUT /v1/document", "POST /v1/edits", "PUT /nowhere"} {
		for range connections / 3 {
			c, err := net.Dial("tcp", replica.Admin)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			c.SetDeadline(time.Now().Add(5 * time.Second))
			go func() {
				// The replica may close the connection before it has read all.
				fmt.Fprintf(c, "%s HTTP/1.1\r\nHost: replica\r\nContent-Length: %d\r\n\r\n", path, size)
				c.Write(beginning)
			}()
		}
	}
	time.Sleep(time.Second)
	if peak := peakMB(); peak > memoryMB {
		t.Errorf("the replica took %d MB", peak)
	}
	if replica.Process.Exited() {
		t.Fatal("the replica has ended")
	}
	x.must(lab.Eventually(waitTimeout, func() error {
		_, err := replica.Dump()
		return err
	}))
}
