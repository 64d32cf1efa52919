package control

import (
	"fmt"
	"time"

	"github.com/madderpond/madderpond/pkg/container"
	"github.com/madderpond/madderpond/pkg/core/replication"
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/fault"
	"github.com/madderpond/madderpond/pkg/units"
	"github.com/madderpond/madderpond/pkg/wire"
)

// commandNumber identifies a command or a read that waits at this replica.
type commandNumber uint64

// waitingCommand is a command that was submitted to this replica and isn't applied yet. It may be
// proposed more than once: applying it again changes nothing.
type waitingCommand struct {
	number   commandNumber
	requests []RequestID
	encoded  []byte
	// report is the target's report if the command is one, nil otherwise.
	report      *table.Registration
	description string
	deadline    units.Instant
	retryAt     units.Instant
	// backoff is the time from one forwarding of the command to the next.
	backoff time.Duration
}

// waitingRead is a read that waits until the leader's read index is known and applied here.
type waitingRead struct {
	request  RequestID
	deadline units.Instant
	retryAt  units.Instant
	// index is zero until the leader has answered with it.
	index units.Index
}

// requestQueue holds the commands and reads that wait at this replica.
type requestQueue struct {
	lastNumber commandNumber
	commands   *container.OrderedMap[commandNumber, *waitingCommand]
	reads      *container.OrderedMap[commandNumber, *waitingRead]
	// reports are the waiting commands that are reports, by target.
	reports map[units.TargetID]*waitingCommand
	// proposed are the commands that this leader has added to the log and that aren't applied yet,
	// so that a command which is forwarded again isn't added twice.
	proposed map[commandKey]bool
}

// commandKey identifies a command across replicas: by the replica that it was submitted to, that
// replica's process, and its number there.
type commandKey struct {
	origin string
	number commandNumber
}

func newRequestQueue() requestQueue {
	return requestQueue{
		commands: container.NewOrderedMap[commandNumber, *waitingCommand](),
		reads:    container.NewOrderedMap[commandNumber, *waitingRead](),
		reports:  map[units.TargetID]*waitingCommand{},
		proposed: map[commandKey]bool{},
	}
}

// submitDocument accepts a document. An invalid one is refused whatever its version; one whose
// version isn't above the committed one is answered as in force already.
func (r *Replica) submitDocument(v DocumentSubmitted, log *replication.Effects, e *Effects) {
	if detail := table.CheckDocument(v.Document); detail != "" {
		err := fault.New(fault.Invalid, "fix the document and submit it again", "%s", detail)
		e.Answers = append(e.Answers, Answer{Request: v.Request, Err: err})
		return
	}
	if committed := r.state.Document(); committed != nil && v.Document.Version <= committed.Version {
		e.Answers = append(e.Answers, Answer{Request: v.Request})
		return
	}
	c := &wire.Command{Kind: &wire.Command_Document{Document: wire.FromDocument(v.Document)}}
	r.submitCommand(v.Request, c, fmt.Sprintf("document %d", v.Document.Version), log, e)
}

// submitReport accepts a target's report. A report without new content is answered from the
// committed state.
func (r *Replica) submitReport(v TargetReported, log *replication.Effects, e *Effects) {
	if problems := table.CheckRegistration(v.Registration); len(problems) > 0 {
		r.foreignReports++
		err := fault.New(fault.Invalid, problems[0].Remedy, "the report of target %s has an invalid %s", v.Registration.Target, problems[0].Column)
		e.Answers = append(e.Answers, Answer{Request: v.Request, Err: err})
		return
	}
	if r.state.Foreign(v.Registration) {
		r.foreignReports++
		err := fault.New(fault.Invalid, "name a service of the table, and the start time of the target",
			"the report of target %s for the service %q would replace a healthy target", v.Registration.Target, v.Registration.Service)
		e.Answers = append(e.Answers, Answer{Request: v.Request, Err: err})
		return
	}
	if !r.state.Outdated(v.Registration) {
		r.recordReport(v.Registration.Target)
	}
	if !r.state.IsUpdate(v.Registration) {
		e.Answers = append(e.Answers, Answer{Request: v.Request})
		return
	}
	if w := r.requests.reports[v.Registration.Target]; w != nil && w.report.SameContent(v.Registration) {
		// The answer to the waiting report is valid for this one too.
		w.requests = append(w.requests, v.Request)
		return
	}
	c := &wire.Command{Kind: &wire.Command_Registration{Registration: wire.FromRegistration(v.Registration)}}
	w := r.submitCommand(v.Request, c, fmt.Sprintf("report of target %s", v.Registration.Target), log, e)
	if w != nil {
		w.report = v.Registration
		r.requests.reports[v.Registration.Target] = w
	}
}

func (r *Replica) submitDeparture(v TargetDeparted, log *replication.Effects, e *Effects) {
	if r.state.Departed(v.Target) {
		e.Answers = append(e.Answers, Answer{Request: v.Request})
		return
	}
	departure := &wire.Departure{Target: string(v.Target)}
	if registered := r.state.Registration(v.Target); registered != nil {
		// A later incarnation of the target that registers while the command is in flight stays.
		departure.Born = int64(registered.Born)
	}
	c := &wire.Command{Kind: &wire.Command_Departure{Departure: departure}}
	r.submitCommand(v.Request, c, fmt.Sprintf("departure of target %s", v.Target), log, e)
}

// submitEvacuation accepts an order for a failure domain. The order carries the revision that this
// replica held when it came: an order that waits here during a network partition, and is forwarded
// after another order of the same operator was acknowledged elsewhere, must not undo that one.
func (r *Replica) submitEvacuation(v EvacuationOrdered, log *replication.Effects, e *Effects) {
	if problems := table.CheckEvacuation(&v.Order); len(problems) > 0 {
		err := fault.New(fault.Invalid, problems[0].Remedy, "%q is no failure domain", v.Order.Domain)
		e.Answers = append(e.Answers, Answer{Request: v.Request, Err: err})
		return
	}
	v.Order.Base = r.state.Table().Revision
	c := &wire.Command{Kind: &wire.Command_Evacuation{Evacuation: wire.FromEvacuationOrder(&v.Order)}}
	r.submitCommand(v.Request, c, fmt.Sprintf("order for the failure domain %s", v.Order.Domain), log, e)
}

// evacuationError returns the answer to an order that wasn't carried out, or nil.
func evacuationError(o *table.EvacuationOrder, outcome table.EvacuationOutcome) error {
	switch outcome {
	case table.EvacuationSuperseded:
		return fault.New(fault.Unavailable, "check its current state and send the order again if it is still wanted",
			"another order changed the failure domain %s first", o.Domain)
	case table.EvacuationUnknown:
		return fault.New(fault.NotFound, "name a failure domain that has boxes or targets", "there is no failure domain %s", o.Domain)
	}
	return nil
}

// submitCommand queues a command until a quorum has committed it, and forwards it. It returns nil
// if the command was refused; the request is then answered.
func (r *Replica) submitCommand(id RequestID, c *wire.Command, description string, log *replication.Effects, e *Effects) *waitingCommand {
	if !r.node.Formed() {
		e.Answers = append(e.Answers, Answer{Request: id, Err: errNotFormed()})
		return nil
	}
	if r.requests.commands.Len() >= maxWaitingCommands {
		err := fault.New(fault.Unavailable, "send it again a second later, to any replica", "this replica has %d orders and reports waiting", maxWaitingCommands)
		e.Answers = append(e.Answers, Answer{Request: id, Err: err})
		return nil
	}
	r.requests.lastNumber++
	c.Number = uint64(r.requests.lastNumber)
	c.Origin = r.origin()
	c.At = int64(r.wall)
	encoded, err := wire.EncodeCommand(c)
	if err != nil {
		e.Answers = append(e.Answers, Answer{Request: id, Err: err})
		return nil
	}
	w := &waitingCommand{number: r.requests.lastNumber, requests: []RequestID{id}, encoded: encoded, description: description, deadline: r.now.Add(r.settings.EditTimeout), backoff: retryPeriod}
	r.requests.commands.Put(r.requests.lastNumber, w)
	r.forwardCommand(w, log)
	return w
}

// origin identifies this process of this replica in the commands that are submitted to it.
func (r *Replica) origin() string {
	return originOf(r.settings.Replication.Incarnation, r.settings.Replication.Boot)
}

func originOf(i units.Incarnation, boot uint64) string { return fmt.Sprintf("%s/%d", i, boot) }

// forwardCommand proposes a waiting command on the leader, or sends it to the leader.
func (r *Replica) forwardCommand(w *waitingCommand, log *replication.Effects) {
	w.retryAt = r.now.Add(w.backoff)
	// A leader that can't keep up must get fewer copies, not more.
	w.backoff *= 2
	if r.node.IsLeader() {
		r.proposeOnce(commandKey{origin: r.origin(), number: w.number}, w.encoded, log)
		return
	}
	r.sendToLeader(&wire.Envelope_ProposeRequest{ProposeRequest: &wire.ProposeRequest{Command: w.encoded, Number: uint64(w.number)}}, log)
}

// forwardAllAgain makes everything that waits due for forwarding at once: a new leader may not have
// received it.
func (r *Replica) forwardAllAgain() {
	for _, n := range r.requests.commands.Keys() {
		w := r.requests.commands.Get(n)
		w.retryAt, w.backoff = r.now, retryPeriod
	}
	for _, id := range r.edits.waiting.Keys() {
		r.edits.waiting.Get(id).retryAt = r.now
	}
	if r.hasWaiting() {
		r.tickAt = r.now
	}
}

// proposeOnce adds a command to the log, unless it was already added and isn't applied yet.
func (r *Replica) proposeOnce(p commandKey, encoded []byte, log *replication.Effects) {
	if !r.requests.proposed[p] && r.node.Propose(r.now, [][]byte{encoded}, log) {
		r.requests.proposed[p] = true
	}
}

// receiveProposal proposes an edit or a command that another replica forwarded to its leader.
func (r *Replica) receiveProposal(m *wire.Envelope, log *replication.Effects) {
	p := m.GetProposeRequest()
	if len(p.Command) > 0 {
		from := originOf(units.Incarnation(m.Incarnation), m.Boot)
		r.proposeOnce(commandKey{origin: from, number: commandNumber(p.Number)}, p.Command, log)
		return
	}
	r.proposeEdit(wire.ToEdit(p.Edit), log)
}

// sendToLeader sends a message to the leader, if another replica is known to lead.
func (r *Replica) sendToLeader(body wire.Body, log *replication.Effects) {
	to := r.node.Leader()
	if to == "" || to == r.settings.Replication.ID {
		return
	}
	m := r.envelope()
	m.To = string(to)
	m.Body = body
	log.Sends = append(log.Sends, m)
}

// answerCommand answers the requests for an applied command, if it was submitted to this replica
// since its start. The error says why the command changed nothing.
func (r *Replica) answerCommand(c *wire.Command, err error, e *Effects) {
	n := commandNumber(c.Number)
	delete(r.requests.proposed, commandKey{origin: c.Origin, number: n})
	w := r.requests.commands.Get(n)
	if w == nil || c.Origin != r.origin() {
		return
	}
	r.requests.answer(w, err, e)
}

// answer answers all requests for a command and removes it from the queue.
func (q *requestQueue) answer(w *waitingCommand, err error, e *Effects) {
	for _, id := range w.requests {
		e.Answers = append(e.Answers, Answer{Request: id, Err: err})
	}
	q.commands.Delete(w.number)
	if w.report != nil && q.reports[w.report.Target] == w {
		delete(q.reports, w.report.Target)
	}
}

// retryRequests forwards the waiting commands and reads whose retry is due, and fails those past
// their deadline.
func (r *Replica) retryRequests(log *replication.Effects, e *Effects) {
	for _, n := range r.requests.commands.Keys() {
		w := r.requests.commands.Get(n)
		if r.now >= w.deadline {
			err := fault.New(fault.Unknown, "send it again; it takes effect once at most", "no quorum of control replicas answered in time, so it isn't known whether the %s was accepted", w.description)
			r.requests.answer(w, err, e)
			continue
		}
		if r.now >= w.retryAt {
			r.forwardCommand(w, log)
		}
	}
	for _, n := range r.requests.reads.Keys() {
		w := r.requests.reads.Get(n)
		if r.now >= w.deadline {
			err := fault.New(fault.Unavailable, "ask again, or ask another replica", "this replica can't confirm that it has the newest table")
			e.Answers = append(e.Answers, Answer{Request: w.request, Err: err})
			r.requests.reads.Delete(n)
			continue
		}
		if w.index == 0 && r.now >= w.retryAt {
			r.requestReadIndex(n, w, log)
		}
	}
}

// read answers with the newest state: at once on a leader that holds its lease, otherwise as soon
// as the leader has returned its commit index and this replica has applied it.
func (r *Replica) read(v ReadRequested, log *replication.Effects, e *Effects) {
	if r.node.HasLease(r.now) {
		e.Answers = append(e.Answers, Answer{Request: v.Request, Document: r.state.Document(), Table: r.state.Table()})
		return
	}
	r.requests.lastNumber++
	n := r.requests.lastNumber
	w := &waitingRead{request: v.Request, deadline: r.now.Add(r.settings.ReadTimeout)}
	r.requests.reads.Put(n, w)
	r.requestReadIndex(n, w, log)
}

func (r *Replica) requestReadIndex(n commandNumber, w *waitingRead, log *replication.Effects) {
	w.retryAt = r.now.Add(readRetryPeriod)
	if r.node.HasLease(r.now) {
		w.index = r.node.Commit()
		return
	}
	r.sendToLeader(&wire.Envelope_ReadRequest{ReadRequest: &wire.ReadRequest{Nonce: uint64(n)}}, log)
}

// answerReadIndex answers another replica's request for the read index.
func (r *Replica) answerReadIndex(m *wire.Envelope, e *Effects) {
	if !r.node.HasLease(r.now) {
		return
	}
	answer := r.envelope()
	answer.To = m.From
	answer.Body = &wire.Envelope_ReadResponse{ReadResponse: &wire.ReadResponse{
		Nonce: m.GetReadRequest().Nonce, Index: uint64(r.node.Commit()),
	}}
	e.PeerSends = append(e.PeerSends, answer)
}

func (r *Replica) receiveReadIndex(m *wire.ReadResponse) {
	if w := r.requests.reads.Get(commandNumber(m.Nonce)); w != nil && w.index == 0 {
		w.index = units.Index(m.Index)
	}
}

// answerReads answers the reads whose index has been applied.
func (r *Replica) answerReads(e *Effects) {
	if r.requests.reads.Len() == 0 {
		return
	}
	for _, n := range r.requests.reads.Keys() {
		w := r.requests.reads.Get(n)
		if w.index == 0 || r.node.Commit() < w.index {
			continue
		}
		e.Answers = append(e.Answers, Answer{Request: w.request, Document: r.state.Document(), Table: r.state.Table()})
		r.requests.reads.Delete(n)
	}
}
