package test

import (
	"fmt"
	"time"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/lab"
	"github.com/madderpond/madderpond/pkg/units"
)

const (
	// soakDomain is the failure domain that is evacuated and restored. It holds the first half of the
	// targets, with at least one of each service.
	soakDomain = units.Domain("soak-a")
	// soakOtherDomain holds the other targets.
	soakOtherDomain = units.Domain("soak-b")
)

func (x *soak) domainOf(t int) units.Domain {
	if t < len(x.targets)/2 {
		return soakDomain
	}
	return soakOtherDomain
}

// toggleEvacuation evacuates the domain and restores it in turn. An order is sent again, to any
// replica, until one acknowledges it.
func (x *soak) toggleEvacuation() {
	evacuate := !x.evacuated
	x.evacuated = evacuate
	for x.orderEvacuation(x.anyReplica(), evacuate) != nil {
		select {
		case <-x.done:
			return
		default:
			x.pause(10, 100)
		}
	}
	x.pause(300, 1500)
}

func (x *soak) orderEvacuation(n *lab.Node, evacuate bool) error {
	return x.oneReplica(n).SubmitEvacuation(table.EvacuationOrder{Domain: soakDomain, Evacuate: evacuate, Operator: "soak"})
}

// checkEvacuation evacuates the domain through one replica, kills all replicas, and checks that
// no box sends calls to the domain's targets. Then it restores the domain.
func (x *soak) checkEvacuation() {
	x.reportAll(x.cluster.Replicas[1])
	x.mustOrderEvacuation(true)
	x.killAll()
	time.Sleep(soakMaxLeaveDelay)
	before := x.countRunsInDomain()
	served := 0
	for i := range soakLastCalls {
		service := soakServices[i%len(soakServices)]
		if x.caller.Do(lab.CallSpec{Host: service + ".test", AtMostOnce: service == "pay"}).Verdict == lab.Complete {
			served++
		}
	}
	if n := x.countRunsInDomain() - before; n > 0 {
		x.Errorf("%d calls went to targets of a domain whose evacuation was acknowledged %s before", n, soakMaxLeaveDelay)
	}
	if served < soakLastCalls/2 {
		x.Errorf("%d of %d calls were answered though half of the targets weren't evacuated", served, soakLastCalls)
	}
	x.mustOrderEvacuation(false)
	for _, n := range x.cluster.Replicas {
		x.must(lab.Eventually(waitTimeout, func() error { return x.checkRestored(n) }))
	}
}

func (x *soak) mustOrderEvacuation(evacuate bool) {
	x.must(lab.Eventually(waitTimeout, func() error { return x.orderEvacuation(x.anyReplica(), evacuate) }))
}

func (x *soak) checkRestored(n *lab.Node) error {
	t, err := x.oneReplica(n).Table()
	if err == nil && t.Evacuated(soakDomain) {
		err = fmt.Errorf("%s shows the domain as evacuated after its restore was acknowledged", n.Settings.Box)
	}
	return err
}

// countRunsInDomain counts the calls that targets of the evacuated domain have run.
func (x *soak) countRunsInDomain() int {
	n := 0
	for i, t := range x.targets {
		if x.domainOf(i) == soakDomain {
			n += int(x.fetchStats(t).Runs)
		}
	}
	return n
}
