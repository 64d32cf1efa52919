package control

import (
	"github.com/madderpond/madderpond/pkg/core/replication"
	"github.com/madderpond/madderpond/pkg/fault"
	"github.com/madderpond/madderpond/pkg/units"
	"github.com/madderpond/madderpond/pkg/wire"
)

// RecoveredState is the state on the disk of one replica, with every entry of its log, known to be
// committed or not. Of several disks, the one with the latest position holds all that the others hold
// and that was acknowledged.
type RecoveredState struct {
	Cluster string
	// Term and Index are the position of the last entry.
	Term     units.Term
	Index    units.Index
	Revision units.Revision
	Document units.DocumentVersion
	// Voters are the voters of the newest membership.
	Voters []units.ReplicaID
	// State is the encoded state, for FormRequested.
	State []byte
}

// RecoverState returns the state on a disk, for a cluster that has lost too many disks to elect a
// leader. The error is a Damaged fault, or NotFound for a disk of a replica that belonged to no cluster.
func RecoverState(d *replication.DurableState) (*RecoveredState, error) {
	if d.Snapshot == nil {
		return nil, fault.New(fault.NotFound, "use the data folder of another replica", "the replica of this data folder belonged to no cluster")
	}
	s := Settings{Replication: replication.Settings{ElectionTimeout: replication.DefaultElectionTimeout}}
	r, err := NewReplica(s, d, 0)
	if err != nil {
		return nil, err
	}
	for _, entry := range r.node.EntriesAfterSnapshot() {
		var e Effects
		if r.apply(entry, &e); e.Halt != nil {
			return nil, e.Halt
		}
	}
	t := r.state.Table()
	recovered := &RecoveredState{
		Cluster: r.node.Status(0).Cluster, Revision: t.Revision, Document: t.Document, Voters: r.node.Voters(),
	}
	recovered.Term, recovered.Index = r.node.LastEntry()
	recovered.State, err = wire.EncodeState(r.state)
	return recovered, err
}
