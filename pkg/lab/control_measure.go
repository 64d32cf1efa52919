package lab

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/madderpond/madderpond/pkg/client"
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/sheet"
	"github.com/madderpond/madderpond/pkg/units"
)

// ControlBenchmark measures the control state with real replica processes.
type ControlBenchmark struct {
	Folder  string
	Program string
	// Edits is the number of edits of each measurement.
	Edits int
	// IdleTime is how long the cost of an idle cluster is measured.
	IdleTime time.Duration
	lines    []string
}

func (m *ControlBenchmark) printLine(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	fmt.Println(line)
	m.lines = append(m.lines, line)
}

// Run makes all measurements and returns them as a Markdown page that names the command.
func (m *ControlBenchmark) Run(command string) (string, error) {
	m.printLine("# The control state, measured\n")
	m.printLine("Machine: %s. Date: %s. Command: `%s`. Real replicas on loopback with synced writes; all share the machine.\n", machineDescription(), time.Now().UTC().Format(time.RFC3339), command)
	steps := []func() error{m.edits, m.propagation, m.recovery}
	for _, step := range steps {
		if err := step(); err != nil {
			return "", err
		}
	}
	return strings.Join(m.lines, "\n") + "\n", nil
}

func (m *ControlBenchmark) cluster(name string, replicas int) (*Cluster, *client.Client, error) {
	folder := filepath.Join(m.Folder, name)
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, nil, err
	}
	c, err := StartCluster(ClusterSettings{Folder: folder, Program: m.Program, Replicas: replicas})
	if err != nil {
		return nil, nil, err
	}
	api, err := c.Client()
	return c, api, err
}

// measureRow runs a measurement on a new cluster and adds its row to the current table.
func (m *ControlBenchmark) measureRow(name string, replicas int, measure func(*Cluster, *client.Client) (string, error)) error {
	c, api, err := m.cluster(name, replicas)
	if err != nil {
		return err
	}
	defer c.Stop()
	row, err := measure(c, api)
	if err != nil {
		return err
	}
	m.printLine("%s", row)
	return nil
}

// edits measures the latency of an edit and the edits accepted per second.
func (m *ControlBenchmark) edits() error {
	m.printLine("## Edits\n")
	m.printLine("| replicas | one operator: p50 ms | p99 ms | edits/s | 16 operators: edits/s | p99 ms | store after, bytes an edit |")
	m.printLine("|---|---|---|---|---|---|---|")
	for _, replicas := range []int{3, 5} {
		err := m.measureRow(fmt.Sprintf("edits-%d", replicas), replicas, func(c *Cluster, api *client.Client) (string, error) {
			return m.editRow(c, api, replicas)
		})
		if err != nil {
			return err
		}
	}
	m.printLine("")
	return nil
}

func (m *ControlBenchmark) editRow(c *Cluster, api *client.Client, replicas int) (string, error) {
	one, oneRate, err := runEdits(api, 1, m.Edits)
	if err != nil {
		return "", err
	}
	many, manyRate, err := runEdits(api, 16, m.Edits)
	if err != nil {
		return "", err
	}
	d, err := c.Replicas[0].Dump()
	if err != nil {
		return "", err
	}
	size := float64(d.Control.StoreBytes) / float64(d.Control.Revision)
	return fmt.Sprintf("| %d | %.2f | %.2f | %.0f | %.0f | %.2f | %.0f |", replicas,
		one.P50/1000, one.P99/1000, oneRate, manyRate, many.P99/1000, size), nil
}

// runEdits lets each operator make consecutive edits of its own service. It returns the
// latencies and the edits per second.
func runEdits(api *client.Client, operators, edits int) (Latencies, float64, error) {
	var lock sync.Mutex
	var all []time.Duration
	var failed error
	var wait sync.WaitGroup
	started := time.Now()
	for k := range operators {
		wait.Add(1)
		go func() {
			defer wait.Done()
			var base units.Version
			for i := range edits / operators {
				at := time.Now()
				result, err := api.SubmitEdit(serviceEdit(fmt.Sprintf("load-%d-%d", operators, k), base, i))
				took := time.Since(at)
				lock.Lock()
				all = append(all, took)
				if err != nil {
					failed = err
				}
				lock.Unlock()
				if err != nil {
					return
				}
				base = result.Versions[units.ServiceName(fmt.Sprintf("load-%d-%d", operators, k))]
			}
		}()
	}
	wait.Wait()
	return latencyQuantiles(all), float64(len(all)) / time.Since(started).Seconds(), failed
}

// serviceEdit returns an edit that writes a service with seven rows, the size of the
// users' services.
func serviceEdit(name string, base units.Version, weight int) *table.Edit {
	v := sheet.NewService()
	v.Name, v.Hosts = units.ServiceName(name), []string{name + ".test"}
	operations := []table.Operation{{Kind: table.PutService, Service: &v}}
	for k := range 7 {
		r := sheet.NewRow()
		r.Service, r.Target, r.Address, r.Weight = v.Name, units.TargetID(fmt.Sprintf("t%d", k)), "127.0.0.1:9", weight%100
		operations = append(operations, table.Operation{Kind: table.PutRow, Row: &r})
	}
	return &table.Edit{
		ID: units.EditID(uuid.NewString()), Operator: "lab", Operations: operations,
		Bases: map[units.ServiceName]units.Version{v.Name: base},
	}
}

// propagation measures how long an accepted edit takes to reach every subscriber, and
// the traffic, processor time and memory that subscribers cost.
func (m *ControlBenchmark) propagation() error {
	m.printLine("## From accepted to in force on every box, and what boxes cost\n")
	m.printLine("Boxes are real subscriptions on real connections, all in one process.\n")
	m.printLine("| boxes | p50 ms | p99 ms | max ms | messages/s a box at rest | bytes/s a box at rest | bytes an edit a box | leader's CPU at rest, %% of a core | leader MB |")
	m.printLine("|---|---|---|---|---|---|---|---|---|")
	for _, boxes := range []int{3, 15, 50, 200} {
		err := m.measureRow(fmt.Sprintf("boxes-%d", boxes), 3, func(c *Cluster, api *client.Client) (string, error) {
			return m.propagationRow(c, api, boxes)
		})
		if err != nil {
			return err
		}
	}
	m.printLine("")
	return nil
}

// revisionTimes records when each box received a revision.
type revisionTimes struct {
	lock   sync.Mutex
	seenAt map[units.Revision][]time.Time
}

func (w *revisionTimes) record(r units.Revision) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.seenAt[r] = append(w.seenAt[r], time.Now())
}

// lastSeen returns when the last of n boxes received a revision; false while some have not.
func (w *revisionTimes) lastSeen(r units.Revision, n int) (time.Time, bool) {
	w.lock.Lock()
	defer w.lock.Unlock()
	times := w.seenAt[r]
	if len(times) < n {
		return time.Time{}, false
	}
	return slices.MaxFunc(times, time.Time.Compare), true
}

func (m *ControlBenchmark) propagationRow(c *Cluster, api *client.Client, boxes int) (string, error) {
	w := &revisionTimes{seenAt: map[units.Revision][]time.Time{}}
	subscribers := c.subscribe(boxes, w.record)
	defer func() {
		for _, s := range subscribers {
			s.Stop()
		}
	}()
	if err := awaitRegisteredBoxes(api, boxes); err != nil {
		return "", err
	}
	leader := c.leader()
	cpuBefore, messages, bytes := cpuTime(leader.Process.PID()), subscriberTraffic(subscribers, false), subscriberTraffic(subscribers, true)
	time.Sleep(m.IdleTime)
	cpu := cpuTime(leader.Process.PID()) - cpuBefore
	perBox := float64(boxes) * m.IdleTime.Seconds()
	restMessages := float64(subscriberTraffic(subscribers, false)-messages) / perBox
	restBytes := float64(subscriberTraffic(subscribers, true)-bytes) / perBox

	var took []time.Duration
	bytes = subscriberTraffic(subscribers, true)
	started := time.Now()
	base := units.Version(0)
	for i := range m.Edits / 4 {
		result, err := api.SubmitEdit(serviceEdit("watched", base, i))
		if err != nil {
			return "", err
		}
		accepted := time.Now()
		base = result.Versions["watched"]
		err = Eventually(startTimeout, func() error {
			at, all := w.lastSeen(result.Revision, boxes)
			if !all {
				return fmt.Errorf("revision %d has not reached all boxes", result.Revision)
			}
			took = append(took, max(0, at.Sub(accepted)))
			return nil
		})
		if err != nil {
			return "", err
		}
	}
	spent := time.Since(started).Seconds()
	editBytes := (float64(subscriberTraffic(subscribers, true)-bytes)/float64(boxes) - restBytes*spent) / float64(len(took))
	l := latencyQuantiles(took)
	return fmt.Sprintf("| %d | %.2f | %.2f | %.2f | %.1f | %.0f | %.0f | %.2f | %.1f |", boxes, l.P50/1000, l.P99/1000,
		float64(slices.Max(took).Microseconds())/1000, restMessages, restBytes, editBytes,
		100*cpu.Seconds()/m.IdleTime.Seconds(), residentMB(leader.Process.PID())), nil
}

func (c *Cluster) subscribe(n int, onRevision func(units.Revision)) []*Subscriber {
	addresses := map[units.ReplicaID]string{}
	var order []units.ReplicaID
	for _, r := range c.replicaSettings {
		addresses[units.ReplicaID(r.Box)] = r.Address
		order = append(order, units.ReplicaID(r.Box))
	}
	var all []*Subscriber
	for i := range n {
		all = append(all, StartSubscriber(units.BoxID(fmt.Sprintf("lab-%04d", i)), addresses, order, uint64(i+1), onRevision))
	}
	return all
}

func awaitRegisteredBoxes(api *client.Client, boxes int) error {
	return Eventually(startTimeout, func() error {
		t, err := api.Table()
		if err == nil && len(t.Boxes) < boxes {
			err = fmt.Errorf("%d of %d boxes are in the table", len(t.Boxes), boxes)
		}
		return err
	})
}

// leader returns the replica that holds the leader's lease, or the first replica if none
// does in time.
func (c *Cluster) leader() *Node {
	found := c.Replicas[0]
	Eventually(startTimeout, func() error {
		for _, n := range c.Replicas {
			if n.Process.Exited() {
				continue
			}
			if d, err := n.Dump(); err == nil && d.Control.HasLease {
				found = n
				return nil
			}
		}
		return fmt.Errorf("no replica holds the leader's lease")
	})
	return found
}

func subscriberTraffic(all []*Subscriber, bytes bool) int64 {
	n := int64(0)
	for _, s := range all {
		if bytes {
			n += s.Bytes.Load()
		} else {
			n += s.Messages.Load()
		}
	}
	return n
}
