package lab

import (
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"
	"time"
)

// residentMB returns a process's resident memory in MiB; zero if it can't be read.
func residentMB(pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return float64(pages*os.Getpagesize()) / (1 << 20)
}

// clockTicks is the unit of processor time in /proc, in ticks a second.
const clockTicks = 100

// cpuTime returns a process's user and system time; zero if it can't be read.
func cpuTime(pid int) time.Duration {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	// The command name in the second field may contain spaces; the later fields don't.
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	const user, system = 11, 12
	if len(fields) <= system {
		return 0
	}
	a, _ := strconv.Atoi(fields[user])
	b, _ := strconv.Atoi(fields[system])
	return time.Duration(a+b) * time.Second / clockTicks
}

func machineDescription() string {
	model := runtime.GOARCH
	data, _ := os.ReadFile("/proc/cpuinfo")
	for line := range strings.SplitSeq(string(data), "\n") {
		if name, value, ok := strings.Cut(line, ":"); ok && strings.TrimSpace(name) == "model name" {
			model = strings.TrimSpace(value)
			break
		}
	}
	return fmt.Sprintf("%s, %d cores, %s", model, runtime.NumCPU(), runtime.Version())
}
