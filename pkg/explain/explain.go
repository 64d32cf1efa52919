// Package explain puts together the story of one call out of the logs of many processes:
// what was decided about it, in order, and what the process believed then.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/madderpond/madderpond/pkg/fault"
)

// Line is one line of a log, as far as it matters here.
type Line struct {
	Time   time.Time `json:"time"`
	Box    string    `json:"box"`
	Kind   string    `json:"kind"`
	Call   string    `json:"call,omitempty"`
	Target string    `json:"target,omitempty"`
	// AfterMillis is when a step of a call happened, counted from the call's arrival; the
	// line itself is written when the call has ended.
	AfterMillis float64 `json:"afterMs"`
	// Text is everything that the line says beside those.
	Text string `json:"text"`
}

// Timeline is what the logs say of one call.
type Timeline struct {
	Call string `json:"call"`
	// Steps are the decisions on the call, box by box, in order.
	Steps []Line `json:"steps"`
	// StateLines are the last lines before the call, of the boxes that had it, on the table,
	// the control replica and the targets that the call met.
	StateLines []Line `json:"beliefs"`
	// Unreadable counts the lines that aren't of a log or were cut.
	Unreadable int `json:"unreadable"`
}

// stateKinds are the kinds of line that say what a process believes; true for those that
// are about one target.
var stateKinds = map[string]bool{
	"table-in-force": false, "control-attach": false, "control-lost": false,
	"target-ejected": true, "target-back": true,
	"exposure-began": false, "exposure-ended": false, "exposure-stopped": false,
}

// maxLineBytes bounds a line of a log.
const maxLineBytes = 1 << 20

// omittedFromText are the fields that stand in a place of their own.
var omittedFromText = map[string]bool{"time": true, "box": true, "kind": true, "call": true, "afterMs": true, "level": true, "msg": true}

// Read puts together a call's story. Foreign and cut lines are counted and passed over.
// The error is a NotFound fault when no log knows the call.
func Read(call string, logs ...io.Reader) (*Timeline, error) {
	s := &Timeline{Call: call}
	var beliefs []Line
	for _, log := range logs {
		lines := bufio.NewScanner(log)
		lines.Buffer(nil, maxLineBytes)
		for lines.Scan() {
			line, ok := parse(lines.Bytes())
			switch {
			case !ok:
				s.Unreadable++
			case line.Call == call:
				s.Steps = append(s.Steps, line)
			case line.Call == "" && isStateKind(line.Kind):
				beliefs = append(beliefs, line)
			}
		}
		if err := lines.Err(); err != nil {
			return nil, fault.Wrap(err, fault.Invalid, "name files that hold logs", "a log can't be read")
		}
	}
	if len(s.Steps) == 0 {
		return nil, fault.New(fault.NotFound, "look at the logs of all entry boxes; of calls that went as most do only a sample is logged", "no log tells of the call %s", call)
	}
	slices.SortStableFunc(s.Steps, func(a, b Line) int { return a.sortTime().Compare(b.sortTime()) })
	s.StateLines = s.lastStateLines(beliefs)
	return s, nil
}

func isStateKind(kind string) bool {
	_, ok := stateKinds[kind]
	return ok
}

// parse reads a line; what stands before its first brace, such as another program's time,
// is passed over.
func parse(raw []byte) (Line, bool) {
	start := bytes.IndexByte(raw, '{')
	if start < 0 {
		return Line{}, false
	}
	var line Line
	fields := map[string]any{}
	if json.Unmarshal(raw[start:], &line) != nil || json.Unmarshal(raw[start:], &fields) != nil || line.Kind == "" {
		return Line{}, false
	}
	line.Text = otherFieldsText(fields)
	return line, true
}

func otherFieldsText(fields map[string]any) string {
	var words []string
	for name, value := range fields {
		if !omittedFromText[name] {
			words = append(words, fmt.Sprintf("%s=%v", name, value))
		}
	}
	slices.Sort(words)
	return strings.Join(words, " ")
}

// sortTime is when the step took place: all steps of a call are written at its end, so
// their order is that of the time since the arrival.
func (l *Line) sortTime() time.Time {
	return time.Time{}.Add(time.Duration(l.AfterMillis * float64(time.Millisecond)))
}

// lastStateLines returns, for each box of the story, the last line of each kind, and of each
// target that the call met, from before the call ended.
func (s *Timeline) lastStateLines(all []Line) []Line {
	endTimes := map[string]time.Time{}
	targets := map[string]bool{}
	for _, step := range s.Steps {
		endTimes[step.Box] = step.Time
		targets[step.Target] = true
	}
	last := map[string]Line{}
	for _, b := range all {
		end, inTimeline := endTimes[b.Box]
		aboutTarget := stateKinds[b.Kind]
		if !inTimeline || b.Time.After(end) || aboutTarget && !targets[b.Target] {
			continue
		}
		key := b.Box + " " + b.Kind
		if aboutTarget {
			key = b.Box + " health " + b.Target
		}
		if known, ok := last[key]; !ok || b.Time.After(known.Time) {
			last[key] = b
		}
	}
	var beliefs []Line
	for _, b := range last {
		beliefs = append(beliefs, b)
	}
	slices.SortFunc(beliefs, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return beliefs
}

// Write tells the story to people.
func (s *Timeline) Write(w io.Writer) {
	fmt.Fprintf(w, "call %s\n\nwhat the box believed:\n", s.Call)
	for _, b := range s.StateLines {
		fmt.Fprintf(w, "  %s  %s  %s  %s\n", b.Time.Format("15:04:05.000"), b.Box, b.Kind, b.Text)
	}
	fmt.Fprintf(w, "\nwhat was decided, in ms from the call's arrival:\n")
	for _, step := range s.Steps {
		fmt.Fprintf(w, "  %9.2f  %s  %s  %s\n", step.AfterMillis, step.Box, step.Kind, step.Text)
	}
	if s.Unreadable > 0 {
		fmt.Fprintf(w, "\n%d lines could not be read\n", s.Unreadable)
	}
}
