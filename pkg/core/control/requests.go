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

// commandNumber names a command that this replica waits for.
type commandNumber uint64

// waitingCommand is a command that came to this replica and isn't applied yet. It
// may be proposed more than once: applying it again changes nothing.
type waitingCommand struct {
	number   commandNumber
	requests []RequestID
	encoded  []byte
	// report is the target's report that the command is; nil for others.
	report   *table.Registration
	what     string
	deadline units.Instant
	retryAt  units.Instant
	// pause is how long after it was last passed on the command is passed on again.
	pause time.Duration
}

// waitingRead is a read that waits for the index that the leader names.
type waitingRead struct {
	request  RequestID
	deadline units.Instant
	retryAt  units.Instant
	// index is zero until the leader has named it.
	index units.Index
}

// requestBook holds the requests that wait at this replica.
type requestBook struct {
	number   commandNumber
	commands *container.Ordered[commandNumber, *waitingCommand]
	reads    *container.Ordered[commandNumber, *waitingRead]
	// reports are the commands that are reports, by target.
	reports map[units.TargetID]*waitingCommand
	// proposed are the commands that this leader has added to the log and that aren't applied yet, so that
	// one which is passed on again isn't added twice.
	proposed map[proposal]bool
}

// proposal names a command by the start of the replica that it came to, and its number there.
type proposal struct {
	origin string
	number commandNumber
}

func newRequestBook() requestBook {
	return requestBook{
		commands: container.NewOrdered[commandNumber, *waitingCommand](),
		reads:    container.NewOrdered[commandNumber, *waitingRead](),
		reports:  map[units.TargetID]*waitingCommand{},
		proposed: map[proposal]bool{},
	}
}

// submitDocument takes a whole table. An invalid one is refused whatever its
// version; one whose version isn't above the committed one is held already.
func (r *Replica) submitDocument(v DocumentSubmitted, log *replication.Effects, e *Effects) {
	if detail := table.CheckDocument(v.Document); detail != "" {
		err := fault.New(fault.Invalid, "mend the document and put it again", "%s", detail)
		e.Answers = append(e.Answers, Answer{Request: v.Request, Err: err})
		return
	}
	if held := r.state.Document(); held != nil && v.Document.Version <= held.Version {
		e.Answers = append(e.Answers, Answer{Request: v.Request})
		return
	}
	c := &wire.Command{Kind: &wire.Command_Document{Document: wire.FromDocument(v.Document)}}
	r.submitCommand(v.Request, c, fmt.Sprintf("document %d", v.Document.Version), log, e)
}

// reportTarget takes a target's report. One that says nothing new is answered from
// the committed state.
func (r *Replica) reportTarget(v TargetReported, log *replication.Effects, e *Effects) {
	if problems := table.CheckRegistration(v.Registration); len(problems) > 0 {
		r.foreignReports++
		err := fault.New(fault.Invalid, problems[0].Remedy, "the report of target %s has a bad %s", v.Registration.Target, problems[0].Column)
		e.Answers = append(e.Answers, Answer{Request: v.Request, Err: err})
		return
	}
	if r.state.Foreign(v.Registration) {
		r.foreignReports++
		err := fault.New(fault.Invalid, "name a service of the table, and when the target started",
			"the report of target %s for the service %q would replace a target that is well", v.Registration.Target, v.Registration.Service)
		e.Answers = append(e.Answers, Answer{Request: v.Request, Err: err})
		return
	}
	if !r.state.Outdated(v.Registration) {
		r.hear(v.Registration.Target)
	}
	if !r.state.IsUpdate(v.Registration) {
		e.Answers = append(e.Answers, Answer{Request: v.Request})
		return
	}
	if w := r.requests.reports[v.Registration.Target]; w != nil && w.report.SameContent(v.Registration) {
		// The answer to the one that waits says as much.
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

func (r *Replica) departTarget(v TargetDeparted, log *replication.Effects, e *Effects) {
	if r.state.Departed(v.Target) {
		e.Answers = append(e.Answers, Answer{Request: v.Request})
		return
	}
	departure := &wire.Departure{Target: string(v.Target)}
	if held := r.state.Registration(v.Target); held != nil {
		// A start that begins while the command is on its way stays.
		departure.Born = int64(held.Born)
	}
	c := &wire.Command{Kind: &wire.Command_Departure{Departure: departure}}
	r.submitCommand(v.Request, c, fmt.Sprintf("departure of target %s", v.Target), log, e)
}

// orderEvacuation takes an order for a failure domain. The order carries what this replica
// held when it came: one that waits here behind a cut, and is passed on after another order
// of the same operator was acknowledged elsewhere, must not undo that one.
func (r *Replica) orderEvacuation(v EvacuationOrdered, log *replication.Effects, e *Effects) {
	if problems := table.CheckEvacuation(&v.Order); len(problems) > 0 {
		err := fault.New(fault.Invalid, problems[0].Remedy, "%q is no failure domain", v.Order.Domain)
		e.Answers = append(e.Answers, Answer{Request: v.Request, Err: err})
		return
	}
	v.Order.Base = r.state.Table().Revision
	c := &wire.Command{Kind: &wire.Command_Evacuation{Evacuation: wire.FromEvacuationOrder(&v.Order)}}
	r.submitCommand(v.Request, c, fmt.Sprintf("order for the failure domain %s", v.Order.Domain), log, e)
}

// evacuationError is the answer to an order that wasn't carried out, or nil.
func evacuationError(o *table.EvacuationOrder, outcome table.EvacuationOutcome) error {
	switch outcome {
	case table.EvacuationSuperseded:
		return fault.New(fault.Unavailable, "look at its present state and send the order again if it is still wanted",
			"another order changed the failure domain %s first", o.Domain)
	case table.EvacuationUnknown:
		return fault.New(fault.NotFound, "name a failure domain that has boxes or targets", "there is no failure domain %s", o.Domain)
	}
	return nil
}

// submitCommand has a command wait for a quorum and passes it on. It returns nil where that isn't done, and
// the request is answered.
func (r *Replica) submitCommand(id RequestID, c *wire.Command, what string, log *replication.Effects, e *Effects) *waitingCommand {
	if !r.node.Formed() {
		e.Answers = append(e.Answers, Answer{Request: id, Err: errNotFormed()})
		return nil
	}
	if r.requests.commands.Len() >= maxWaitingCommands {
		err := fault.New(fault.Unavailable, "send it again a second later, to any replica", "this replica has %d orders and reports waiting", maxWaitingCommands)
		e.Answers = append(e.Answers, Answer{Request: id, Err: err})
		return nil
	}
	r.requests.number++
	c.Number = uint64(r.requests.number)
	c.Origin = r.origin()
	c.At = int64(r.wall)
	encoded, err := wire.EncodeCommand(c)
	if err != nil {
		e.Answers = append(e.Answers, Answer{Request: id, Err: err})
		return nil
	}
	w := &waitingCommand{number: r.requests.number, requests: []RequestID{id}, encoded: encoded, what: what, deadline: r.now.Add(r.settings.EditTimeout), pause: retryPeriod}
	r.requests.commands.Put(r.requests.number, w)
	r.passCommand(w, log)
	return w
}

// origin names this start of this replica in the commands that it waits for.
func (r *Replica) origin() string {
	return originOf(r.settings.Replication.Incarnation, r.settings.Replication.Boot)
}

func originOf(i units.Incarnation, boot uint64) string { return fmt.Sprintf("%s/%d", i, boot) }

// passCommand hands a waiting command to whoever leads now.
func (r *Replica) passCommand(w *waitingCommand, log *replication.Effects) {
	w.retryAt = r.now.Add(w.pause)
	// A leader that can't keep up gets fewer copies, not more.
	w.pause *= 2
	if r.node.IsLeader() {
		r.proposeOnce(proposal{origin: r.origin(), number: w.number}, w.encoded, log)
		return
	}
	r.sendLeader(&wire.Envelope_ProposeRequest{ProposeRequest: &wire.ProposeRequest{Command: w.encoded, Number: uint64(w.number)}}, log)
}

// passAgain has what waits passed on at once: another leader may not have heard of it.
func (r *Replica) passAgain() {
	for _, n := range r.requests.commands.Keys() {
		w := r.requests.commands.Get(n)
		w.retryAt, w.pause = r.now, retryPeriod
	}
	for _, id := range r.edits.waiting.Keys() {
		r.edits.waiting.Get(id).retryAt = r.now
	}
	if r.hasWaiting() {
		r.tickAt = r.now
	}
}

// proposeOnce adds a command to the log, unless that was done and it isn't applied yet.
func (r *Replica) proposeOnce(p proposal, encoded []byte, log *replication.Effects) {
	if !r.requests.proposed[p] && r.node.Propose(r.now, [][]byte{encoded}, log) {
		r.requests.proposed[p] = true
	}
}

// receiveProposal takes what another replica passes on to its leader.
func (r *Replica) receiveProposal(m *wire.Envelope, log *replication.Effects) {
	p := m.GetProposeRequest()
	if len(p.Command) > 0 {
		from := originOf(units.Incarnation(m.Incarnation), m.Boot)
		r.proposeOnce(proposal{origin: from, number: commandNumber(p.Number)}, p.Command, log)
		return
	}
	r.propose(wire.ToEdit(p.Edit), log)
}

// sendLeader sends a message to the leader, if another replica is known to lead.
func (r *Replica) sendLeader(body wire.Body, log *replication.Effects) {
	to := r.node.Leader()
	if to == "" || to == r.settings.Replication.ID {
		return
	}
	m := r.envelope()
	m.To = string(to)
	m.Body = body
	log.Sends = append(log.Sends, m)
}

// answerCommand answers the request that an applied command came from, if it came
// to this replica in this life; the error says why the command changed nothing.
func (r *Replica) answerCommand(c *wire.Command, err error, e *Effects) {
	n := commandNumber(c.Number)
	delete(r.requests.proposed, proposal{origin: c.Origin, number: n})
	w := r.requests.commands.Get(n)
	if w == nil || c.Origin != r.origin() {
		return
	}
	r.requests.answer(w, err, e)
}

// answer answers all requests of a command, which waits no more.
func (b *requestBook) answer(w *waitingCommand, err error, e *Effects) {
	for _, id := range w.requests {
		e.Answers = append(e.Answers, Answer{Request: id, Err: err})
	}
	b.commands.Delete(w.number)
	if w.report != nil && b.reports[w.report.Target] == w {
		delete(b.reports, w.report.Target)
	}
}

// retryRequests passes waiting commands and reads on again, and gives up on those
// whose time has run out.
func (r *Replica) retryRequests(log *replication.Effects, e *Effects) {
	for _, n := range r.requests.commands.Keys() {
		w := r.requests.commands.Get(n)
		if r.now >= w.deadline {
			err := fault.New(fault.Unknown, "send it again; it takes effect once at most", "no quorum of control replicas answered in time, so it isn't known whether the %s was taken", w.what)
			r.requests.answer(w, err, e)
			continue
		}
		if r.now >= w.retryAt {
			r.passCommand(w, log)
		}
	}
	for _, n := range r.requests.reads.Keys() {
		w := r.requests.reads.Get(n)
		if r.now >= w.deadline {
			err := fault.New(fault.Unavailable, "ask again, or ask another replica", "this replica can't be sure of the newest table")
			e.Answers = append(e.Answers, Answer{Request: w.request, Err: err})
			r.requests.reads.Delete(n)
			continue
		}
		if w.index == 0 && r.now >= w.retryAt {
			r.askIndex(n, w, log)
		}
	}
}

// read answers with the newest state, at once on a leader that can be sure of its
// office, else when the leader has said what the newest is and it is applied here.
func (r *Replica) read(v ReadRequested, log *replication.Effects, e *Effects) {
	if r.node.HasLease(r.now) {
		e.Answers = append(e.Answers, Answer{Request: v.Request, Document: r.state.Document(), Table: r.state.Table()})
		return
	}
	r.requests.number++
	n := r.requests.number
	w := &waitingRead{request: v.Request, deadline: r.now.Add(r.settings.ReadTimeout)}
	r.requests.reads.Put(n, w)
	r.askIndex(n, w, log)
}

func (r *Replica) askIndex(n commandNumber, w *waitingRead, log *replication.Effects) {
	w.retryAt = r.now.Add(readRetryPeriod)
	if r.node.HasLease(r.now) {
		w.index = r.node.Commit()
		return
	}
	r.sendLeader(&wire.Envelope_ReadRequest{ReadRequest: &wire.ReadRequest{Nonce: uint64(n)}}, log)
}

// nameIndex answers another replica's question for the newest index.
func (r *Replica) nameIndex(m *wire.Envelope, e *Effects) {
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

func (r *Replica) takeIndex(m *wire.ReadResponse) {
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
