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
	// Position is the term and the index of the last entry.
	Position Position
	Revision units.Revision
	Document units.DocumentVersion
	// Voters are the voters of the newest membership.
	Voters []units.ReplicaID
	// State is the encoded state, for FormRequested.
	State []byte
}

// Position is the term and the index of an entry.
type Position struct {
	Term  units.Term
	Index units.Index
}

// RecoverState returns the state on a disk, for a cluster that has lost too many disks to elect a
// leader. The error is a Damaged fault, or NotFound for a disk of a replica that belonged to no cluster.
func RecoverState(d *replication.DurableState) (*RecoveredState, error) {
	if d.Snapshot == nil {
		return nil, fault.New(fault.NotFound, "use the data folder of another replica", "the replica of this data folder belonged to no cluster")
	}
	s := Settings{Replication: replication.Settings{ElectionTimeout: replication.DefaultElectionTimeout}}
	r, err := NewReplica(s, &replication.DurableState{Snapshot: d.Snapshot}, 0)
	if err != nil {
		return nil, err
	}
	recovered := &RecoveredState{Position: Position{Term: units.Term(d.Snapshot.Term), Index: units.Index(d.Snapshot.Index)}}
	membership := d.Snapshot.Membership
	for _, entry := range d.Entries {
		if units.Index(entry.Index) <= recovered.Position.Index {
			continue
		}
		recovered.Position = Position{Term: units.Term(entry.Term), Index: units.Index(entry.Index)}
		if entry.Membership != nil {
			membership = entry.Membership
		}
		var e Effects
		if r.apply(entry, &e); e.Halt != nil {
			return nil, e.Halt
		}
	}
	recovered.Cluster = membership.Cluster
	for _, m := range membership.Voters {
		recovered.Voters = append(recovered.Voters, units.ReplicaID(m.Id))
	}
	recovered.Revision, recovered.Document = r.state.Table().Revision, r.state.Table().Document
	recovered.State, err = wire.EncodeState(r.state)
	return recovered, err
}
