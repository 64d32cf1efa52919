package lab

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/google/uuid"

	"github.com/madderpond/madderpond/pkg/client"
	"github.com/madderpond/madderpond/pkg/config"
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/sheet"
	"github.com/madderpond/madderpond/pkg/units"
)

// startTimeout is the longest wait for a process, a cluster or a box to become ready.
const startTimeout = 20 * time.Second

// ClusterSettings describe a cluster of real processes.
type ClusterSettings struct {
	// Folder holds the settings files and data folders of all processes.
	Folder string
	// Program is the path of the daemon.
	Program  string
	Replicas int
	Boxes    int
	// Proxied puts a fault proxy in front of each replica's peer port.
	Proxied bool
	// Seeds is how many replicas the settings list as seeds; the cluster then forms and
	// grows by itself. With zero, the settings list all replicas and StartCluster forms
	// the cluster by an explicit call.
	Seeds int
	// Adjust, if set, changes a process's settings before it starts.
	Adjust func(*config.Settings)
}

// Node is one daemon of a cluster.
type Node struct {
	Settings *config.Settings
	Process  *Process
	Started
	settingsFile string
}

// Cluster is a set of real processes on the loopback address.
type Cluster struct {
	settings ClusterSettings
	Replicas []*Node
	Boxes    []*Node
	// Proxies are in front of the replicas' peer ports; empty unless Proxied is set.
	Proxies         []*FaultProxy
	replicaSettings []config.Replica
}

// StartCluster starts control replicas and entry boxes and forms the cluster.
// After an error everything is stopped already; otherwise the caller must call Stop.
func StartCluster(s ClusterSettings) (*Cluster, error) {
	c := &Cluster{settings: s}
	if err := c.start(); err != nil {
		c.Stop()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) start() error {
	direct, err := c.assignAddresses()
	if err != nil {
		return err
	}
	for i := range c.settings.Replicas {
		n, err := c.addNode(c.replicaSettings[i].Box, config.RoleControl, direct[i])
		if err != nil {
			return err
		}
		c.Replicas = append(c.Replicas, n)
	}
	if c.settings.Seeds == 0 {
		if err := c.form(); err != nil {
			return err
		}
	}
	for i := range c.settings.Boxes {
		n, err := c.addNode(fmt.Sprintf("box-%d", i+1), config.RoleEntry, "127.0.0.1:0")
		if err != nil {
			return err
		}
		c.Boxes = append(c.Boxes, n)
	}
	return nil
}

// assignAddresses chooses the replicas' addresses and returns those that they listen on. With
// proxies, the public addresses are those of the proxies.
func (c *Cluster) assignAddresses() (direct []string, err error) {
	for i := range c.settings.Replicas {
		address, err := FreeAddress()
		if err != nil {
			return nil, err
		}
		direct = append(direct, address)
		public := address
		if c.settings.Proxied {
			p, err := StartFaultProxy(address)
			if err != nil {
				return nil, err
			}
			c.Proxies = append(c.Proxies, p)
			public = p.Address()
		}
		c.replicaSettings = append(c.replicaSettings, config.Replica{Box: fmt.Sprintf("control-%d", i+1), Address: public})
	}
	return direct, nil
}

func (c *Cluster) addNode(name string, role config.Role, peer string) (*Node, error) {
	s := config.Defaults()
	s.Box = name
	s.Roles = []config.Role{role}
	s.Peer.Listen = peer
	s.Replicas = c.replicaSettings
	if c.settings.Seeds > 0 {
		c.setSeeds(s)
	}
	s.Control.DataFolder = filepath.Join(c.settings.Folder, name)
	s.Stop.Leave = config.Duration(300 * time.Millisecond)
	s.Entry.ProbePath = "/healthz"
	if c.settings.Adjust != nil {
		c.settings.Adjust(s)
	}
	n := &Node{Settings: s, settingsFile: filepath.Join(c.settings.Folder, name+".json")}
	return n, c.StartNode(n)
}

// setSeeds lists only the first replicas as seeds in a process's settings, and sets the
// address that a replica advertises to the others.
func (c *Cluster) setSeeds(s *config.Settings) {
	s.Replicas = []config.Replica{}
	s.Control.Growth.Bootstrap = true
	s.Seeds = []string{}
	for i, r := range c.replicaSettings {
		if i < c.settings.Seeds {
			s.Seeds = append(s.Seeds, r.Address)
		}
		if r.Box == s.Box {
			s.Peer.Advertise = r.Address
		}
	}
}

// StartNode starts a node's process, for the first time or after it has ended.
func (c *Cluster) StartNode(n *Node) (err error) {
	if err := n.WriteSettings(); err != nil {
		return err
	}
	if n.Process, err = StartProcess(n.Settings.Box, c.settings.Program, "--settings", n.settingsFile); err != nil {
		return err
	}
	n.Started, err = n.Process.AwaitStarted(startTimeout)
	if n.Started.Admin != "" {
		// Keeps the administration address across restarts.
		n.Settings.Admin.Listen = n.Started.Admin
	}
	return err
}

// WriteSettings writes a node's settings file, whether or not its process runs. The file
// is replaced atomically, so that no process reads a partial one.
func (n *Node) WriteSettings() error {
	data, err := json.MarshalIndent(n.Settings, "", "  ")
	if err != nil {
		return err
	}
	next := n.settingsFile + ".next"
	if err := os.WriteFile(next, data, 0o600); err != nil {
		return err
	}
	return os.Rename(next, n.settingsFile)
}

// EraseData removes a stopped replica's data folder.
func (c *Cluster) EraseData(n *Node) error { return os.RemoveAll(n.Settings.Control.DataFolder) }

// AdminAddresses returns the control replicas' administration addresses.
func (c *Cluster) AdminAddresses() []string {
	var addresses []string
	for _, n := range c.Replicas {
		addresses = append(addresses, n.Admin)
	}
	return addresses
}

// Client returns a client of all control replicas.
func (c *Cluster) Client() (*client.Client, error) {
	return client.NewClient(c.AdminAddresses(), "", startTimeout)
}

func (c *Cluster) form() error {
	api, err := c.Client()
	if err != nil {
		return err
	}
	return Eventually(startTimeout, func() error {
		_, err := api.FormCluster(nil)
		return err
	})
}

// Apply updates the table to match the sheets, without deleting anything.
func (c *Cluster) Apply(s sheet.Sheets) (*table.Result, error) {
	api, err := c.Client()
	if err != nil {
		return nil, err
	}
	return ApplySheets(api, s)
}

// ApplySheets updates the table to match the sheets in one edit, without deleting anything.
func ApplySheets(api *client.Client, s sheet.Sheets) (*table.Result, error) {
	t, err := api.Table()
	if err != nil {
		return nil, err
	}
	operations := sheet.Diff(t, s, false)
	result, err := api.SubmitEdit(&table.Edit{
		ID: units.EditID(uuid.NewString()), Operator: "lab", Operations: operations, Bases: sheet.Bases(t, operations),
	})
	if err == nil && result.Outcome != table.Accepted {
		err = fmt.Errorf("the edit wasn't accepted: %s", result.Detail)
	}
	return result, err
}

// AwaitRevision waits until a box holds a lease and its table is at least at a revision.
func (c *Cluster) AwaitRevision(n *Node, revision units.Revision, timeout time.Duration) error {
	return Eventually(timeout, func() error {
		d, err := n.Dump()
		if err != nil {
			return err
		}
		if d.Entry.Subscription.Revision < revision || d.Entry.Subscription.LeaseLeft <= 0 {
			return fmt.Errorf("%s is at revision %d", n.Settings.Box, d.Entry.Subscription.Revision)
		}
		return nil
	})
}

// AwaitReady waits until a box is ready.
func (c *Cluster) AwaitReady(n *Node, timeout time.Duration) error {
	return Eventually(timeout, func() error {
		status, err := n.get("/ready", nil)
		if err == nil && status != 200 {
			err = fmt.Errorf("%s isn't ready", n.Settings.Box)
		}
		return err
	})
}

// Stop kills every process and closes every proxy.
func (c *Cluster) Stop() {
	for _, n := range append(c.Boxes, c.Replicas...) {
		if n.Process != nil && !n.Process.Exited() {
			n.Process.Kill()
		}
	}
	for _, p := range c.Proxies {
		p.Close()
	}
}

// pollPeriod is the interval between attempts of Eventually.
const pollPeriod = 10 * time.Millisecond

// Eventually calls f until it returns no error; after the timeout it returns f's last error.
func Eventually(timeout time.Duration, f func() error) error {
	deadline := time.Now().Add(timeout)
	for {
		err := f()
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(pollPeriod)
	}
}
