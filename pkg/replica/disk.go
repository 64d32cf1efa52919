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

// openWithRetry opens the data folder, again and again while the disk is full, so that
// a restart then doesn't end the process over and over.
func openWithRetry(c *common.Common) (*store.Store, error) {
	for {
		s, err := store.Open(c.Settings.Control.DataFolder, units.ReplicaID(c.Settings.ReplicaName()), c.Clock.Wall())
		if !store.IsDiskFull(err) {
			return s, err
		}
		c.Log.WithError(err).WithField("kind", "disk-full").Error("the disk is full; the start waits")
		time.Sleep(diskFullRetryInterval)
	}
}

// startWrite has the disk worker carry out all writes that wait, in one
// transaction, unless it is at work already.
func (r *Replica) startWrite() {
	if r.writeInProgress || len(r.pendingWrites) == 0 {
		return
	}
	batch := r.pendingWrites
	r.pendingWrites = nil
	r.writeInProgress = true
	if err := r.diskWorker.Go(func() { r.write(batch) }); err != nil {
		r.halt(fault.Wrap(err, fault.Internal, "start the replica again", "the disk worker has stopped"))
	}
}

// diskFullRetryInterval is how often a write that found the disk full is tried again.
const diskFullRetryInterval = 200 * time.Millisecond

// writeWithRetry carries out writes, again and again while the disk is full: nothing of
// them counts until then, and the others go on without this replica's vote.
func (r *Replica) writeWithRetry(batch []*replication.Write) error {
	fullLogged := false
	for {
		err := r.store.Write(batch)
		if !store.IsDiskFull(err) || r.stopped.Load() {
			if fullLogged && err == nil {
				r.Log.WithField("kind", "disk-regained").Info("the disk takes writes again")
			}
			return err
		}
		if !fullLogged {
			fullLogged = true
			r.Log.WithError(err).WithField("kind", "disk-full").Error("the disk is full; writes wait")
		}
		time.Sleep(diskFullRetryInterval)
	}
}

func (r *Replica) write(batch []*replication.Write) {
	start := time.Now()
	err := r.writeWithRetry(batch)
	r.writeLatency.Observe(time.Since(start))
	r.lock.Lock()
	defer r.lock.Unlock()
	r.writeInProgress = false
	if err != nil {
		r.reduce(control.DiskFailed{Cause: err})
		return
	}
	r.reduce(control.DiskSynced{Sequence: batch[len(batch)-1].Sequence})
	r.startWrite()
}
