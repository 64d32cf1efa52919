package replica

import (
	"time"

	"github.com/madderpond/madderpond/pkg/common"
	"github.com/madderpond/madderpond/pkg/core/control"
	"github.com/madderpond/madderpond/pkg/core/replication"
	"github.com/madderpond/madderpond/pkg/fault"
	"github.com/madderpond/madderpond/pkg/store"
	"github.com/madderpond/madderpond/pkg/units"
)

// openPatiently opens the data folder, again and again while the disk is full, so that
// a restart then doesn't end the process over and over.
func openPatiently(c *common.Common) (*store.Store, error) {
	for {
		s, err := store.Open(c.Settings.Control.DataFolder, units.ReplicaID(c.Settings.ReplicaName()), c.Clock.Wall())
		if !store.IsFull(err) {
			return s, err
		}
		c.Log.WithError(err).WithField("kind", "disk-full").Error("the disk is full; the start waits")
		time.Sleep(fullDiskRetry)
	}
}

// startWriting has the disk worker carry out all writes that wait, in one
// transaction, unless it is at work already.
func (r *Replica) startWriting() {
	if r.writing || len(r.pending) == 0 {
		return
	}
	batch := r.pending
	r.pending = nil
	r.writing = true
	if err := r.disk.Go(func() { r.write(batch) }); err != nil {
		r.halt(fault.Wrap(err, fault.Internal, "start the replica again", "the disk worker has stopped"))
	}
}

// fullDiskRetry is how often a write that found the disk full is tried again.
const fullDiskRetry = 200 * time.Millisecond

// writePatiently carries out writes, again and again while the disk is full: nothing of
// them counts until then, and the others go on without this replica's vote.
func (r *Replica) writePatiently(batch []*replication.Write) error {
	told := false
	for {
		err := r.store.Write(batch)
		if !store.IsFull(err) || r.stopped.Load() {
			if told && err == nil {
				r.Log.WithField("kind", "disk-regained").Info("the disk takes writes again")
			}
			return err
		}
		if !told {
			told = true
			r.Log.WithError(err).WithField("kind", "disk-full").Error("the disk is full; writes wait")
		}
		time.Sleep(fullDiskRetry)
	}
}

func (r *Replica) write(batch []*replication.Write) {
	began := time.Now()
	err := r.writePatiently(batch)
	r.syncs.Observe(time.Since(began))
	r.lock.Lock()
	defer r.lock.Unlock()
	r.writing = false
	if err != nil {
		r.reduce(control.DiskFailed{Cause: err})
		return
	}
	r.reduce(control.DiskSynced{Sequence: batch[len(batch)-1].Sequence})
	r.startWriting()
}
