package test

import (
	"fmt"
	"slices"

	"github.com/madderpond/madderpond/pkg/lab"
	"github.com/madderpond/madderpond/pkg/reload"
)

// settingsOf asks a process what became of its settings file.
func (x *testCluster) settingsOf(n *lab.Node) *reload.Status {
	x.Helper()
	status, err := x.api(n).Settings()
	x.must(err)
	return status
}

// wantSettings tells whether a process has refused its settings file, and whether a field
// waits for a restart; an empty one stands for none.
func (x *testCluster) checkSettings(n *lab.Node, refused bool, waiting string) error {
	status, err := x.api(n).Settings()
	if err != nil {
		return err
	}
	if (status.Refused != "") != refused || waiting != "" && !slices.Contains(status.Waiting, waiting) {
		return fmt.Errorf("refused %q, waiting %v", status.Refused, status.Waiting)
	}
	return nil
}
