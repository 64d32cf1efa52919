package test

import (
	"slices"
	"testing"
	"time"

	"github.com/madderpond/madderpond/pkg/config"
	"github.com/madderpond/madderpond/pkg/lab"
)

// beginGrowing starts a cluster whose processes know the first three of its replicas as
// seeds.
func startSeededCluster(t *testing.T, replicas, boxes int) *testCluster {
	t.Helper()
	x := &testCluster{T: t, folder: t.TempDir()}
	t.Cleanup(x.stopProcesses)
	var err error
	x.cluster, err = lab.StartCluster(lab.ClusterSettings{
		Folder: x.folder, Program: programs.daemon, Replicas: replicas, Boxes: boxes, Seeds: 3,
	})
	x.must(err)
	return x
}

// awaitAttached waits until a box has a replica's lease.
func (x *testCluster) awaitAttached(n *lab.Node) {
	x.Helper()
	x.must(x.cluster.AwaitInForce(n, 1, waitTimeout))
}

// freeAddresses are addresses at which nothing runs.
func (x *testCluster) unusedAddresses(n int) []string {
	x.Helper()
	var list []string
	for range n {
		address, err := lab.FreeAddress()
		x.must(err)
		list = append(list, address)
	}
	return list
}

// A box whose replicas are all out of reach follows the seeds that its settings file
// names now, whether or not a signal says so.
func TestABoxFollowsSeedsThatChangeWhileItRuns(t *testing.T) {
	scenarios := []struct {
		testName string
		signal   bool
	}{
		{"by signal", true},
		{"by the file alone", false},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			x := startSeededCluster(t, 3, 1)
			box := x.cluster.Boxes[0]
			x.awaitAttached(box)
			seeds := box.Settings.Seeds
			box.Process.Kill()
			// The machines that were seeds once are gone.
			box.Settings.Seeds = x.unusedAddresses(3)
			x.must(x.cluster.StartAgain(box))
			box.Settings.Seeds = seeds
			x.must(box.WriteSettings())
			if s.signal {
				box.Process.HangUp()
			}
			x.awaitAttached(box)
			if status := x.settingsOf(box); !slices.Equal(status.InForce.Seeds, seeds) || len(status.Waiting) > 0 {
				t.Errorf("in force are the seeds %v, waiting %v", status.InForce.Seeds, status.Waiting)
			}
		})
	}
}

// Settings with a fault change nothing, and those that take a restart are named.
func TestSettingsThatARunningProcessDoesNotTake(t *testing.T) {
	x := startSeededCluster(t, 3, 1)
	box := x.cluster.Boxes[0]
	x.awaitAttached(box)
	limit := box.Settings.Stop.Limit
	box.Settings.Stop.Limit = config.Duration(time.Millisecond)
	x.must(box.WriteSettings())
	x.must(lab.Eventually(waitTimeout, func() error {
		return x.checkSettings(box, true, "")
	}))
	box.Settings.Stop.Limit = limit + config.Duration(time.Second)
	x.must(box.WriteSettings())
	x.must(lab.Eventually(waitTimeout, func() error {
		return x.checkSettings(box, false, "stop.limit")
	}))
	x.awaitAttached(box)
}
