package routing

import (
	"time"

	"github.com/madderpond/madderpond/pkg/units"
)

// What boxes spend on processors, those of the other side included: on a connection, on a message or call
// on a connection that is open, and for how long messages about targets leave one open.
const (
	connectionWork   = time.Millisecond
	messageWork      = 200 * time.Microsecond
	reachSessionIdle = 5 * time.Second
)

// reachMachine is what all boxes of a fleet run on. Work waits for its processors.
type reachMachine struct {
	// processors is their number; 0 for so many that nothing waits.
	processors int
	busyUntil  units.Instant
	// sessions are when boxes last sent each other messages about targets, by sender and receiver.
	sessions map[[2]units.BoxID]units.Instant
}

// spend adds work, and returns the time until it is done.
func (m *reachMachine) spend(now units.Instant, work time.Duration) time.Duration {
	if m.processors == 0 {
		return 0
	}
	m.busyUntil = max(m.busyUntil, now).Add(work / time.Duration(m.processors))
	return m.busyUntil.Sub(now)
}

// spendOnContact adds the work on a call or probe to a target.
func (m *reachMachine) spendOnContact(now units.Instant, reused bool) time.Duration {
	work := messageWork
	if !reused {
		work += connectionWork
	}
	return m.spend(now, work)
}

// spendOnMessage adds the work on a message about targets. Answers go back on the connection of the query.
func (m *reachMachine) spendOnMessage(now units.Instant, from, to units.BoxID, kind ReachMessageKind) time.Duration {
	session := [2]units.BoxID{from, to}
	if kind == ReachAnswer {
		session = [2]units.BoxID{to, from}
	}
	used, ok := m.sessions[session]
	m.sessions[session] = now
	return m.spendOnContact(now, ok && now.Sub(used) < reachSessionIdle)
}
