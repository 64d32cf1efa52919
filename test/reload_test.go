package test

import (
	"slices"
	"testing"
	"time"

	"github.com/madderpond/madderpond/pkg/config"
	"github.com/madderpond/madderpond/pkg/lab"
)

// startSeededCluster starts a cluster whose processes have its first three replicas as
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

// awaitAttached waits until a box has a replica's lease and a table in force.
func (x *testCluster) awaitAttached(n *lab.Node) {
	x.Helper()
	x.must(x.cluster.AwaitRevision(n, 1, waitTimeout))
}

// unusedAddresses returns addresses at which nothing listens.
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

// A box that reaches none of its replicas switches to the seeds that its settings file
// names now, with or without a signal.
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
			// No replica listens at the addresses of the seeds any more.
			box.Settings.Seeds = x.unusedAddresses(3)
			x.must(x.cluster.StartNode(box))
			box.Settings.Seeds = seeds
			x.must(box.WriteSettings())
			if s.signal {
				box.Process.Reload()
			}
			x.awaitAttached(box)
			if status := x.settingsOf(box); !slices.Equal(status.InForce.Seeds, seeds) || len(status.PendingRestart) > 0 {
				t.Errorf("seeds %v are in force, settings that wait for a restart: %v", status.InForce.Seeds, status.PendingRestart)
			}
		})
	}
}

// Invalid settings change nothing, and settings that require a restart are reported as waiting.
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
