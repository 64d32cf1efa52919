package routing

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/madderpond/madderpond/pkg/scriptargs"
	"github.com/madderpond/madderpond/pkg/units"
)

// What callers and targets must see while most new connections go to one box.
const (
	// skewServed and skewInAim are the least fractions of first tries served, and answered within their
	// objective, relative to those before.
	skewServed = 0.97
	skewInAim  = 0.95
	// skewTotalWindow is the time over which totals over all boxes are checked.
	skewTotalWindow = 10 * time.Second
)

var (
	skewSeed  = flag.Uint64("skew-seed", 1, "first seed with which each script of a fleet with skewed traffic is run")
	skewPlays = flag.Uint64("skew-plays", 2, "number of seeds whose calls are added up for each script of a fleet with skewed traffic")
)

// A box that got most new connections refused calls although targets had room for them.
func TestABoxThatGetsMostConnectionsServesItsCalls(t *testing.T) {
	datadriven.Walk(t, "testdata/skew", func(t *testing.T, path string) {
		t.Parallel()
		s := &skewScript{t: t}
		datadriven.RunTest(t, path, s.command)
	})
}

// skewScript runs the commands of a file on several fleets.
type skewScript struct {
	t      *testing.T
	fleets []*skewFleet
	// before is the reference that aims are compared with.
	before skewResult
}

func (s *skewScript) command(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "fleet":
		s.newFleets(d)
	case "pass":
		s.each(func(f *skewFleet) { f.run(s.duration(d, "for")) })
	case "before":
		_, s.before = s.play(d)
		t.Logf("%s before: %s", d.Pos, &s.before)
	case "hot":
		s.skew(d)
	case "spread":
		s.each(func(f *skewFleet) { f.hot = nil })
	case "load":
		s.each(func(f *skewFleet) { f.perSecond = s.number(d, "calls", 0) })
	case "box":
		s.changeBoxes(d)
	case "targets":
		s.changeTargets(d)
	case "publish":
		s.each((*skewFleet).publish)
	case "aim":
		return s.aim(d)
	case "calm":
		return s.calm(d)
	case "totals":
		return s.totals()
	default:
		d.Fatalf(t, "there is no command %s", d.Cmd)
	}
	return ""
}

func (s *skewScript) each(do func(f *skewFleet)) {
	for _, f := range s.fleets {
		do(f)
	}
}

func (s *skewScript) duration(d *datadriven.TestData, key string) time.Duration {
	return scriptargs.Duration(s.t, d, key)
}

// number returns the value of an argument, or a default.
func (s *skewScript) number(d *datadriven.TestData, key string, value float64) float64 {
	if !d.HasArg(key) {
		return value
	}
	var text string
	d.ScanArgs(s.t, key, &text)
	x, err := strconv.ParseFloat(text, 64)
	if err != nil {
		panic(err)
	}
	return x
}

// newFleets starts the fleets: fleet boxes=N,N,... calls=N targets=N,N,N [slow=F] [rate=N] [in-flight=N]
// [cold=N] [quota=N] [clients=N] [mbps=F] [cores=F]. boxes are those of each
// failure domain, targets those of each service, calls those of all callers a second, slow the share of
// the time for which a target is slow, rate and in-flight what the table allows each target, cold the calls a
// second that a cold one takes, quota the rate of the workspace that all calls belong to, mbps the rate of each
// box's link each way, cores its part of a core.
func (s *skewScript) newFleets(d *datadriven.TestData) {
	boxes, _ := d.Arg("boxes")
	targets, _ := d.Arg("targets")
	o := skewOptions{
		perSecond: s.number(d, "calls", 0), slowShare: s.number(d, "slow", 0.25), clients: int(s.number(d, "clients", 300)),
		mbps: s.number(d, "mbps", 0), cores: s.number(d, "cores", 0),
		rate: s.number(d, "rate", 0), coldRate: s.number(d, "cold", 0),
		inFlight: int(s.number(d, "in-flight", 0)), quota: s.number(d, "quota", 0),
	}
	for _, x := range boxes.Vals {
		n, _ := strconv.Atoi(x)
		o.domains = append(o.domains, n)
	}
	for i, x := range targets.Vals {
		o.targets[i], _ = strconv.Atoi(x)
	}
	for i := range *skewPlays {
		o.seed = *skewSeed + i
		f := newSkewFleet(o)
		f.callSteadily()
		s.fleets = append(s.fleets, f)
	}
}

// skew sends most new connections to one box: hot boxes=ID,... [domain=D] [every=D]. With several boxes it
// is another one after each interval; with a domain only its callers are concerned.
func (s *skewScript) skew(d *datadriven.TestData) {
	boxes, _ := d.Arg("boxes")
	s.each(func(f *skewFleet) {
		f.hot, f.hotAt, f.hotDomain, f.hotEvery = nil, f.now, "", s.duration(d, "every")
		for _, id := range boxes.Vals {
			b := f.byID[units.BoxID(id)]
			if b == nil {
				d.Fatalf(s.t, "there is no box %s", id)
			}
			f.hot = append(f.hot, b)
		}
		if d.HasArg("domain") {
			var name string
			d.ScanArgs(s.t, "domain", &name)
			f.hotDomain = units.Domain(name)
		}
	})
}

// changeBoxes changes what a box does: box ids=ID,... kill | start | freeze=D | mute | cut | heal. A muted box
// loses its messages to and from others, a cut one its links to targets.
func (s *skewScript) changeBoxes(d *datadriven.TestData) {
	ids, _ := d.Arg("ids")
	s.each(func(f *skewFleet) {
		for _, b := range f.boxes {
			if !slices.Contains(ids.Vals, string(b.id)) {
				continue
			}
			switch {
			case d.HasArg("kill"):
				f.stop(b)
			case d.HasArg("start"):
				f.start(b)
			case d.HasArg("freeze"):
				b.frozenUntil = f.now.Add(s.duration(d, "freeze"))
			case d.HasArg("mute"):
				b.silentPeers = true
			case d.HasArg("cut"):
				b.cut = true
			case d.HasArg("heal"):
				b.silentPeers, b.cut = false, false
			}
		}
	})
}

// changeTargets changes a share of each service's targets: targets share=F down | silent | slow | rest=D |
// limit=RATE | cold=D | well.
func (s *skewScript) changeTargets(d *datadriven.TestData) {
	share := s.number(d, "share", 1)
	s.each(func(f *skewFleet) {
		for _, entry := range f.services {
			list := f.targetsOf(entry.Service.Name)
			for _, t := range list[:int(share*float64(len(list)))] {
				t.progress(f)
				t.down, t.silent, t.hampered = d.HasArg("down"), d.HasArg("silent"), d.HasArg("slow")
				t.coldSince, t.coldUntil = f.now, f.now.Add(s.duration(d, "cold"))
				t.rest, t.rate = s.duration(d, "rest"), units.CallRate(s.number(d, "limit", 0))
				t.schedule(f)
			}
		}
	})
}

func (f *skewFleet) targetsOf(service units.ServiceName) []*skewTarget {
	var list []*skewTarget
	for _, t := range f.ordered {
		if t.service == service {
			list = append(list, t)
		}
	}
	return list
}

// skewResult counts first tries.
type skewResult struct {
	calls, served, inAim, ranTwice int
	reasons                        map[string]int
}

func (x *skewResult) String() string {
	return fmt.Sprintf("%d calls, %.3f served, %.3f in aim, others %v", x.calls, x.servedRatio(), x.inAimRatio(), x.reasons)
}

func (x *skewResult) servedRatio() float64 { return float64(x.served) / float64(max(1, x.calls)) }
func (x *skewResult) inAimRatio() float64  { return float64(x.inAim) / float64(max(1, x.calls)) }

// settleTime is the time after which all calls of a period have ended.
const settleTime = 3200 * time.Millisecond

// skewContact is the time from a skew's beginning in which boxes find out; it is judged by itself.
const skewContact = 3 * time.Second

// play passes time and returns what became of the calls made in it: those made within skewContact of the
// last skew, and the others. The load goes on while they end.
func (s *skewScript) play(d *datadriven.TestData) (first, later skewResult) {
	first.reasons, later.reasons = map[string]int{}, map[string]int{}
	s.each(func(f *skewFleet) {
		start := len(f.calls)
		f.run(s.duration(d, "for"))
		calls := f.calls[start:]
		f.run(settleTime)
		for _, c := range calls {
			if len(f.hot) > 0 && c.arrived < f.hotAt.Add(skewContact) {
				first.add(c)
			} else {
				later.add(c)
			}
		}
	})
	return first, later
}

func (x *skewResult) add(c *skewCall) {
	if c.box != nil && (c.isLost() || c.box.frozenUntil > c.arrived) {
		return
	}
	x.calls++
	switch {
	case c.served:
		x.served++
	case c.ended == 0:
		x.reasons["unfinished"]++
	case c.refusedConnection:
		x.reasons["connection refused"]++
	case c.givenUp:
		x.reasons["given up by its caller"]++
	default:
		x.reasons[c.refusal.Reason.String()]++
	}
	if c.inAim() {
		x.inAim++
	}
	if c.runs > 1 && c.class.service == "redemption" {
		x.ranTwice++
	}
}

// aim passes time and reports where callers fare worse than before: aim for=D [in-aim=F]. in-aim is the least
// fraction of calls answered within their objective, relative to before.
func (s *skewScript) aim(d *datadriven.TestData) string {
	first, later := s.play(d)
	misses := append(s.misses(d, "in the first 3 s", &first), s.misses(d, "later", &later)...)
	if len(misses) == 0 {
		return "meets the aim\n"
	}
	return "misses the aim: " + strings.Join(misses, ", ") + "\n"
}

func (s *skewScript) misses(d *datadriven.TestData, name string, x *skewResult) []string {
	if x.calls == 0 {
		return nil
	}
	s.t.Logf("%s %s: %s", d.Pos, name, x)
	var misses []string
	if x.servedRatio() < skewServed*s.before.servedRatio() {
		misses = append(misses, "served "+name)
	}
	if x.inAimRatio() < s.number(d, "in-aim", skewInAim)*s.before.inAimRatio() {
		misses = append(misses, "in aim "+name)
	}
	if x.ranTwice > 0 {
		misses = append(misses, "ran twice "+name)
	}
	return misses
}

// calm passes time and reports the number of messages between boxes: calm for=D.
func (s *skewScript) calm(d *datadriven.TestData) string {
	messages := 0
	s.each(func(f *skewFleet) {
		before := f.messages
		f.run(s.duration(d, "for"))
		messages += f.messages - before
	})
	return fmt.Sprintf("%d messages\n", messages)
}

// totals reports which totals over all boxes were exceeded since the fleets started.
func (s *skewScript) totals() string {
	exceeded := map[string]bool{}
	s.each(func(f *skewFleet) {
		for _, entry := range f.services {
			name := entry.Service.Name
			targets := f.targetsOf(name)
			var probes []units.Instant
			for _, t := range targets {
				probes = append(probes, t.probes...)
			}
			slices.Sort(probes)
			allowed := skewProbeRate * float64(len(targets)) * (skewTotalWindow + probeBurstTime).Seconds()
			if n := mostWithin(probes, skewTotalWindow); float64(n) > allowed {
				exceeded[fmt.Sprintf("probes of %s", name)] = true
			}
			for _, t := range targets {
				allowed := t.row.MaxRate*skewTotalWindow.Seconds() + rateBurst*float64(len(f.boxes))
				if n := mostWithin(t.calls, skewTotalWindow); t.row.MaxRate > 0 && float64(n) > allowed {
					exceeded[fmt.Sprintf("calls of %s", t.id)] = true
				}
				allowed = entry.Service.ColdRate*(time.Second+borrowedColdLifetime).Seconds() + boxesPerColdTarget*coldBurst
				if n := mostWithin(t.coldCalls, time.Second); n > 0 && float64(n) > allowed {
					exceeded[fmt.Sprintf("calls of cold targets of %s", name)] = true
				}
			}
		}
		if len(f.workspaces) > 0 {
			w := &f.workspaces[0]
			allowed := float64(w.Rate)*(skewTotalWindow+creditLifetime).Seconds() + w.Burst + DefaultQuotaSlack
			if n := mostWithin(f.admitted, skewTotalWindow); float64(n) > allowed {
				exceeded["calls of the workspace"] = true
			}
		}
		for name, n := range f.extraSends() {
			if n {
				exceeded[fmt.Sprintf("retries and hedges of %s", name)] = true
			}
		}
	})
	if len(exceeded) == 0 {
		return "all totals hold\n"
	}
	return strings.Join(slices.Sorted(maps.Keys(exceeded)), ", ") + " exceeded\n"
}

// mostWithin returns the largest number of the sorted times within a window.
func mostWithin(times []units.Instant, window time.Duration) int {
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// extraSends reports for each service whether all boxes together made more retries and hedges than their
// budgets allow.
func (f *skewFleet) extraSends() map[units.ServiceName]bool {
	exceeded := map[units.ServiceName]bool{}
	for _, entry := range f.services {
		x := &entry.Service
		calls, extra := 0.0, 0.0
		for _, b := range f.boxes {
			if s := b.router.services[x.Name]; s != nil {
				calls += float64(s.calls)
				extra += float64(s.retries.spent + s.hedges.spent)
			}
		}
		exceeded[x.Name] = extra > (x.RetryBudget+x.HedgeBudget).Of(calls)+extraKinds*float64(x.ExtraBurst)
	}
	return exceeded
}
