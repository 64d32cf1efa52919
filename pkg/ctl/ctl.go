// Package ctl implements madderctl, the command line tool for operators.
package ctl

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/madderpond/madderpond/pkg/client"
	"github.com/madderpond/madderpond/pkg/fault"
)

// Exit codes, documented in docs/MADDERCTL.md.
const (
	ExitDone         = 0
	ExitFailed       = 1
	ExitInvalid      = 2
	ExitConflict     = 3
	ExitUnavailable  = 4
	ExitUnauthorized = 5
	ExitDifferent    = 6
)

var exitCodes = map[fault.Kind]int{
	fault.Invalid:      ExitInvalid,
	fault.Settings:     ExitInvalid,
	fault.NotFound:     ExitInvalid,
	fault.TooLarge:     ExitInvalid,
	fault.Conflict:     ExitConflict,
	fault.Unavailable:  ExitUnavailable,
	fault.Unknown:      ExitUnavailable,
	fault.Unauthorized: ExitUnauthorized,
}

// errTableDiffers is returned by diff when it finds differences. It isn't a failure: it only
// selects the exit code.
var errTableDiffers = errors.New("the sheets and the table differ")

// Options are the flags that all commands accept.
type Options struct {
	Servers      []string      `short:"s" long:"server" value-name:"IP:PORT" env:"MADDERPOND_SERVERS" env-delim:"," description:"a control replica's administration address; may be given several times"`
	TokenFile    string        `long:"token-file" value-name:"FILE" env:"MADDERPOND_TOKEN_FILE" description:"the file that holds the bearer token"`
	JSON         bool          `long:"json" description:"print JSON for scripts"`
	Operator     string        `long:"operator" value-name:"NAME" env:"USER" description:"who makes the edit, for the history"`
	ID           string        `long:"id" value-name:"ID" description:"the edit's id; give the same one to send an edit again"`
	RetryTimeout time.Duration `long:"patience" default:"15s" value-name:"DURATION" description:"how long an edit without an answer is sent again"`
}

// Tool is one run of the command line.
type Tool struct {
	options Options
	out     io.Writer
	errOut  io.Writer
}

// command is one entry of the command line.
type command struct {
	name  string
	short string
	long  string
	data  any
	// subcommands is set for a group.
	subcommands []command
}

// commands returns the tree of commands. A command's handler is the method Execute of its
// data.
func (t *Tool) commands() []command {
	return []command{
		{name: "table", short: "read and change the table", data: &struct{}{}, subcommands: []command{
			{"get", "print the table", "Prints the table, or writes its two sheets with --services and --rows.", &tableGet{tool: t}, nil},
			{"apply", "make the table what two sheets say", "Reads the sheets, finds what differs from the table and makes one edit of it.", &tableApply{tool: t}, nil},
			{"edit", "change single cells", "Changes cells: --set SERVICE/TARGET.COLUMN=VALUE, or --set SERVICE.COLUMN=VALUE.", &tableEdit{tool: t}, nil},
			{"diff", "show what apply would change", "Exits with 6 when the sheets and the table differ.", &tableDiff{tool: t}, nil},
			{"history", "print the last accepted edits", "", &tableHistory{tool: t}, nil},
		}},
		{"weight", "set a row's weight", "madderctl weight SERVICE TARGET WEIGHT", &setWeight{tool: t}, nil},
		{"limit", "set a row's limits", "madderctl limit SERVICE TARGET --in-flight N --connections N --rate N", &setLimit{tool: t}, nil},
		{"leave", "mark a row as leaving, or as active again with --undo", "madderctl leave SERVICE TARGET", &setLeaving{tool: t}, nil},
		{"evacuate", "keep new calls away from all targets of a failure domain", "madderctl evacuate DOMAIN. Calls under way there end by themselves.", &orderEvacuation{tool: t, evacuate: true}, nil},
		{"restore", "give the targets of an evacuated failure domain calls again", "madderctl restore DOMAIN", &orderEvacuation{tool: t}, nil},
		{"evacuations", "list the failure domains that are or were evacuated", "", &listEvacuations{tool: t}, nil},
		{name: "rollout", short: "move a service to another version of its software", data: &struct{}{}, subcommands: []command{
			{"start", "order a rollout", "madderctl rollout start SERVICE VERSION DURATION. The targets of the version are to run beside the old ones; it is completed or rolled back within the time.", &startRollout{tool: t}, nil},
			{"show", "list the last rollouts of services", "Shows stage, share, time and answers of both versions; ask the leader for the answers.", &showRollouts{tool: t}, nil},
			{"abort", "roll back the rollout under way", "madderctl rollout abort SERVICE. The new version takes no calls any more; those under way there end by themselves.", &abortRollout{tool: t}, nil},
		}},
		{name: "quarantine", short: "see and release calls that crash the targets which run them", data: &struct{}{}, subcommands: []command{
			{"list", "list the calls that no target gets", "Shows since when, which targets crashed, and how long ago a box refused the call; ask the leader for the latter.", &listQuarantines{tool: t}, nil},
			{"release", "give a call to targets again", "madderctl quarantine release CALL, with a name as the list shows it. Targets that still crash under it bring it back.", &releaseCall{tool: t}, nil},
		}},
		{name: "document", short: "read and put whole tables under a version", data: &struct{}{}, subcommands: []command{
			{"get", "print the document in force", "Prints the newest document as it was put, or fails when no replica can be sure of it.", &documentGet{tool: t}, nil},
			{"put", "put a document in force", "madderctl document put FILE. The highest version holds; putting it again changes nothing.", &documentPut{tool: t}, nil},
		}},
		{"workspaces", "list the workspaces whose keys let calls in", "Shows priority, rate, burst, what the leader knows of the calls let in and refused over the last 10 s, and the beginnings of the keys' digests.", &listWorkspaces{tool: t}, nil},
		{"digest", "print the digest of a key for a document", "Reads the key from standard input, so that it stands in no history of commands. Needs no server.", &printDigest{tool: t}, nil},
		{"targets", "list the targets that registered by themselves", "Shows state, sequence, and how long ago the leader heard of each; ask the leader for the latter.", &listTargets{tool: t}, nil},
		{"regions", "list the routes that allow some regions only", "Names an entry box with --server; shows how many targets it has for each route.", &listRegions{tool: t}, nil},
		{"services", "list the services", "", &listServices{tool: t}, nil},
		{"status", "show who leads, who is in force at which revision and who is silent", "", &showStatus{tool: t}, nil},
		{"dump", "print a process's whole state as JSON", "Names the process with --server; entry boxes answer as well.", &showDump{tool: t}, nil},
		{"settings", "show which settings of a process are in force and what waits for a restart", "Names the process with --server; entry boxes answer as well. Exits with 2 when the file as it stands is refused.", &showSettings{tool: t}, nil},
		{"explain", "tell the story of one call out of log files", "madderctl explain ID FILE..., or with the logs on standard input. Needs no server.", &explainCall{tool: t}, nil},
		{"watch", "print each new revision as it comes", "", &watchTable{tool: t}, nil},
		{"form", "form the cluster, once", "Needs all control replicas running with empty data folders.", &formCluster{tool: t}, nil},
		{name: "folder", short: "read the data folders of replicas that aren't running", data: &struct{}{}, subcommands: []command{
			{"show", "print what data folders hold", "madderctl folder show FOLDER... Shows the position in the log, the revision and the document of each. Needs no server.", &showFolders{tool: t}, nil},
			{"export", "write the state in a data folder to a file", "madderctl folder export FOLDER FILE, for form --state. Needs no server.", &exportFolder{tool: t}, nil},
		}},
		{"completion", "print a bash completion script", "", &printCompletion{tool: t}, nil},
	}
}

// commandAdder is a parser or a command, to which subcommands can be added.
type commandAdder interface {
	AddCommand(command, shortDescription, longDescription string, data any) (*flags.Command, error)
}

func addCommands(parent commandAdder, commands []command) error {
	for _, c := range commands {
		long := c.long
		if long == "" {
			long = c.short
		}
		added, err := parent.AddCommand(c.name, c.short, long, c.data)
		if err != nil {
			return err
		}
		if err := addCommands(added, c.subcommands); err != nil {
			return err
		}
	}
	return nil
}

// Main runs the tool with the arguments of a command line, without the program's name, and
// returns its exit code.
func Main(arguments []string, out, errOut io.Writer) int {
	t := &Tool{out: out, errOut: errOut}
	parser := flags.NewNamedParser("madderctl", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Common options", "", &t.options); err != nil {
		fmt.Fprintln(errOut, err)
		return ExitFailed
	}
	if err := addCommands(parser, t.commands()); err != nil {
		fmt.Fprintln(errOut, err)
		return ExitFailed
	}
	_, err := parser.ParseArgs(arguments)
	return reportError(err, out, errOut)
}

// reportError prints an error and returns the exit code for it. The help text, which the
// parser returns as an error, goes to out.
func reportError(err error, out, errOut io.Writer) int {
	if err == nil {
		return ExitDone
	}
	if errors.Is(err, errTableDiffers) {
		return ExitDifferent
	}
	var usage *flags.Error
	if errors.As(err, &usage) {
		if usage.Type == flags.ErrHelp {
			fmt.Fprintln(out, err)
			return ExitDone
		}
		fmt.Fprintln(errOut, err)
		return ExitInvalid
	}
	fmt.Fprintln(errOut, err)
	if code, ok := exitCodes[fault.KindOf(err)]; ok {
		return code
	}
	return ExitFailed
}

// connect returns a client for the servers and the token of the options.
func (t *Tool) connect() (*client.Client, error) {
	return client.NewClient(t.options.Servers, t.options.TokenFile, t.options.RetryTimeout)
}

func (t *Tool) printJSON(v any) error {
	e := json.NewEncoder(t.out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// printTable prints rows of cells in aligned columns.
func (t *Tool) printTable(header []string, rows [][]string) error {
	w := tabwriter.NewWriter(t.out, 0, 0, 2, ' ', 0)
	for _, cells := range append([][]string{header}, rows...) {
		for _, c := range cells {
			fmt.Fprintf(w, "%s\t", c)
		}
		fmt.Fprintln(w)
	}
	return w.Flush()
}

// joinNames returns names with a separator between them.
func joinNames[T ~string](names []T, separator string) string {
	texts := make([]string, len(names))
	for i, n := range names {
		texts[i] = string(n)
	}
	return strings.Join(texts, separator)
}

// readFile reads a file that the command line names; what is named in the error.
func readFile(path, what string) ([]byte, error) {
	data, err := os.ReadFile(path)
	return data, fault.Wrap(err, fault.Invalid, "name a file that can be read", "%s can't be read", what)
}

func (t *Tool) print(format string, args ...any) { fmt.Fprintf(t.out, format, args...) }

// Run runs the tool with the process's command line and exits with its exit code.
func Run() { os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr)) }
