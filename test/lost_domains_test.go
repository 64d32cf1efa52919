package test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/madderpond/madderpond/pkg/lab"
)

// lossDomainBoxes is the size of the failure domains of TestLargeDomainsThatLoseTheirTargets.
var lossDomainBoxes = flag.Int("loss-domain-boxes", 0, "boxes of each of four failure domains that lose their targets; 0 leaves the test out")

// What a cut has to look like to callers, and to targets.
const (
	lossServedAtFirst   = 0.90
	lossServedLater     = 0.98
	lossServedElsewhere = 0.98
	lossMeanRelays      = 1.2
	lossOpenedPerSecond = 5
	// lossCallInterval is the mean time between two calls of a box, of all services.
	lossCallInterval = 400 * time.Millisecond
)

// Large failure domains that lose all targets, with real processes. It needs a machine for itself.
func TestLargeDomainsThatLoseTheirTargets(t *testing.T) {
	if *lossDomainBoxes == 0 {
		t.Skip("it is run by hand, with -loss-domain-boxes")
	}
	x := startLossCluster(t, lossOptions{domains: 4, boxes: *lossDomainBoxes, targets: 12})
	datadriven.RunTest(t, "testdata/lost-domains", func(t *testing.T, d *datadriven.TestData) string {
		if d.Cmd == "aim" {
			return x.aim(d)
		}
		return x.command(t, d)
	})
	x.mustAllBeClean(x.calls)
}

// Callers without a pause on a machine that is short of processors: targets fall silent for longer than a box
// takes to find itself cut off, and the work on that must not take the rest of the processors.
func TestLargeDomainsOnAnOverloadedMachine(t *testing.T) {
	if *lossDomainBoxes == 0 {
		t.Skip("it is run by hand, with -loss-domain-boxes")
	}
	x := startLossCluster(t, lossOptions{domains: 4, boxes: *lossDomainBoxes, targets: 12})
	datadriven.RunTest(t, "testdata/overloaded-domains", func(t *testing.T, d *datadriven.TestData) string { return x.command(t, d) })
	x.mustAllBeClean(x.calls)
}

// lossSample is a first try: where and when it was made, and how it fared.
type lossSample struct {
	lab.Call
	isCut bool
	// after is the time since the cut.
	after time.Duration
}

// aim makes calls at all boxes for a time, half of them on connections of their own, and reports where
// they miss the aim: aim for=D boxes=... names those that are cut off. The cut has just begun.
func (x *lossCluster) aim(d *datadriven.TestData) string {
	length := x.scanDuration(d, "for")
	cut := x.boxesOf(d)
	sentBefore, openedBefore, began := x.relaysSent(cut), x.opened(cut), time.Now()
	samples := x.callAll(cut, length)
	seconds := time.Since(began).Seconds()
	var misses []string
	check := func(name string, least float64, include func(s *lossSample) bool) {
		served, all, reasons := 0, 0, map[string]int{}
		for i := range samples {
			s := &samples[i]
			if !include(s) {
				continue
			}
			all++
			if s.Verdict == lab.Complete {
				served++
			} else {
				reasons[s.Reason+s.Detail]++
			}
		}
		x.Logf("%s %s: served %d of %d, others %v", d.Pos, name, served, all, reasons)
		if float64(served) < least*float64(all) {
			misses = append(misses, name)
		}
	}
	check("cut off, first second", lossServedAtFirst, func(s *lossSample) bool { return s.isCut && s.after < time.Second })
	check("cut off, later", lossServedLater, func(s *lossSample) bool { return s.isCut && s.after >= time.Second })
	check("elsewhere", lossServedElsewhere, func(s *lossSample) bool { return !s.isCut })
	calls := 0
	for i := range samples {
		if samples[i].isCut {
			calls++
		}
	}
	relays := float64(x.relaysSent(cut)-sentBefore) / float64(calls)
	opened := float64(x.opened(cut)-openedBefore) / float64(len(cut)) / seconds
	x.Logf("%s %.2f relays a call, %.1f connections a second a box", d.Pos, relays, opened)
	if relays > lossMeanRelays {
		misses = append(misses, "relays")
	}
	if opened > lossOpenedPerSecond {
		misses = append(misses, "connections")
	}
	if len(misses) == 0 {
		return "meets the aim\n"
	}
	return fmt.Sprintf("misses the aim: %s\n", strings.Join(misses, ", "))
}

// callAll has callers call each box for a time, and returns their calls.
func (x *lossCluster) callAll(cut []*lab.Node, length time.Duration) []lossSample {
	var wait sync.WaitGroup
	var lock sync.Mutex
	var samples []lossSample
	began := time.Now()
	for _, n := range x.cluster.Boxes {
		isCut := slices.Contains(cut, n)
		wait.Go(func() {
			caller := lab.NewCaller(n.Entry)
			for i := 0; ; i++ {
				time.Sleep(time.Duration(rand.Float64() * 2 * float64(lossCallInterval)))
				after := time.Since(began)
				if after >= length {
					break
				}
				c := caller.Do(lossCall(lossServices[i%len(lossServices)], i/2))
				lock.Lock()
				samples = append(samples, lossSample{Call: c, isCut: isCut, after: after})
				lock.Unlock()
			}
			lock.Lock()
			defer lock.Unlock()
			x.calls = append(x.calls, caller.Calls()...)
		})
	}
	wait.Wait()
	return samples
}

// relaysSent is the number of relays that boxes have sent.
func (x *lossCluster) relaysSent(boxes []*lab.Node) uint64 {
	sent := uint64(0)
	for _, n := range boxes {
		d, err := n.Dump()
		x.must(err)
		sent += d.Entry.Routing.Relays.Sent
	}
	return sent
}

// opened is the number of connections to targets that boxes have opened.
func (x *lossCluster) opened(boxes []*lab.Node) int {
	opened := 0
	for _, n := range boxes {
		for _, p := range x.paths {
			opened += p.Opened(lossSource(n.Settings.Box))
		}
	}
	return opened
}
