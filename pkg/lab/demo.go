package lab

import (
	"fmt"
	"io"
	"path/filepath"
	"sync"
	"time"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/sheet"
	"github.com/madderpond/madderpond/pkg/units"
)

// DemoSettings configure the demo.
type DemoSettings struct {
	Folder  string
	Program string
	// LabProgram is the path of madderlab, which runs the stand-in targets.
	LabProgram string
	// Calls is the number of calls to make.
	Calls int
	Out   io.Writer
}

// demo is a migration on one machine: edits of the table move the weight from old targets
// to new ones while callers keep making calls.
type demo struct {
	DemoSettings
	cluster *Cluster
	targets []*TargetProcess
	caller  *Caller
}

const (
	demoReplicas = 3
	demoBoxes    = 3
	demoTargets  = 6
	demoWorkers  = 24
)

// RunDemo runs the demo and returns the summary of its calls.
func RunDemo(s DemoSettings) (Summary, error) {
	d := &demo{DemoSettings: s}
	defer d.stop()
	if err := d.start(); err != nil {
		return Summary{}, err
	}
	if err := d.migrate(); err != nil {
		return Summary{}, err
	}
	runs, err := ReadJournals(d.journals()...)
	if err != nil {
		return Summary{}, err
	}
	return Summarize(d.caller.Calls(), runs), nil
}

func (d *demo) printLine(format string, args ...any) { fmt.Fprintf(d.Out, format+"\n", args...) }

func (d *demo) start() (err error) {
	for i := range demoTargets {
		t, err := StartTargetProcess(d.LabProgram, fmt.Sprintf("target-%d", i+1), d.Folder, "--slots", "3", "--queue", "8", "--work", "2ms")
		if err != nil {
			return err
		}
		d.targets = append(d.targets, t)
	}
	d.cluster, err = StartCluster(ClusterSettings{
		Folder: d.Folder, Program: d.Program, Replicas: demoReplicas, Boxes: demoBoxes,
	})
	if err != nil {
		return err
	}
	d.printLine("%d control replicas, %d entry boxes and %d stand-in targets are running", demoReplicas, demoBoxes, demoTargets)
	result, err := d.cluster.Apply(d.sheets())
	if err != nil {
		return err
	}
	var entries []string
	for _, b := range d.cluster.Boxes {
		if err := d.cluster.AwaitRevision(b, result.Revision, startTimeout); err != nil {
			return err
		}
		if err := d.cluster.AwaitReady(b, startTimeout); err != nil {
			return err
		}
		entries = append(entries, b.Entry)
	}
	d.caller = NewCaller(entries...)
	d.printLine("the table is in force on every box at revision %d", result.Revision)
	return nil
}

// demoServices has one service of each kind of work.
var demoServices = []struct {
	name string
	work table.WorkKind
}{
	{"balance", table.Repeatable},
	{"redeem", table.AtMostOnce},
	{"report", table.Patient},
}

// sheets returns the initial table: the first half of the targets has all the weight.
func (d *demo) sheets() sheet.Sheets {
	var s sheet.Sheets
	for _, x := range demoServices {
		v := sheet.NewService()
		v.Name = units.ServiceName(x.name)
		v.Work = x.work
		v.Hosts = []string{x.name + ".test"}
		v.Deadline = 5 * time.Second
		v.HoldLimit = 3 * time.Second
		s.Services = append(s.Services, v)
		for i, t := range d.targets {
			r := sheet.NewRow()
			r.Service = v.Name
			r.Target = units.TargetID(t.Name)
			r.Address = t.Address
			if i >= demoTargets/2 {
				r.Weight = 0
			}
			s.Rows = append(s.Rows, r)
		}
	}
	return s
}

// migrate makes all calls and runs the steps of the migration between them.
func (d *demo) migrate() error {
	var workers sync.WaitGroup
	callNumbers := make(chan int)
	for range demoWorkers {
		workers.Add(1)
		go func() {
			defer workers.Done()
			for n := range callNumbers {
				x := demoServices[n%len(demoServices)]
				d.caller.Do(CallSpec{Host: x.name + ".test", AtMostOnce: x.work == table.AtMostOnce, AnswerBytes: 200 + n%5000})
			}
		}()
	}
	var failed error
	for n := range d.Calls {
		if step := d.stepAt(n); step != nil && failed == nil {
			failed = step()
		}
		callNumbers <- n
	}
	close(callNumbers)
	workers.Wait()
	return failed
}

// stepAt returns the migration step to run before the n-th call, or nil.
func (d *demo) stepAt(n int) func() error {
	switch n {
	case d.Calls * 1 / 5:
		return func() error { return d.setWeights(50, 50) }
	case d.Calls * 2 / 5:
		return func() error { return d.setWeights(0, 100) }
	case d.Calls * 3 / 5:
		return d.markOldLeaving
	case d.Calls * 4 / 5:
		return d.stopBox
	}
	return nil
}

func (d *demo) setWeights(old, newWeight int) error {
	s := d.sheets()
	for i := range s.Rows {
		s.Rows[i].Weight = old
		if i%demoTargets >= demoTargets/2 {
			s.Rows[i].Weight = newWeight
		}
	}
	result, err := d.cluster.Apply(s)
	if err == nil {
		d.printLine("weights are now %d for the old targets and %d for the new; revision %d", old, newWeight, result.Revision)
	}
	return err
}

func (d *demo) markOldLeaving() error {
	s := d.sheets()
	for i := range s.Rows {
		s.Rows[i].Weight = 100
		if i%demoTargets < demoTargets/2 {
			s.Rows[i].State = table.Leaving
		}
	}
	result, err := d.cluster.Apply(s)
	if err == nil {
		d.printLine("the old targets are marked as leaving; revision %d", result.Revision)
	}
	return err
}

// stopBox shuts one box down gracefully; the callers stop using its address at once, as a
// load balancer in front of the boxes would.
func (d *demo) stopBox() error {
	box := d.cluster.Boxes[0]
	box.Process.Terminate()
	d.caller.SetAddresses(d.cluster.Boxes[1].Entry, d.cluster.Boxes[2].Entry)
	d.printLine("%s is stopping as planned", box.Settings.Box)
	return nil
}

func (d *demo) journals() []string {
	var paths []string
	for _, t := range d.targets {
		paths = append(paths, t.Journal)
	}
	return paths
}

func (d *demo) stop() {
	if d.cluster != nil {
		if len(d.cluster.Boxes) > 0 {
			// Waits for the graceful shutdown to finish.
			d.cluster.Boxes[0].Process.AwaitExit(startTimeout)
		}
		d.cluster.Stop()
	}
	for _, t := range d.targets {
		t.Process.Kill()
	}
}

// TargetProcess is a stand-in target that runs in its own process.
type TargetProcess struct {
	Name    string
	Address string
	Journal string
	Process *Process
}

// StartTargetProcess starts a stand-in target; self is the path of madderlab.
func StartTargetProcess(self, name, folder string, arguments ...string) (*TargetProcess, error) {
	address, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	t := &TargetProcess{Name: name, Address: address, Journal: filepath.Join(folder, name+".journal")}
	return t, t.Start(self, arguments...)
}

// Start starts the target's process, for the first time or after it has ended.
func (t *TargetProcess) Start(self string, arguments ...string) (err error) {
	all := append([]string{"target", "--name", t.Name, "--listen", t.Address, "--journal", t.Journal}, arguments...)
	if t.Process, err = StartProcess(t.Name, self, all...); err != nil {
		return err
	}
	_, err = t.Process.AwaitStarted(startTimeout)
	return err
}
