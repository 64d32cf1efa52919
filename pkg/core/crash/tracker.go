package crash

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/madderpond/madderpond/pkg/units"
)

// CrashesToBlame is the number of consecutive crashes after which a call is to blame. Once or twice
// a target may end by chance while a given call is in flight there.
const CrashesToBlame = 3

const (
	// mergeWindow is the time within which notes of one target are about the same crash. Notes
	// travel for some milliseconds; a target takes longer than this to restart and crash again.
	mergeWindow = time.Second
	// settleDelay is how long after a crash notes of other boxes may still arrive. Until then the
	// list of calls that were in flight is incomplete.
	settleDelay = 150 * time.Millisecond
	// chainTolerance is the error allowed when times from notes of different boxes are put in order:
	// a call is retried immediately after it breaks off. Crashes no further apart than this
	// count as one.
	chainTolerance = 15 * time.Millisecond
	// retention is how long a crash is kept. It is long enough to find a call that arrives once in
	// some minutes as well as one that arrives ten times a second.
	retention = time.Hour
	// maxEvents bounds the crashes that are kept; with their suspects they take 256 KB.
	maxEvents = 256
	// maxSuspects bounds the suspects of one crash, over the notes of all boxes.
	maxSuspects = 32
)

// event is one crash of a target, merged from the notes of all boxes that reported it.
type event struct {
	service  units.ServiceName
	target   units.TargetID
	at       units.Instant
	suspects []suspect
	// attributed is set once a call that was in flight at the crash is known to be to blame. If
	// that is one caller's call, the crash still counts against the same call of any caller, but
	// against no other call.
	attributed bool
	// noteIDs identify the notes that were merged into the event. Crashes without suspects are kept
	// too, so that a repeated note changes nothing.
	noteIDs []noteID
}

// suspect is a call that was in flight at a crash.
type suspect struct {
	fingerprint Fingerprint
	sentAt      units.Instant
}

// noteID identifies a note.
type noteID struct {
	box           units.BoxID
	start, number uint64
}

// Tracker holds the crashes that aren't yet attributed to a call, and finds the calls that are to
// blame. A call is to blame if targets crashed several times in a row while it was in flight: it
// was sent, the target crashed, it was sent again. Targets that crash together with the same call
// in flight count as one crash. An answer to a call clears it of all earlier crashes. A crash that
// is attributed to one call no longer counts against the others that were in flight.
type Tracker struct {
	// threshold is the number of consecutive crashes after which a call is to blame; zero blames none.
	threshold int
	// events are sorted by time.
	events []event
	// answeredAt is when a call was last answered, by its content for any caller.
	answeredAt map[Fingerprint]units.Instant
	// cachedHistories is the last result of buildHistories; stale is set once it is out of date.
	// A leader uses it three times for each note, and each computation covers up to 256 crashes.
	cachedHistories []callHistory
	stale           bool
}

// NewTracker returns a tracker that blames a call after threshold consecutive crashes; zero never
// blames one.
func NewTracker(threshold int) *Tracker {
	return &Tracker{threshold: threshold, answeredAt: map[Fingerprint]units.Instant{}}
}

// Record adds a note. A note that was recorded before changes nothing.
func (t *Tracker) Record(n Note) {
	if n.IsAnswer() {
		t.recordAnswer(n)
		return
	}
	id := noteID{box: n.Box, start: n.Start, number: n.Number}
	e := t.eventFor(n, id)
	if e == nil {
		return
	}
	t.stale = true
	e.noteIDs = append(e.noteIDs, id)
	for _, s := range n.Suspects {
		e.addSuspect(suspect{fingerprint: s.Fingerprint, sentAt: n.At.Add(-s.SentBefore)})
	}
}

// eventFor returns the event of the crash that a note reports, and creates it for the first such note.
// It returns nil if the note was recorded before.
func (t *Tracker) eventFor(n Note, id noteID) *event {
	if slices.ContainsFunc(t.events, func(e event) bool { return slices.Contains(e.noteIDs, id) }) {
		return nil
	}
	for i := range t.events {
		if e := &t.events[i]; e.target == n.Target && max(e.at.Sub(n.At), n.At.Sub(e.at)) < mergeWindow {
			return e
		}
	}
	if len(t.events) >= maxEvents {
		t.events = slices.Delete(t.events, 0, 1)
	}
	i, _ := slices.BinarySearchFunc(t.events, n.At, func(e event, at units.Instant) int { return cmp.Compare(e.at, at) })
	t.events = slices.Insert(t.events, i, event{service: n.Service, target: n.Target, at: n.At})
	return &t.events[i]
}

func (e *event) addSuspect(s suspect) {
	i := slices.IndexFunc(e.suspects, func(x suspect) bool { return x.fingerprint == s.fingerprint })
	switch {
	case e.attributed:
	case i >= 0:
		// Of several sends the last one decides whether the call was sent after an earlier crash.
		e.suspects[i].sentAt = max(e.suspects[i].sentAt, s.sentAt)
	case len(e.suspects) < maxSuspects:
		e.suspects = append(e.suspects, s)
	}
}

// recordAnswer clears a call of the crashes before an answer to it. The same call of another caller may
// still crash targets, but then its content alone isn't the cause.
func (t *Tracker) recordAnswer(n Note) {
	t.stale = true
	for _, s := range n.Suspects {
		t.recordAnswerTime(s.Fingerprint.AnyCaller(), n.At)
		for i := range t.events {
			if e := &t.events[i]; e.at <= n.At {
				e.suspects = slices.DeleteFunc(e.suspects, func(x suspect) bool { return x.fingerprint == s.Fingerprint })
			}
		}
	}
}

// recordAnswerTime keeps the time of an answer to f, if f is a suspect of any crash.
func (t *Tracker) recordAnswerTime(f Fingerprint, at units.Instant) {
	if slices.ContainsFunc(t.events, func(e event) bool { return e.hasSuspect(f) }) {
		t.answeredAt[f] = max(t.answeredAt[f], at)
	}
}

// Attribute attributes the crashes at which f was in flight to f, which is known to be to blame.
// They no longer count against other calls. Crashes attributed to one caller's call still count
// against the same call of any caller: if its content is the cause, one more crash with another
// caller's call shows it.
func (t *Tracker) Attribute(f Fingerprint) {
	for i := range t.events {
		e := &t.events[i]
		if !e.hasSuspect(f) || e.attributed && !f.isAnyCaller() {
			continue
		}
		e.attributed = true
		e.suspects = slices.DeleteFunc(e.suspects, func(s suspect) bool {
			return f.isAnyCaller() || !f.AnyCaller().Covers(s.fingerprint)
		})
		t.stale = true
	}
}

// Release clears the suspects of the crashes that were attributed to f. Whoever releases a call no
// longer holds it responsible, so these crashes must not count against the same call of any caller
// either.
func (t *Tracker) Release(f Fingerprint) {
	for i := range t.events {
		if e := &t.events[i]; e.attributed && e.hasSuspect(f) {
			e.suspects = nil
			t.stale = true
		}
	}
}

func (e *event) hasSuspect(f Fingerprint) bool { return e.lastSent(f) != neverSent }

// neverSent is the send time of a call that wasn't sent to the target.
const neverSent units.Instant = -1 << 62

// lastSent returns when a call was last sent to the target that crashed, or neverSent.
func (e *event) lastSent(f Fingerprint) units.Instant {
	last := neverSent
	for _, s := range e.suspects {
		if f.Covers(s.fingerprint) {
			last = max(last, s.sentAt)
		}
	}
	return last
}

// callHistory lists the crashes that count against a call.
type callHistory struct {
	fingerprint Fingerprint
	// events are the crashes at which it was in flight. chain holds those of them that follow one
	// another: the call was sent again after each one and before the next.
	events, chain []*event
}

// historyOf collects the crashes that count against a call.
func (t *Tracker) historyOf(f Fingerprint) callHistory {
	h := callHistory{fingerprint: f}
	last := neverSent
	for i := range t.events {
		e := &t.events[i]
		sent := e.lastSent(f)
		if sent == neverSent || e.at <= t.answeredAt[f] || e.attributed && !f.isAnyCaller() {
			continue
		}
		h.events = append(h.events, e)
		if sent.Add(chainTolerance) >= last && e.at.Sub(last) > chainTolerance {
			h.chain = append(h.chain, e)
			last = e.at
		}
	}
	return h
}

// histories returns the history of each call that was in flight at more than one crash, most
// crashes first; with equal numbers, a call of one caller sorts before the same call of any caller.
// The list belongs to the tracker and must not be changed.
func (t *Tracker) histories() []callHistory {
	if t.stale {
		t.cachedHistories = t.buildHistories()
		t.stale = false
	}
	return t.cachedHistories
}

func (t *Tracker) buildHistories() []callHistory {
	crashes := map[Fingerprint]int{}
	for i := range t.events {
		for f := range t.events[i].fingerprints() {
			crashes[f]++
		}
	}
	var list []callHistory
	for f, n := range crashes {
		if n > 1 {
			list = append(list, t.historyOf(f))
		}
	}
	slices.SortFunc(list, func(a, b callHistory) int {
		return cmp.Or(cmp.Compare(len(b.events), len(a.events)), b.fingerprint.Compare(a.fingerprint))
	})
	return dropRedundant(list)
}

// dropRedundant drops the histories for any caller that have no more crashes than the same call of
// one caller.
func dropRedundant(list []callHistory) []callHistory {
	var kept []callHistory
	for _, h := range list {
		isCoveredBy := func(x callHistory) bool {
			return h.fingerprint.Covers(x.fingerprint) && len(x.events) == len(h.events)
		}
		if !slices.ContainsFunc(kept, isCoveredBy) {
			kept = append(kept, h)
		}
	}
	return kept
}

// fingerprints returns the fingerprints of the suspects, each as it is and for any caller.
func (e *event) fingerprints() map[Fingerprint]bool {
	set := map[Fingerprint]bool{}
	for _, s := range e.suspects {
		if !e.attributed {
			set[s.fingerprint] = true
		}
		set[s.fingerprint.AnyCaller()] = true
	}
	return set
}

// Evaluate returns the calls that are to blame by now, and attributes their crashes to them. If
// several calls can't be distinguished, it blames all of them and marks the verdicts as doubtful.
func (t *Tracker) Evaluate(now units.Instant) []Verdict {
	t.expire(now)
	var verdicts []Verdict
	for t.threshold > 0 {
		blamed := t.findBlamed(now)
		if len(blamed) == 0 {
			break
		}
		for _, h := range blamed {
			v := h.verdict()
			v.Doubtful = len(blamed) > 1 || t.mayBeCoincidence(h)
			verdicts = append(verdicts, v)
		}
		for _, v := range verdicts {
			t.Attribute(v.Fingerprint)
		}
	}
	return verdicts
}

// expire drops crashes and answers that are older than retention.
func (t *Tracker) expire(now units.Instant) {
	events, answers := len(t.events), len(t.answeredAt)
	t.events = slices.DeleteFunc(t.events, func(e event) bool { return now.Sub(e.at) > retention })
	maps.DeleteFunc(t.answeredAt, func(_ Fingerprint, at units.Instant) bool { return now.Sub(at) > retention })
	t.stale = t.stale || len(t.events) < events || len(t.answeredAt) < answers
}

// findBlamed returns a call that is to blame, or several that can't be distinguished, or none if
// no call is to blame yet.
func (t *Tracker) findBlamed(now units.Instant) []callHistory {
	all := t.histories()
	due := slices.DeleteFunc(slices.Clone(all), func(r callHistory) bool { return !t.isDue(&r) || !r.isSettled(now) })
	for _, h := range due {
		if !slices.ContainsFunc(all, h.isMatchedBy) {
			return []callHistory{h}
		}
	}
	if len(due) == 0 {
		return nil
	}
	h := due[0]
	return append([]callHistory{h}, slices.DeleteFunc(slices.Clone(all), func(x callHistory) bool { return !h.isMatchedBy(x) })...)
}

// isDue reports whether a call has reached the threshold, and at least one crash of its chain isn't
// attributed yet.
func (t *Tracker) isDue(h *callHistory) bool {
	return len(h.chain) >= t.threshold && h.hasUnattributed()
}

// hasUnattributed reports whether any crash of the chain isn't attributed to a call yet.
func (h *callHistory) hasUnattributed() bool {
	return slices.ContainsFunc(h.chain, func(e *event) bool { return !e.attributed })
}

// mayBeCoincidence reports whether between the chain's first and last crash at least as many
// crashes of the service happened without the call in flight. If targets crash for reasons of their own, frequent calls are
// in flight at most of the crashes.
func (t *Tracker) mayBeCoincidence(h callHistory) bool {
	first, last := h.chain[0], h.chain[len(h.chain)-1]
	without := 0
	for i := range t.events {
		e := &t.events[i]
		if e.service == first.service && e.at >= first.at && e.at <= last.at && !e.attributed && !e.hasSuspect(h.fingerprint) {
			without++
		}
	}
	return without >= len(h.chain)
}

// isSettled reports whether all boxes have had time to report every crash of the chain but the
// last. Another call that may as well be to blame was in flight at the earlier crashes too, so it
// is known by then.
func (h *callHistory) isSettled(now units.Instant) bool {
	return len(h.chain) < 2 || now.Sub(h.chain[len(h.chain)-2].at) >= settleDelay
}

// isMatchedBy reports whether another call was in flight at all crashes of this call's chain, and
// at no fewer crashes in total, so that either may be to blame.
func (h *callHistory) isMatchedBy(x callHistory) bool {
	f, g := h.fingerprint, x.fingerprint
	if f.Covers(g) || len(x.events) < len(h.events) {
		return false
	}
	return !slices.ContainsFunc(h.chain, func(e *event) bool { return !e.hasSuspect(g) })
}

func (h *callHistory) verdict() Verdict {
	v := Verdict{Fingerprint: h.fingerprint, Service: h.chain[0].service}
	for _, e := range h.chain {
		v.Targets = append(v.Targets, e.target)
	}
	return v
}

// Suspects returns up to limit calls with more than one crash in a row, the most
// likely first. Boxes should note answers to them, since an answer clears a call.
func (t *Tracker) Suspects(limit int) []Fingerprint {
	var list []Fingerprint
	for _, h := range t.histories() {
		if len(h.chain) > 1 && h.hasUnattributed() && len(list) < limit {
			list = append(list, h.fingerprint)
		}
	}
	return list
}

// HasPendingVerdict reports whether a call has reached the threshold, so that Evaluate may return a
// verdict later without a new note.
func (t *Tracker) HasPendingVerdict() bool {
	return t.threshold > 0 && slices.ContainsFunc(t.histories(), func(r callHistory) bool { return t.isDue(&r) })
}

// SuspectsSince returns the calls that were in flight at crashes since a time.
func (t *Tracker) SuspectsSince(at units.Instant) []Fingerprint {
	var list []Fingerprint
	for i := range t.events {
		if t.events[i].at < at {
			continue
		}
		for _, s := range t.events[i].suspects {
			list = append(list, s.fingerprint)
		}
	}
	return list
}
