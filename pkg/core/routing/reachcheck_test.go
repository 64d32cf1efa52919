package routing

import (
	"testing"
	"time"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/units"
)

// Boxes that were cut off together all checked the targets that are listed first.
func TestBoxesCheckDifferentTargetsFirst(t *testing.T) {
	f := newReachFleet(reachFleetOptions{domains: 4, boxes: 24, services: 1, targets: 24, seed: 1, maxRelayed: DefaultMaxRelayed})
	first := map[units.TargetID]int{}
	for _, b := range f.boxes {
		var e Effects
		t, _ := b.router.nextToCheck(b.router.services["s0"].reach(), &e)
		first[t.row.Target]++
	}
	for id, n := range first {
		if mean := len(f.boxes) / 24; n > 4*mean {
			t.Errorf("%d of %d boxes check %s first", n, len(f.boxes), id)
		}
	}
}

// A box that another one had named, and that has left since, was asked.
func TestABoxThatHasLeftIsNotAsked(t *testing.T) {
	f := newReachFleet(reachFleetOptions{domains: 3, boxes: 2, services: 1, targets: 6, seed: 1, maxRelayed: DefaultMaxRelayed})
	b := f.boxes[0]
	x := b.router.services["s0"].reach()
	var e Effects
	b.router.helperCandidates()
	x.begin(f.now)
	b.router.cutBegan(x, &e)
	f.deliver(b, &PeerReach{From: f.boxes[1].id, Message: ReachMessage{Kind: ReachAnswer, Helpers: []units.BoxID{f.boxes[5].id}}})
	f.listed = f.listed[:2]
	f.revision++
	f.deliver(b, &TableChanged{Table: f.table()})
	before := f.messages
	f.run(probeSilence / 2)
	if f.messages > before {
		t.Errorf("%d messages were sent, though the only other box has answered", f.messages-before)
	}
}

// A cut lasted for as long as all targets but one were down, or had asked for a rest.
func TestACutEndsThoughOnlyOneTargetAnswers(t *testing.T) {
	f := newReachFleet(reachFleetOptions{domains: 3, boxes: 2, services: 1, targets: 2, seed: 1, maxRelayed: DefaultMaxRelayed})
	f.targets["s0-t0"].down = true
	b := f.boxes[0]
	x := b.router.services["s0"].reach()
	var e Effects
	x.begin(f.now)
	b.router.cutBegan(x, &e)
	f.wake(b)
	f.run(2 * time.Second)
	if x.cutOff {
		t.Error("the box is still cut off although a target answers its checks")
	}
}

// The box listed first was picked three times as often as others, the next two never.
func TestEachBoxIsPickedAlikeOften(t *testing.T) {
	const boxes, rounds = 10, 10_000
	r := newReachFleet(reachFleetOptions{domains: 1, boxes: 1, seed: 1}).boxes[0].router
	picked := map[*helper]int{}
	all := make([]*helper, boxes)
	for i := range all {
		all[i] = &helper{}
	}
	for range rounds {
		var sample helperSample
		for _, h := range all {
			sample.add(h, r)
		}
		picked[sample.pick(r)]++
	}
	for i, h := range all {
		if n := picked[h]; n < rounds/boxes*8/10 || n > rounds/boxes*12/10 {
			t.Errorf("box %d of %d was picked %d times of %d", i, boxes, n, rounds)
		}
	}
}

// A check that fell silent began another cut, whose checks began within those of the first: the list of
// cuts lost one of them.
func TestACutThatBeginsDuringAnothersCheckIsListedOnce(t *testing.T) {
	f := newReachFleet(reachFleetOptions{domains: 2, boxes: 2, services: 2, targets: 8, seed: 1, maxRelayed: DefaultMaxRelayed, regions: true})
	b := f.boxes[0]
	s := b.router.services["s1"]
	restricted := &reach{service: s, regions: &table.AllowedRegions{Names: []units.Region{"r0"}}}
	s.reaches = append(s.reaches, restricted)
	var e Effects
	s.reach().begin(f.now)
	b.router.cutBegan(s.reach(), &e)
	b.router.lastCutAt = f.now
	lost := s.targets[0]
	lost.reachCheckOpen, lost.reachCheckedAt = true, f.now.Add(-probeSilence)
	b.router.relays.checks.nextAt = f.now
	b.router.checkCuts(&e)
	if !restricted.cutOff {
		t.Fatal("the second cut didn't begin")
	}
	b.mustKnowCuts()
}
