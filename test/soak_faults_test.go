package test

import (
	"sync"
	"time"

	"github.com/madderpond/madderpond/pkg/lab"
)

// claims keeps concurrent faults from affecting the same process or proxy.
type claims struct {
	lock    sync.Mutex
	claimed map[any]bool
}

// claim claims all of the things, or none if one of them is already claimed.
func (c *claims) claim(things []any) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	for _, t := range things {
		if c.claimed[t] {
			return false
		}
	}
	if c.claimed == nil {
		c.claimed = map[any]bool{}
	}
	for _, t := range things {
		c.claimed[t] = true
	}
	return true
}

func (c *claims) release(things []any) {
	c.lock.Lock()
	defer c.lock.Unlock()
	for _, t := range things {
		delete(c.claimed, t)
	}
}

// withClaim calls a function while it holds claims on processes and proxies. It returns false
// without calling it if one is claimed by another fault.
func (x *soak) withClaim(do func(), things ...any) bool {
	if !x.claims.claim(things) {
		return false
	}
	defer x.claims.release(things)
	do()
	return true
}

// soakFaults are all faults. inject returns whether the fault could be injected now.
var soakFaults = []struct {
	name   string
	inject func(x *soak) bool
}{
	{"kill a replica", func(x *soak) bool { return x.restart(x.anyReplica()) }},
	{"kill the leader", func(x *soak) bool { return x.restart(x.leaderNode()) }},
	{"kill all replicas", (*soak).killAll},
	{"freeze a replica", func(x *soak) bool { return x.freeze(x.anyReplica()) }},
	{"kill a box", func(x *soak) bool { return x.restart(x.anyBox()) }},
	{"stop a box", func(x *soak) bool { return x.stopBox(x.anyBox()) }},
	{"freeze a box", func(x *soak) bool { return x.freeze(x.anyBox()) }},
	{"silence a replica", func(x *soak) bool { return x.silence(x.anyProxy()) }},
	{"cut a replica one way", func(x *soak) bool { return x.cutOneWay(x.anyProxy()) }},
	{"delay a replica", func(x *soak) bool { return x.delay(x.anyProxy()) }},
	{"reset a replica", func(x *soak) bool { x.anyProxy().Reset(); return true }},
	{"lose two disks", (*soak).loseDisks},
	{"hang up", func(x *soak) bool { return x.hangUp(x.anyBox()) }},
	{"freeze a target", (*soak).freezeTarget},
	{"silence a target", func(x *soak) bool { return x.silence(x.anyTargetProxy()) }},
	{"cut a target one way", func(x *soak) bool { return x.cutOneWay(x.anyTargetProxy()) }},
	{"reset a target", func(x *soak) bool { x.anyTargetProxy().Reset(); return true }},
	{"exchange a box's seeds", func(x *soak) bool { return x.replaceSeeds(x.anyBox()) }},
	{"silence a replica's open connections", func(x *soak) bool { x.anyProxy().BlackholeOpenConns(); return true }},
	{"silence a target's open connections", func(x *soak) bool { x.anyTargetProxy().BlackholeOpenConns(); return true }},
	{"have a target hang when full", (*soak).hangWhenFull},
	{"have a target ask for rest", (*soak).restOneTarget},
	{"have targets ask for rest together", (*soak).restMostTargets},
	{"have a target leave by its answers", (*soak).announceLeaving},
	{"have a target name limits", (*soak).limitOneTarget},
	{"have targets name limits together", (*soak).limitMostTargets},
	{"cut a box off from the targets", func(x *soak) bool { return x.cutOffBoxes(x.anyBox()) }},
	{"cut most boxes off from the targets", (*soak).cutOffMostBoxes},
	{"cut a failure domain off from the targets", func(x *soak) bool { return x.cutOffBoxes(x.largeDomainBoxes()...) }},
	{"cut most of a failure domain off from the targets", func(x *soak) bool { return x.cutOffBoxes(x.largeDomainBoxes()[1:]...) }},
}

const (
	// firstFaultCount is how many of the faults the first seeds draw from. It is fixed so that a seed
	// that failed replays the same faults.
	firstFaultCount = 17
	// secondFaultCount is the same for the seeds from secondFaultsSeed on.
	secondFaultCount = 18
	secondFaultsSeed = 9000
	// thirdFaultCount is the same for the seeds from firstEvacuationSeed on, which also evacuate a
	// failure domain.
	thirdFaultCount     = 20
	firstEvacuationSeed = 10_000
	// fourthFaultCount is the same for the seeds from fourthFaultsSeed on.
	fourthFaultCount = 21
	fourthFaultsSeed = 20_000
	// fifthFaultCount is the same for the seeds from firstNoticeSeed on.
	fifthFaultCount = 24
	// sixthFaultCount is the same for the seeds from firstLimitSeed on.
	sixthFaultCount = 26
	// seventhFaultCount is the same for the seeds from firstCutSeed on.
	seventhFaultCount = 28
)

// drawFault draws one of the faults of the seed's range.
func (x *soak) drawFault() int {
	switch {
	case x.seed < secondFaultsSeed:
		return x.draw(firstFaultCount)
	case x.seed < firstEvacuationSeed:
		return x.draw(secondFaultCount)
	case x.seed < fourthFaultsSeed:
		return x.draw(thirdFaultCount)
	case x.seed < firstNoticeSeed:
		return x.draw(fourthFaultCount)
	case x.seed < firstLimitSeed:
		return x.draw(fifthFaultCount)
	}
	switch {
	case !x.hasCuts():
		return x.draw(sixthFaultCount)
	case !x.hasLargeDomain():
		return x.draw(seventhFaultCount)
	}
	return x.draw(len(soakFaults))
}

// injectFault injects one fault and pauses. Several series of faults may run concurrently.
func (x *soak) injectFault() {
	f := soakFaults[x.drawFault()]
	name := f.name
	if !f.inject(x) {
		name += " (not now)"
	}
	x.lock.Lock()
	x.faults = append(x.faults, name)
	x.lock.Unlock()
	x.pause(50, 500)
}

func (x *soak) anyProxy() *lab.FaultProxy { return x.cluster.Proxies[x.draw(len(x.cluster.Proxies))] }

func (x *soak) anyTargetProxy() *lab.FaultProxy { return x.targetProxies[x.draw(len(x.targetProxies))] }

func (x *soak) anyBox() *lab.Node { return x.cluster.Boxes[x.draw(len(x.cluster.Boxes))] }

func (x *soak) leaderNode() *lab.Node {
	for _, n := range x.cluster.Replicas {
		if d, err := n.Dump(); err == nil && d.Control.Log.Role == "leader" {
			return n
		}
	}
	return x.anyReplica()
}

func (x *soak) restart(n *lab.Node) bool {
	return x.withClaim(func() {
		defer x.beginOutage(n)()
		n.Process.Kill()
		x.pause(1, 300)
		x.must(x.cluster.StartNode(n))
	}, n)
}

func (x *soak) killAll() bool {
	return x.withClaim(func() { x.restartTogether(x.cluster.Replicas) }, x.allReplicas()...)
}

func (x *soak) allReplicas() []any {
	var all []any
	for _, n := range x.cluster.Replicas {
		all = append(all, n)
	}
	return all
}

func (x *soak) freeze(n *lab.Node) bool {
	return x.withClaim(func() {
		defer x.beginOutage(n)()
		n.Process.Freeze()
		x.pause(100, 1500)
		n.Process.Unfreeze()
	}, n)
}

func (x *soak) freezeTarget() bool {
	t := x.targets[x.draw(len(x.targets))]
	return x.withClaim(func() {
		defer x.beginOutage(t)()
		t.Process.Freeze()
		x.pause(100, 800)
		t.Process.Unfreeze()
	}, t)
}

// hangWhenFull makes a target hang on calls that don't fit its queue.
func (x *soak) hangWhenFull() bool {
	t := x.targets[x.draw(len(x.targets))]
	return x.withClaim(func() {
		x.setBehaviorUnlessDown(t, "hang=1")
		x.pause(500, 2000)
		x.setBehaviorUnlessDown(t, "hang=0")
	}, t)
}

// setBehaviorUnlessDown changes how a target behaves. A target that crashed is down for a while and
// restarts without faults, so errors are ignored if the seed has crashes.
func (x *soak) setBehaviorUnlessDown(t *lab.TargetProcess, query string) {
	if err := requestBehavior(t, query); err != nil && !x.restartsTargets() {
		x.Error(err)
	}
}

func (x *soak) silence(p *lab.FaultProxy) bool {
	return x.withClaim(func() {
		p.Blackhole(true)
		x.pause(200, 1500)
		p.Blackhole(false)
	}, p)
}

func (x *soak) cutOneWay(p *lab.FaultProxy) bool {
	direction := []lab.Direction{lab.ToTarget, lab.FromTarget}[x.draw(2)]
	return x.withClaim(func() {
		p.BlackholeOneWay(direction, true)
		x.pause(200, 1500)
		p.BlackholeOneWay(direction, false)
	}, p)
}

func (x *soak) delay(p *lab.FaultProxy) bool {
	return x.withClaim(func() {
		p.SetDelay(30 * time.Millisecond)
		x.pause(200, 1000)
		p.SetDelay(0)
	}, p)
}

// stopBox makes a planned stop, which must cut no call.
func (x *soak) stopBox(n *lab.Node) bool {
	return x.withClaim(func() {
		defer x.beginOutage(n)()
		n.Process.Terminate()
		if _, err := n.Process.AwaitExit(waitTimeout); err != nil {
			x.Errorf("a stopped box didn't exit: %v", err)
		}
		x.must(x.cluster.StartNode(n))
	}, n)
}

// replaceSeeds replaces a box's seeds by other replicas, with or without a signal.
func (x *soak) replaceSeeds(n *lab.Node) bool {
	first, signal := x.draw(soakReplicas), x.draw(2) == 0
	return x.withClaim(func() {
		seeds := make([]string, 0, len(n.Settings.Seeds))
		for i := range n.Settings.Seeds {
			seeds = append(seeds, x.cluster.Replicas[(first+i)%soakReplicas].Settings.Peer.Advertise)
		}
		n.Settings.Seeds = seeds
		x.must(n.WriteSettings())
		if signal {
			n.Process.Reload()
		}
	}, n)
}

func (x *soak) hangUp(n *lab.Node) bool { return x.withClaim(func() { n.Process.Reload() }, n) }

// loseDisks deletes the data of two replicas at once, if all replicas are voters and the last
// loss was at least three seconds ago.
func (x *soak) loseDisks() bool {
	done := false
	claimed := x.withClaim(func() {
		if time.Since(x.diskLost) < 3*time.Second || x.countVoters() < soakReplicas {
			return
		}
		x.loseTwoDisks()
		done = true
	}, x.allReplicas()...)
	return claimed && done
}

func (x *soak) loseTwoDisks() {
	first := x.draw(soakReplicas)
	second := (first + 1 + x.draw(soakReplicas-1)) % soakReplicas
	lost := []*lab.Node{x.cluster.Replicas[first], x.cluster.Replicas[second]}
	x.restartTogether(lost, lost...)
	x.diskLost = time.Now()
}

// countVoters counts the voters that the leader has recently heard from and that are up to date.
func (x *soak) countVoters() int {
	d, err := x.leaderNode().Dump()
	if err != nil || d.Control.Log.Role != "leader" {
		return 0
	}
	n := 1
	for _, p := range d.Control.Log.Peers {
		if p.Voter && p.Contacted && p.SinceReceived < time.Second && p.Match >= d.Control.Log.Commit {
			n++
		}
	}
	return n
}
