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
	// restGrace is how long after a target has asked for rest calls may still come that were under
	// way then, and mostInRest how many may come later.
	restGrace      = 500 * time.Millisecond
	maxCallsInRest = 2
	// leavingGrace is how long after an answer that said so calls may still be made that reach a target
	// which leaves.
	leavingGrace = 2 * time.Second
)

// Breach is a call that reached a target in spite of what the target had said.
type Breach struct {
	// Box is the entry that the call came by; Said is when the target first said it to that box, At
	// when the call came.
	Box        string    `json:"box"`
	InformedAt time.Time `json:"said"`
	At         time.Time `json:"at"`
	// Leaving is set where the target had said that it leaves, Limit where it had named a limit;
	// otherwise it had asked for rest.
	Leaving bool         `json:"leaving"`
	Limit   *LimitBreach `json:"limit,omitempty"`
}

// noticeMonitor is what a target has said to its boxes, and what reached it all the same.
type noticeMonitor struct {
	lock  sync.Mutex
	boxes map[string]*boxNotices
	// path is the file that keeps breaches, since the target may end; empty for none.
	path                  string
	rests                 int64
	restCalls, restProbes int64
}

// boxNotices is what a target has said to one box.
type boxNotices struct {
	restFrom, restUntil time.Time
	// callsInRest counts the calls in the present rest, after its grace.
	callsInRest int
	// leavingSince is when the target first said that it leaves; zero for not yet.
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

// recordRest notes that the target has asked a box for rest.
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

// recordLeaving notes that the target has told a box that it leaves.
func (w *noticeMonitor) recordLeaving(box string, now time.Time) {
	w.lock.Lock()
	defer w.lock.Unlock()
	if x := w.noticesTo(box); x.leavingSince.IsZero() {
		x.leavingSince = now
	}
}

// recordCall notes a call that has come by a box, and that its caller made at a time.
func (w *noticeMonitor) recordCall(box string, made, now time.Time) error {
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
	if !x.leavingSince.IsZero() && made.Sub(x.leavingSince) > leavingGrace {
		return w.writeBreach(Breach{Box: box, InformedAt: x.leavingSince, At: now, Leaving: true})
	}
	return nil
}

// recordProbe notes a probe. Probes don't say which box they come from: the count is exact for a
// target with one box.
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

// writeLimitBreach keeps a window in which calls came beyond the target's limit.
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

// addTo adds the counts to what a target knows of its load.
func (w *noticeMonitor) addTo(s *TargetStats) {
	w.lock.Lock()
	defer w.lock.Unlock()
	s.Rests, s.CallsInRest, s.ProbesInRest = w.rests, w.restCalls, w.restProbes
}

// breachFile is where a target with a journal keeps breaches.
func breachFile(journal string) string {
	if journal == "" {
		return ""
	}
	return journal + ".breaches"
}

// ReadBreaches returns what a target has kept, by the path of its journal.
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
