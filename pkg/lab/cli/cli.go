// Package cli is the command line of madderlab.
package cli

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/madderpond/madderpond/pkg/lab"
)

// errInconsistent is returned if a run had lost, duplicated or wrong calls.
var errInconsistent = errors.New("something was lost, doubled or wrong")

// Main runs madderlab with command-line arguments and returns its exit code.
func Main(arguments []string) int {
	parser := flags.NewNamedParser("madderlab", flags.HelpFlag|flags.PassDoubleDash)
	commands := []struct {
		name, short string
		data        any
	}{
		{"target", "run a stand-in target", &runTarget{}},
		{"proxy", "run a proxy that brings about network faults", &runProxy{}},
		{"replay", "replay recorded traces through the real cores", &runReplay{}},
		{"speed", "measure what a box adds to a call", &runSpeed{}},
		{"control", "measure the control state", &runControl{}},
		{"try", "run the embedded default with a stand-in target", &runTry{}},
		{"demo", "run a migration on this machine and check every call", &runDemo{}},
	}
	for _, c := range commands {
		if _, err := parser.AddCommand(c.name, c.short, c.short, c.data); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
	}
	_, err := parser.ParseArgs(arguments)
	var usage *flags.Error
	switch {
	case err == nil:
		return 0
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Println(err)
		return 0
	}
	fmt.Fprintln(os.Stderr, err)
	return 1
}

// printStarted reports to the parent process that this one is ready.
func printStarted() { fmt.Fprintln(os.Stderr, `{"kind":"started"}`) }

func awaitSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
}

// withTempFolder calls f with a new temporary folder and with the path of this program; the
// folder is removed afterwards.
func withTempFolder(name string, f func(folder, self string) error) error {
	folder, err := os.MkdirTemp("", "madderpond-"+name+"-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	self, err := os.Executable()
	if err != nil {
		return err
	}
	return f(folder, self)
}

// writeReport writes a page to a file; an empty name writes nothing.
func writeReport(file, page string) error {
	if file == "" {
		return nil
	}
	return os.WriteFile(file, []byte(page), reportMode)
}

// reportMode makes a report readable for all users.
const reportMode = 0o644

type runTarget struct {
	Name    string        `long:"name" default:"target" description:"the name that answers carry"`
	Listen  string        `long:"listen" default:"127.0.0.1:8081" description:"IP number and port"`
	Slots   int           `long:"slots" default:"3" description:"calls run at once"`
	Queue   int           `long:"queue" default:"8" description:"calls that may wait"`
	Work    time.Duration `long:"work" default:"1ms" description:"how long a call takes"`
	Journal string        `long:"journal" description:"the file of calls that were run"`
	Crash   string        `long:"crash-body" description:"what the bodies of calls begin with that end the process"`

	SlowShare  float64       `long:"slow-share" description:"the share of the time for which work is slow"`
	SlowFactor float64       `long:"slow-factor" default:"5" description:"how many times longer work takes then"`
	SlowSpan   time.Duration `long:"slow-span" default:"150ms" description:"for how long work is slow at a time"`
	NearlyFull int64         `long:"nearly-full" description:"running calls from which on work takes longer"`
	FullFactor float64       `long:"nearly-full-factor" default:"1.7" description:"how many times longer it takes then"`
	Break      bool          `long:"break-when-full" description:"close the connection of a call that can't be queued"`
	Pace       bool          `long:"report-pace" description:"report running and waiting calls, slots and pace"`
}

// Execute runs a stand-in target until a signal arrives.
func (c *runTarget) Execute([]string) error {
	t, err := lab.StartTarget(lab.TargetSettings{
		Name: c.Name, Listen: c.Listen, Slots: c.Slots, Queue: c.Queue, Work: c.Work, Journal: c.Journal, CrashBody: c.Crash,
		Variation: lab.Variation{
			SlowShare: c.SlowShare, SlowFactor: c.SlowFactor, Span: c.SlowSpan, NearlyFull: c.NearlyFull, NearlyFullFactor: c.FullFactor,
		},
		BreakWhenFull: c.Break, ReportPace: c.Pace, OnListen: printStarted,
	})
	if err != nil {
		return err
	}
	awaitSignal()
	t.Stop()
	return nil
}

type runProxy struct {
	Listen string        `long:"listen" default:"127.0.0.1:8090" description:"IP number and port"`
	Target string        `long:"target" required:"true" description:"where connections go"`
	Delay  time.Duration `long:"delay" description:"how long each piece of data is held up"`
}

// Execute runs a fault proxy until a signal arrives; SIGUSR1 stops forwarding and SIGUSR2
// resumes it.
func (c *runProxy) Execute([]string) error {
	p, err := lab.StartFaultProxyAt(c.Listen, c.Target)
	if err != nil {
		return err
	}
	p.SetDelay(c.Delay)
	switches := make(chan os.Signal, 1)
	signal.Notify(switches, syscall.SIGUSR1, syscall.SIGUSR2)
	go func() {
		for s := range switches {
			p.Blackhole(s == syscall.SIGUSR1)
		}
	}()
	printStarted()
	awaitSignal()
	p.Close()
	return nil
}

type runDemo struct {
	Program string `long:"program" default:"bin/madderpond" description:"the daemon"`
	Calls   int    `long:"calls" default:"3000" description:"how many calls are made"`
}

// Execute runs the demo and fails if any call was lost, duplicated or wrong.
func (c *runDemo) Execute([]string) error {
	var summary lab.Summary
	err := withTempFolder("demo", func(folder, self string) (err error) {
		summary, err = lab.RunDemo(lab.DemoSettings{
			Folder: folder, Program: c.Program, LabProgram: self, Calls: c.Calls, Out: os.Stdout,
		})
		return err
	})
	if err != nil {
		return err
	}
	fmt.Println(summary)
	for reason, n := range summary.Reasons {
		fmt.Printf("  refused as %s: %d\n", reason, n)
	}
	if !summary.Clean() {
		return errInconsistent
	}
	return nil
}

type runTry struct {
	Program  string `long:"program" default:"bin/madderpond" description:"the daemon"`
	Examples string `long:"examples" default:"examples" description:"the folder of examples"`
}

// Execute runs the example configuration until a signal arrives.
func (c *runTry) Execute([]string) error {
	return lab.RunTry(lab.TrySettings{Program: c.Program, Examples: c.Examples, Out: os.Stdout, Wait: awaitSignal})
}
