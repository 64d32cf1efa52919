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
	t := &Timeline{Call: call}
	var stateLines []Line
	for _, log := range logs {
		lines := bufio.NewScanner(log)
		lines.Buffer(nil, maxLineBytes)
		for lines.Scan() {
			line, ok := parse(lines.Bytes())
			switch {
			case !ok:
				t.Unreadable++
			case line.Call == call:
				t.Steps = append(t.Steps, line)
			case line.Call == "" && isStateKind(line.Kind):
				stateLines = append(stateLines, line)
			}
		}
		if err := lines.Err(); err != nil {
			return nil, fault.Wrap(err, fault.Invalid, "name files that hold logs", "a log can't be read")
		}
	}
	if len(t.Steps) == 0 {
		return nil, fault.New(fault.NotFound, "look at the logs of all entry boxes; of calls that went as most do only a sample is logged", "no log tells of the call %s", call)
	}
	slices.SortStableFunc(t.Steps, func(a, b Line) int { return a.sortTime().Compare(b.sortTime()) })
	t.StateLines = t.lastStateLines(stateLines)
	return t, nil
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
	var pairs []string
	for name, value := range fields {
		if !omittedFromText[name] {
			pairs = append(pairs, fmt.Sprintf("%s=%v", name, value))
		}
	}
	slices.Sort(pairs)
	return strings.Join(pairs, " ")
}

// sortTime is when the step took place: all steps of a call are written at its end, so
// their order is that of the time since the arrival.
func (l *Line) sortTime() time.Time {
	return time.Time{}.Add(time.Duration(l.AfterMillis * float64(time.Millisecond)))
}

// lastStateLines returns, for each box of the story, the last line of each kind, and of each
// target that the call met, from before the call ended.
func (t *Timeline) lastStateLines(all []Line) []Line {
	endTimes := map[string]time.Time{}
	targets := map[string]bool{}
	for _, step := range t.Steps {
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
	var lines []Line
	for _, b := range last {
		lines = append(lines, b)
	}
	slices.SortFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return lines
}

// Write tells the story to people.
func (t *Timeline) Write(w io.Writer) {
	fmt.Fprintf(w, "call %s\n\nwhat the box believed:\n", t.Call)
	for _, b := range t.StateLines {
		fmt.Fprintf(w, "  %s  %s  %s  %s\n", b.Time.Format("15:04:05.000"), b.Box, b.Kind, b.Text)
	}
	fmt.Fprintf(w, "\nwhat was decided, in ms from the call's arrival:\n")
	for _, step := range t.Steps {
		fmt.Fprintf(w, "  %9.2f  %s  %s  %s\n", step.AfterMillis, step.Box, step.Kind, step.Text)
	}
	if t.Unreadable > 0 {
		fmt.Fprintf(w, "\n%d lines could not be read\n", t.Unreadable)
	}
}
