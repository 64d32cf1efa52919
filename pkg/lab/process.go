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

// Process is a child process of the lab, with the first lines of its log.
type Process struct {
	Name    string
	command *exec.Cmd
	lock    sync.Mutex
	lines   []string
	started chan Started
	exited  chan struct{}
	err     error
}

// Started is the log line that a process writes once it is ready: its listen addresses.
type Started struct {
	Kind  string `json:"kind"`
	Admin string `json:"admin"`
	Peer  string `json:"peer"`
	Entry string `json:"entry"`
}

// maxLogLines is the number of log lines kept of a process; later ones are discarded.
const maxLogLines = 500

// StartProcess starts a program and reads its standard output and standard error: its log and
// any panic of the runtime.
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
	go p.readOutput(output)
	return p, nil
}

func (p *Process) readOutput(log io.Reader) {
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

// AwaitStarted waits until the process logs that it has started. The error holds its log.
func (p *Process) AwaitStarted(timeout time.Duration) (Started, error) {
	select {
	case s := <-p.started:
		return s, nil
	case <-p.exited:
		// A process may have started and exited since.
		select {
		case s := <-p.started:
			return s, nil
		default:
		}
		return Started{}, fmt.Errorf("%s exited during startup (%v):\n%s", p.Name, p.err, p.Log())
	case <-time.After(timeout):
		return Started{}, fmt.Errorf("%s did not start within %s:\n%s", p.Name, timeout, p.Log())
	}
}

// Log returns the first lines of the process's output.
func (p *Process) Log() string {
	p.lock.Lock()
	defer p.lock.Unlock()
	return strings.Join(p.lines, "\n")
}

// Kill ends the process by SIGKILL and waits for its exit.
func (p *Process) Kill() {
	p.command.Process.Signal(syscall.SIGKILL)
	<-p.exited
}

// Freeze suspends the process by SIGSTOP.
func (p *Process) Freeze() { p.command.Process.Signal(syscall.SIGSTOP) }

// Unfreeze resumes a frozen process by SIGCONT.
func (p *Process) Unfreeze() { p.command.Process.Signal(syscall.SIGCONT) }

// Terminate requests a graceful shutdown by SIGTERM.
func (p *Process) Terminate() { p.command.Process.Signal(syscall.SIGTERM) }

// Reload makes the process reload its settings, by SIGHUP.
func (p *Process) Reload() { p.command.Process.Signal(syscall.SIGHUP) }

// AwaitExit waits until the process has exited and returns its exit code.
func (p *Process) AwaitExit(timeout time.Duration) (int, error) {
	select {
	case <-p.exited:
		return p.command.ProcessState.ExitCode(), nil
	case <-time.After(timeout):
		return 0, fmt.Errorf("%s did not exit within %s", p.Name, timeout)
	}
}

// Exited reports whether the process has exited.
func (p *Process) Exited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// PID returns the process id.
func (p *Process) PID() int { return p.command.Process.Pid }
