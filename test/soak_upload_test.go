package test

import (
	"fmt"
	"strings"
	"time"

	"github.com/madderpond/madderpond/pkg/config"
	"github.com/madderpond/madderpond/pkg/lab"
)

const (
	// firstUploadSeed is the first seed in which callers send bodies of all sizes to boxes with little memory.
	firstUploadSeed = 110_000
	// soakUploadMemoryMB is the memory of the machines then, in MiB, soakMemoryLimitMB what the settings of boxes
	// and replicas give to the heap.
	soakUploadMemoryMB = 65
	soakMemoryLimitMB  = soakUploadMemoryMB * heapFraction
	// soakMaxBody is the size of the largest body.
	soakMaxBody = 12 << 20
	// soakUploaders is how many callers send bodies.
	soakUploaders = 8
	// soakUploadPatience is how long they wait for an answer.
	soakUploadPatience = 4 * time.Second
	// soakLastUploads uploads are made one after the other when all faults have ended.
	soakLastUploads = 5
)

// soakUpload is an upload and how it ended.
type soakUpload struct {
	id, host, end string
}

func (x *soak) hasUploads() bool { return x.seed >= firstUploadSeed }

// limitMemory gives a process little memory.
func (x *soak) limitMemory(s *config.Settings) {
	s.MemoryLimitMB = soakMemoryLimitMB
	s.Entry.MaxBody = soakMaxBody
}

// upload sends a body of a random size at a random rate.
func (x *soak) upload() {
	sizes := []int{100, 20 << 10, 64 << 10, 300 << 10, 3 << 20, soakMaxBody}
	size := sizes[x.draw(len(sizes))]
	// Between a tenth of a second and three for a body.
	rate := float64(size) / (0.1 + float64(x.draw(30))/10)
	x.sendBody(x.anyBox(), size, rate)
	x.pause(5, 100)
}

// sendBody sends a body, and records how that ended.
func (x *soak) sendBody(n *lab.Node, size int, rate float64) soakUpload {
	x.lock.Lock()
	u := soakUpload{id: fmt.Sprintf("upload-%d", len(x.uploads)), host: []string{"shop.test", "pay.test"}[len(x.uploads)%2]}
	i := len(x.uploads)
	x.uploads = append(x.uploads, u)
	x.lock.Unlock()
	raw := rawUpload{
		address: n.Entry, host: u.host, size: size, rate: rate, patience: soakUploadPatience,
		header: fmt.Sprintf("%s: %s\r\n%s: %s\r\n", lab.RequestHeader, u.id, lab.KeyHeader, soakOwnKey),
	}
	u.end = raw.send()
	x.lock.Lock()
	defer x.lock.Unlock()
	x.uploads[i] = u
	return u
}

// watchMemory checks that no box takes more memory than its machine has.
func (x *soak) watchMemory() {
	for _, b := range x.cluster.Boxes {
		if mb := anonymousMB(b.Process.PID()); mb > soakUploadMemoryMB {
			x.Errorf("%s took %d MB", b.Settings.Box, mb)
		}
	}
	time.Sleep(soakCallPause)
}

// checkUploads checks that uploads are served once all faults have ended, and that none ran that was said not to
// have, nor twice if it mustn't.
func (x *soak) checkUploads() {
	served := func(size int) func() error {
		return func() error {
			if u := x.sendBody(x.anyBox(), size, float64(size)); u.end != "answered" {
				return fmt.Errorf("an upload of %d bytes: %s", size, u.end)
			}
			return nil
		}
	}
	for i := range soakLastUploads {
		x.must(lab.Eventually(waitTimeout, served(soakMaxBody>>(2*i))))
	}
	runs := x.runs()
	ends := map[string]int{}
	for _, u := range x.uploads {
		ends[u.end]++
		switch n := runs[u.id]; {
		case n > 0 && strings.HasSuffix(u.end, "not-run"):
			x.Errorf("%s ran %d times, its caller got %q", u.id, n, u.end)
		case n > 1 && u.host == "pay.test":
			x.Errorf("%s ran %d times", u.id, n)
		}
	}
	x.Logf("uploads: %v", ends)
}
