package test

import (
	"fmt"
	"slices"

	"github.com/madderpond/madderpond/pkg/lab"
	"github.com/madderpond/madderpond/pkg/reload"
)

// settingsOf reads the state of a process's settings file: what is in force, refused or waiting.
func (x *testCluster) settingsOf(n *lab.Node) *reload.Status {
	x.Helper()
	status, err := x.api(n).Settings()
	x.must(err)
	return status
}

// checkSettings checks whether a process has refused its settings file, and that a field waits
// for a restart unless waiting is empty.
func (x *testCluster) checkSettings(n *lab.Node, refused bool, waiting string) error {
	status, err := x.api(n).Settings()
	if err != nil {
		return err
	}
	if (status.Refused != "") != refused || waiting != "" && !slices.Contains(status.PendingRestart, waiting) {
		return fmt.Errorf("settings refused: %q, waiting for a restart: %v", status.Refused, status.PendingRestart)
	}
	return nil
}
