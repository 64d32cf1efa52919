// Package lab is a test bed for madderpond: stand-in targets that journal the calls they
// run, callers that check every answer, a proxy that injects network faults, and helpers
// that run real daemons between them. The demo, the benchmarks and the integration tests
// are built on it.
package lab

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"sync"
)

// Journal records the calls that a target ran, in a file that survives the target's process.
type Journal struct {
	lock sync.Mutex
	file *os.File
}

// OpenJournal opens a journal for appending.
func OpenJournal(path string) (*Journal, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	return &Journal{file: f}, nil
}

// Add records that a call is about to run; it returns once the line is written to the
// operating system.
func (j *Journal) Add(service, request string) error {
	if j == nil {
		return nil
	}
	j.lock.Lock()
	defer j.lock.Unlock()
	_, err := fmt.Fprintf(j.file, "%s %s\n", service, request)
	return err
}

// Close closes the file.
func (j *Journal) Close() error { return j.file.Close() }

// RunCounts holds how often each request ran, by request id.
type RunCounts map[string]int

// ReadJournals adds up the journals of several targets; missing files count as empty.
func ReadJournals(paths ...string) (RunCounts, error) {
	runs := RunCounts{}
	for _, p := range paths {
		if err := runs.read(p); err != nil {
			return nil, err
		}
	}
	return runs, nil
}

func (x RunCounts) read(path string) error {
	f, err := os.Open(path)
	if os.IsNotExist(err) {
		return nil
	}
	if err != nil {
		return err
	}
	defer f.Close()
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		if _, request, ok := strings.Cut(lines.Text(), " "); ok {
			x[request]++
		}
	}
	return lines.Err()
}
