package crash

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/madderpond/madderpond/pkg/units"
)

// CrashesToBlame is after how many crashes in a row a call is to blame. A target may end once or twice
// while a call is under way there by chance.
const CrashesToBlame = 3

const (
	// mergeWindow is how far apart boxes may place the same crash: their notes travel for
	// some milliseconds, and a target that starts again takes longer.
	mergeWindow = time.Second
	// settleDelay is how long after a crash notes of other boxes may still come. Until then it
	// isn't known which calls were under way there.
	settleDelay = 150 * time.Millisecond
	// chainTolerance is how far notes of different boxes may place two moments apart that follow
	// one another: a call is sent again at once when it breaks off. Crashes that are less apart
	// count as one.
	chainTolerance = 15 * time.Millisecond
	// retention is for how long a crash counts. A call that comes once in some minutes is found
	// as well as one that comes ten times a second.
	retention = time.Hour
	// maxEvents bounds the crashes that are kept: with the suspects of each, 256 KB.
	maxEvents = 256
	// maxSuspects bounds the calls that one crash is put down to, over all boxes.
	maxSuspects = 32
)

// event is one crash of a target, as far as boxes have told of it.
type event struct {
	service  units.ServiceName
	target   units.TargetID
	at       units.Instant
	suspects []suspect
	// attributed is set once a call that was there is known to be to blame. Where that is one caller's,
	// the crash still counts against the same call of all callers, and against no other.
	attributed bool
	// noteIDs are those that it was put together from. Crashes without suspects are kept too, so
	// that a note which comes again changes nothing.
	noteIDs []noteID
}

// suspect is a call that was under way at a crash.
type suspect struct {
	fingerprint Fingerprint
	sentAt      units.Instant
}

// noteID tells notes apart.
type noteID struct {
	box           units.BoxID
	start, number uint64
}

// Tracker holds the crashes that nobody is blamed for yet, and finds the calls that are to
// blame. A call is, if targets crashed under it several times in a row: it was sent,
// the target crashed, it was sent again. Targets that crash together under the same call say
// no more than one. An answer to it clears it of all earlier crashes, and so does
// another call that is to blame and was there too.
type Tracker struct {
	// threshold is how many crashes in a row it takes.
	threshold int
	// events are in the order of their times.
	events []event
	// answeredAt is when a call was last answeredAt, whoever sent it.
	answeredAt map[Fingerprint]units.Instant
	// cachedHistories are the records as they were last worked out; stale is set when that no longer holds.
	// A leader asks for them three times for each note, and each time takes 256 crashes together.
	cachedHistories []callHistory
	stale           bool
}

// NewTracker returns a ledger that blames a call after so many crashes in a row; zero never does.
func NewTracker(enough int) *Tracker {
	return &Tracker{threshold: enough, answeredAt: map[Fingerprint]units.Instant{}}
}

// Record takes a note. One that was taken before changes nothing.
func (t *Tracker) Record(n Note) {
	if n.IsAnswer() {
		t.recordAnswer(n)
		return
	}
	name := noteID{box: n.Box, start: n.Start, number: n.Number}
	e := t.eventFor(n, name)
	if e == nil {
		return
	}
	t.stale = true
	e.noteIDs = append(e.noteIDs, name)
	for _, s := range n.Suspects {
		e.addSuspect(suspect{fingerprint: s.Fingerprint, sentAt: n.At.Add(-s.SentBefore)})
	}
}

// eventFor returns the crash that a note tells of, a new one where it is the first; nil where
// the note is known.
func (t *Tracker) eventFor(n Note, name noteID) *event {
	if slices.ContainsFunc(t.events, func(e event) bool { return slices.Contains(e.noteIDs, name) }) {
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
		// Of several sends the last one tells whether the call came after an earlier crash.
		e.suspects[i].sentAt = max(e.suspects[i].sentAt, s.sentAt)
	case len(e.suspects) < maxSuspects:
		e.suspects = append(e.suspects, s)
	}
}

// recordAnswer clears a call of the crashes before an answer to it. The same call of other callers may
// still crash targets, but not by its content alone.
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

// recordAnswerTime keeps when a call was answered, whoever sent it, if crashes count against it.
func (t *Tracker) recordAnswerTime(f Fingerprint, at units.Instant) {
	if slices.ContainsFunc(t.events, func(e event) bool { return e.hasSuspect(f) }) {
		t.answeredAt[f] = max(t.answeredAt[f], at)
	}
}

// Attribute puts crashes down to a call that is known to be to blame and was under way there; they
// no longer count against others. Those of one caller's call go on counting against the same call of all callers: if
// it is its content that crashes targets, one more crash under another caller's shows it.
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

// Release drops what counts against the same call of all callers by crashes that were put down to one caller's: whoever
// releases that doesn't hold it responsible any more.
func (t *Tracker) Release(f Fingerprint) {
	for i := range t.events {
		if e := &t.events[i]; e.attributed && e.hasSuspect(f) {
			e.suspects = nil
			t.stale = true
		}
	}
}

func (e *event) hasSuspect(f Fingerprint) bool { return e.lastSent(f) != neverSent }

// neverSent is when a call was sent that wasn't.
const neverSent units.Instant = -1 << 62

// lastSent is when a call was last sent to the target that crashed.
func (e *event) lastSent(f Fingerprint) units.Instant {
	last := neverSent
	for _, s := range e.suspects {
		if f.Covers(s.fingerprint) {
			last = max(last, s.sentAt)
		}
	}
	return last
}

// callHistory is what stands against a call.
type callHistory struct {
	fingerprint Fingerprint
	// events are the crashes under it, chain those of them that came one after the other.
	events, chain []*event
}

// historyOf collects what stands against a call.
func (t *Tracker) historyOf(f Fingerprint) callHistory {
	r := callHistory{fingerprint: f}
	last := neverSent
	for i := range t.events {
		e := &t.events[i]
		sent := e.lastSent(f)
		if sent == neverSent || e.at <= t.answeredAt[f] || e.attributed && !f.isAnyCaller() {
			continue
		}
		r.events = append(r.events, e)
		if sent.Add(chainTolerance) >= last && e.at.Sub(last) > chainTolerance {
			r.chain = append(r.chain, e)
			last = e.at
		}
	}
	return r
}

// histories collects what stands against each call under which more than one target crashed:
// most crashes first, and of equals one caller's calls before the same calls of all callers. The
// list is the ledger's own.
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

// dropRedundant drops the records of any caller that say no more than those of one.
func dropRedundant(list []callHistory) []callHistory {
	var kept []callHistory
	for _, r := range list {
		isCoveredBy := func(x callHistory) bool {
			return r.fingerprint.Covers(x.fingerprint) && len(x.events) == len(r.events)
		}
		if !slices.ContainsFunc(kept, isCoveredBy) {
			kept = append(kept, r)
		}
	}
	return kept
}

// fingerprints are those of the suspects, by themselves and for any caller.
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

// Evaluate returns the calls that are to blame by now, and drops what they explain. Where nothing
// tells several calls apart all of them are blamed, in doubt.
func (t *Tracker) Evaluate(now units.Instant) []Verdict {
	t.expire(now)
	var verdicts []Verdict
	for t.threshold > 0 {
		blamed := t.findBlamed(now)
		if len(blamed) == 0 {
			break
		}
		for _, r := range blamed {
			v := r.verdict()
			v.Doubtful = len(blamed) > 1 || t.mayBeCoincidence(r)
			verdicts = append(verdicts, v)
		}
		for _, v := range verdicts {
			t.Attribute(v.Fingerprint)
		}
	}
	return verdicts
}

// expire drops what is too old to count.
func (t *Tracker) expire(now units.Instant) {
	events, answers := len(t.events), len(t.answeredAt)
	t.events = slices.DeleteFunc(t.events, func(e event) bool { return now.Sub(e.at) > retention })
	maps.DeleteFunc(t.answeredAt, func(_ Fingerprint, at units.Instant) bool { return now.Sub(at) > retention })
	t.stale = t.stale || len(t.events) < events || len(t.answeredAt) < answers
}

// findBlamed returns a call that is to findBlamed, or several that nothing tells apart; none where
// nobody is to findBlamed yet.
func (t *Tracker) findBlamed(now units.Instant) []callHistory {
	all := t.histories()
	due := slices.DeleteFunc(slices.Clone(all), func(r callHistory) bool { return !t.isDue(&r) || !r.isSettled(now) })
	for _, r := range due {
		if !slices.ContainsFunc(all, r.isMatchedBy) {
			return []callHistory{r}
		}
	}
	if len(due) == 0 {
		return nil
	}
	r := due[0]
	return append([]callHistory{r}, slices.DeleteFunc(slices.Clone(all), func(x callHistory) bool { return !r.isMatchedBy(x) })...)
}

// isDue tells whether crashes enough stand against a call, not all of which are put down to one caller's.
func (t *Tracker) isDue(r *callHistory) bool {
	return len(r.chain) >= t.threshold && r.hasUnattributed()
}

// hasUnattributed tells whether nobody is blamed yet for one of the crashes.
func (h *callHistory) hasUnattributed() bool {
	return slices.ContainsFunc(h.chain, func(e *event) bool { return !e.attributed })
}

// mayBeCoincidence tells whether as many targets of the service crashed without the call meanwhile: a
// service whose targets crash by themselves has calls under way at most of the crashes.
func (t *Tracker) mayBeCoincidence(r callHistory) bool {
	first, last := r.chain[0], r.chain[len(r.chain)-1]
	without := 0
	for i := range t.events {
		e := &t.events[i]
		if e.service == first.service && e.at >= first.at && e.at <= last.at && !e.attributed && !e.hasSuspect(r.fingerprint) {
			without++
		}
	}
	return without >= len(r.chain)
}

// isSettled tells whether all boxes have had time to tell of the crashes but for the last: a
// call that is to blame as likely was there each time.
func (h *callHistory) isSettled(now units.Instant) bool {
	return len(h.chain) < 2 || now.Sub(h.chain[len(h.chain)-2].at) >= settleDelay
}

// isMatchedBy tells whether another call was under way at all the crashes that count against
// this one, and at no fewer in all.
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

// Suspects returns the calls under which targets have crashed more than once in a row, the most
// likely first: answers to them are worth noting.
func (t *Tracker) Suspects(limit int) []Fingerprint {
	var list []Fingerprint
	for _, r := range t.histories() {
		if len(r.chain) > 1 && r.hasUnattributed() && len(list) < limit {
			list = append(list, r.fingerprint)
		}
	}
	return list
}

// HasPendingVerdict tells whether crashes under a call are enough that time alone may bring a verdict.
func (t *Tracker) HasPendingVerdict() bool {
	return t.threshold > 0 && slices.ContainsFunc(t.histories(), func(r callHistory) bool { return t.isDue(&r) })
}

// SuspectsSince returns the calls under which targets have crashed since a time.
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
