package replication

import (
	"slices"

	"github.com/madderpond/madderpond/pkg/units"
	"github.com/madderpond/madderpond/pkg/wire"
)

// maxAppendBytes bounds the bytes of the commands in one append request.
const maxAppendBytes = 512 << 10

// entryLog holds the log in memory: a snapshot and the entries that follow it.
type entryLog struct {
	snapshot *wire.Snapshot
	// base is the index before the first entry kept. Entries covered by the
	// snapshot may be kept for slow followers.
	base     units.Index
	baseTerm units.Term
	entries  []*wire.Entry
	// bytes is the size of the entries' commands.
	bytes  int
	commit units.Index
	// synced is the last index known to be on this replica's disk.
	synced units.Index
}

func newEntryLog(d *DurableState) *entryLog {
	l := &entryLog{snapshot: d.Snapshot, entries: d.Entries}
	if l.snapshot != nil {
		l.base = units.Index(l.snapshot.Index)
		l.baseTerm = units.Term(l.snapshot.Term)
		l.commit = l.base
	}
	// After a restart, entries that the snapshot covers aren't needed.
	l.entries = slices.DeleteFunc(l.entries, func(e *wire.Entry) bool {
		return units.Index(e.Index) <= l.base
	})
	l.synced = l.last()
	l.bytes = commandBytes(l.entries)
	return l
}

// commandBytes returns the size of the commands of entries.
func commandBytes(entries []*wire.Entry) int {
	bytes := 0
	for _, e := range entries {
		bytes += len(e.Command)
	}
	return bytes
}

// append adds entries at the end.
func (l *entryLog) append(entries ...*wire.Entry) {
	l.entries = append(l.entries, entries...)
	l.bytes += commandBytes(entries)
}

func (l *entryLog) last() units.Index {
	return l.base + units.Index(len(l.entries))
}

func (l *entryLog) lastTerm() units.Term {
	term, _ := l.term(l.last())
	return term
}

// leaderOf returns the process of the replica that led a term, from the term's first entry or from
// the snapshot; nil when neither is kept.
func (l *entryLog) leaderOf(term units.Term) *wire.LeaderStart {
	for _, e := range l.entries {
		if units.Term(e.Term) == term && e.Leader != nil {
			return e.Leader
		}
	}
	if l.snapshot != nil && units.Term(l.snapshot.Term) == term {
		return l.snapshot.Leader
	}
	return nil
}

// term returns the term of an entry; ok is false when the entry isn't kept.
func (l *entryLog) term(i units.Index) (term units.Term, ok bool) {
	if i == l.base {
		return l.baseTerm, true
	}
	if i < l.base || i > l.last() {
		return 0, false
	}
	return units.Term(l.entryAt(i).Term), true
}

func (l *entryLog) entryAt(i units.Index) *wire.Entry {
	return l.entries[i-l.base-1]
}

// entriesFrom returns the entries from index i on, up to maxAppendBytes of commands but at least one.
func (l *entryLog) entriesFrom(i units.Index) []*wire.Entry {
	if i > l.last() {
		return nil
	}
	size := 0
	first := int(i - l.base - 1)
	for n, e := range l.entries[first:] {
		size += len(e.Command)
		if size > maxAppendBytes && n > 0 {
			return l.entries[first : first+n]
		}
	}
	return l.entries[first:]
}

// merge adds a leader's entries and returns those that were new. An
// entry that conflicts with a kept one replaces it and all that follow it.
func (l *entryLog) merge(entries []*wire.Entry) []*wire.Entry {
	for n, e := range entries {
		i := units.Index(e.Index)
		if i <= l.base {
			continue
		}
		term, kept := l.term(i)
		if kept && term == units.Term(e.Term) {
			continue
		}
		l.truncate(i)
		added := entries[n:]
		l.append(added...)
		return added
	}
	return nil
}

// truncate drops the entries from index i on.
func (l *entryLog) truncate(i units.Index) {
	if i > l.last() {
		return
	}
	l.bytes -= commandBytes(l.entries[i-l.base-1:])
	// A message that isn't encoded yet may still read the old array.
	l.entries = slices.Clone(l.entries[:i-l.base-1])
	l.synced = min(l.synced, l.last())
}

// compact drops the entries up to and including an index.
func (l *entryLog) compact(to units.Index) {
	if to <= l.base || to > l.last() {
		return
	}
	term, _ := l.term(to)
	l.bytes -= commandBytes(l.entries[:to-l.base])
	l.entries = slices.Clone(l.entries[to-l.base:])
	l.base = to
	l.baseTerm = term
}

// reset replaces the whole log with a snapshot.
func (l *entryLog) reset(s *wire.Snapshot) {
	l.snapshot = s
	l.base = units.Index(s.Index)
	l.baseTerm = units.Term(s.Term)
	l.entries = nil
	l.bytes = 0
	l.commit = l.base
	l.synced = l.base
}

// upToDate reports whether a log that ends with the given entry is at least as
// complete as this one, by Raft's rule for granting votes.
func (l *entryLog) upToDate(last units.Index, lastTerm units.Term) bool {
	if lastTerm != l.lastTerm() {
		return lastTerm > l.lastTerm()
	}
	return last >= l.last()
}
