package table

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"github.com/madderpond/madderpond/pkg/units"
)

// largeService is a state of boxes and registered targets of one service, in some domains.
func largeService(boxes, targets, domains int) *State {
	s := NewState()
	s.ApplyDocument(&Document{Version: 1, Services: []Service{{Name: "s", Work: Repeatable}}})
	s.ApplyBoxes(BoxChange{Put: numberedBoxes(0, boxes, domains)})
	for i := range targets {
		s.ApplyRegistration(numberedTarget(i, domains, 1))
	}
	return s
}

func numberedBoxes(first, last, domains int) []Box {
	var list []Box
	for i := first; i < last; i++ {
		list = append(list, Box{ID: units.BoxID(fmt.Sprintf("box-%04d", i)), Domain: units.Domain(fmt.Sprint("d", i%domains))})
	}
	return list
}

func numberedTarget(i, domains int, sequence uint64) *Registration {
	r := registration(units.TargetID(fmt.Sprintf("t%05d", i)), fmt.Sprintf("10.%d.%d.1:80", i/250, i%250), sequence)
	r.Domain = units.Domain(fmt.Sprint("d", i%domains))
	r.Software = "v1"
	return r
}

// A box that takes its parts of changes, some of several at a time, must hold just its part of the
// present table, whatever came in between: targets that move to another domain, rollouts whose
// targets every box holds, boxes by the hundred, services that become small.
func TestPartsOfChangesLeadToThePartOfTheTable(t *testing.T) {
	const domains, targets = 3, 1200
	base := largeService(200, targets, domains)
	rapid.Check(t, func(t *rapid.T) {
		s := RestoreState(base.Table(), nil, nil)
		var all []*Registration
		base.EachRegistration(func(r *Registration) { all = append(all, r) })
		s.RestoreDocument(base.Document(), all, nil)
		box := &numberedBoxes(0, 200, domains)[rapid.IntRange(0, 199).Draw(t, "box")]
		from := s.Table()
		held := from.Divider().For(box)
		sequence := uint64(2)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			sequence++
			changeLargeService(t, s, sequence, domains, targets)
			if rapid.Bool().Draw(t, "pushed") {
				held = applyPart(t, held, box, from, s.Table())
				from = s.Table()
			}
		}
		held = applyPart(t, held, box, from, s.Table())
		// A service's version comes with the next change of the box's part.
		if d := cmp.Diff(s.Table().Divider().For(box), held, cmpopts.EquateEmpty(), cmpopts.IgnoreFields(Entry{}, "Version")); d != "" {
			t.Fatal(d)
		}
	})
}

func applyPart(t *rapid.T, held *Table, box *Box, from, to *Table) *Table {
	if from == to {
		return held
	}
	next, ok := held.Patch(Difference(from, to).Divider(from, to).For(box))
	if !ok {
		t.Fatal("the part of a change doesn't follow")
	}
	return next
}

func changeLargeService(t *rapid.T, s *State, sequence uint64, domains, targets int) {
	i := rapid.IntRange(0, targets+50).Draw(t, "target")
	r := numberedTarget(i, domains, sequence)
	switch rapid.IntRange(0, 6).Draw(t, "change") {
	case 0:
		r.State = Leaving
		s.ApplyRegistration(r)
	case 1:
		r.Domain = units.Domain(fmt.Sprint("d", rapid.IntRange(0, domains).Draw(t, "domain")))
		s.ApplyRegistration(r)
	case 2:
		r.Software = "v2"
		s.ApplyRegistration(r)
	case 3:
		s.ApplyDeparture(r.Target, 0)
	case 4:
		first := rapid.IntRange(0, 300).Draw(t, "first box")
		change := BoxChange{Put: numberedBoxes(first, first+100, domains)}
		if rapid.Bool().Draw(t, "boxes go") {
			for _, b := range change.Put {
				change.Removed = append(change.Removed, b.ID)
			}
			change.Put = nil
		}
		s.ApplyBoxes(change)
	case 5:
		for k := range 300 {
			s.ApplyDeparture(numberedTarget((i+k)%targets, domains, 1).Target, 0)
		}
	case 6:
		d := s.newDelta()
		stage := rapid.SampledFrom([]RolloutStage{RolloutTrial, RolloutShifted, RolloutCompleted, RolloutRolledBack}).Draw(t, "stage")
		d.Rollouts = []Rollout{{Service: "s", From: "v1", To: "v2", Stage: stage, Since: d.Revision}}
		s.commit(d)
	}
}

// countRowsForBox returns how many rows a box of a fleet is told of in whole tables, and how many rows it is
// sent while the fleet's targets change their state one after the other.
func countRowsForBox(boxes, targets int) (held, sent int) {
	const domains = 6
	s := largeService(boxes, targets, domains)
	box := &numberedBoxes(0, 1, domains)[0]
	held = s.Table().Divider().For(box).Services["s"].Rows.Len()
	for i := range targets {
		from := s.Table()
		r := numberedTarget(i, domains, 2)
		r.State = Leaving
		s.ApplyRegistration(r)
		part := Difference(from, s.Table()).Divider(from, s.Table()).For(box)
		for _, p := range part.Patched {
			sent += len(p.Put) + len(p.Removed)
		}
	}
	return held, sent
}

// What a box holds and is sent of a fleet mustn't grow with the fleet.
func TestABoxIsToldAsMuchOfAFleetOfTwiceTheSize(t *testing.T) {
	held, sent := countRowsForBox(500, 3_000)
	heldOfTwice, sentOfTwice := countRowsForBox(1_000, 6_000)
	t.Logf("rows held %d and %d, sent %d and %d", held, heldOfTwice, sent, sentOfTwice)
	if heldOfTwice > held*3/2 || sentOfTwice > sent*3/2 {
		t.Errorf("a box holds %d and %d rows and is sent %d and %d", held, heldOfTwice, sent, sentOfTwice)
	}
	if sent != held {
		t.Errorf("a box that holds %d rows is sent %d changes", held, sent)
	}
}
