package ctl

import (
	"errors"
	"fmt"
	"os"

	"github.com/madderpond/madderpond/pkg/core/control"
	"github.com/madderpond/madderpond/pkg/fault"
	"github.com/madderpond/madderpond/pkg/store"
	"github.com/madderpond/madderpond/pkg/units"
)

// stateFileMode keeps the state from other users: it holds the digests of callers' keys.
const stateFileMode = 0o600

// folderContents is what a data folder holds, as it is printed.
type folderContents struct {
	Folder   string                `json:"folder"`
	Replica  units.ReplicaID       `json:"replica"`
	Cluster  string                `json:"cluster"`
	Term     units.Term            `json:"term"`
	Index    units.Index           `json:"index"`
	Revision units.Revision        `json:"revision"`
	Document units.DocumentVersion `json:"document"`
	Voters   []units.ReplicaID     `json:"voters"`
}

func readFolder(folder string) (*folderContents, *control.RecoveredState, error) {
	contents, err := store.Inspect(folder)
	if err != nil {
		return nil, nil, err
	}
	r, err := control.RecoverState(contents.Durable)
	if err != nil {
		return nil, nil, err
	}
	return &folderContents{
		Folder: folder, Replica: contents.Replica, Cluster: r.Cluster, Term: r.Term, Index: r.Index,
		Revision: r.Revision, Document: r.Document, Voters: r.Voters,
	}, r, nil
}

type showFolders struct {
	Args struct {
		Folders []string `positional-arg-name:"FOLDER" required:"1"`
	} `positional-args:"true"`
	tool *Tool
}

// Execute prints what data folders hold. A folder that can't be read is named, and the others are
// printed all the same.
func (c *showFolders) Execute([]string) error {
	var list []*folderContents
	var failed error
	for _, folder := range c.Args.Folders {
		f, _, err := readFolder(folder)
		if err != nil {
			failed = errors.Join(failed, fmt.Errorf("%s: %w", folder, err))
			continue
		}
		list = append(list, f)
	}
	return errors.Join(c.printFolders(list), failed)
}

func (c *showFolders) printFolders(list []*folderContents) error {
	if c.tool.options.JSON {
		return c.tool.printJSON(list)
	}
	return c.tool.printTable([]string{"folder", "replica", "cluster", "term", "index", "revision", "document", "voters"}, folderRows(list))
}

func folderRows(list []*folderContents) [][]string {
	var rows [][]string
	for _, f := range list {
		rows = append(rows, []string{
			f.Folder, string(f.Replica), f.Cluster, fmt.Sprint(f.Term), fmt.Sprint(f.Index), fmt.Sprint(f.Revision), fmt.Sprint(f.Document), joinNames(f.Voters, ","),
		})
	}
	return rows
}

type exportFolder struct {
	Args struct {
		Folder string `positional-arg-name:"FOLDER" required:"true"`
		File   string `positional-arg-name:"FILE" required:"true"`
	} `positional-args:"true"`
	tool *Tool
}

// Execute writes the state in a data folder to a file, from which "form --state" forms a cluster.
func (c *exportFolder) Execute([]string) error {
	f, recovered, err := readFolder(c.Args.Folder)
	if err != nil {
		return err
	}
	if err := os.WriteFile(c.Args.File, recovered.State, stateFileMode); err != nil {
		return fault.Wrap(err, fault.Invalid, "name a file that can be written", "the state can't be written to %s", c.Args.File)
	}
	c.tool.print("%s holds the state of %s: revision %d, document %d\n", c.Args.File, f.Replica, f.Revision, f.Document)
	return nil
}
