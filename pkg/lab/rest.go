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
	restGrace  = 500 * time.Millisecond
	mostInRest = 2
	// leaveBound is how long after an answer that said so calls may still be made that reach a target
	// which leaves.
	leaveBound = 2 * time.Second
)

// Breach is a call that reached a target in spite of what the target had said.
type Breach struct {
	// Box is the entry that the call came by; Said is when the target first said it to that box, At
	// when the call came.
	Box  string    `json:"box"`
	Said time.Time `json:"said"`
	At   time.Time `json:"at"`
	// Leaving is set where the target had said that it leaves, Limit where it had named a limit;
	// otherwise it had asked for rest.
	Leaving bool         `json:"leaving"`
	Limit   *LimitBreach `json:"limit,omitempty"`
}

// words is what a target has said to its boxes, and what reached it all the same.
type words struct {
	lock  sync.Mutex
	boxes map[string]*saidTo
	// path is the file that keeps breaches, since the target may end; empty for none.
	path          string
	rests         int64
	calls, probes int64
}

// saidTo is what a target has said to one box.
type saidTo struct {
	asked, until time.Time
	// came counts the calls in the present rest, after its grace.
	came int
	// leftAt is when the target first said that it leaves; zero for not yet.
	leftAt time.Time
}

func newWords(path string) *words { return &words{boxes: map[string]*saidTo{}, path: path} }

func (w *words) to(box string) *saidTo {
	x := w.boxes[box]
	if x == nil {
		x = &saidTo{}
		w.boxes[box] = x
	}
	return x
}

func (x *saidTo) inRest(now time.Time) bool {
	return now.After(x.asked.Add(restGrace)) && now.Before(x.until)
}

// ask notes that the target has asked a box for rest.
func (w *words) ask(box string, now time.Time, rest time.Duration) {
	w.lock.Lock()
	defer w.lock.Unlock()
	x := w.to(box)
	if now.After(x.until) {
		x.asked, x.came = now, 0
		w.rests++
	}
	if end := now.Add(rest); end.After(x.until) {
		x.until = end
	}
}

// leave notes that the target has told a box that it leaves.
func (w *words) leave(box string, now time.Time) {
	w.lock.Lock()
	defer w.lock.Unlock()
	if x := w.to(box); x.leftAt.IsZero() {
		x.leftAt = now
	}
}

// noteCall notes a call that has come by a box, and that its caller made at a time.
func (w *words) noteCall(box string, made, now time.Time) error {
	w.lock.Lock()
	defer w.lock.Unlock()
	x := w.to(box)
	if x.inRest(now) {
		w.calls++
		x.came++
		if x.came == mostInRest+1 {
			return w.keep(Breach{Box: box, Said: x.asked, At: now})
		}
	}
	if !x.leftAt.IsZero() && made.Sub(x.leftAt) > leaveBound {
		return w.keep(Breach{Box: box, Said: x.leftAt, At: now, Leaving: true})
	}
	return nil
}

// noteProbe notes a probe. Probes don't say which box they come from: the count is exact for a
// target with one box.
func (w *words) noteProbe(now time.Time) {
	w.lock.Lock()
	defer w.lock.Unlock()
	for _, x := range w.boxes {
		if x.inRest(now) {
			w.probes++
			return
		}
	}
}

// keepLimit keeps a window in which calls came beyond the target's limit.
func (w *words) keepLimit(b *LimitBreach) error {
	w.lock.Lock()
	defer w.lock.Unlock()
	return w.keep(Breach{Said: b.Since, At: b.At, Limit: b})
}

func (w *words) keep(b Breach) error {
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
func (w *words) addTo(s *TargetStats) {
	w.lock.Lock()
	defer w.lock.Unlock()
	s.Rests, s.Unrested, s.UnrestedProbes = w.rests, w.calls, w.probes
}

// breachesOf is where a target with a journal keeps breaches.
func breachesOf(journal string) string {
	if journal == "" {
		return ""
	}
	return journal + ".breaches"
}

// ReadBreaches returns what a target has kept, by the path of its journal.
func ReadBreaches(journal string) ([]Breach, error) {
	file, err := os.Open(breachesOf(journal))
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
