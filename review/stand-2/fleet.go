package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The bounds of the deployments on the users' pages (SYSTEM.md, both sites), in seconds.
const (
	contactS   = 3.0
	ackS       = 4.0
	catchUpS   = 4.0
	drainS     = 2.0
	graceS     = 6.0
	heartbeatS = 1.5
)

// box is one machine of the system with its process.
type box struct {
	name, ip, zone, serves string
	data                   string
	bootstrap              bool
	process                *exec.Cmd
	ended                  chan struct{}
	startedAt              time.Time
	frozen                 bool
}

// fleet is a small deployment: boxes with loopback addresses of their own and the same ports.
type fleet struct {
	root, folder string
	prefix       string
	ports        map[string]int
	cores        []*box
	fronts       []*box
	record       *record
	lock         sync.Mutex
}

var zones = []string{"akl-a", "akl-b", "akl-c"}

// newFleet starts core machines and fronts.
func newFleet(r *record, cores, fronts int) (*fleet, error) {
	root := os.Getenv("ROOT")
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{root: root, folder: folder, record: r, ports: map[string]int{}}
	f.prefix = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
	for _, name := range []string{"internal", "control", "front", "ready"} {
		if f.ports[name], err = freePort(); err != nil {
			return nil, err
		}
	}
	for i := range cores {
		f.cores = append(f.cores, f.newBox("core", i, 10+i, "control"))
	}
	for i := range fronts {
		f.fronts = append(f.fronts, f.newBox("front", i, 40+i, "front"))
	}
	for _, b := range f.all() {
		if err := f.start(b); err != nil {
			return f, err
		}
		b.bootstrap = false
	}
	return f, nil
}

func (f *fleet) newBox(class string, i, host int, serves string) *box {
	zone := zones[i%len(zones)]
	name := fmt.Sprintf("%s-%s-%d", class, zone, i+1)
	return &box{name: name, ip: f.prefix + fmt.Sprint(host), zone: zone, serves: serves, bootstrap: true, data: filepath.Join(f.folder, name)}
}

func (f *fleet) all() []*box { return append(append([]*box{}, f.cores...), f.fronts...) }

func freePort() (int, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// settings returns the settings file of a box, as DEPLOY.md shows it.
func (f *fleet) settings(b *box) string {
	var seeds []string
	for _, c := range f.cores[:min(3, len(f.cores))] {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", c.ip, f.ports["control"])))
	}
	t := fmt.Sprintf("node = %q\nrole = %q\nmachine-class = %q\nserves = [%q]\nip = %q\nzone = %q\nregion = \"akl\"\ninternal-ports = [%d,%d]\nseeds = [%s]\nbootstrap = %t\n",
		b.name, b.serves, strings.SplitN(b.name, "-", 2)[0], b.serves, b.ip, b.zone, f.ports["internal"], f.ports["internal"], strings.Join(seeds, ","), b.bootstrap)
	if b.serves == "control" {
		t += fmt.Sprintf("count-as-fault = true\ndata-dir = %q\n", b.data)
	} else {
		t += "count-as-fault = false\n"
	}
	t += "discovery = \"registration\"\nentry = \"vip\"\nheartbeat-s = 1.5\ncontracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"health\"]\nconfig-mode = \"highest\"\n"
	t += "[zones]\nakl-a = \"akl\"\nakl-b = \"akl\"\nakl-c = \"akl\"\n[listen]\n"
	if b.serves == "control" {
		t += fmt.Sprintf("control = \"%s:%d\"\n", b.ip, f.ports["control"])
	} else {
		t += fmt.Sprintf("front = \"%s:%d\"\nready = \"%s:%d\"\n", b.ip, f.ports["front"], b.ip, f.ports["ready"])
	}
	if b.serves == "control" {
		t += "[limits]\ncpu-share = 0.96\ncores = 1\nmemory-mb = 280\nmax-fds = 4096\nlink-mbps = 1000.0\ndisk-mb = 256\n"
	} else {
		t += "[limits]\ncpu-share = 0.32\ncores = 1\nmemory-mb = 284\nmax-fds = 4100\nlink-mbps = 1000.0\ndisk-mb = 0\n"
	}
	t += "[fault-tolerance]\nmachines = 2\nzones = 0\nregions = 0\n[bounds]\nseed-lag-s = 3\naddr-reuse-s = 2\ncontact-s = 3\nack-s = 4\ncatch-up-s = 4\ndrain-s = 2\ngrace-s = 6\nloss-slack-s = 0.2\nconfig-apply-s = 2\nrollback-slack-s = 0.25\nmax-skew-s = 5\nretry-budget-ratio = 0.2\nretry-window-s = 10\nretry-slack = 56\nrecover-s = 15\nprobes-per-s = 60\n"
	return t
}

// start starts a box's process with the command of the deploy file.
func (f *fleet) start(b *box) error {
	boot := filepath.Join(f.folder, b.name+".toml")
	if err := os.WriteFile(boot, []byte(f.settings(b)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(f.folder, b.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	c := exec.Command("target/madderpond-platform")
	c.Dir = f.root
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MADDERPOND_BOOT=" + boot}
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	b.process, b.ended, b.startedAt = c, make(chan struct{}), time.Now()
	go func(ended chan struct{}) { c.Wait(); close(ended) }(b.ended)
	return nil
}

func (b *box) signal(s syscall.Signal) { b.process.Process.Signal(s) }

// kill ends a box's process and waits for it.
func (b *box) kill() {
	b.signal(syscall.SIGKILL)
	<-b.ended
}

// stop ends all processes.
func (f *fleet) stop() {
	for _, b := range f.all() {
		if b.process != nil {
			b.signal(syscall.SIGKILL)
			<-b.ended
		}
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(f.folder)
	} else {
		fmt.Fprintln(os.Stderr, "kept", f.folder)
	}
}

func (f *fleet) controlURL(b *box, path string) string {
	return fmt.Sprintf("http://%s:%d%s", b.ip, f.ports["control"], path)
}

// callers of control open a connection for each call and wait for a second.
var controlClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// control sends one call to a core machine. The status is 0 without an answer.
func (f *fleet) control(b *box, method, path string, body any) (int, []byte) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	q, err := http.NewRequest(method, f.controlURL(b, path), bytes.NewReader(data))
	if err != nil {
		return 0, nil
	}
	q.Header.Set("Content-Type", "application/json")
	a, err := controlClient.Do(q)
	if err != nil {
		return 0, nil
	}
	defer a.Body.Close()
	text, err := io.ReadAll(a.Body)
	if err != nil {
		return 0, nil
	}
	return a.StatusCode, text
}

// order sends an operator's order until it is acknowledged, to one machine after another.
func (f *fleet) order(method, path string, body any) (time.Time, error) {
	end := time.Now().Add(20 * time.Second)
	for i := rand.IntN(len(f.cores)); time.Now().Before(end); i++ {
		s, text := f.control(f.cores[i%len(f.cores)], method, path, body)
		if s/100 == 2 {
			return time.Now(), nil
		}
		if s == 400 || s == 409 || s == 413 {
			return time.Time{}, fmt.Errorf("%s %s: %d %s", method, path, s, text)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return time.Time{}, fmt.Errorf("%s %s isn't acknowledged", method, path)
}

func (f *fleet) frontAddress(b *box) string { return fmt.Sprintf("%s:%d", b.ip, f.ports["front"]) }

// ready asks a front as the platform does.
func (f *fleet) ready(b *box) bool {
	a, err := controlClient.Get(fmt.Sprintf("http://%s:%d/v1/readiness", b.ip, f.ports["ready"]))
	if err != nil {
		return false
	}
	a.Body.Close()
	return a.StatusCode == 200
}

// awaitReady waits until all fronts call themselves ready.
func (f *fleet) awaitReady() error {
	end := time.Now().Add(20 * time.Second)
	for _, b := range f.fronts {
		for !f.ready(b) {
			if time.Now().After(end) {
				return fmt.Errorf("%s isn't ready", b.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// record writes what happened, with the time since the start.
type record struct {
	lock  sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord() (*record, error) {
	f, err := os.Create(os.Getenv("RECORD"))
	return &record{file: f, start: time.Now()}, err
}

func (r *record) at(t time.Time, format string, args ...any) {
	r.lock.Lock()
	defer r.lock.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", t.Sub(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) now(format string, args ...any) { r.at(time.Now(), format, args...) }

// say writes to the record and to standard output.
func (r *record) say(format string, args ...any) {
	r.now(format, args...)
	fmt.Printf(format+"\n", args...)
}
