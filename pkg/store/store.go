// Package store keeps a control replica's durable state in one bbolt file in the
// data folder. Every value is stored with a checksum. Damaged or foreign data gives
// a typed error on opening and is never repaired by guessing.
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

// Identity identifies the replica that owns a data folder, and this start of it.
type Identity struct {
	Replica     units.ReplicaID
	Incarnation units.Incarnation
	// Boot identifies this start and is greater than that of any earlier start. It is
	// derived from the wall clock, in Unix milliseconds, so that a start from an older
	// copy of the folder isn't mistaken for the start that followed the copying.
	Boot uint64
}

// Store is an open data folder. Its methods must not be called concurrently.
type Store struct {
	db       *bbolt.DB
	identity Identity
	durable  replication.DurableState
}

// Open opens the data folder of a replica, and creates it if it doesn't exist. Errors
// are of kind Damaged, ForeignData or Unavailable.
func Open(folder string, replica units.ReplicaID, wall units.WallTime) (*Store, error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "make the folder writable for madderpond", "the data folder %s can't be created", folder)
	}
	path := filepath.Join(folder, fileName)
	s := &Store{}
	err := catchDamage(path, func() error { return s.open(path, replica, wall) })
	if err != nil {
		return nil, err
	}
	return s, nil
}

// catchDamage runs a function that reads a file. Reading a truncated file causes a fault in the memory-mapped
// pages, or a panic in bbolt; both are returned as a Damaged fault.
func catchDamage(path string, read func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if cause := recover(); cause != nil {
			err = fault.New(fault.Damaged, damagedRemedy, "the file %s is damaged: %v", path, cause)
		}
	}()
	return read()
}

func (s *Store) open(path string, replica units.ReplicaID, wall units.WallTime) error {
	db, err := openFile(path, false)
	if err != nil {
		return err
	}
	s.db = db
	if err := s.load(replica, wall); err != nil {
		db.Close()
		return err
	}
	return nil
}

func openFile(path string, readOnly bool) (*bbolt.DB, error) {
	_, statErr := os.Stat(path)
	// The free pages are read here, not in a goroutine of bbolt's, whose panic nobody could catch.
	options := &bbolt.Options{Timeout: lockTimeout, FreelistType: bbolt.FreelistMapType, ReadOnly: readOnly, PreLoadFreelist: true}
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

// checkConsistency returns the first inconsistency in the structure of the file as a
// Damaged fault.
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

// incarnationLength is the number of characters of a random UUID that identify a disk within
// its cluster. It is short since every message between replicas contains an incarnation.
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
			return fault.New(fault.Damaged, damagedRemedy, "the log has a gap before entry %d", e.Index)
		}
		s.durable.Entries = append(s.durable.Entries, e)
	}
	return nil
}

// Identity returns the replica that owns the data folder, and this start of it.
func (s *Store) Identity() Identity { return s.identity }

// Durable returns the state that was stored when the folder was opened.
func (s *Store) Durable() *replication.DurableState { return &s.durable }

// Write applies writes in order, in one transaction that is synced to disk. If it fails,
// none of them takes effect. The error is a Damaged fault; the replica must stop, unless
// IsDiskFull.
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

// deleteRange deletes the entries in a range of indexes, both bounds inclusive.
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

// IsDiskFull returns whether an error means that the disk is full. The text is compared too,
// since bbolt doesn't wrap all errors of the system.
func IsDiskFull(err error) bool {
	return err != nil && (errors.Is(err, syscall.ENOSPC) || strings.Contains(err.Error(), syscall.ENOSPC.Error()))
}

// Size returns the size of the file in bytes, or 0 if it is unknown.
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

// put stores a value, prefixed with a checksum of the key and the value.
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

// verifyValue verifies the checksum of a stored value and returns a copy of the value without it.
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
