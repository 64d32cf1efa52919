// Package store keeps a control replica's durable state in one bbolt file in the
// data folder. Every value carries a checksum; whatever can't be trusted gives a
// typed error at the start, never a guess.
package store

import (
	"encoding/binary"
	"errors"
	"os"
	"path/filepath"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"
	"google.golang.org/protobuf/proto"

	"github.com/madderpond/madderpond/pkg/core/replication"
	"github.com/madderpond/madderpond/pkg/fault"
	"github.com/madderpond/madderpond/pkg/units"
	"github.com/madderpond/madderpond/pkg/wire"
)

const (
	fileName      = "control.db"
	formatVersion = 1
	lockTimeout   = 2 * time.Second
	checksumSize  = 8
	fileMode      = 0o600
	folderMode    = 0o700
)

var (
	metaBucket = []byte("meta")
	logBucket  = []byte("log")

	formatKey      = []byte("format")
	replicaKey     = []byte("replica")
	incarnationKey = []byte("incarnation")
	bootKey        = []byte("boot")
	hardStateKey   = []byte("hard-state")
	snapshotKey    = []byte("snapshot")
)

const damagedRemedy = "keep the data folder for analysis and start with an empty one; the replica then copies the state from the others"

// Identity says whose data the folder holds.
type Identity struct {
	Replica     units.ReplicaID
	Incarnation units.Incarnation
	// Boot names this start; it is greater than that of any earlier one. It comes
	// from the wall clock, so that a start from an older copy of the folder doesn't
	// pass for the start that followed when the copy was taken.
	Boot uint64
}

// Store is an open data folder. Its methods are for one goroutine.
type Store struct {
	db       *bbolt.DB
	identity Identity
	durable  replication.Durable
}

// Open opens the data folder of a replica, making it when there is none. Errors
// are of kind Damaged, ForeignData or Unavailable.
func Open(folder string, replica units.ReplicaID, wall units.WallTime) (s *Store, err error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "make the folder writable for madderpond", "the data folder %s can't be made", folder)
	}
	path := filepath.Join(folder, fileName)
	// A file cut short shows as a fault of the mapped memory, or as a panic of
	// the library.
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if cause := recover(); cause != nil {
			s, err = nil, fault.New(fault.Damaged, damagedRemedy, "the file %s is damaged: %v", path, cause)
		}
	}()
	db, err := openFile(path)
	if err != nil {
		return nil, err
	}
	s = &Store{db: db}
	if err := s.load(replica, wall); err != nil {
		db.Close()
		return nil, err
	}
	return s, nil
}

func openFile(path string) (*bbolt.DB, error) {
	_, statErr := os.Stat(path)
	options := &bbolt.Options{Timeout: lockTimeout, FreelistType: bbolt.FreelistMapType}
	db, err := bbolt.Open(path, fileMode, options)
	if err == nil {
		return db, nil
	}
	if errors.Is(err, bolterrors.ErrTimeout) {
		return nil, fault.Wrap(err, fault.Unavailable, "stop the other process that uses this data folder", "the file %s is locked", path)
	}
	if statErr == nil && !os.IsPermission(err) {
		return nil, fault.Wrap(err, fault.Damaged, damagedRemedy, "the file %s is damaged", path)
	}
	return nil, fault.Wrap(err, fault.Unavailable, "make the folder writable for madderpond", "the file %s can't be opened", path)
}

func (s *Store) load(replica units.ReplicaID, wall units.WallTime) error {
	err := s.db.View(func(tx *bbolt.Tx) error { return checkConsistency(tx) })
	if err != nil {
		return err
	}
	return s.db.Update(func(tx *bbolt.Tx) error {
		meta, err := tx.CreateBucketIfNotExists(metaBucket)
		if err != nil {
			return err
		}
		log, err := tx.CreateBucketIfNotExists(logBucket)
		if err != nil {
			return err
		}
		if meta.Get(formatKey) == nil {
			err = initialize(meta, replica)
			if err != nil {
				return err
			}
		}
		if err := s.loadIdentity(meta, replica, wall); err != nil {
			return err
		}
		return s.loadState(meta, log)
	})
}

// checkConsistency looks at the structure of the whole file.
func checkConsistency(tx *bbolt.Tx) error {
	for problem := range tx.Check() {
		return fault.Wrap(problem, fault.Damaged, damagedRemedy, "the data folder's file is inconsistent")
	}
	return nil
}

func initialize(meta *bbolt.Bucket, replica units.ReplicaID) error {
	values := []struct {
		key   []byte
		value []byte
	}{
		{formatKey, binary.BigEndian.AppendUint64(nil, formatVersion)},
		{replicaKey, []byte(replica)},
		{incarnationKey, []byte(newIncarnation())},
		{bootKey, binary.BigEndian.AppendUint64(nil, 0)},
	}
	for _, v := range values {
		if err := put(meta, v.key, v.value); err != nil {
			return err
		}
	}
	return nil
}

// incarnationLength is how much of a random name tells the disks of one cluster apart; it
// stands in every message between replicas.
const incarnationLength = 13

func newIncarnation() string { return uuid.NewString()[:incarnationLength] }

func (s *Store) loadIdentity(meta *bbolt.Bucket, replica units.ReplicaID, wall units.WallTime) error {
	owner, err := get(meta, replicaKey)
	if err != nil {
		return err
	}
	if units.ReplicaID(owner) != replica {
		return fault.New(fault.ForeignData, "point the settings at this replica's own data folder, or at an empty one",
			"the data folder belongs to replica %s, this is %s", owner, replica)
	}
	incarnation, err := get(meta, incarnationKey)
	if err != nil {
		return err
	}
	boot, err := getNumber(meta, bootKey)
	if err != nil {
		return err
	}
	boot = max(boot+1, uint64(wall))
	s.identity = Identity{Replica: replica, Incarnation: units.Incarnation(incarnation), Boot: boot}
	return put(meta, bootKey, binary.BigEndian.AppendUint64(nil, boot))
}

func (s *Store) loadState(meta, log *bbolt.Bucket) error {
	if err := getMessage(meta, hardStateKey, &s.durable.HardState); err != nil {
		return err
	}
	if meta.Get(snapshotKey) != nil {
		s.durable.Snapshot = &wire.Snapshot{}
		if err := getMessage(meta, snapshotKey, s.durable.Snapshot); err != nil {
			return err
		}
	}
	return s.loadLog(log)
}

func (s *Store) loadLog(log *bbolt.Bucket) error {
	c := log.Cursor()
	for k, v := c.First(); k != nil; k, v = c.Next() {
		data, err := verifyValue(k, v)
		if err != nil {
			return err
		}
		e := &wire.Entry{}
		if err := proto.Unmarshal(data, e); err != nil {
			return damagedError(k)
		}
		if n := len(s.durable.Entries); n > 0 && s.durable.Entries[n-1].Index+1 != e.Index {
			return fault.New(fault.Damaged, damagedRemedy, "the log lacks what comes before entry %d", e.Index)
		}
		s.durable.Entries = append(s.durable.Entries, e)
	}
	return nil
}

// Identity returns whose data this is.
func (s *Store) Identity() Identity { return s.identity }

// Durable returns what was on the disk when the folder was opened.
func (s *Store) Durable() *replication.Durable { return &s.durable }

// Write carries out writes in order, all in one synced transaction. When it
// fails nothing of them counts, and the replica must stop.
func (s *Store) Write(writes []*replication.Write) error {
	err := s.db.Update(func(tx *bbolt.Tx) error {
		for _, w := range writes {
			if err := applyWrite(tx, w); err != nil {
				return err
			}
		}
		return nil
	})
	return fault.Wrap(err, fault.Damaged, "make room on the disk or replace it, then start the replica again", "the data folder can't be written")
}

func applyWrite(tx *bbolt.Tx, w *replication.Write) error {
	meta, log := tx.Bucket(metaBucket), tx.Bucket(logBucket)
	if w.HardState != nil {
		if err := putMessage(meta, hardStateKey, w.HardState); err != nil {
			return err
		}
	}
	if w.Snapshot != nil {
		if err := putMessage(meta, snapshotKey, w.Snapshot); err != nil {
			return err
		}
	}
	if w.ResetLog {
		if err := deleteRange(log, 0, ^uint64(0)); err != nil {
			return err
		}
	}
	if w.CompactTo > 0 {
		if err := deleteRange(log, 0, uint64(w.CompactTo)); err != nil {
			return err
		}
	}
	return appendEntries(log, w.Entries)
}

func appendEntries(log *bbolt.Bucket, entries []*wire.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	if err := deleteRange(log, entries[0].Index, ^uint64(0)); err != nil {
		return err
	}
	for _, e := range entries {
		if err := putMessage(log, indexKey(e.Index), e); err != nil {
			return err
		}
	}
	return nil
}

// deleteRange drops the entries from one index to another, both included.
func deleteRange(log *bbolt.Bucket, from, to uint64) error {
	var keys [][]byte
	c := log.Cursor()
	for k, _ := c.Seek(indexKey(from)); k != nil && binary.BigEndian.Uint64(k) <= to; k, _ = c.Next() {
		keys = append(keys, append([]byte(nil), k...))
	}
	for _, k := range keys {
		if err := log.Delete(k); err != nil {
			return err
		}
	}
	return nil
}

// IsDiskFull tells whether an error says that the disk takes no more. bbolt tells some of
// its errors in words only.
func IsDiskFull(err error) bool {
	return err != nil && (errors.Is(err, syscall.ENOSPC) || strings.Contains(err.Error(), syscall.ENOSPC.Error()))
}

// Size returns the size of the file in bytes.
func (s *Store) Size() int64 {
	info, err := os.Stat(s.db.Path())
	if err != nil {
		return 0
	}
	return info.Size()
}

// Close closes the file.
func (s *Store) Close() error { return s.db.Close() }

func indexKey(i uint64) []byte { return binary.BigEndian.AppendUint64(nil, i) }

// put writes a value after a checksum of its key and itself.
func put(b *bbolt.Bucket, key, value []byte) error {
	return b.Put(key, append(checksum(key, value), value...))
}

func putMessage(b *bbolt.Bucket, key []byte, m proto.Message) error {
	data, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	return put(b, key, data)
}

func get(b *bbolt.Bucket, key []byte) ([]byte, error) {
	return verifyValue(key, b.Get(key))
}

func getNumber(b *bbolt.Bucket, key []byte) (uint64, error) {
	data, err := get(b, key)
	if err != nil {
		return 0, err
	}
	if len(data) != 8 {
		return 0, damagedError(key)
	}
	return binary.BigEndian.Uint64(data), nil
}

func getMessage(b *bbolt.Bucket, key []byte, m proto.Message) error {
	if b.Get(key) == nil {
		return nil
	}
	data, err := get(b, key)
	if err != nil {
		return err
	}
	if err := proto.Unmarshal(data, m); err != nil {
		return damagedError(key)
	}
	return nil
}

// verifyValue checks a value against its checksum.
func verifyValue(key, stored []byte) ([]byte, error) {
	if len(stored) < checksumSize {
		return nil, damagedError(key)
	}
	value := append([]byte(nil), stored[checksumSize:]...)
	if string(checksum(key, value)) != string(stored[:checksumSize]) {
		return nil, damagedError(key)
	}
	return value, nil
}

func checksum(key, value []byte) []byte {
	d := xxhash.New()
	d.Write(key)
	d.Write(value)
	return binary.BigEndian.AppendUint64(nil, d.Sum64())
}

func damagedError(key []byte) error {
	return fault.New(fault.Damaged, damagedRemedy, "the value %q doesn't match its checksum", key)
}
