package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"
)

const (
	// successorDelay is how long after the loss of a core machine its successor starts.
	successorDelay = time.Second
	// catchUp is the deployment's catch-up-s: after it a successor or a machine that is back
	// doesn't count as lost any more.
	catchUp = 4 * time.Second
	// restartTime is how long a machine that is restarted is down.
	restartTime = 500 * time.Millisecond
	// wipedDown is how long the machines that lose their disks are down.
	wipedDown = time.Second
	// readTime is how long the operator asks for the configuration at the end; recover-s is 15.
	readTime = 25 * time.Second
)

// replacedCase replaces one core machine by an empty one and restarts the leading one, each within
// what the deployment bears at once, and then has two machines lose their disks, which it bears too.
func replacedCase(r *record, trouble bool) (broken bool, err error) {
	f, err := newFleet(r, 1)
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return false, err
	}
	if err := f.configure([]route{{"shop.example", "/pay/", "unsafe", "ledger", 3, 0.5}}); err != nil {
		return false, err
	}
	if _, err := f.endpoints("ledger", 3, 20*time.Millisecond); err != nil {
		return false, err
	}
	if err := f.awaitCalm(); err != nil {
		return false, err
	}
	first := slices.Clone(f.cores)
	if trouble {
		if err := f.replaceAndRestart(first); err != nil {
			return false, err
		}
	}
	const version = 7
	if err := f.order(http.MethodPut, "/v1/config", configuration(version, []route{{"shop.example", "/pay/", "unsafe", "ledger", 2.5, 0.5}})); err != nil {
		return false, err
	}
	r.printf("operator version r%d is acknowledged", version)
	// Two of the first machines, and neither the replaced one nor its successor.
	for _, m := range first[3:] {
		f.wipe(m)
	}
	time.Sleep(wipedDown)
	for _, m := range first[3:] {
		r.printf("platform %s starts again with an empty disk", m.name)
		if err := f.start(m); err != nil {
			return false, err
		}
	}
	return !f.readBack(fmt.Sprintf("r%d", version)), nil
}

// replaceAndRestart loses the first machine for good, starts a successor, and restarts the machine
// that leads, when the lost one has stopped counting.
func (f *fleet) replaceAndRestart(cores []*machine) error {
	gone := cores[0]
	if leader := f.leader(); leader == gone {
		// The case restarts the leader later, so another machine is replaced.
		gone = cores[1]
	}
	start := time.Now()
	f.record.printf("platform %s is gone for good", gone.name)
	gone.signal(syscall.SIGKILL)
	<-gone.exited
	time.Sleep(time.Until(start.Add(successorDelay)))
	successor := f.newMachine("core", strings.TrimSuffix(gone.ip, gone.ip[strings.LastIndex(gone.ip, ".")+1:])+"6", gone.zone, coreMemoryMB)
	successor.bootstrap = false
	f.cores = append(slices.DeleteFunc(slices.Clone(f.cores), func(m *machine) bool { return m == gone }), successor)
	f.record.printf("platform %s starts in its place, empty", successor.name)
	if err := f.start(successor); err != nil {
		return err
	}
	time.Sleep(time.Until(start.Add(successorDelay + catchUp + 500*time.Millisecond)))
	f.record.printf("platform %s has had catch-up-s; the lost machine doesn't count any more", successor.name)
	m := f.leader()
	if m == nil {
		return fmt.Errorf("no machine leads")
	}
	f.record.printf("platform %s gets SIGTERM and starts again", m.name)
	m.signal(syscall.SIGTERM)
	<-m.exited
	time.Sleep(restartTime)
	if err := f.start(m); err != nil {
		return err
	}
	time.Sleep(catchUp)
	f.record.printf("platform %s has had catch-up-s; no machine counts as lost", m.name)
	return nil
}

// leader returns the core machine that all say leads, by the newest line of their output.
func (f *fleet) leader() *machine {
	address, term := "", 0.0
	for _, m := range f.cores {
		file, err := os.Open(filepath.Join(f.folder, m.name+".log"))
		if err != nil {
			continue
		}
		lines := bufio.NewScanner(file)
		for lines.Scan() {
			var x struct {
				Kind, Leader string
				Term         float64
			}
			if json.Unmarshal(lines.Bytes(), &x) == nil && x.Kind == "leader" && x.Leader != "" && x.Term >= term {
				address, term = x.Leader, x.Term
			}
		}
		file.Close()
	}
	for _, m := range f.cores {
		if strings.HasPrefix(address, m.ip+":") {
			return m
		}
	}
	return nil
}

// wipe takes a machine's power and its disk.
func (f *fleet) wipe(m *machine) {
	f.record.printf("platform %s loses power and its disk", m.name)
	m.signal(syscall.SIGKILL)
	<-m.exited
	os.RemoveAll(filepath.Join(m.folder, "data"))
}

// readBack asks all core machines for the configuration until one gives the version.
func (f *fleet) readBack(version string) bool {
	last := map[string]string{}
	for until := time.Now().Add(readTime); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		for _, m := range f.cores {
			response, err := f.http.Get("http://" + f.address(m, "control") + "/v1/config")
			if err != nil {
				last[m.name] = err.Error()
				continue
			}
			text, _ := io.ReadAll(response.Body)
			response.Body.Close()
			last[m.name] = fmt.Sprintf("%d %.120s", response.StatusCode, text)
			var c struct{ Version string }
			if response.StatusCode == http.StatusOK && json.Unmarshal(text, &c) == nil {
				f.record.printf("read     %s answers 200 with %s", m.name, c.Version)
				return c.Version == version
			}
		}
	}
	for name, text := range last {
		f.record.printf("read     %s at last: %s", name, text)
	}
	f.record.printf("read     no machine has given the configuration for %s", readTime)
	return false
}
