package lab

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Process is a process that the lab has started, with its log.
type Process struct {
	Name    string
	command *exec.Cmd
	lock    sync.Mutex
	lines   []string
	started chan Started
	exited  chan struct{}
	err     error
}

// Started is what a process says of itself once it serves.
type Started struct {
	Kind  string `json:"kind"`
	Admin string `json:"admin"`
	Peer  string `json:"peer"`
	Entry string `json:"entry"`
}

// maxLogLines bounds the log lines kept of a process.
const maxLogLines = 500

// StartProcess starts a program and follows what it writes: its log, and whatever the
// runtime says on standard error.
func StartProcess(name, program string, arguments ...string) (*Process, error) {
	p := &Process{
		Name: name, command: exec.Command(program, arguments...),
		started: make(chan Started, 1), exited: make(chan struct{}),
	}
	output, err := p.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	p.command.Stderr = p.command.Stdout
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	go p.follow(output)
	return p, nil
}

func (p *Process) follow(log io.Reader) {
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		p.recordLine(lines.Text())
	}
	p.err = p.command.Wait()
	close(p.exited)
}

func (p *Process) recordLine(line string) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if len(p.lines) < maxLogLines {
		p.lines = append(p.lines, line)
	}
	var s Started
	if json.Unmarshal([]byte(line), &s) == nil && s.Kind == "started" {
		select {
		case p.started <- s:
		default:
		}
	}
}

// AwaitStarted waits until the process says that it serves.
func (p *Process) AwaitStarted(limit time.Duration) (Started, error) {
	select {
	case s := <-p.started:
		return s, nil
	case <-p.exited:
		return Started{}, fmt.Errorf("%s ended at its start:\n%s", p.Name, p.Log())
	case <-time.After(limit):
		return Started{}, fmt.Errorf("%s didn't start in %s:\n%s", p.Name, limit, p.Log())
	}
}

// Log returns the first lines of the process's log.
func (p *Process) Log() string {
	p.lock.Lock()
	defer p.lock.Unlock()
	return strings.Join(p.lines, "\n")
}

// Kill ends the process without warning.
func (p *Process) Kill() {
	p.command.Process.Signal(syscall.SIGKILL)
	<-p.exited
}

// Freeze makes the process stand still.
func (p *Process) Freeze() { p.command.Process.Signal(syscall.SIGSTOP) }

// Unfreeze lets a frozen process go on.
func (p *Process) Unfreeze() { p.command.Process.Signal(syscall.SIGCONT) }

// Terminate asks the process for a planned stop.
func (p *Process) Terminate() { p.command.Process.Signal(syscall.SIGTERM) }

// Reload tells the process that its settings may have changed.
func (p *Process) Reload() { p.command.Process.Signal(syscall.SIGHUP) }

// AwaitExit waits for the process's end and returns its exit code.
func (p *Process) AwaitExit(limit time.Duration) (int, error) {
	select {
	case <-p.exited:
		return p.command.ProcessState.ExitCode(), nil
	case <-time.After(limit):
		return 0, fmt.Errorf("%s didn't end in %s", p.Name, limit)
	}
}

// Exited tells whether the process has ended.
func (p *Process) Exited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// PID is the process's id.
func (p *Process) PID() int { return p.command.Process.Pid }
