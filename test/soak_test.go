package test

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/madderpond/madderpond/pkg/client"
	"github.com/madderpond/madderpond/pkg/config"
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/lab"
	"github.com/madderpond/madderpond/pkg/units"
)

// The soak test runs the real programs, injects faults from outside in an order that
// depends on a seed, and checks the guarantees that callers, targets and operators rely on:
//
//	go test ./test -run Soak -soak-seeds 50 -soak-first 1000 -soak-time 10s
var (
	soakSeeds = flag.Int("soak-seeds", 1, "how many new seeds the soak test runs")
	soakFirst = flag.Uint64("soak-first", 1, "the first of them")
	soakTime  = flag.Duration("soak-time", 5*time.Second, "for how long each seed injects faults")
)

// soakRegressions are seeds that failed before, or that cover later features, each with its
// reason; they always run.
var soakRegressions = []struct {
	seed  uint64
	cause string
}{
	{3002, "all targets of a service had been slow; they were treated as too slow for 15 s and every call was refused"},
	{50_002, "two boxes sent calls to a target that had asked them for rest 1.7 and 1.8 s before, since it seemed to have spare capacity"},
	{71_009, "covers boxes that are down: calls that reached no box had been counted as run by guests"},
	{70_001, "covers what seeds from firstKeySeed on add"},
	{80_000, "covers boxes that are cut off from targets: they refused calls that other boxes served"},
	{90_000, "covers a large failure domain that is cut off from targets: its boxes only asked each other"},
	{100_000, "covers times in which most connections go to one box"},
	{110_000, "covers bodies of all sizes at boxes with little memory"},
	{60_005, "boxes dropped the permit requests of other boxes, so that limits that had ended still blocked calls"},
}

const (
	soakReplicas = 5
	// soakMaxFaultLanes is how many series of faults run concurrently at most.
	soakMaxFaultLanes = 3
	// soakCallPause is the time between two calls of a caller.
	soakCallPause = 10 * time.Millisecond
	// soakMaxLeaveDelay is how long a box may still send calls to a target after its leaving was
	// acknowledged: a lease, an election, and the time of a call.
	soakMaxLeaveDelay = 4 * time.Second
	// soakLastCalls calls are made one after the other when all faults have ended.
	soakLastCalls = 100
)

// soakSize is how many processes and callers a seed has besides the replicas.
type soakSize struct{ boxes, targets, callers int }

// sizeForSeed makes one seed in eight a large one, and those from firstLargeDomainSeed on.
func sizeForSeed(seed uint64) soakSize {
	if seed >= firstUploadSeed {
		return soakSize{boxes: 4, targets: 8, callers: 6}
	}
	if seed >= firstSkewSeed {
		return soakSize{boxes: soakSkewBoxes, targets: 8, callers: 12}
	}
	if seed >= firstLargeDomainSeed {
		return soakSize{boxes: soakLargeDomain + 6, targets: 8, callers: 12}
	}
	if seed >= firstRolloutSeed {
		// Each version needs targets in both failure domains.
		return soakSize{boxes: 3, targets: 8, callers: 6}
	}
	if seed%8 == 7 {
		return soakSize{boxes: 12, targets: 12, callers: 18}
	}
	return soakSize{boxes: 3, targets: 4, callers: 6}
}

func TestSoak(t *testing.T) {
	for _, r := range soakRegressions {
		t.Run(fmt.Sprintf("regression seed %d", r.seed), func(t *testing.T) {
			t.Parallel()
			playSoak(t, r.seed)
		})
	}
	for i := range *soakSeeds {
		seed := *soakFirst + uint64(i)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			playSoak(t, seed)
		})
	}
}

// soak is the cluster, callers and state of one seed.
type soak struct {
	*testCluster
	seed   uint64
	size   soakSize
	random *rand.Rand
	workers

	lock sync.Mutex
	// version is the highest document version sent, acknowledged the highest acknowledged to
	// be in force.
	version      units.DocumentVersion
	acknowledged units.DocumentVersion
	sequence     uint64
	// diskLost is when a disk was last lost.
	diskLost time.Time
	faults   []string
	claims   claims
	// evacuated is what the operator's last order for soakDomain asked for.
	evacuated bool
	// callCount counts the ordinary callers' calls, to choose which are restricted.
	callCount atomic.Int64
	// targetProxies are the proxies to the targets, in the order of targets.
	targetProxies []*lab.FaultProxy
	// startedAt is when each target last restarted; zero, which isn't reported, for the first start.
	startedAt []units.WallTime
	// guestCalls are the guests' calls that may have run; refusedGuestCalls counts those refused for an
	// invalid key or the quota.
	guestCalls        []guestCall
	refusedGuestCalls atomic.Int64
	// guestSince is when the guests' keys of each generation were first acknowledged.
	guestSince map[int]time.Time
	// uploads are the bodies that were sent, those under way without an end.
	uploads []soakUpload
	// outages are the times at which processes were frozen or down.
	outages []outage
}

func playSoak(t *testing.T, seed uint64) {
	size := sizeForSeed(seed)
	x := &soak{seed: seed, size: size, testCluster: &testCluster{T: t, folder: t.TempDir()}, random: rand.New(rand.NewPCG(seed, 3)), workers: newWorkers()}
	t.Cleanup(x.stopProcesses)
	defer func() {
		if t.Failed() {
			t.Logf("seed %d, faults: %s", seed, strings.Join(x.faults, "; "))
			x.saveLogs(seed)
		}
	}()
	x.startProcesses()
	x.repeat(x.putDocuments)
	x.repeat(x.readDocuments)
	x.repeat(x.report)
	for range x.size.callers {
		x.repeat(x.call)
	}
	if seed >= firstEvacuationSeed {
		x.repeat(x.toggleEvacuation)
	}
	if x.hasRollouts() {
		x.repeat(x.orderRollouts)
	}
	if x.hasKeys() {
		x.repeat(x.callAsGuest)
	}
	if x.restartsTargets() {
		x.repeat(x.restartTargets)
	}
	if x.hasCrashes() {
		x.repeat(x.sendCrashing)
	}
	if x.hasSkew() {
		x.repeat(x.skewConnections)
	}
	if x.hasUploads() {
		x.repeat(x.watchMemory)
		for range soakUploaders {
			x.repeat(x.upload)
		}
	}
	for range 1 + seed%soakMaxFaultLanes {
		x.repeat(x.injectFault)
	}
	time.Sleep(*soakTime)
	x.stop()
	x.endFaults()
	if x.restartsTargets() {
		x.restartTargets()
	}
	x.checkDocument()
	if x.hasKeys() {
		x.checkKeys()
		x.checkQuota()
	}
	if x.hasCrashes() {
		x.checkCrashes()
	}
	if x.hasRollouts() {
		x.checkRollout()
	}
	if x.hasNotices() {
		x.checkNotices()
	}
	if x.hasCuts() {
		x.checkCutOffBox()
	}
	if x.hasSkew() {
		x.checkSkew()
	}
	if x.hasUploads() {
		x.checkUploads()
	}
	x.checkLeaving()
	x.checkEvacuation()
	x.checkCalls()
}

func (x *soak) startProcesses() {
	x.startedAt = make([]units.WallTime, x.size.targets)
	for i := range x.size.targets {
		target, err := lab.StartTargetProcess(programs.lab, fmt.Sprintf("target-%d", i+1), x.folder, x.targetArguments()...)
		x.must(err)
		x.targets = append(x.targets, target)
		path, err := lab.StartFaultProxy(target.Address)
		x.must(err)
		x.Cleanup(path.Close)
		x.targetProxies = append(x.targetProxies, path)
	}
	var err error
	x.cluster, err = lab.StartCluster(lab.ClusterSettings{
		Folder: x.folder, Program: programs.daemon, Replicas: soakReplicas, Boxes: x.size.boxes, Proxied: true, Seeds: 3,
		Adjust: func(s *config.Settings) {
			s.Control.MinCopies = 3
			s.Control.Growth.Voters = soakReplicas
			s.Control.ReadTimeout = config.Duration(time.Second)
			s.Control.EditTimeout = config.Duration(2 * time.Second)
			s.Control.Rollout.Enabled = x.hasRollouts()
			s.Regions = soakRegions
			s.Entry.LeavingHeader = lab.LeavingHeader
			s.Entry.LimitHeader = lab.LimitHeader
			s.Entry.BoxHeader = lab.EntryHeader
			if x.hasCuts() {
				s.Entry.TargetSource = lossSource(s.Box).String()
			}
			if x.hasUploads() {
				x.limitMemory(s)
			}
			if x.hasLargeDomain() {
				s.Domain = string(boxDomain(s.Box))
			}
		},
	})
	x.must(err)
	x.must(lab.Eventually(waitTimeout, func() error {
		x.reportAll(x.cluster.Replicas[0])
		return x.putOnce(x.cluster.Replicas[0])
	}))
	x.caller = lab.NewCaller(x.awaitServingEntries()...)
	x.caller.SetKey(soakOwnKey)
	for _, b := range x.cluster.Boxes {
		// A restarted box keeps its address, so that callers find it.
		b.Settings.Entry.Listen = b.Entry
	}
}

// pause waits for a random time, which spreads the steps of the schedule.
func (x *soak) pause(minMillis, maxMillis int) {
	x.lock.Lock()
	d := time.Duration(minMillis+x.random.IntN(maxMillis-minMillis)) * time.Millisecond
	x.lock.Unlock()
	time.Sleep(d)
}

func (x *soak) draw(n int) int {
	x.lock.Lock()
	defer x.lock.Unlock()
	return x.random.IntN(n)
}

// oneReplica returns a client of a single replica, so that the replica's faults aren't hidden by others.
func (x *soak) oneReplica(n *lab.Node) *client.Client {
	c, err := client.NewClient([]string{n.Admin}, "", time.Second)
	x.must(err)
	return c
}

func (x *soak) anyReplica() *lab.Node { return x.cluster.Replicas[x.draw(soakReplicas)] }

// documentOf is the document of a version; the weights in it depend on the version.
func documentOf(version units.DocumentVersion) json.RawMessage {
	data, _ := json.Marshal(soakDocument(version))
	return data
}

func soakDocument(version units.DocumentVersion) *table.Document {
	d := &table.Document{Version: version}
	for name, work := range map[units.ServiceName]table.WorkKind{"shop": table.Repeatable, "pay": table.AtMostOnce} {
		d.Services = append(d.Services, table.Service{
			Name: name, Work: work, Deadline: 5 * time.Second, HoldLimit: 2 * time.Second, HoldCount: 100,
			RetryBudget: 10, HedgeBudget: 5, ProbeTargets: 2, MeasureBudget: 5, ProbePath: "/healthz",
		})
		d.Routes = append(d.Routes, &table.Route{
			Name: string(name), Host: string(name) + ".test", PathPrefix: "/", Work: work, Deadline: 5 * time.Second,
			LatencyObjective: time.Second, Services: []table.WeightedService{{Service: name, Weight: int(version%5) + 1}},
		})
	}
	d.Routes = append(d.Routes, restrictedRoute())
	return d
}

// putOnce puts a new version at one replica.
func (x *soak) putOnce(n *lab.Node) error {
	x.lock.Lock()
	x.version++
	version := x.version
	x.lock.Unlock()
	err := x.oneReplica(n).PutDocument(x.document(version))
	if err == nil {
		x.lock.Lock()
		x.acknowledged = max(x.acknowledged, version)
		x.recordKeyGeneration(version)
		x.lock.Unlock()
	}
	return err
}

func (x *soak) putDocuments() {
	x.putOnce(x.anyReplica())
	x.pause(20, 200)
}

// readDocuments checks that no read returns a version older than one acknowledged before it.
func (x *soak) readDocuments() {
	x.lock.Lock()
	minVersion := x.acknowledged
	x.lock.Unlock()
	n := x.anyReplica()
	raw, err := x.oneReplica(n).Document()
	if err == nil {
		x.checkVersion(n.Settings.Box, raw, minVersion)
	}
	x.pause(5, 50)
}

func (x *soak) checkVersion(box string, raw json.RawMessage, minVersion units.DocumentVersion) {
	d := &table.Document{}
	if err := json.Unmarshal(raw, d); err != nil {
		x.Errorf("%s returned a document that can't be decoded: %v", box, err)
		return
	}
	if d.Version < minVersion {
		x.Errorf("%s returned document %d after %d was acknowledged", box, d.Version, minVersion)
	}
}

// targetID is a target's id in one of the services.
func targetID(service string, t *lab.TargetProcess) units.TargetID {
	return units.TargetID(service + "-" + t.Name)
}

func (x *soak) registration(service string, t int, state table.RowState) *table.Registration {
	x.lock.Lock()
	x.sequence++
	sequence, startedAt := x.sequence, x.startedAt[t]
	x.lock.Unlock()
	return &table.Registration{
		Target: targetID(service, x.targets[t]), Service: units.ServiceName(service), Address: x.registeredAddress(t), Slots: 3, State: state, Sequence: sequence,
		Domain: x.domainOf(t), Software: x.softwareOf(service, t), Born: startedAt,
	}
}

// reportAll sends a report for every target. Each target serves one of the services, since an
// address belongs to one target.
func (x *soak) reportAll(n *lab.Node) {
	for i := range x.targets {
		x.oneReplica(n).SubmitReport(x.registration(soakServices[i%len(soakServices)], i, table.Active))
	}
}

var soakServices = []string{"shop", "pay"}

func (x *soak) report() {
	x.reportAll(x.anyReplica())
	x.pause(200, 400)
}

func (x *soak) call() {
	if x.callCount.Add(1)%soakRestrictedInterval == 0 {
		x.callRestricted()
		return
	}
	service := soakServices[x.draw(len(soakServices))]
	x.caller.Do(lab.CallSpec{Host: service + ".test", AtMostOnce: service == "pay", Work: time.Duration(x.draw(20)) * time.Millisecond})
	time.Sleep(soakCallPause)
}

func (x *soak) endFaults() {
	for _, p := range append(x.targetProxies, x.cluster.Proxies...) {
		p.Blackhole(false)
		p.SetDelay(0)
	}
	for _, n := range append(x.cluster.Replicas, x.cluster.Boxes...) {
		if n.Process.Exited() {
			x.Errorf("%s exited unexpectedly:\n%s", n.Settings.Box, n.Process.Log())
			x.must(x.cluster.StartNode(n))
		}
	}
	for _, b := range x.cluster.Boxes {
		x.must(x.cluster.AwaitReady(b, waitTimeout))
	}
}

// checkDocument checks the document in force on every replica after all faults have ended.
func (x *soak) checkDocument() {
	x.must(lab.Eventually(waitTimeout, func() error { return x.putOnce(x.cluster.Replicas[0]) }))
	for _, n := range x.cluster.Replicas {
		var raw json.RawMessage
		x.must(lab.Eventually(waitTimeout, func() (err error) {
			raw, err = x.oneReplica(n).Document()
			return err
		}))
		x.checkVersion(n.Settings.Box, raw, x.acknowledged)
	}
}

// checkLeaving reports a target as leaving through one replica, which is then killed: no box
// may send the target calls after soakMaxLeaveDelay.
func (x *soak) checkLeaving() {
	target := x.targets[0]
	x.reportAll(x.cluster.Replicas[1])
	n := x.cluster.Replicas[x.draw(soakReplicas)]
	x.must(lab.Eventually(waitTimeout, func() error {
		return x.oneReplica(n).SubmitReport(x.registration(soakServices[0], 0, table.Leaving))
	}))
	n.Process.Kill()
	time.Sleep(soakMaxLeaveDelay)
	before := x.fetchStats(target)
	served := 0
	for range soakLastCalls {
		if x.caller.Do(lab.CallSpec{Host: "shop.test"}).Verdict == lab.Complete {
			served++
		}
	}
	after := x.fetchStats(target)
	if after.Runs != before.Runs {
		x.Errorf("%d calls went to a target whose leaving was acknowledged %s before", after.Runs-before.Runs, soakMaxLeaveDelay)
	}
	if served < soakLastCalls/2 {
		x.Errorf("%d of %d calls were answered though all faults had ended and targets were idle", served, soakLastCalls)
	}
	x.must(x.cluster.StartNode(n))
}

func (x *soak) checkCalls() {
	runs := x.runs()
	summary := lab.Summarize(x.caller.Calls(), runs)
	x.Logf("%s, %v", summary, summary.Reasons)
	if !summary.Clean() {
		x.Errorf("calls were lost, run twice or answered wrongly: %s", summary)
	}
	x.checkResidency()
	if expected := summary.Sent - x.countTargetRefusals(summary.Reasons) - int(x.refusedGuestCalls.Load()); summary.Complete*2 < expected {
		x.Errorf("fewer than half of the %d calls that targets didn't refuse by rests or limits were served: %s", expected, summary)
	}
}

// saveLogs saves the logs and dumps of the processes of a failed seed.
func (x *soak) saveLogs(seed uint64) {
	folder, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", seed))
	if err != nil || x.cluster == nil {
		return
	}
	for _, n := range append(x.cluster.Replicas, x.cluster.Boxes...) {
		if n.Process != nil {
			os.WriteFile(fmt.Sprintf("%s/%s.log", folder, n.Settings.Box), []byte(n.Process.Log()), 0o600)
			if d, err := n.Dump(); err == nil {
				data, _ := json.MarshalIndent(d, "", " ")
				os.WriteFile(fmt.Sprintf("%s/%s.dump", folder, n.Settings.Box), data, 0o600)
			}
		}
	}
	x.Logf("the logs are in %s", folder)
}
