package store

import (
	"errors"
	"path/filepath"

	"go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"

	"github.com/madderpond/madderpond/pkg/core/replication"
	"github.com/madderpond/madderpond/pkg/fault"
	"github.com/madderpond/madderpond/pkg/units"
)

// Contents is what a data folder holds.
type Contents struct {
	Replica     units.ReplicaID
	Incarnation units.Incarnation
	Durable     *replication.DurableState
}

// Inspect reads the data folder of a replica that isn't running, and changes nothing in it. Errors
// are of kind Damaged or Unavailable.
func Inspect(folder string) (*Contents, error) {
	path := filepath.Join(folder, fileName)
	db, err := bbolt.Open(path, fileMode, &bbolt.Options{ReadOnly: true, Timeout: lockTimeout})
	if errors.Is(err, bolterrors.ErrTimeout) {
		return nil, fault.Wrap(err, fault.Unavailable, "stop the replica that uses this data folder", "the file %s is locked", path)
	}
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "name the data folder of a control replica", "the file %s can't be opened", path)
	}
	defer db.Close()
	c := &Contents{}
	return c, db.View(c.read)
}

func (c *Contents) read(tx *bbolt.Tx) error {
	if err := checkConsistency(tx); err != nil {
		return err
	}
	meta, log := tx.Bucket(metaBucket), tx.Bucket(logBucket)
	if meta == nil || log == nil {
		return fault.New(fault.Damaged, "use the data folder of another replica", "the data folder holds no state of a replica")
	}
	replica, err := get(meta, replicaKey)
	if err != nil {
		return err
	}
	incarnation, err := get(meta, incarnationKey)
	if err != nil {
		return err
	}
	s := &Store{}
	if err := s.loadState(meta, log); err != nil {
		return err
	}
	c.Replica, c.Incarnation, c.Durable = units.ReplicaID(replica), units.Incarnation(incarnation), &s.durable
	return nil
}
