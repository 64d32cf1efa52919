package lab

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/sheet"
	"github.com/madderpond/madderpond/pkg/units"
)

// SpeedSettings configure the speed benchmark.
type SpeedSettings struct {
	Folder     string
	Program    string
	LabProgram string
	// Rates are the rates of the open-loop measurements, in calls a second.
	Rates []int
	// Duration is the length of each measurement.
	Duration time.Duration
	// Callers is the number of closed-loop callers of the throughput measurement.
	Callers int
	// IdleCallers is the number of idle connections of the memory measurement.
	IdleCallers int
}

// Latencies are the latency quantiles of one measurement, in microseconds.
type Latencies struct {
	Calls int     `json:"calls"`
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p999"`
}

// SpeedResult compares calls made directly to a target with calls through a box, in one run.
type SpeedResult struct {
	Machine string    `json:"machine"`
	Date    string    `json:"date"`
	Rates   []RateRow `json:"rates"`
	// DirectRate and ViaBoxRate are the highest throughput of one calling process, in calls a second.
	DirectRate float64 `json:"direct"`
	ViaBoxRate float64 `json:"through"`
	// CPUMicros is the box's processor time per call at the highest throughput, in microseconds.
	CPUMicros float64 `json:"cpuMicros"`
	// InitialMB, LoadedMB and IdleCallersMB are the box's resident memory in MiB: before any call,
	// after the load, and with IdleCallers idle connections.
	InitialMB     float64 `json:"restMB"`
	LoadedMB      float64 `json:"loadMB"`
	IdleCallersMB float64 `json:"idleMB"`
	IdleCallers   int     `json:"idle"`
}

// RateRow compares direct calls with calls through a box at one rate. Rounds alternate between
// them, so that noise of the machine affects both.
type RateRow struct {
	Rate   int       `json:"rate"`
	Direct Latencies `json:"direct"`
	ViaBox Latencies `json:"through"`
}

// rounds is the number of rounds of direct calls and of calls through a box.
const rounds = 4

// speedRun is one run of the speed benchmark.
type speedRun struct {
	SpeedSettings
	cluster *Cluster
	target  *TargetProcess
}

// RunSpeed measures the latency, processor time and memory that a box adds to calls of a stand-in
// target.
func RunSpeed(s SpeedSettings) (*SpeedResult, error) {
	x := &speedRun{SpeedSettings: s}
	defer x.stop()
	if err := x.start(); err != nil {
		return nil, err
	}
	r := &SpeedResult{Machine: machineDescription(), Date: time.Now().UTC().Format(time.RFC3339), IdleCallers: s.IdleCallers}
	box := x.cluster.Boxes[0]
	r.InitialMB = residentMB(box.Process.PID())
	for _, rate := range s.Rates {
		r.Rates = append(r.Rates, x.measureRate(rate))
	}
	r.DirectRate = x.throughput(x.target.Address)
	before := cpuTime(box.Process.PID())
	r.ViaBoxRate = x.throughput(box.Entry)
	spent := cpuTime(box.Process.PID()) - before
	r.CPUMicros = float64(spent.Microseconds()) / (r.ViaBoxRate * s.Duration.Seconds())
	r.LoadedMB = residentMB(box.Process.PID())
	conns, err := openIdleConns(box.Entry, s.IdleCallers)
	if err != nil {
		return nil, err
	}
	r.IdleCallersMB = residentMB(box.Process.PID())
	for _, c := range conns {
		c.Close()
	}
	return r, nil
}

func (x *speedRun) start() (err error) {
	x.target, err = StartTargetProcess(x.LabProgram, "target", x.Folder, "--slots", "512", "--queue", "4096", "--work", "0s")
	if err != nil {
		return err
	}
	if err := os.Remove(filepath.Clean(x.target.Journal)); err != nil && !os.IsNotExist(err) {
		return err
	}
	x.cluster, err = StartCluster(ClusterSettings{Folder: x.Folder, Program: x.Program, Replicas: 1, Boxes: 1})
	if err != nil {
		return err
	}
	v := sheet.NewService()
	v.Name, v.Hosts, v.Work = "speed", []string{"speed.test"}, table.AtMostOnce
	row := sheet.NewRow()
	row.Service, row.Target, row.Address = v.Name, units.TargetID("target"), x.target.Address
	result, err := x.cluster.Apply(sheet.Sheets{Services: []table.Service{v}, Rows: []table.Row{row}})
	if err != nil {
		return err
	}
	if err := x.cluster.AwaitRevision(x.cluster.Boxes[0], result.Revision, startTimeout); err != nil {
		return err
	}
	return x.cluster.AwaitReady(x.cluster.Boxes[0], startTimeout)
}

func (x *speedRun) stop() {
	if x.cluster != nil {
		x.cluster.Stop()
	}
	if x.target != nil {
		x.target.Process.Kill()
	}
}

func (x *speedRun) measureRate(rate int) RateRow {
	var direct, through []time.Duration
	for range rounds {
		direct = append(direct, openLoop(x.target.Address, rate, x.Duration/rounds)...)
		through = append(through, openLoop(x.cluster.Boxes[0].Entry, rate, x.Duration/rounds)...)
	}
	return RateRow{Rate: rate, Direct: latencyQuantiles(direct), ViaBox: latencyQuantiles(through)}
}

func newSpeedClient(address string) *fasthttp.HostClient {
	return &fasthttp.HostClient{Addr: address, MaxConns: maxCallerConns, MaxIdemponentCallAttempts: 1}
}

func timeCall(c *fasthttp.HostClient, address string) (time.Duration, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + "/")
	request.Header.SetHost("speed.test")
	request.UseHostHeader = true
	request.Header.Set(RequestHeader, "speed")
	started := time.Now()
	err := c.Do(request, response)
	if err == nil && response.StatusCode() != fasthttp.StatusOK {
		err = fmt.Errorf("status %d", response.StatusCode())
	}
	return time.Since(started), err
}

// openLoop makes calls at a steady rate, in calls a second, whether or not earlier ones have been
// answered, and returns the latencies of those that succeeded.
func openLoop(address string, rate int, d time.Duration) []time.Duration {
	client := newSpeedClient(address)
	defer client.CloseIdleConnections()
	for range 50 {
		timeCall(client, address)
	}
	var lock sync.Mutex
	var all []time.Duration
	var wait sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	for end := time.Now().Add(d); time.Now().Before(end); {
		<-ticker.C
		wait.Add(1)
		go func() {
			defer wait.Done()
			took, err := timeCall(client, address)
			if err != nil {
				return
			}
			lock.Lock()
			all = append(all, took)
			lock.Unlock()
		}()
	}
	wait.Wait()
	return all
}

// throughput makes closed-loop calls and returns the successful ones per second.
func (x *speedRun) throughput(address string) float64 {
	client := newSpeedClient(address)
	defer client.CloseIdleConnections()
	var lock sync.Mutex
	total := 0
	var wait sync.WaitGroup
	end := time.Now().Add(x.Duration)
	for range x.Callers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			n := 0
			for time.Now().Before(end) {
				if _, err := timeCall(client, address); err == nil {
					n++
				}
			}
			lock.Lock()
			total += n
			lock.Unlock()
		}()
	}
	wait.Wait()
	return float64(total) / x.Duration.Seconds()
}

func latencyQuantiles(all []time.Duration) Latencies {
	slices.Sort(all)
	at := func(q float64) float64 {
		if len(all) == 0 {
			return 0
		}
		return float64(all[min(int(q*float64(len(all))), len(all)-1)].Nanoseconds()) / 1000
	}
	return Latencies{Calls: len(all), P50: at(0.5), P99: at(0.99), P999: at(0.999)}
}

// Page formats the result as a Markdown page that names the command.
func (r *SpeedResult) Page(command string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "# Speed: what a box adds\n\nMachine: %s. Date: %s. Command: `%s`.\n\n", r.Machine, r.Date, command)
	b.WriteString("Calls made directly to a stand-in target and through one entry box to the same target, in turn in one run;\n")
	b.WriteString("callers, box and target share the machine. Microseconds.\n\n")
	b.WriteString("| calls/s | direct p50 | p99 | p99.9 | through p50 | p99 | p99.9 | added at p50 | added at p99 |\n|---|---|---|---|---|---|---|---|---|\n")
	for _, x := range r.Rates {
		fmt.Fprintf(&b, "| %d | %.0f | %.0f | %.0f | %.0f | %.0f | %.0f | %.0f | %.0f |\n", x.Rate,
			x.Direct.P50, x.Direct.P99, x.Direct.P999, x.ViaBox.P50, x.ViaBox.P99, x.ViaBox.P999,
			x.ViaBox.P50-x.Direct.P50, x.ViaBox.P99-x.Direct.P99)
	}
	fmt.Fprintf(&b, "\nHighest calls/s: %.0f direct, %.0f through the box (ratio %.2f). Processor time of the box: %.1f microseconds a call.\n",
		r.DirectRate, r.ViaBoxRate, r.ViaBoxRate/r.DirectRate, r.CPUMicros)
	fmt.Fprintf(&b, "Resident memory of the box: %.1f MB at rest, %.1f MB after the load, %.1f MB with %d idle callers more.\n",
		r.InitialMB, r.LoadedMB, r.IdleCallersMB, r.IdleCallers)
	return b.String()
}
