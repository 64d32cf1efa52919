package test

import (
	"time"

	"github.com/madderpond/madderpond/pkg/lab"
	"github.com/madderpond/madderpond/pkg/units"
)

const (
	// firstCutSeed is the first seed whose boxes are cut off from targets. Its targets don't crash,
	// since boxes connect to them through proxies.
	firstCutSeed = 80_000
	// firstLargeDomainSeed is the first seed with a large failure domain, of soakLargeDomain boxes in
	// soakDomain. The others are in soakOtherDomain.
	firstLargeDomainSeed = 90_000
	soakLargeDomain      = 24
	// soakCutSettleTime is how long a box may take to find out that it is cut off.
	soakCutSettleTime = 3 * time.Second
)

func (x *soak) hasCuts() bool { return x.seed >= firstCutSeed }

func (x *soak) hasLargeDomain() bool { return x.seed >= firstLargeDomainSeed && x.seed < firstSkewSeed }

// boxDomain is the failure domain of a box, in a seed with a large one.
func boxDomain(box string) units.Domain {
	if boxNumber(box) <= soakLargeDomain {
		return soakDomain
	}
	return soakOtherDomain
}

// largeDomainBoxes are the boxes of the large failure domain.
func (x *soak) largeDomainBoxes() []*lab.Node { return x.cluster.Boxes[:soakLargeDomain] }

// cutClaim is the claim on a box's links to targets; the box itself may be killed or paused meanwhile.
type cutClaim struct{ box *lab.Node }

// cutOffBoxes cuts boxes off from all targets for a while.
func (x *soak) cutOffBoxes(boxes ...*lab.Node) bool {
	mode := []lab.CutMode{lab.CutSilent, lab.CutReset, lab.CutNew}[x.draw(3)]
	things := make([]any, 0, len(boxes))
	for _, n := range boxes {
		things = append(things, cutClaim{box: n})
	}
	return x.withClaim(func() {
		defer x.cutOff(mode, boxes...)()
		x.pause(500, 2500)
	}, things...)
}

// cutOffMostBoxes cuts all boxes but one off.
func (x *soak) cutOffMostBoxes() bool {
	kept := x.draw(len(x.cluster.Boxes))
	var others []*lab.Node
	for i, n := range x.cluster.Boxes {
		if i != kept {
			others = append(others, n)
		}
	}
	return x.cutOffBoxes(others...)
}

// cutOff cuts boxes off from all targets, and returns a function that ends the cut.
func (x *soak) cutOff(mode lab.CutMode, boxes ...*lab.Node) (reconnect func()) {
	for _, n := range boxes {
		for _, p := range x.targetProxies {
			p.CutOff(lossSource(n.Settings.Box), mode)
		}
	}
	return func() {
		for _, n := range boxes {
			for _, p := range x.targetProxies {
				p.Reconnect(lossSource(n.Settings.Box))
			}
		}
	}
}

// checkCutOffBox cuts one box off once all faults have ended, with all others of its failure domain if
// that is large: it must still serve its callers.
func (x *soak) checkCutOffBox() {
	n := x.cluster.Boxes[x.draw(len(x.cluster.Boxes))]
	cut := []*lab.Node{n}
	if x.hasLargeDomain() {
		cut = x.largeDomainBoxes()
		n = cut[x.draw(len(cut))]
	}
	x.reportAll(x.cluster.Replicas[1])
	defer x.cutOff([]lab.CutMode{lab.CutSilent, lab.CutReset}[x.draw(2)], cut...)()
	caller := lab.NewCaller(n.Entry)
	caller.SetKey(soakOwnKey)
	for end := time.Now().Add(soakCutSettleTime); time.Now().Before(end); {
		caller.Do(shopCall)
		time.Sleep(soakCallPause)
	}
	before := len(caller.Calls())
	for range soakLastCalls {
		caller.Do(shopCall)
	}
	calls := caller.Calls()[before:]
	if served := countServed(calls); served < soakLastCalls*9/10 {
		x.Errorf("a box that was cut off from all targets served %d of %d first tries: %v", served, len(calls), lab.Summarize(calls, x.runs()).Reasons)
	}
}
