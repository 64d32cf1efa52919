package crash

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/madderpond/madderpond/pkg/units"
)

// Enough is after how many crashes in a row a call is to blame. A target may end once or twice
// while a call is under way there by chance.
const Enough = 3

const (
	// mergeTime is how far apart boxes may place the same crash: their notes travel for
	// some milliseconds, and a target that starts again takes longer.
	mergeTime = time.Second
	// settleTime is how long after a crash notes of other boxes may still come. Until then it
	// isn't known which calls were under way there.
	settleTime = 150 * time.Millisecond
	// chainSlack is how far notes of different boxes may place two moments apart that follow
	// one another: a call is sent again at once when it breaks off. Crashes that are less apart
	// count as one.
	chainSlack = 15 * time.Millisecond
	// memory is for how long a crash counts. A call that comes once in some minutes is found
	// as well as one that comes ten times a second.
	memory = time.Hour
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
	// explained is set once a call that was there is known to be to blame. Where that is one caller's,
	// the crash still counts against the same call of all callers, and against no other.
	explained bool
	// notes are those that it was put together from. Crashes without suspects are kept too, so
	// that a note which comes again changes nothing.
	notes []noteName
}

// suspect is a call that was under way at a crash.
type suspect struct {
	fingerprint Fingerprint
	sent        units.Instant
}

// noteName tells notes apart.
type noteName struct {
	box           units.BoxID
	start, number uint64
}

// Ledger holds the crashes that nobody is blamed for yet, and finds the calls that are to
// blame. A call is, if targets crashed under it several times in a row: it was sent,
// the target crashed, it was sent again. Targets that crash together under the same call say
// no more than one. An answer to it clears it of all earlier crashes, and so does
// another call that is to blame and was there too.
type Ledger struct {
	// enough is how many crashes in a row it takes.
	enough int
	// events are in the order of their times.
	events []event
	// answered is when a call was last answered, whoever sent it.
	answered map[Fingerprint]units.Instant
	// known are the records as they were last worked out; stale is set when that no longer holds.
	// A leader asks for them three times for each note, and each time takes 256 crashes together.
	known []record
	stale bool
}

// NewLedger returns a ledger that blames a call after so many crashes in a row; zero never does.
func NewLedger(enough int) *Ledger {
	return &Ledger{enough: enough, answered: map[Fingerprint]units.Instant{}}
}

// Take takes a note. One that was taken before changes nothing.
func (l *Ledger) Take(n Note) {
	if n.IsAnswer() {
		l.clear(n)
		return
	}
	name := noteName{box: n.Box, start: n.Start, number: n.Number}
	e := l.eventFor(n, name)
	if e == nil {
		return
	}
	l.stale = true
	e.notes = append(e.notes, name)
	for _, s := range n.Suspects {
		e.add(suspect{fingerprint: s.Fingerprint, sent: n.At.Add(-s.Sent)})
	}
}

// eventFor returns the crash that a note tells of, a new one where it is the first; nil where
// the note is known.
func (l *Ledger) eventFor(n Note, name noteName) *event {
	if slices.ContainsFunc(l.events, func(e event) bool { return slices.Contains(e.notes, name) }) {
		return nil
	}
	for i := range l.events {
		if e := &l.events[i]; e.target == n.Target && max(e.at.Sub(n.At), n.At.Sub(e.at)) < mergeTime {
			return e
		}
	}
	if len(l.events) >= maxEvents {
		l.events = slices.Delete(l.events, 0, 1)
	}
	i, _ := slices.BinarySearchFunc(l.events, n.At, func(e event, at units.Instant) int { return cmp.Compare(e.at, at) })
	l.events = slices.Insert(l.events, i, event{service: n.Service, target: n.Target, at: n.At})
	return &l.events[i]
}

func (e *event) add(s suspect) {
	i := slices.IndexFunc(e.suspects, func(x suspect) bool { return x.fingerprint == s.fingerprint })
	switch {
	case e.explained:
	case i >= 0:
		// Of several sends the last one tells whether the call came after an earlier crash.
		e.suspects[i].sent = max(e.suspects[i].sent, s.sent)
	case len(e.suspects) < maxSuspects:
		e.suspects = append(e.suspects, s)
	}
}

// clear clears a call of the crashes before an answer to it. The same call of other callers may
// still crash targets, but not by its content alone.
func (l *Ledger) clear(n Note) {
	l.stale = true
	for _, s := range n.Suspects {
		l.noteAnswered(s.Fingerprint.AnyCaller(), n.At)
		for i := range l.events {
			if e := &l.events[i]; e.at <= n.At {
				e.suspects = slices.DeleteFunc(e.suspects, func(x suspect) bool { return x.fingerprint == s.Fingerprint })
			}
		}
	}
}

// noteAnswered keeps when a call was answered, whoever sent it, if crashes count against it.
func (l *Ledger) noteAnswered(f Fingerprint, at units.Instant) {
	if slices.ContainsFunc(l.events, func(e event) bool { return e.has(f) }) {
		l.answered[f] = max(l.answered[f], at)
	}
}

// Explain puts crashes down to a call that is known to be to blame and was under way there; they
// no longer count against others. Those of one caller's call go on counting against the same call of all callers: if
// it is its content that crashes targets, one more crash under another caller's shows it.
func (l *Ledger) Explain(f Fingerprint) {
	for i := range l.events {
		e := &l.events[i]
		if !e.has(f) || e.explained && !f.isAnyCaller() {
			continue
		}
		e.explained = true
		e.suspects = slices.DeleteFunc(e.suspects, func(s suspect) bool {
			return f.isAnyCaller() || !f.AnyCaller().Covers(s.fingerprint)
		})
		l.stale = true
	}
}

// Release drops what counts against the same call of all callers by crashes that were put down to one caller's: whoever
// releases that doesn't hold it responsible any more.
func (l *Ledger) Release(f Fingerprint) {
	for i := range l.events {
		if e := &l.events[i]; e.explained && e.has(f) {
			e.suspects = nil
			l.stale = true
		}
	}
}

func (e *event) has(f Fingerprint) bool { return e.lastSent(f) != never }

// never is when a call was sent that wasn't.
const never units.Instant = -1 << 62

// lastSent is when a call was last sent to the target that crashed.
func (e *event) lastSent(f Fingerprint) units.Instant {
	last := never
	for _, s := range e.suspects {
		if f.Covers(s.fingerprint) {
			last = max(last, s.sent)
		}
	}
	return last
}

// record is what stands against a call.
type record struct {
	fingerprint Fingerprint
	// events are the crashes under it, chain those of them that came one after the other.
	events, chain []*event
}

// recordOf collects what stands against a call.
func (l *Ledger) recordOf(f Fingerprint) record {
	r := record{fingerprint: f}
	last := never
	for i := range l.events {
		e := &l.events[i]
		sent := e.lastSent(f)
		if sent == never || e.at <= l.answered[f] || e.explained && !f.isAnyCaller() {
			continue
		}
		r.events = append(r.events, e)
		if sent.Add(chainSlack) >= last && e.at.Sub(last) > chainSlack {
			r.chain = append(r.chain, e)
			last = e.at
		}
	}
	return r
}

// records collects what stands against each call under which more than one target crashed:
// most crashes first, and of equals one caller's calls before the same calls of all callers. The
// list is the ledger's own.
func (l *Ledger) records() []record {
	if l.stale {
		l.known = l.collect()
		l.stale = false
	}
	return l.known
}

func (l *Ledger) collect() []record {
	crashes := map[Fingerprint]int{}
	for i := range l.events {
		for f := range l.events[i].fingerprints() {
			crashes[f]++
		}
	}
	var list []record
	for f, n := range crashes {
		if n > 1 {
			list = append(list, l.recordOf(f))
		}
	}
	slices.SortFunc(list, func(a, b record) int {
		return cmp.Or(cmp.Compare(len(b.events), len(a.events)), b.fingerprint.Compare(a.fingerprint))
	})
	return withoutWider(list)
}

// withoutWider drops the records of any caller that say no more than those of one.
func withoutWider(list []record) []record {
	var kept []record
	for _, r := range list {
		says := func(x record) bool {
			return r.fingerprint.Covers(x.fingerprint) && len(x.events) == len(r.events)
		}
		if !slices.ContainsFunc(kept, says) {
			kept = append(kept, r)
		}
	}
	return kept
}

// fingerprints are those of the suspects, by themselves and for any caller.
func (e *event) fingerprints() map[Fingerprint]bool {
	set := map[Fingerprint]bool{}
	for _, s := range e.suspects {
		if !e.explained {
			set[s.fingerprint] = true
		}
		set[s.fingerprint.AnyCaller()] = true
	}
	return set
}

// Judge returns the calls that are to blame by now, and drops what they explain. Where nothing
// tells several calls apart all of them are blamed, in doubt.
func (l *Ledger) Judge(now units.Instant) []Verdict {
	l.forget(now)
	var verdicts []Verdict
	for l.enough > 0 {
		blamed := l.blame(now)
		if len(blamed) == 0 {
			break
		}
		for _, r := range blamed {
			v := r.verdict()
			v.Doubtful = len(blamed) > 1 || l.isCommon(r)
			verdicts = append(verdicts, v)
		}
		for _, v := range verdicts {
			l.Explain(v.Fingerprint)
		}
	}
	return verdicts
}

// forget drops what is too old to count.
func (l *Ledger) forget(now units.Instant) {
	events, answers := len(l.events), len(l.answered)
	l.events = slices.DeleteFunc(l.events, func(e event) bool { return now.Sub(e.at) > memory })
	maps.DeleteFunc(l.answered, func(_ Fingerprint, at units.Instant) bool { return now.Sub(at) > memory })
	l.stale = l.stale || len(l.events) < events || len(l.answered) < answers
}

// blame returns a call that is to blame, or several that nothing tells apart; none where
// nobody is to blame yet.
func (l *Ledger) blame(now units.Instant) []record {
	all := l.records()
	enough := slices.DeleteFunc(slices.Clone(all), func(r record) bool { return !l.isDue(&r) || !r.isSettled(now) })
	for _, r := range enough {
		if !slices.ContainsFunc(all, r.isRivalledBy) {
			return []record{r}
		}
	}
	if len(enough) == 0 {
		return nil
	}
	r := enough[0]
	return append([]record{r}, slices.DeleteFunc(slices.Clone(all), func(x record) bool { return !r.isRivalledBy(x) })...)
}

// isDue tells whether crashes enough stand against a call, not all of which are put down to one caller's.
func (l *Ledger) isDue(r *record) bool {
	return len(r.chain) >= l.enough && r.isOpen()
}

// isOpen tells whether nobody is blamed yet for one of the crashes.
func (r *record) isOpen() bool {
	return slices.ContainsFunc(r.chain, func(e *event) bool { return !e.explained })
}

// isCommon tells whether as many targets of the service crashed without the call meanwhile: a
// service whose targets crash by themselves has calls under way at most of the crashes.
func (l *Ledger) isCommon(r record) bool {
	first, last := r.chain[0], r.chain[len(r.chain)-1]
	without := 0
	for i := range l.events {
		e := &l.events[i]
		if e.service == first.service && e.at >= first.at && e.at <= last.at && !e.explained && !e.has(r.fingerprint) {
			without++
		}
	}
	return without >= len(r.chain)
}

// isSettled tells whether all boxes have had time to tell of the crashes but for the last: a
// call that is to blame as likely was there each time.
func (r *record) isSettled(now units.Instant) bool {
	return len(r.chain) < 2 || now.Sub(r.chain[len(r.chain)-2].at) >= settleTime
}

// isRivalledBy tells whether another call was under way at all the crashes that count against
// this one, and at no fewer in all.
func (r *record) isRivalledBy(x record) bool {
	f, g := r.fingerprint, x.fingerprint
	if f.Covers(g) || len(x.events) < len(r.events) {
		return false
	}
	return !slices.ContainsFunc(r.chain, func(e *event) bool { return !e.has(g) })
}

func (r *record) verdict() Verdict {
	v := Verdict{Fingerprint: r.fingerprint, Service: r.chain[0].service}
	for _, e := range r.chain {
		v.Targets = append(v.Targets, e.target)
	}
	return v
}

// Suspects returns the calls under which targets have crashed more than once in a row, the most
// likely first: answers to them are worth noting.
func (l *Ledger) Suspects(most int) []Fingerprint {
	var list []Fingerprint
	for _, r := range l.records() {
		if len(r.chain) > 1 && r.isOpen() && len(list) < most {
			list = append(list, r.fingerprint)
		}
	}
	return list
}

// Undecided tells whether crashes under a call are enough that time alone may bring a verdict.
func (l *Ledger) Undecided() bool {
	return l.enough > 0 && slices.ContainsFunc(l.records(), func(r record) bool { return l.isDue(&r) })
}

// SuspectsSince returns the calls under which targets have crashed since a time.
func (l *Ledger) SuspectsSince(at units.Instant) []Fingerprint {
	var list []Fingerprint
	for i := range l.events {
		if l.events[i].at < at {
			continue
		}
		for _, s := range l.events[i].suspects {
			list = append(list, s.fingerprint)
		}
	}
	return list
}
