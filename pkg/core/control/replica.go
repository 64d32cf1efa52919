package control

import (
	"time"

	"github.com/madderpond/madderpond/pkg/container"
	"github.com/madderpond/madderpond/pkg/core/replication"
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/fault"
	"github.com/madderpond/madderpond/pkg/units"
	"github.com/madderpond/madderpond/pkg/wire"
)

// Settings are the settings of a control replica.
type Settings struct {
	Replication replication.Settings
	// Domain is the replica's own failure domain.
	Domain units.Domain
	// Lease is how long a box may serve calls after its last lease renewal.
	Lease time.Duration
	// LeaseMargin is added to a silent box's lease before its share is given to other boxes.
	LeaseMargin time.Duration
	// ReadTimeout is how long a read may wait for the leader's read index.
	ReadTimeout time.Duration
	// SilentAfter is how long a registered target may go without a report before it is considered
	// silent; zero disables the check.
	SilentAfter time.Duration
	// EditTimeout is how long an edit may wait for a quorum.
	EditTimeout time.Duration
	// SnapshotEvery is the minimum number of log entries between snapshots.
	SnapshotEvery int
	// KeepEntries is how many entries before a snapshot stay in the log.
	KeepEntries int
	// Rollouts says whether rollouts may be ordered, and their limits.
	Rollouts RolloutSettings
	// Memory is the memory of the process in bytes; zero if its settings name no limit.
	Memory int
}

// Defaults of the settings that operators rarely change.
const (
	DefaultLease         = 2 * time.Second
	DefaultLeaseMargin   = 500 * time.Millisecond
	DefaultEditTimeout   = 5 * time.Second
	DefaultReadTimeout   = 800 * time.Millisecond
	DefaultSilentAfter   = 6 * time.Second
	DefaultSnapshotEvery = 1000
	DefaultKeepEntries   = 500
	// DefaultRolloutShare is a percentage of a service's calls, DefaultRolloutSlack a number of
	// calls in addition to it: together they bound what callers may lose to a bad version, and are
	// enough to judge a good one.
	DefaultRolloutShare = 10
	DefaultRolloutSlack = 50
	// retryPeriod is how often a waiting edit is forwarded to the leader again.
	retryPeriod = 300 * time.Millisecond
	// readRetryPeriod is how often the leader is asked again for a read index.
	readRetryPeriod = 100 * time.Millisecond
	// tickPeriod bounds how late timeouts are detected while requests wait; idleTickPeriod does so
	// while none does.
	tickPeriod     = 50 * time.Millisecond
	idleTickPeriod = 200 * time.Millisecond
	// maxWaitingCommands is how many commands may wait for a quorum at a replica. A replica with
	// that many can't keep up, and it is better to refuse further ones at once.
	maxWaitingCommands = 512
	// maxPreviousTables is how many earlier tables are kept. They share what didn't change.
	maxPreviousTables = 1024
	// minSnapshotEntries is the least number of entries between two snapshots.
	minSnapshotEntries = 10
	// previousTablesDivisor and logDivisor divide the memory of a process into what earlier tables and the log
	// may take.
	previousTablesDivisor = 8
	logDivisor            = 8
	// defaultMemory, in bytes, is taken for the memory of a process whose settings name no limit.
	defaultMemory = 512 << 20
)

// memory returns how many bytes the process may take.
func (s *Settings) memory() int {
	if s.Memory == 0 {
		return defaultMemory
	}
	return s.Memory
}

// previousTableBytes returns how many bytes earlier tables may take.
func (s *Settings) previousTableBytes() int { return s.memory() / previousTablesDivisor }

// logBytes returns how many bytes the log may take before a snapshot is made.
func (s *Settings) logBytes() int { return s.memory() / logDivisor }

// Replica is the decision logic of one control replica.
type Replica struct {
	settings       Settings
	node           *replication.Node
	state          *table.State
	edits          editQueue
	sessions       *container.OrderedMap[ConnectionID, *session]
	previousTables previousTables
	// cachedUpdate and cachedTable are the last computed update and whole table for boxes.
	cachedUpdate boxUpdate
	cachedTable  wholeTable
	// pushPending is set while the boxes lack changes that are sent at pushAt.
	pushPending bool
	pushAt      units.Instant
	pushRound   pushRound
	leases      leaseTracker
	// domains are the replicas' failure domains.
	domains map[units.ReplicaID]units.Domain
	// requests are the waiting commands and reads; edits wait in edits.
	requests requestQueue
	liveness livenessTracker
	rollouts rolloutTracker
	// quarantines is only used on the leader.
	quarantines quarantineTracker
	// usage is only used on the leader.
	usage usageTracker
	// foreignReports counts the reports that no target of the table can have sent.
	foreignReports uint64
	// reportedLeader and reportedMembership are the leader and the membership index of the last
	// Change about them.
	reportedLeader     units.ReplicaID
	reportedMembership units.Index
	// caughtUp is set while this replica knows everything that was committed before the current
	// leader was elected.
	caughtUp  bool
	startedAt units.Instant
	// replaying is set from the process's start until the replica has first caught up; replayed counts the
	// log entries that it has applied again meanwhile.
	replaying bool
	replayed  int
	// leading is set while this replica is the leader; leaderSince is when that last changed.
	leading     bool
	leaderSince units.Instant
	tickAt      units.Instant
	now         units.Instant
	wall        units.WallTime
}

// NewReplica returns a replica that continues from its durable state. The error is a Damaged fault
// if the snapshot can't be decoded.
func NewReplica(s Settings, d *replication.DurableState, now units.Instant) (*Replica, error) {
	r := &Replica{
		settings:       s,
		state:          table.NewState(),
		node:           replication.NewNode(s.Replication, d, now),
		edits:          newEditQueue(),
		sessions:       container.NewOrderedMap[ConnectionID, *session](),
		previousTables: previousTables{limit: s.previousTableBytes()},
		leases:         newLeaseTracker(),
		domains:        map[units.ReplicaID]units.Domain{s.Replication.ID: s.Domain},
		requests:       newRequestQueue(),
		liveness:       newLivenessTracker(),
		rollouts:       newRolloutTracker(),
		now:            now,

		quarantines: newQuarantineTracker(),
		usage:       usageTracker{},

		startedAt: now,
		replaying: d.Snapshot != nil,
	}
	if d.Snapshot == nil {
		return r, nil
	}
	state, err := wire.DecodeState(d.Snapshot.State)
	if err != nil {
		return nil, err
	}
	r.state = state
	return r, nil
}

// Reduce handles one event, at a time of this process's monotonic and wall clocks, and adds the
// effects to e.
func (r *Replica) Reduce(now units.Instant, wall units.WallTime, event Event, e *Effects) {
	r.now = max(now, r.now)
	r.wall = wall
	var log replication.Effects
	switch v := event.(type) {
	case Tick:
		r.node.Tick(r.now, &log)
	case PeerMessage:
		r.domains[units.ReplicaID(v.Envelope.From)] = v.Domain
		r.receivePeer(v.Envelope, &log, e)
	case DiskSynced:
		r.node.WritesSynced(r.now, v.Sequence, &log)
	case DiskFailed:
		e.Halt = fault.Wrap(v.Cause, fault.Damaged, "make room or replace the disk, then start the replica again", "the data folder can't be written")
	case EditSubmitted:
		r.submitEdit(v, &log, e)
	case FormRequested:
		r.form(v, &log, e)
	case DocumentSubmitted:
		r.submitDocument(v, &log, e)
	case TargetReported:
		r.submitReport(v, &log, e)
	case TargetDeparted:
		r.submitDeparture(v, &log, e)
	case EvacuationOrdered:
		r.submitEvacuation(v, &log, e)
	case RolloutOrdered:
		r.submitRollout(v, &log, e)
	case ReleaseOrdered:
		r.submitRelease(v, &log, e)
	case ReadRequested:
		r.read(v, &log, e)
	case BoxMessage:
		r.receiveBox(v, &log, e)
	case BoxDetached:
		r.sessions.Delete(v.Connection)
	case SeedsChanged:
		r.node.AddPeers(v.Seeds)
	case StopRequested:
		r.node.TransferLeadership(r.now, &log)
	}
	r.applyLogEffects(&log, e)
	r.housekeep(e)
	r.pushUpdates(e)
}

// housekeep does what may follow from any event: it handles changes of leadership, timeouts,
// proposals that are due and snapshots.
func (r *Replica) housekeep(e *Effects) {
	var log replication.Effects
	r.updateLeadership(e)
	r.bootstrap(&log)
	r.updateCaughtUp(&log, e)
	r.answerReads(e)
	if r.now >= r.tickAt {
		r.tickAt = r.now.Add(idleTickPeriod)
		r.retryEdits(&log, e)
		r.retryRequests(&log, e)
		r.forwardReports(&log)
		r.proposeSilence(&log)
		r.proposeBoxes(&log)
		r.advanceRollouts(&log)
		r.advanceQuarantines(&log)
	}
	if r.hasWaiting() || r.rollouts.busy() || r.quarantines.busy() {
		r.tickAt = min(r.tickAt, r.now.Add(tickPeriod))
	}
	r.compact(&log, e)
	r.applyLogEffects(&log, e)
}

// hasWaiting reports whether any request to this replica is still unanswered.
func (r *Replica) hasWaiting() bool {
	return r.edits.waiting.Len()+r.requests.commands.Len()+r.requests.reads.Len() > 0
}

// bootstrap forms the cluster without an operator if this replica is the seed that may do so.
func (r *Replica) bootstrap(log *replication.Effects) {
	if !r.node.CanBootstrap(r.now) {
		return
	}
	empty, err := wire.EncodeState(table.NewState())
	if err != nil {
		return
	}
	// If the cluster can't be formed yet, the next event tries again.
	_ = r.node.FormCluster(r.now, string(r.settings.Replication.Incarnation), empty, log)
}

func (r *Replica) updateLeadership(e *Effects) {
	if leader := r.node.Leader(); leader != r.reportedLeader {
		r.reportedLeader = leader
		r.forwardAllAgain()
		e.Changes = append(e.Changes, Change{Kind: LeaderChanged, Leader: leader, Term: r.node.Term(), Revision: r.state.Table().Revision})
	}
	if index := r.node.MembershipIndex(); index != r.reportedMembership {
		r.reportedMembership = index
		e.Changes = append(e.Changes, Change{Kind: VotersChanged, Voters: r.node.Voters(), Term: r.node.Term(), Revision: r.state.Table().Revision})
	}
	leads := r.node.IsLeader()
	if leads == r.leading {
		return
	}
	r.leading = leads
	r.leaderSince = r.now
	r.leases = newLeaseTracker()
	r.liveness.proposing = false
	r.rollouts.clearLeaderState()
	r.quarantines = newQuarantineTracker()
	r.usage = usageTracker{}
	r.edits.clearProposed()
	clear(r.requests.proposed)
}

// snapshotEvery returns the number of entries between two snapshots. It is at least half the number
// of registered targets, so that the cost of snapshots per entry doesn't grow with the state, and a
// restart reads no more entries than there are targets.
func (r *Replica) snapshotEvery() int {
	return max(r.settings.SnapshotEvery, r.state.RegistrationCount()/2)
}

// needsSnapshot reports whether enough entries have been committed since the last snapshot, or the log
// takes as much memory as it may.
func (r *Replica) needsSnapshot() bool {
	entries := r.node.EntriesSinceSnapshot()
	return entries >= r.snapshotEvery() || entries >= minSnapshotEntries && r.node.LogBytes() > r.settings.logBytes()
}

func (r *Replica) compact(log *replication.Effects, e *Effects) {
	if !r.node.Formed() || !r.needsSnapshot() {
		return
	}
	state, err := wire.EncodeState(r.state)
	if err != nil {
		e.Halt = fault.Wrap(err, fault.Internal, "report this as a fault of madderpond", "the state can't be encoded")
		return
	}
	r.node.Compact(state, min(r.settings.KeepEntries, r.node.CommittedWithin(r.settings.logBytes()/2)), log)
}

func (r *Replica) form(v FormRequested, log *replication.Effects, e *Effects) {
	state, err := initialState(v.State)
	if err == nil {
		err = r.node.FormCluster(r.now, v.Cluster, state, log)
	}
	e.Answers = append(e.Answers, Answer{Request: v.Request, Err: err})
}

// initialState returns the encoded state of a new cluster: the given one, if it can be decoded, or an empty one.
func initialState(given []byte) ([]byte, error) {
	if len(given) == 0 {
		return wire.EncodeState(table.NewState())
	}
	if _, err := wire.DecodeState(given); err != nil {
		return nil, fault.New(fault.Invalid, "send a file that madderctl folder export has written", "the state for the new cluster can't be read")
	}
	return given, nil
}

func (r *Replica) receivePeer(m *wire.Envelope, log *replication.Effects, e *Effects) {
	switch b := m.Body.(type) {
	case *wire.Envelope_ProposeRequest:
		r.receiveProposal(m, log)
	case *wire.Envelope_HeardRequest:
		r.receiveForwardedReports(b.HeardRequest)
	case *wire.Envelope_ReadRequest:
		r.answerReadIndex(m, e)
	case *wire.Envelope_ReadResponse:
		r.receiveReadIndex(b.ReadResponse)
	case *wire.Envelope_RenewRequest:
		r.grantLease(b.RenewRequest, e, func(answer *wire.Envelope) {
			answer.To = m.From
			e.PeerSends = append(e.PeerSends, answer)
		})
	case *wire.Envelope_RenewResponse:
		r.forwardGrant(m, e)
	default:
		r.node.Receive(r.now, m, log)
	}
}

// NextWake returns when the next Tick is due at the latest.
func (r *Replica) NextWake() units.Instant {
	return r.nextPush(min(r.node.NextWake(), r.tickAt))
}

// Table returns the current table, which is never modified in place.
func (r *Replica) Table() *table.Table { return r.state.Table() }

// History returns the last accepted edits, oldest first.
func (r *Replica) History() []table.Result { return r.state.History() }

// CaughtUp reports whether this replica knows everything that was committed before the current
// leader was elected.
func (r *Replica) CaughtUp() bool { return r.caughtUp }

// Peers returns the other replicas that this one knows of.
func (r *Replica) Peers() []units.ReplicaID { return r.node.Peers() }

// Formed reports whether this replica belongs to a cluster.
func (r *Replica) Formed() bool { return r.node.Formed() }

// Leader returns the current leader, or an empty id.
func (r *Replica) Leader() units.ReplicaID { return r.node.Leader() }

// Status is a replica's state as the status dump shows it.
type Status struct {
	Replica  units.ReplicaID    `json:"replica"`
	Log      replication.Status `json:"log"`
	Revision units.Revision     `json:"revision"`
	// HasLease is set when this replica holds the leader's lease: no other leader can exist, and it
	// knows everything that was committed.
	HasLease bool `json:"hasLease"`
	// Boxes has the leases on the leader; other replicas only know the list of boxes.
	Boxes        []BoxStatus `json:"boxes"`
	Attached     int         `json:"attached"`
	WaitingEdits int         `json:"waitingEdits"`
	KnownResults int         `json:"knownResults"`
	// Evacuated are the failure domains that are evacuated now.
	Evacuated []units.Domain `json:"evacuated,omitempty"`
	// Rollouts are the services' last rollouts.
	Rollouts []RolloutStatus `json:"rollouts,omitempty"`
	// Quarantines are the calls that are sent to no target.
	Quarantines []QuarantineStatus `json:"quarantines,omitempty"`
	// ForeignReports counts the reports of targets that this replica refused.
	ForeignReports uint64 `json:"foreignReports"`
}

// Status returns the replica's state at a time.
func (r *Replica) Status(now units.Instant) Status {
	return Status{
		Replica:      r.settings.Replication.ID,
		Log:          r.node.Status(now),
		Revision:     r.state.Table().Revision,
		HasLease:     r.node.HasLease(now),
		Boxes:        r.boxStatuses(now),
		Attached:     r.sessions.Len(),
		WaitingEdits: r.edits.waiting.Len(),
		KnownResults: r.state.ResultCount(),
		Evacuated:    r.state.Table().EvacuatedDomains(),
		Rollouts:     r.rolloutStatuses(now),
		Quarantines:  r.QuarantineStatuses(now),

		ForeignReports: r.foreignReports,
	}
}
