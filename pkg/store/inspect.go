package store

import (
	"os"
	"path/filepath"

	"go.etcd.io/bbolt"

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
	if _, err := os.Stat(path); err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "name the data folder of a control replica", "the file %s can't be found", path)
	}
	c := &Contents{}
	err := catchDamage(path, func() error {
		db, err := openFile(path, true)
		if err != nil {
			return err
		}
		defer db.Close()
		return db.View(c.read)
	})
	if err != nil {
		return nil, err
	}
	return c, nil
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
