package lab

import (
	"bufio"
	"encoding/json"
	"errors"
	"io/fs"
	"os"
	"sync"
	"time"
)

const (
	// restGrace is how long calls that were in flight may still arrive after a target has asked for
	// rest, and maxCallsInRest how many may arrive after that.
	restGrace      = 500 * time.Millisecond
	maxCallsInRest = 2
	// leavingGrace is how long after a target's first leaving answer callers may still make calls that the
	// box sends to it.
	leavingGrace = 2 * time.Second
)

// Breach is a call that reached a target although the target had announced to its box that it
// leaves, rests or has a limit.
type Breach struct {
	// Box is the box that sent the call, if it names itself, or the entry address that the caller
	// used; InformedAt is when the target first
	// announced it to that box, At when the call arrived.
	Box        string    `json:"box"`
	InformedAt time.Time `json:"said"`
	At         time.Time `json:"at"`
	// Leaving is set if the target had announced that it leaves, Limit if it had reported a limit;
	// otherwise it had asked for rest.
	Leaving bool         `json:"leaving"`
	Limit   *LimitBreach `json:"limit,omitempty"`
}

// noticeMonitor records what a target has announced to its boxes, and the calls and probes that
// arrived in spite of it.
type noticeMonitor struct {
	lock  sync.Mutex
	boxes map[string]*boxNotices
	// path is the file that breaches are written to, since the target's process may end; empty for none.
	path                  string
	rests                 int64
	restCalls, restProbes int64
}

// boxNotices is what a target has announced to one box.
type boxNotices struct {
	restFrom, restUntil time.Time
	// callsInRest counts the calls during the current rest, after restGrace.
	callsInRest int
	// leavingSince is when the target first announced that it leaves; zero if it has not.
	leavingSince time.Time
}

func newNoticeMonitor(path string) *noticeMonitor {
	return &noticeMonitor{boxes: map[string]*boxNotices{}, path: path}
}

func (w *noticeMonitor) noticesTo(box string) *boxNotices {
	x := w.boxes[box]
	if x == nil {
		x = &boxNotices{}
		w.boxes[box] = x
	}
	return x
}

func (x *boxNotices) isResting(now time.Time) bool {
	return now.After(x.restFrom.Add(restGrace)) && now.Before(x.restUntil)
}

// recordRest records that the target has asked a box for rest.
func (w *noticeMonitor) recordRest(box string, now time.Time, rest time.Duration) {
	w.lock.Lock()
	defer w.lock.Unlock()
	x := w.noticesTo(box)
	if now.After(x.restUntil) {
		x.restFrom, x.callsInRest = now, 0
		w.rests++
	}
	if end := now.Add(rest); end.After(x.restUntil) {
		x.restUntil = end
	}
}

// recordLeaving records that the target has announced to a box that it leaves.
func (w *noticeMonitor) recordLeaving(box string, now time.Time) {
	w.lock.Lock()
	defer w.lock.Unlock()
	if x := w.noticesTo(box); x.leavingSince.IsZero() {
		x.leavingSince = now
	}
}

// recordCall records a call that arrived through a box; sent is when its caller sent it. The error is that
// of writing a breach.
func (w *noticeMonitor) recordCall(box string, sent, now time.Time) error {
	w.lock.Lock()
	defer w.lock.Unlock()
	x := w.noticesTo(box)
	if x.isResting(now) {
		w.restCalls++
		x.callsInRest++
		if x.callsInRest == maxCallsInRest+1 {
			return w.writeBreach(Breach{Box: box, InformedAt: x.restFrom, At: now})
		}
	}
	if !x.leavingSince.IsZero() && sent.Sub(x.leavingSince) > leavingGrace {
		return w.writeBreach(Breach{Box: box, InformedAt: x.leavingSince, At: now, Leaving: true})
	}
	return nil
}

// recordProbe records a probe. Probes don't identify their box, so the count is exact only for a target
// with one box.
func (w *noticeMonitor) recordProbe(now time.Time) {
	w.lock.Lock()
	defer w.lock.Unlock()
	for _, x := range w.boxes {
		if x.isResting(now) {
			w.restProbes++
			return
		}
	}
}

// writeLimitBreach writes a breach of the target's limit to the file.
func (w *noticeMonitor) writeLimitBreach(b *LimitBreach) error {
	w.lock.Lock()
	defer w.lock.Unlock()
	return w.writeBreach(Breach{InformedAt: b.LimitedSince, At: b.At, Limit: b})
}

func (w *noticeMonitor) writeBreach(b Breach) error {
	if w.path == "" {
		return nil
	}
	file, err := os.OpenFile(w.path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer file.Close()
	return json.NewEncoder(file).Encode(b)
}

// addTo writes the counts to a target's statistics.
func (w *noticeMonitor) addTo(s *TargetStats) {
	w.lock.Lock()
	defer w.lock.Unlock()
	s.Rests, s.CallsInRest, s.ProbesInRest = w.rests, w.restCalls, w.restProbes
}

// breachFile returns the file of breaches that belongs to a journal; empty for no journal.
func breachFile(journal string) string {
	if journal == "" {
		return ""
	}
	return journal + ".breaches"
}

// ReadBreaches reads the breaches that a target has written, by the path of its journal.
func ReadBreaches(journal string) ([]Breach, error) {
	file, err := os.Open(breachFile(journal))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer file.Close()
	var all []Breach
	for lines := bufio.NewScanner(file); lines.Scan(); {
		var b Breach
		if err := json.Unmarshal(lines.Bytes(), &b); err != nil {
			return nil, err
		}
		all = append(all, b)
	}
	return all, nil
}
