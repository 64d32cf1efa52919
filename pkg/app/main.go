package app

import (
	"errors"
	"fmt"
	"math"
	"os"
	"runtime/debug"

	"github.com/jessevdk/go-flags"

	"github.com/madderpond/madderpond/pkg/config"
	"github.com/madderpond/madderpond/pkg/fault"
	"github.com/madderpond/madderpond/pkg/reload"
)

// Exit codes of the daemon.
const (
	exitDone     = 0
	exitFailed   = 1
	exitSettings = 2
	// exitDataUnusable means that the data folder can't be used; a restart doesn't help.
	exitDataUnusable = 3
)

// options are the flags of the daemon's command line.
type options struct {
	Settings string `long:"settings" value-name:"FILE" description:"the settings file, JSON with comments"`
	Check    bool   `long:"check" description:"list the faults of the settings and exit"`
	Form     bool   `long:"form" description:"form the cluster, once, when this is its only replica"`
	Page     bool   `long:"print-settings-page" description:"print docs/SETTINGS.md and exit"`
}

// Main runs the daemon with the arguments of a command line, without the program's name, and
// returns its exit code.
func Main(arguments []string) int {
	var o options
	parser := flags.NewParser(&o, flags.Default)
	if _, err := parser.ParseArgs(arguments); err != nil {
		var f *flags.Error
		if errors.As(err, &f) && f.Type == flags.ErrHelp {
			return exitDone
		}
		return exitSettings
	}
	if o.Page {
		fmt.Print(config.Page())
		return exitDone
	}
	if o.Settings == "" {
		fmt.Fprintln(os.Stderr, "pass a settings file with --settings FILE, such as examples/local.jsonc")
		return exitSettings
	}
	s, err := config.Load(o.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if o.Check {
		fmt.Println("the settings have no faults")
		return exitDone
	}
	return Serve(s, reload.Source{Path: o.Settings, Load: config.Load}, o.Form)
}

// Serve runs a process with settings that were read from source until it stops, and returns
// its exit code. With form it forms the cluster, if the settings list one replica only.
func Serve(s *config.Settings, source reload.Source, form bool, factories ...ExtensionFactory) int {
	a, err := NewApp(s, source, factories...)
	if err != nil {
		return exitCode(err)
	}
	defer a.Close()
	setMemoryLimit(s)
	a.formOnStart = form && len(s.Replicas) == 1
	if err := a.Run(); err != nil {
		a.Log.WithError(err).WithField("kind", fault.KindOf(err)).Error("madderpond stopped with an error")
		return exitCode(err)
	}
	return exitDone
}

// setMemoryLimit sets the Go runtime's soft memory limit. Without a limit in the settings it
// removes one that was set before.
func setMemoryLimit(s *config.Settings) {
	limit := int64(math.MaxInt64)
	if s.MemoryLimitMB > 0 {
		limit = int64(s.MemoryLimitMB) << 20
	}
	debug.SetMemoryLimit(limit)
}

func exitCode(err error) int {
	switch fault.KindOf(err) {
	case fault.Settings:
		return exitSettings
	case fault.Damaged, fault.ForeignData:
		return exitDataUnusable
	}
	return exitFailed
}
