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

// openWithRetry opens the data folder and retries while the disk is full, so that a
// process that starts on a full disk waits and doesn't exit in a loop.
func openWithRetry(c *common.Common) (*store.Store, error) {
	for {
		s, err := store.Open(c.Settings.Control.DataFolder, units.ReplicaID(c.Settings.ReplicaName()), c.Clock.Wall())
		if !store.IsDiskFull(err) {
			return s, err
		}
		c.Log.WithError(err).WithField("kind", "disk-full").Error("the disk is full; retrying to open the data folder")
		time.Sleep(diskFullRetryInterval)
	}
}

// startWrite makes the disk worker apply all pending writes in one transaction, unless
// a write is in progress.
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

// diskFullRetryInterval is the time between attempts to write while the disk is full.
const diskFullRetryInterval = 200 * time.Millisecond

// writeWithRetry applies writes and retries while the disk is full. None of them takes effect
// until an attempt succeeds; meanwhile the other replicas proceed without this one's vote.
func (r *Replica) writeWithRetry(batch []*replication.Write) error {
	fullLogged := false
	for {
		err := r.store.Write(batch)
		if !store.IsDiskFull(err) || r.stopped.Load() {
			if fullLogged && err == nil {
				r.Log.WithField("kind", "disk-regained").Info("the disk accepts writes again")
			}
			return err
		}
		if !fullLogged {
			fullLogged = true
			r.Log.WithError(err).WithField("kind", "disk-full").Error("the disk is full; retrying the writes")
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
