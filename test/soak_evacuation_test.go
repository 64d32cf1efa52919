package test

import (
	"fmt"
	"time"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/lab"
	"github.com/madderpond/madderpond/pkg/units"
)

const (
	// soakDomain is the failure domain that is evacuated and restored; the first half of the
	// targets is in it, and with them a target of each service.
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

// evacuate has an operator evacuate the domain and restore it in turns. An order is sent
// again, to any replica, until one of them acknowledges it.
func (x *soak) toggleEvacuation() {
	wanted := !x.evacuated
	x.evacuated = wanted
	for x.orderEvacuation(x.anyReplica(), wanted) != nil {
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
	return x.oneReplica(n).OrderEvacuation(table.EvacuationOrder{Domain: soakDomain, Evacuate: evacuate, Operator: "soak"})
}

// checkEvacuation evacuates the domain by way of one replica, kills all of them, and makes
// sure that no box sends its targets anything. Then it restores the domain.
func (x *soak) checkEvacuation() {
	x.reportAll(x.cluster.Replicas[1])
	x.mustOrderEvacuation(true)
	x.killAll()
	time.Sleep(soakMaxLeaveDelay)
	before := x.countRunsInDomain()
	served := 0
	for i := range soakLastCalls {
		service := soakServices[i%len(soakServices)]
		if x.caller.Do(lab.Plan{Host: service + ".test", Once: service == "pay"}).Verdict == lab.Whole {
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
		err = fmt.Errorf("%s shows the domain evacuated, its restoring was acknowledged", n.Settings.Box)
	}
	return err
}

// runsInDomain counts the calls that the domain's targets have run.
func (x *soak) countRunsInDomain() int {
	n := 0
	for i, t := range x.targets {
		if x.domainOf(i) == soakDomain {
			n += int(x.fetchStats(t).Runs)
		}
	}
	return n
}
