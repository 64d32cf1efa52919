package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// anonymousMB returns how much memory of its own a process has, in megabytes. What it shares with
// its program file isn't counted, so that the figure is rather too low.
func anonymousMB(pid int) (int, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, err := strconv.Atoi(strings.Fields(rest)[0])
			return kb / 1024, err
		}
	}
	return 0, fmt.Errorf("process %d states no memory", pid)
}

const (
	memoryCheckInterval = 2 * time.Millisecond
	restartDelay        = 500 * time.Millisecond
)

// enforceMemory does what the platform does with a process that goes over its machine's memory: it
// kills it, and starts it again after a short delay. It returns when done is closed.
func (f *fleet) enforceMemory(m *machine, done <-chan struct{}) (peakMB, kills int) {
	for {
		select {
		case <-done:
			return peakMB, kills
		case <-time.After(memoryCheckInterval):
		}
		mb, err := anonymousMB(m.process.Process.Pid)
		if err != nil {
			continue
		}
		peakMB = max(peakMB, mb)
		if mb <= m.memoryMB {
			continue
		}
		kills++
		f.record.printf("platform %s has %d MB of memory of its own, its machine has %d MB: it is killed", m.name, mb, m.memoryMB)
		m.signal(syscall.SIGKILL)
		<-m.exited
		time.Sleep(restartDelay)
		f.record.printf("platform %s is started again", m.name)
		if err := f.start(m); err != nil {
			f.record.printf("platform %s can't be started: %v", m.name, err)
			return peakMB, kills
		}
	}
}
