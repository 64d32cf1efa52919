package routing

import (
	"flag"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/scriptargs"
	"github.com/madderpond/madderpond/pkg/units"
)

// What a cut has to look like to callers, and to targets.
const (
	// servedAtFirst is the least fraction of first tries served in the first second of a cut,
	// servedLater that after it, and servedElsewhere that at boxes that aren't cut off.
	servedAtFirst   = 0.90
	servedLater     = 0.98
	servedElsewhere = 0.98
	// meanRelays is the largest mean number of relays of a call after the first second.
	meanRelays = 1.2
	// refusedWithin is the longest time until a call is refused that no box can serve.
	refusedWithin = 100 * time.Millisecond
	// openedPerSecond is the number of connections to targets that a box which is cut off may open.
	openedPerSecond = 5
	// firstSecond is how long a cut takes to be dealt with.
	firstSecond = time.Second
	// maxMessages is the number of messages about targets that a box may send a second, without one
	// that reaches targets.
	maxMessages = 60
)

var reachSeeds = flag.Int("reach-seeds", 1, "number of seeds with which each script of a fleet is run")

// Boxes in large failure domains that had lost their links to all targets only asked each other.
func TestBoxesCutOffFromTargetsFindThoseThatReachThem(t *testing.T) {
	datadriven.Walk(t, "testdata/reach", func(t *testing.T, path string) {
		t.Parallel()
		for seed := range uint64(*reachSeeds) {
			s := &reachScript{t: t, seed: 1 + seed}
			datadriven.RunTest(t, path, s.command)
		}
	})
}

// reachScript runs the commands of a file on a fleet.
type reachScript struct {
	t     *testing.T
	seed  uint64
	fleet *reachFleet
	// cutAt is when the last cut began.
	cutAt units.Instant
}

func (s *reachScript) command(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "fleet":
		s.newFleet(d)
	case "pass":
		s.fleet.run(s.duration(d, "for"))
	case "cut":
		s.cut(d)
	case "heal":
		s.cutBoxes(d, func(b *reachBox) { b.cut = "" })
	case "restart":
		s.cutBoxes(d, func(b *reachBox) { s.restart(b, s.duration(d, "down")) })
	case "kill":
		s.cutBoxes(d, s.fleet.stop)
	case "hog":
		s.fleet.machine.spend(s.fleet.now, s.duration(d, "for")*time.Duration(s.fleet.machine.processors))
	case "publish":
		s.fleet.publish()
	case "leave":
		s.leave(d)
	case "aim":
		return s.aim(d)
	case "calm":
		return s.calm(d)
	default:
		d.Fatalf(t, "there is no command %s", d.Cmd)
	}
	return ""
}

func (s *reachScript) duration(d *datadriven.TestData, key string) time.Duration {
	return scriptargs.Duration(s.t, d, key)
}

// newFleet starts a fleet: fleet domains=N boxes=N services=N targets=N interval=D [regions] [limit=N]
// [processors=N]. Every box gets a call of each service at the interval; boxes and targets are those of a
// domain and of a service. With processors, everything waits for as many of them, which "hog for=D" takes
// for a time.
func (s *reachScript) newFleet(d *datadriven.TestData) {
	o := reachFleetOptions{seed: s.seed, regions: d.HasArg("regions"), maxRelayed: DefaultMaxRelayed}
	d.ScanArgs(s.t, "domains", &o.domains)
	d.ScanArgs(s.t, "boxes", &o.boxes)
	d.ScanArgs(s.t, "services", &o.services)
	d.ScanArgs(s.t, "targets", &o.targets)
	d.MaybeScanArgs(s.t, "limit", &o.maxRelayed)
	d.MaybeScanArgs(s.t, "processors", &o.processors)
	s.fleet = newReachFleet(o)
	s.fleet.callAllSteadily(s.duration(d, "interval"))
}

// cut cuts boxes off: cut how=silent|reset|live [services=...] and the boxes.
func (s *reachScript) cut(d *datadriven.TestData) {
	var how string
	d.ScanArgs(s.t, "how", &how)
	var services []units.ServiceName
	if named, ok := d.Arg("services"); ok {
		for _, name := range named.Vals {
			services = append(services, units.ServiceName(name))
		}
	}
	s.cutAt = s.fleet.now
	s.cutBoxes(d, func(b *reachBox) { s.fleet.cutOff(b, how, services) })
}

// cutBoxes applies do to the boxes that a command names: domains=..., of each domain all but the first
// spare=N, or share=F of each domain.
func (s *reachScript) cutBoxes(d *datadriven.TestData, do func(b *reachBox)) {
	spare, share := 0, 1.0
	d.MaybeScanArgs(s.t, "spare", &spare)
	if text := "1"; d.HasArg("share") {
		d.ScanArgs(s.t, "share", &text)
		share, _ = strconv.ParseFloat(text, 64)
	}
	domains, _ := d.Arg("domains")
	chosen := 0
	n := map[units.Domain]int{}
	for _, b := range s.fleet.boxes {
		if len(domains.Vals) > 0 && !slices.Contains(domains.Vals, string(b.domain)) {
			continue
		}
		n[b.domain]++
		size := s.fleet.domainSize(b.domain)
		if n[b.domain] > spare && float64(n[b.domain]-spare) <= share*float64(size) {
			chosen++
			do(b)
		}
	}
	if chosen == 0 {
		d.Fatalf(s.t, "no box is in one of the failure domains %v", domains.Vals)
	}
}

func (f *reachFleet) domainSize(domain units.Domain) int {
	n := 0
	for _, b := range f.boxes {
		if b.domain == domain {
			n++
		}
	}
	return n
}

func (s *reachScript) restart(b *reachBox, down time.Duration) {
	s.fleet.stop(b)
	s.fleet.after(down, func() { s.fleet.start(b) })
}

// leave marks boxes as leaving in the list of boxes, or lists them as before: leave [back] and the boxes.
func (s *reachScript) leave(d *datadriven.TestData) {
	s.cutBoxes(d, func(b *reachBox) {
		for i := range s.fleet.listed {
			if s.fleet.listed[i].ID == b.id {
				s.fleet.listed[i].Leaving = !d.HasArg("back")
			}
		}
	})
	s.fleet.publish()
}

// aim passes time and reports where the calls of a cut miss the aim: aim for=D [nobody] [some=F]. With
// nobody no box reaches the targets, with some the given fraction of calls has to be served.
func (s *reachScript) aim(d *datadriven.TestData) string {
	f := s.fleet
	begin := f.now
	f.run(s.duration(d, "for"))
	end := f.now
	f.run(reachDeadline)
	w := reachWindow{fleet: f, begin: begin, end: end, later: max(begin, s.cutAt.Add(firstSecond))}
	var misses []string
	switch some := "0"; {
	case d.HasArg("nobody"):
		misses = w.missesOfNobody()
	case d.HasArg("some"):
		d.ScanArgs(s.t, "some", &some)
		least, _ := strconv.ParseFloat(some, 64)
		misses = w.missesOfSome(least)
	default:
		misses = w.misses()
	}
	misses = append(misses, w.brokenPromises()...)
	if len(misses) == 0 {
		return "meets the aim\n"
	}
	return strings.Join(misses, "\n") + "\n"
}

// calm passes time and reports messages and relays, of which there must be none, or how many messages a
// box sends if that isn't within a number: calm for=D [within=N].
func (s *reachScript) calm(d *datadriven.TestData) string {
	f := s.fleet
	begin, messages := f.now, f.messages
	f.run(s.duration(d, "for"))
	if d.HasArg("within") {
		return s.few(d, f.messages-messages)
	}
	w := reachWindow{fleet: f, begin: begin, end: f.now, later: begin}
	relays := 0
	for _, c := range f.calls {
		if w.contains(c) {
			relays += c.relays
		}
	}
	return fmt.Sprintf("%d messages, %d relays\n", f.messages-messages, relays)
}

// few reports whether the mean number of messages of a box is within the bound.
func (s *reachScript) few(d *datadriven.TestData, messages int) string {
	within := 0
	d.ScanArgs(s.t, "within", &within)
	if mean := float64(messages) / float64(len(s.fleet.boxes)); mean > float64(within) {
		return fmt.Sprintf("%.1f messages a box, at most %d are wanted\n", mean, within)
	}
	return "few messages\n"
}

// reachWindow evaluates the calls that arrived in a period. Those before later are of a cut's first
// second.
type reachWindow struct {
	fleet             *reachFleet
	begin, end, later units.Instant
}

func (w *reachWindow) contains(c *reachCall) bool { return c.arrived >= w.begin && c.arrived < w.end }

// fraction returns the fraction served of the calls for which include is true, and a text with both
// numbers.
func (w *reachWindow) fraction(include func(c *reachCall) bool) (float64, string) {
	served, all := 0, 0
	reasons := map[string]int{}
	for _, c := range w.fleet.calls {
		if w.contains(c) && include(c) {
			all++
			if c.served {
				served++
			} else {
				reasons[c.refusal.Reason.String()]++
			}
		}
	}
	if all == 0 {
		return 1, "none"
	}
	return float64(served) / float64(all), fmt.Sprintf("%d of %d, refused %v", served, all, reasons)
}

func (w *reachWindow) misses() []string {
	var misses []string
	check := func(name string, least float64, include func(c *reachCall) bool) {
		if served, text := w.fraction(include); served < least {
			misses = append(misses, fmt.Sprintf("%s: served %s, at least %.2f is wanted", name, text, least))
		}
	}
	check("cut off, first second", servedAtFirst, func(c *reachCall) bool { return c.wasCut && c.arrived < w.later })
	check("cut off, later", servedLater, func(c *reachCall) bool { return c.wasCut && c.arrived >= w.later })
	check("elsewhere", servedElsewhere, func(c *reachCall) bool { return !c.wasCut })
	if mean := w.meanRelays(); mean > meanRelays {
		misses = append(misses, fmt.Sprintf("%.2f relays a call, at most %.2f are wanted", mean, meanRelays))
	}
	return append(misses, w.openingMisses()...)
}

// missesOfNobody checks that calls are refused at once, and that boxes send few messages meanwhile.
func (w *reachWindow) missesOfNobody() []string {
	var misses []string
	slowest := time.Duration(0)
	for _, c := range w.fleet.calls {
		if w.contains(c) && c.wasCut && c.arrived >= w.later {
			slowest = max(slowest, c.ended.Sub(c.arrived))
		}
	}
	if slowest > refusedWithin {
		misses = append(misses, fmt.Sprintf("refused after %s, at most %s is wanted", slowest.Round(time.Millisecond), refusedWithin))
	}
	misses = append(misses, w.messageMisses()...)
	return append(misses, w.openingMisses()...)
}

// missesOfSome checks that a fraction of the calls at boxes that are cut off is served.
func (w *reachWindow) missesOfSome(least float64) []string {
	var misses []string
	if served, text := w.fraction(func(c *reachCall) bool { return c.wasCut && c.arrived >= w.later }); served < least {
		misses = append(misses, fmt.Sprintf("cut off, later: served %s, at least %.2f is wanted", text, least))
	}
	return append(misses, w.openingMisses()...)
}

// brokenPromises returns the boxes that took more calls of others than they may, the calls that ran
// although their callers were told otherwise, and those that ran twice although they can't be repeated.
func (w *reachWindow) brokenPromises() []string {
	var broken []string
	for _, b := range w.fleet.boxes {
		if b.mostRelayed > w.fleet.maxRelayed {
			broken = append(broken, fmt.Sprintf("%s had %d calls of other boxes at a time, %d at most are allowed", b.id, b.mostRelayed, w.fleet.maxRelayed))
		}
	}
	for _, c := range w.fleet.calls {
		if c.ended != 0 && !c.served && c.refusal.Outcome == NotRun && c.runs > 0 {
			broken = append(broken, fmt.Sprintf("a call at %s was refused as %s and not run, but ran", c.box.id, c.refusal.Reason))
		}
		if w.fleet.isAtMostOnce(c.service) && c.runs > 1 {
			broken = append(broken, fmt.Sprintf("a call at %s ran %d times", c.box.id, c.runs))
		}
	}
	return broken
}

func (f *reachFleet) isAtMostOnce(name units.ServiceName) bool {
	return slices.ContainsFunc(f.services, func(x *table.Entry) bool { return x.Service.Name == name && x.Service.Work == table.AtMostOnce })
}

func (w *reachWindow) meanRelays() float64 {
	relays, calls := 0, 0
	for _, c := range w.fleet.calls {
		if w.contains(c) && c.wasCut && c.arrived >= w.later {
			calls++
			relays += c.relays
		}
	}
	return float64(relays) / float64(max(1, calls))
}

// openingMisses checks the connections to targets that boxes open while they are cut off from all of
// them.
func (w *reachWindow) openingMisses() []string {
	opened, boxes := 0, 0
	for _, b := range w.fleet.boxes {
		if b.cut == "" || b.services != nil {
			continue
		}
		boxes++
		opened += b.openedBetween(w.later, w.end)
	}
	rate := float64(opened) / float64(max(1, boxes)) / w.end.Sub(w.later).Seconds()
	if rate > openedPerSecond {
		return []string{fmt.Sprintf("a box opens %.1f connections a second, at most %d are wanted", rate, openedPerSecond)}
	}
	return nil
}

func (w *reachWindow) messageMisses() []string {
	n := 0
	for _, at := range w.fleet.sentAt {
		if at >= w.later && at < w.end {
			n++
		}
	}
	rate := float64(n) / float64(len(w.fleet.boxes)) / w.end.Sub(w.later).Seconds()
	if rate > maxMessages {
		return []string{fmt.Sprintf("a box sends %.0f messages a second, at most %d are wanted", rate, maxMessages)}
	}
	return nil
}

// A box opens most connections to targets in the first second in which it is cut off: calls that it hasn't
// relayed yet probe targets, and its first checks follow each other quickly.
func TestABoxOpensFewConnectionsInAnySecondOfACut(t *testing.T) {
	f := newReachFleet(reachFleetOptions{domains: 4, boxes: 24, services: 3, targets: 32, seed: 1, maxRelayed: DefaultMaxRelayed})
	f.callAllSteadily(1200 * time.Millisecond)
	f.run(3 * time.Second)
	began := f.now
	for _, b := range f.boxes {
		if b.domain == reachDomain(0) {
			f.cutOff(b, "silent", nil)
		}
	}
	f.run(8 * time.Second)
	for _, b := range f.boxes {
		if opened := b.mostOpened(began, time.Second); b.cut != "" && opened > openedPerSecond {
			t.Errorf("%s opened %d connections to targets in a second, at most %d are wanted", b.id, opened, openedPerSecond)
		}
	}
}

// mostOpened is the most connections to targets that the box opened in any period of a length, from a time on.
func (b *reachBox) mostOpened(from units.Instant, length time.Duration) int {
	most := 0
	for _, first := range b.opened {
		if first >= from {
			most = max(most, b.openedBetween(first, first.Add(length)))
		}
	}
	return most
}

// openedBetween is the number of connections to targets that the box opened from a time on and before
// another one.
func (b *reachBox) openedBetween(from, to units.Instant) int {
	n := 0
	for _, at := range b.opened {
		if at >= from && at < to {
			n++
		}
	}
	return n
}
