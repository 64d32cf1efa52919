// Package lab is madderpond's own model of the systems it serves: stand-in
// targets that keep a journal of what they ran, callers that check every answer,
// a proxy that brings about network faults, and real processes to put between
// them. The demo, the measurements and the integration tests are built on it.
package lab

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"sync"
)

// Journal is a target's own record of the calls that it ran, kept in a file so
// that it outlives the target.
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

// Add notes that a call is run; it returns once the line is with the system.
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

// RunCounts counts how often each request was run, over several journals.
type RunCounts map[string]int

// ReadJournals adds up the journals of several targets.
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
