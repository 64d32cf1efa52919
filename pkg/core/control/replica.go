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

// Settings are what a control replica needs to know.
type Settings struct {
	Replication replication.Settings
	// Domain is the replica's own failure domain.
	Domain units.Domain
	// Lease is how long a box may go on without hearing of the leader.
	Lease time.Duration
	// LeaseMargin is added before a silent box's share is given to others.
	LeaseMargin time.Duration
	// ReadTimeout is how long a read may wait for the leader's word.
	ReadTimeout time.Duration
	// SilentAfter is how long a registered target may go without a report before it
	// counts as silent; zero never takes one for silent.
	SilentAfter time.Duration
	// EditTimeout is how long an edit may wait for a quorum.
	EditTimeout time.Duration
	// SnapshotEvery is how many log entries go between snapshots.
	SnapshotEvery int
	// KeepEntries is how many entries stay in the log behind a snapshot.
	KeepEntries int
	// Rollouts says whether and within what limits rollouts may be ordered.
	Rollouts RolloutSettings
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
	// calls beside it: what callers may lose to a bad version, and enough to judge a good one.
	DefaultRolloutShare = 10
	DefaultRolloutSlack = 50
	// retryPeriod is how often a waiting edit is passed to the leader again.
	retryPeriod = 300 * time.Millisecond
	// readRetryPeriod is how often the leader is asked again for a read.
	readRetryPeriod = 100 * time.Millisecond
	// tickPeriod bounds how late timeouts are noticed; calmTickPeriod does so while no
	// request waits.
	tickPeriod     = 50 * time.Millisecond
	calmTickPeriod = 200 * time.Millisecond
	// maxWaitingCommands is how many commands of others may wait for a quorum at a replica. One that has
	// as many can't keep up, and whoever comes then is better told so at once.
	maxWaitingCommands = 512
	// maxPast is how many tables are kept for boxes that come from other replicas with one of them. They
	// share what didn't change.
	maxPast = 1024
)

// Replica is the decision logic of one control replica.
type Replica struct {
	settings Settings
	node     *replication.Node
	state    *table.State
	edits    editQueue
	sessions *container.Ordered[ConnectionID, *session]
	// past are the tables before the present one, the newest last.
	past *container.Ring[*table.Table]
	// lastUpdate is what boxes were sent last.
	lastUpdate boxUpdate
	lastTable  wholeTable
	// pushPending is set while boxes lack changes that wait for pushAt.
	pushPending bool
	pushAt      units.Instant
	round       pushRound
	leases      leaseBook
	// domains are the failure domains of the other replicas.
	domains map[units.ReplicaID]units.Domain
	// requests are those for whole tables, registered targets and reads.
	requests requestBook
	hearing  hearingBook
	rollouts rolloutBook
	// quarantines is filled on the leader only.
	quarantines quarantineBook
	// uses is filled on the leader only.
	uses useBook
	// foreignReports counts the reports that no target of the table can have sent.
	foreignReports uint64
	// knownLeader and knownMembership are what was last told of in the log.
	knownLeader     units.ReplicaID
	knownMembership units.Index
	// caughtUp is set while this replica knows all that was committed before the present
	// leader stood.
	caughtUp  bool
	startedAt units.Instant
	// replaying is set from the start until the replica has first caught up; replayed
	// counts the log's entries that it has read again meanwhile.
	replaying bool
	replayed  int
	// leading is set while this replica leads; ledSince is when that began.
	leading  bool
	ledSince units.Instant
	tickAt   units.Instant
	now      units.Instant
	wall     units.WallTime
}

// NewReplica returns a replica that goes on from what its disk holds. The error
// is a Damaged fault when the snapshot can't be decoded.
func NewReplica(s Settings, d *replication.Durable, now units.Instant) (*Replica, error) {
	r := &Replica{
		settings: s,
		state:    table.NewState(),
		node:     replication.NewNode(s.Replication, d, now),
		edits:    newEditQueue(),
		sessions: container.NewOrdered[ConnectionID, *session](),
		past:     container.NewRing[*table.Table](maxPast),
		leases:   newLeaseBook(),
		domains:  map[units.ReplicaID]units.Domain{s.Replication.ID: s.Domain},
		requests: newRequestBook(),
		hearing:  newHearingBook(),
		rollouts: newRolloutBook(),
		now:      now,

		quarantines: newQuarantineBook(),
		uses:        useBook{},

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

// Reduce takes one event at a time of this process's clocks and adds what is to
// be done to e.
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
		r.node.Written(r.now, v.Sequence, &log)
	case DiskFailed:
		e.Halt = fault.Wrap(v.Cause, fault.Damaged, "make room or replace the disk, then start the replica again", "the data folder can't be written")
	case EditSubmitted:
		r.submit(v, &log, e)
	case FormRequested:
		r.form(v, &log, e)
	case DocumentSubmitted:
		r.submitDocument(v, &log, e)
	case TargetReported:
		r.reportTarget(v, &log, e)
	case TargetDeparted:
		r.departTarget(v, &log, e)
	case EvacuationOrdered:
		r.orderEvacuation(v, &log, e)
	case RolloutOrdered:
		r.orderRollout(v, &log, e)
	case ReleaseOrdered:
		r.releaseCall(v, &log, e)
	case ReadRequested:
		r.read(v, &log, e)
	case BoxMessage:
		r.receiveBox(v, &log, e)
	case BoxDetached:
		r.sessions.Delete(v.Connection)
	case SeedsChanged:
		r.node.AddPeers(v.Seeds)
	case StopRequested:
		r.node.HandOver(r.now, &log)
	}
	r.absorb(&log, e)
	r.housekeep(e)
	r.pushDue(e)
}

// housekeep does what follows from any event: changes of leadership, timeouts,
// the list of boxes and snapshots.
func (r *Replica) housekeep(e *Effects) {
	var log replication.Effects
	r.noticeLeadership(e)
	r.formAlone(&log)
	r.noticeCatchingUp(&log, e)
	r.answerReads(e)
	if r.now >= r.tickAt {
		r.tickAt = r.now.Add(calmTickPeriod)
		r.retryEdits(&log, e)
		r.retryRequests(&log, e)
		r.tellHeard(&log)
		r.noteSilence(&log)
		r.updateBoxes(&log)
		r.advanceRollouts(&log)
		r.advanceQuarantines(&log)
	}
	if r.hasWaiting() || r.rollouts.busy() || r.quarantines.busy() {
		r.tickAt = min(r.tickAt, r.now.Add(tickPeriod))
	}
	r.compact(&log, e)
	r.absorb(&log, e)
}

// hasWaiting tells whether anything that came to this replica is still unanswered.
func (r *Replica) hasWaiting() bool {
	return r.edits.waiting.Len()+r.requests.commands.Len()+r.requests.reads.Len() > 0
}

// formAlone forms the cluster by itself where that is this replica's part.
func (r *Replica) formAlone(log *replication.Effects) {
	if !r.node.MayForm(r.now) {
		return
	}
	empty, err := wire.EncodeState(table.NewState())
	if err != nil {
		return
	}
	// A form that can't be done yet is tried again with the next event.
	_ = r.node.Form(r.now, string(r.settings.Replication.Incarnation), empty, log)
}

func (r *Replica) noticeLeadership(e *Effects) {
	if leader := r.node.Leader(); leader != r.knownLeader {
		r.knownLeader = leader
		r.passAgain()
		e.Changes = append(e.Changes, Change{Kind: LeaderChanged, Leader: leader, Term: r.node.Term(), Revision: r.state.Table().Revision})
	}
	if index := r.node.MembershipIndex(); index != r.knownMembership {
		r.knownMembership = index
		e.Changes = append(e.Changes, Change{Kind: VotersChanged, Voters: r.node.Voters(), Term: r.node.Term(), Revision: r.state.Table().Revision})
	}
	leads := r.node.IsLeader()
	if leads == r.leading {
		return
	}
	r.leading = leads
	r.ledSince = r.now
	r.leases = newLeaseBook()
	r.hearing.proposing = false
	r.rollouts.forgetLeadership()
	r.quarantines = newQuarantineBook()
	r.uses = useBook{}
	r.edits.forgetProposals()
	clear(r.requests.proposed)
}

// snapshotEvery is how many entries go between two snapshots: at least half as many as there are registered
// targets, so that an entry's part of a snapshot doesn't grow with the state, and a start reads no more
// entries than there are targets.
func (r *Replica) snapshotEvery() int {
	return max(r.settings.SnapshotEvery, r.state.RegistrationCount()/2)
}

func (r *Replica) compact(log *replication.Effects, e *Effects) {
	if !r.node.Formed() || r.node.SinceSnapshot() < r.snapshotEvery() {
		return
	}
	state, err := wire.EncodeState(r.state)
	if err != nil {
		e.Halt = fault.Wrap(err, fault.Internal, "report this as a fault of madderpond", "the state can't be encoded")
		return
	}
	r.node.Compact(state, r.settings.KeepEntries, log)
}

func (r *Replica) form(v FormRequested, log *replication.Effects, e *Effects) {
	empty, err := wire.EncodeState(table.NewState())
	if err == nil {
		err = r.node.Form(r.now, v.Cluster, empty, log)
	}
	e.Answers = append(e.Answers, Answer{Request: v.Request, Err: err})
}

func (r *Replica) receivePeer(m *wire.Envelope, log *replication.Effects, e *Effects) {
	switch b := m.Body.(type) {
	case *wire.Envelope_ProposeRequest:
		r.receiveProposal(m, log)
	case *wire.Envelope_HeardRequest:
		r.takeHeard(b.HeardRequest)
	case *wire.Envelope_ReadRequest:
		r.nameIndex(m, e)
	case *wire.Envelope_ReadResponse:
		r.takeIndex(b.ReadResponse)
	case *wire.Envelope_RenewRequest:
		r.grant(b.RenewRequest, e, func(answer *wire.Envelope) {
			answer.To = m.From
			e.PeerSends = append(e.PeerSends, answer)
		})
	case *wire.Envelope_RenewResponse:
		r.passGrant(m, e)
	default:
		r.node.Receive(r.now, m, log)
	}
}

// NextWake returns when the next Tick is due at the latest.
func (r *Replica) NextWake() units.Instant {
	return r.nextPush(min(r.node.NextWake(), r.tickAt))
}

// Table returns the present table, which is never changed in place.
func (r *Replica) Table() *table.Table { return r.state.Table() }

// History returns the last accepted edits, oldest first.
func (r *Replica) History() []table.Result { return r.state.History() }

// CaughtUp tells whether this replica knows all that was committed before the present
// leader stood.
func (r *Replica) CaughtUp() bool { return r.caughtUp }

// Peers are the other replicas that this one knows of.
func (r *Replica) Peers() []units.ReplicaID { return r.node.Peers() }

// Formed tells whether this replica belongs to a cluster.
func (r *Replica) Formed() bool { return r.node.Formed() }

// Leader returns the replica that leads, or an empty id.
func (r *Replica) Leader() units.ReplicaID { return r.node.Leader() }

// Status is a replica's state as the dump shows it.
type Status struct {
	Replica  units.ReplicaID    `json:"replica"`
	Log      replication.Status `json:"log"`
	Revision units.Revision     `json:"revision"`
	// HasLease is set when this replica may speak for the cluster.
	HasLease bool `json:"hasLease"`
	// Boxes is what the leader knows; on the others only the list is known.
	Boxes        []BoxStatus `json:"boxes"`
	Attached     int         `json:"attached"`
	WaitingEdits int         `json:"waitingEdits"`
	KnownResults int         `json:"knownResults"`
	// Evacuated are the failure domains that are evacuated now.
	Evacuated []units.Domain `json:"evacuated,omitempty"`
	// Rollouts are the last rollouts of services.
	Rollouts []RolloutStatus `json:"rollouts,omitempty"`
	// Quarantines are the calls that no target gets.
	Quarantines []QuarantineStatus `json:"quarantines,omitempty"`
	// ForeignReports counts the reports of targets that were refused here.
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
