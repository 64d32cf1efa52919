package test

import (
	"encoding/json"
	"errors"
	"path/filepath"
	"testing"

	"github.com/madderpond/madderpond/pkg/lab"
)

// A control plane that has lost too many disks for good is formed anew from the disk that holds the
// newest state, and every acknowledged edit on it is in force again.
func TestAClusterIsFormedFromASurvivingDisk(t *testing.T) {
	x := startCluster(t, clusterOptions{replicas: 3, boxes: 1})
	for weight := range 20 {
		x.mustSetWeight("alpha", weight)
	}
	last := x.mustSetWeight("beta", 7)
	x.awaitInForce(last)
	survivor := x.leader()
	folder, saved := survivor.Settings.Control.DataFolder, filepath.Join(x.folder, "state")
	x.mustRunTool(4, []string{"locked"}, "folder", "show", folder)
	for _, n := range x.cluster.Replicas {
		n.Process.Kill()
	}
	for _, n := range x.otherReplicas(survivor) {
		x.must(x.cluster.EraseData(n))
		x.must(x.cluster.StartNode(n))
	}
	x.must(x.cluster.StartNode(survivor))
	if _, err := x.api().FormCluster(nil); err == nil {
		t.Fatal("a cluster formed beside a disk that belongs to another one")
	}
	for _, n := range x.cluster.Replicas {
		n.Process.Kill()
	}
	x.mustShowFolder(folder, uint64(last.Revision))
	x.mustRunTool(0, []string{"revision"}, "folder", "export", folder, saved)
	for _, n := range x.cluster.Replicas {
		x.must(x.cluster.EraseData(n))
		x.must(x.cluster.StartNode(n))
	}
	x.must(lab.Eventually(waitTimeout, func() error {
		if out, code := x.runTool("form", "--state", saved); code != 0 {
			return errors.New(out)
		}
		return nil
	}))
	x.mustShowWeight("alpha", 19)
	x.mustShowWeight("beta", 7)
	x.awaitInForce(x.mustSetWeight("beta", 8))
	x.mustRunTool(2, []string{"the state for the new cluster can't be read"}, "form", "--state", x.writeFile("junk", "\xff\xff"))
}

func (x *testCluster) mustShowFolder(folder string, revision uint64) {
	x.Helper()
	out, code := x.runTool("--json", "folder", "show", folder)
	var list []struct{ Revision, Index uint64 }
	if err := json.Unmarshal([]byte(out), &list); err != nil || code != 0 || len(list) != 1 {
		x.Fatalf("folder show exited with code %d (%v): %s", code, err, out)
	}
	if list[0].Revision < revision {
		x.Fatalf("the folder holds revision %d, %d was acknowledged", list[0].Revision, revision)
	}
}
