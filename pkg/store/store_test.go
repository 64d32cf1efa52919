package store

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/testing/protocmp"

	"github.com/madderpond/madderpond/pkg/core/replication"
	"github.com/madderpond/madderpond/pkg/fault"
	"github.com/madderpond/madderpond/pkg/units"
	"github.com/madderpond/madderpond/pkg/wire"
)

func mustOpen(t *testing.T, folder string, wall units.WallTime) *Store {
	t.Helper()
	s, err := Open(folder, "r1", wall)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func entry(index, term uint64) *wire.Entry {
	return &wire.Entry{Index: index, Term: term, Command: []byte("command")}
}

func TestAFullDiskIsKnownByItsErrors(t *testing.T) {
	for _, x := range []struct {
		err  error
		full bool
	}{
		{nil, false},
		{syscall.ENOSPC, true},
		{fault.Wrap(syscall.ENOSPC, fault.Damaged, "make room", "it can't be written"), true},
		{fmt.Errorf("file resize error: %s", syscall.ENOSPC), true},
		{syscall.EIO, false},
	} {
		if IsDiskFull(x.err) != x.full {
			t.Errorf("IsDiskFull(%v) is %t", x.err, !x.full)
		}
	}
}

func TestWritesAreThereAfterANewStart(t *testing.T) {
	folder := t.TempDir()
	s := mustOpen(t, folder, 10)
	first := s.Identity()
	writes := []*replication.Write{
		{HardState: &wire.HardState{Term: 3, Vote: "r2"}, Entries: []*wire.Entry{entry(1, 1), entry(2, 1), entry(3, 1)}},
		{Entries: []*wire.Entry{entry(2, 2)}},
		{Entries: []*wire.Entry{entry(3, 2), entry(4, 3)}},
		{Snapshot: &wire.Snapshot{Index: 2, Term: 2, State: []byte("state")}, CompactTo: 1},
	}
	if err := s.Write(writes); err != nil {
		t.Fatal(err)
	}
	s.Close()
	s = mustOpen(t, folder, 5)
	defer s.Close()
	want := &replication.DurableState{
		Snapshot: &wire.Snapshot{Index: 2, Term: 2, State: []byte("state")},
		Entries:  []*wire.Entry{entry(2, 2), entry(3, 2), entry(4, 3)},
	}
	got := s.Durable()
	if got.HardState.Term != 3 || got.HardState.Vote != "r2" {
		t.Fatalf("term or vote is lost: %d %s", got.HardState.Term, got.HardState.Vote)
	}
	if d := cmp.Diff(want.Entries, got.Entries, protocmp.Transform()); d != "" {
		t.Fatal(d)
	}
	if d := cmp.Diff(want.Snapshot, got.Snapshot, protocmp.Transform()); d != "" {
		t.Fatal(d)
	}
	if s.Identity().Incarnation != first.Incarnation || s.Identity().Boot <= first.Boot {
		t.Fatalf("the identity changed from %+v to %+v", first, s.Identity())
	}
}

func TestAnInstalledSnapshotReplacesTheLog(t *testing.T) {
	folder := t.TempDir()
	s := mustOpen(t, folder, 0)
	err := s.Write([]*replication.Write{
		{Entries: []*wire.Entry{entry(1, 1), entry(2, 1)}},
		{ResetLog: true, Snapshot: &wire.Snapshot{Index: 9, Term: 4}, Entries: []*wire.Entry{entry(10, 4)}},
	})
	if err != nil {
		t.Fatal(err)
	}
	s.Close()
	s = mustOpen(t, folder, 0)
	defer s.Close()
	if got := s.Durable(); len(got.Entries) != 1 || got.Entries[0].Index != 10 || got.Snapshot.Index != 9 {
		t.Fatalf("unexpected content: %+v", got)
	}
}

func TestAFolderThatCanNotBeTrustedIsRefused(t *testing.T) {
	scenarios := []struct {
		testName string
		corrupt  func(t *testing.T, folder string)
		replica  units.ReplicaID
		kind     fault.Kind
	}{
		{"somebody else's folder", func(*testing.T, string) {}, "r2", fault.ForeignData},
		{"a file cut to one page", truncateTo(4096), "r1", fault.Damaged},
		{"a file cut to three pages", truncateTo(3 * 4096), "r1", fault.Damaged},
		{"one flipped bit in each entry", flipBitIn("command"), "r1", fault.Damaged},
		{"an empty file's worth of junk", overwrite([]byte("junk")), "r1", fault.Damaged},
	}
	for _, x := range scenarios {
		t.Run(x.testName, func(t *testing.T) {
			_, err := Open(corruptedFolder(t, x.corrupt), x.replica, 0)
			if fault.KindOf(err) != x.kind || fault.RemedyOf(err) == "" {
				t.Fatalf("unexpected error: %v", err)
			}
			if x.kind != fault.Damaged {
				return
			}
			if _, err := Inspect(corruptedFolder(t, x.corrupt)); fault.KindOf(err) != fault.Damaged || fault.RemedyOf(err) == "" {
				t.Fatalf("unexpected error of an inspection: %v", err)
			}
		})
	}
}

// corruptedFolder returns a data folder with one entry, after a change to its file.
func corruptedFolder(t *testing.T, corrupt func(*testing.T, string)) string {
	folder := t.TempDir()
	s := mustOpen(t, folder, 0)
	if err := s.Write([]*replication.Write{{Entries: []*wire.Entry{entry(1, 1)}}}); err != nil {
		t.Fatal(err)
	}
	s.Close()
	corrupt(t, folder)
	return folder
}

func truncateTo(size int64) func(*testing.T, string) {
	return func(t *testing.T, folder string) {
		if err := os.Truncate(filepath.Join(folder, fileName), size); err != nil {
			t.Fatal(err)
		}
	}
}

// flipBitIn flips a bit in every occurrence of a text in the file.
func flipBitIn(text string) func(*testing.T, string) {
	return func(t *testing.T, folder string) {
		path := filepath.Join(folder, fileName)
		data, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		flipped := strings.ToUpper(text[:1]) + text[1:]
		corrupted := bytes.ReplaceAll(data, []byte(text), []byte(flipped))
		if bytes.Equal(data, corrupted) {
			t.Fatalf("the file doesn't contain %q", text)
		}
		if err := os.WriteFile(path, corrupted, fileMode); err != nil {
			t.Fatal(err)
		}
	}
}

func overwrite(data []byte) func(*testing.T, string) {
	return func(t *testing.T, folder string) {
		if err := os.WriteFile(filepath.Join(folder, fileName), data, fileMode); err != nil {
			t.Fatal(err)
		}
	}
}

func TestAFailedWriteIsAnError(t *testing.T) {
	s := mustOpen(t, t.TempDir(), 0)
	s.Close()
	err := s.Write([]*replication.Write{{Entries: []*wire.Entry{entry(1, 1)}}})
	if fault.KindOf(err) != fault.Damaged {
		t.Fatalf("unexpected error: %v", err)
	}
}
