// Package explain reconstructs the timeline of one call from the logs of several processes:
// the decisions on the call, in order, and the state that its boxes had logged before.
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

// Line is one line of a log, with the fields that a timeline uses.
type Line struct {
	Time   time.Time `json:"time"`
	Box    string    `json:"box"`
	Kind   string    `json:"kind"`
	Call   string    `json:"call,omitempty"`
	Target string    `json:"target,omitempty"`
	// Service is that of the call, or of a line about targets.
	Service string `json:"service,omitempty"`
	// AfterMillis is the time of a step in milliseconds since the call arrived. Time is that
	// of the log line, which is written when the call has ended.
	AfterMillis float64 `json:"afterMs"`
	// Text holds the line's remaining fields, and its target, as name=value.
	Text string `json:"text"`
}

// Timeline holds what the logs contain about one call.
type Timeline struct {
	Call string `json:"call"`
	// Steps are the decisions on the call, ordered by the time since its arrival.
	Steps []Line `json:"steps"`
	// StateLines are the last lines that the call's boxes logged before its end about the
	// table, the control replica, exposures and the targets that the call used.
	StateLines []Line `json:"beliefs"`
	// Unreadable counts the lines that are truncated or not log lines.
	Unreadable int `json:"unreadable"`
}

// subject is what a line about a process's view of the system is about.
type subject int

// The subjects.
const (
	aboutProcess subject = iota
	// aboutTarget is the health of one target.
	aboutTarget
	// aboutReach is whether a box can reach the targets of one service.
	aboutReach
	// aboutHelpers is which other boxes reach the targets of a service that a box is cut off from.
	aboutHelpers
)

// stateKinds are the kinds of line that record a process's view of the system.
var stateKinds = map[string]subject{
	"table-in-force": aboutProcess, "control-attach": aboutProcess, "control-lost": aboutProcess,
	"target-ejected": aboutTarget, "target-back": aboutTarget,
	"targets-lost": aboutReach, "targets-regained": aboutReach, "helper-found": aboutHelpers, "no-helper": aboutHelpers,
	"exposure-began": aboutProcess, "exposure-ended": aboutProcess, "exposure-stopped": aboutProcess,
}

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// omittedFromText are the fields that Line.Text leaves out: those printed elsewhere, and level
// and msg.
var omittedFromText = map[string]bool{"time": true, "box": true, "kind": true, "call": true, "afterMs": true, "level": true, "msg": true}

// Read reconstructs a call's timeline. Truncated lines and lines of other programs are counted
// and skipped. The error is a NotFound fault if no log mentions the call, and an Invalid fault
// if a log can't be read.
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

// parse reads a line, skipping what precedes the first brace, such as a timestamp that
// another program added.
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

// sortTime returns the step's time since the call's arrival, as an offset from the zero time.
// All steps of a call are logged at its end, so the time of the log line doesn't order them.
func (l *Line) sortTime() time.Time {
	return time.Time{}.Add(time.Duration(l.AfterMillis * float64(time.Millisecond)))
}

// lastStateLines returns, for each box of the timeline, the last line of each kind, and the
// last one about each target and service that the call used, logged up to the end of the call.
func (t *Timeline) lastStateLines(all []Line) []Line {
	endTimes := map[string]time.Time{}
	targets, services := map[string]bool{}, map[string]bool{}
	for _, step := range t.Steps {
		endTimes[step.Box] = step.Time
		targets[step.Target] = true
		services[step.Service] = true
	}
	last := map[string]Line{}
	for _, b := range all {
		end, inTimeline := endTimes[b.Box]
		if !inTimeline || b.Time.After(end) {
			continue
		}
		key := b.Box + " " + b.Kind
		switch stateKinds[b.Kind] {
		case aboutTarget:
			if !targets[b.Target] {
				continue
			}
			key = b.Box + " health " + b.Target
		case aboutReach:
			if !services[b.Service] {
				continue
			}
			key = b.Box + " reach " + b.Service
		case aboutHelpers:
			if !services[b.Service] {
				continue
			}
			key = b.Box + " helpers " + b.Service
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

// Write prints the timeline as text.
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
