// Package config defines the daemon's settings. They are read from one file in JSON with
// comments. Every field has a default and a description, and all errors are reported at once.
package config

import (
	"strings"

	"github.com/madderpond/madderpond/pkg/core/routing"
	"github.com/madderpond/madderpond/pkg/units"
)

// Settings are a process's settings. The doc tag is a field's description in docs/SETTINGS.md,
// the validate tag its constraints.
type Settings struct {
	Box      string `json:"box" validate:"required,name" doc:"This box's name; no other box of the deployment has it. A control replica goes by it as well."`
	Domain   string `json:"domain" validate:"omitempty,name" doc:"The failure domain that this box stands in."`
	Roles    []Role `json:"roles" validate:"required,min=1,unique,dive,oneof=entry control" doc:"What this process does: entry, control, or both."`
	LogLevel string `json:"logLevel" validate:"oneof=error warn info debug" doc:"The least level that is logged: error, warn, info or debug."`
	// MemoryLimitMB is a soft limit in MiB.
	MemoryLimitMB int        `json:"memoryLimitMB" validate:"min=0,max=1048576" doc:"The memory, in MB, that the process tries to stay below: near it the garbage collector works harder. Set it well below what the box allows; 0 is no limit."`
	Peer          Peer       `json:"peer" doc:"The port for madderpond's own processes."`
	Replicas      []Replica  `json:"replicas" validate:"max=7,unique=Box,unique=Address,dive" doc:"All control replicas, the same list on every box. Either this or seeds is given."`
	Seeds         []string   `json:"seeds" validate:"max=7,unique,dive,ipport" doc:"Peer addresses of some control replicas, for a cluster that forms and grows by itself. A replica then goes by its own peer address, and the others are learned."`
	Control       Control    `json:"control" doc:"The control replica; used only with the role control."`
	Entry         Entry      `json:"entry" doc:"The entry for callers; used only with the role entry."`
	Admin         Admin      `json:"admin" doc:"The port for operators and for the platform's health checks."`
	Metrics       Metrics    `json:"metrics" doc:"The port for metrics alone."`
	Platform      Platform   `json:"platform" doc:"The platform's list of live and leaving boxes."`
	Stop          StopTiming `json:"stop" doc:"The planned stop."`

	Regions map[units.Domain]units.Region `json:"regions" validate:"max=1024,dive,keys,name,endkeys,name" doc:"The regions of the failure domains, as in {\"north-a\": \"north\"}, the same on every box. A target whose domain isn't listed has no region: routes that allow some regions only don't use it."`
}

// Role is a function of a process.
type Role string

// The roles: RoleEntry accepts calls and sends them to targets, RoleControl runs a control
// replica.
const (
	RoleEntry   Role = "entry"
	RoleControl Role = "control"
)

// Has reports whether the process has a role.
func (s *Settings) Has(r Role) bool {
	for _, have := range s.Roles {
		if have == r {
			return true
		}
	}
	return false
}

// OwnPeerAddress returns the fixed address at which other processes reach this one, or an
// empty string if the settings give no address with a fixed port.
func (s *Settings) OwnPeerAddress() string {
	for _, address := range []string{s.Peer.Advertise, s.Peer.Listen} {
		if address != "" && !strings.HasSuffix(address, ":0") {
			return address
		}
	}
	return ""
}

// ReplicaName returns the name of this process's replica: its peer address in a cluster with
// seeds, else its box's name.
func (s *Settings) ReplicaName() string {
	if len(s.Seeds) > 0 {
		return s.OwnPeerAddress()
	}
	return s.Box
}

// ReplicaNames returns the names of the replicas in the settings.
func (s *Settings) ReplicaNames() []string {
	if len(s.Seeds) > 0 {
		return s.Seeds
	}
	names := make([]string, 0, len(s.Replicas))
	for _, r := range s.Replicas {
		names = append(names, r.Box)
	}
	return names
}

// ReplicaIDs returns the ids of the replicas in the settings.
func (s *Settings) ReplicaIDs() []units.ReplicaID {
	names := s.ReplicaNames()
	ids := make([]units.ReplicaID, 0, len(names))
	for _, n := range names {
		ids = append(ids, units.ReplicaID(n))
	}
	return ids
}

// Peer holds the settings of the port for connections between madderpond processes.
type Peer struct {
	Listen    string `json:"listen" validate:"ipport" doc:"IP number and port to listen on; port 0 takes a free one."`
	Advertise string `json:"advertise" validate:"omitempty,ipport" doc:"Where the other boxes reach this one; empty means the address listened on."`
	// Certificate, Key and Authority are set together or not at all.
	Certificate string `json:"certificate" validate:"required_with=Key Authority" doc:"The certificate in PEM by which this process shows itself to the others; it names the box as a DNS name. Empty leaves the connections between processes open."`
	Key         string `json:"key" validate:"required_with=Certificate" doc:"The key in PEM that belongs to the certificate."`
	Authority   string `json:"authority" validate:"required_with=Certificate" doc:"The certificate in PEM of the authority that signs all of them."`
}

// Replica is a control replica in the list that all boxes share.
type Replica struct {
	Box     string `json:"box" validate:"required,name" doc:"The replica's box."`
	Address string `json:"address" validate:"required,ipport" doc:"The IP number and port of its peer port."`
}

// Control holds the settings of a control replica.
type Control struct {
	DataFolder      string   `json:"dataFolder" doc:"The folder of this replica's durable state."`
	ElectionTimeout Duration `json:"electionTimeout" validate:"min=20ms,max=30s" doc:"The least time without a leader before an election. It must be well above the slowest round trip between replicas."`
	Heartbeat       Duration `json:"heartbeat" validate:"min=5ms,max=10s" doc:"The time between two messages of the leader; at most a third of electionTimeout."`
	Lease           Duration `json:"lease" validate:"min=100ms,max=60s" doc:"How long a box serves on without hearing of the leader. An accepted edit is in force everywhere within lease plus electionTimeout, or the box in question serves no more."`
	Growth          Growth   `json:"growth" doc:"How a cluster with seeds forms and grows; unused with replicas."`
	MinCopies       int      `json:"minCopies" validate:"min=0,max=7" doc:"How many disks must hold a change before it is accepted, where that is more than a quorum; one more than the disks that may be lost at once. 0 asks for a quorum."`
	SilentAfter     Duration `json:"silentAfter" validate:"min=0s,max=1h" doc:"How long a registered target may go without a report before it counts as silent; 0s never takes one for silent."`
	ReadTimeout     Duration `json:"readTimeout" validate:"min=10ms,max=60s" doc:"How long a read of the newest table or document may wait for the leader's word."`
	EditTimeout     Duration `json:"editTimeout" validate:"min=100ms,max=60s" doc:"How long an edit may wait for a quorum before its outcome is called unknown."`
	SnapshotEvery   int      `json:"snapshotEvery" validate:"min=10,max=1000000" doc:"How many log entries go between two snapshots at the least; half as many as there are registered targets where that is more."`
	Rollout         Rollout  `json:"rollout" doc:"Rollouts of new versions of services' software."`
	KeepEntries     int      `json:"keepEntries" validate:"min=0,max=1000000" doc:"How many entries stay in the log behind a snapshot, for replicas that are a little behind."`
}

// Rollout holds the settings of rollouts, which move a service to a new version of its software.
type Rollout struct {
	Enabled bool    `json:"enabled" doc:"Whether rollouts may be ordered. Then a service's registered targets get calls only if they are of the version in force, which is that of its first targets. It must be the same on all control replicas."`
	Share   float64 `json:"share" validate:"gt=0,max=50" doc:"The part of a service's calls that a bad version may take from the order to its deadline, in hundredths; the trial takes half of it."`
	Slack   int     `json:"slack" validate:"min=1,max=1000000" doc:"The calls that a bad version may take beside that share."`
}

// Growth holds the settings for the automatic formation and growth of a cluster with seeds.
type Growth struct {
	Bootstrap    bool     `json:"bootstrap" doc:"Whether a new cluster may be formed. It is true only when the whole system starts for the first time."`
	Voters       int      `json:"voters" validate:"min=1,max=9" doc:"How many voting replicas the cluster grows to; twice the disks that may be lost at once, and one."`
	ReplaceAfter Duration `json:"replaceAfter" validate:"min=100ms,max=24h" doc:"How long a voter must be silent for another replica that reports to take its place."`
}

// Entry holds the settings of the entry, which accepts the calls of callers.
type Entry struct {
	Listen          string              `json:"listen" validate:"ipport" doc:"IP number and port for callers; port 0 takes a free one."`
	Policy          string              `json:"policy" validate:"oneof=cost random round-robin least-in-flight two-choices-reported" doc:"How a target is chosen: cost, random, round-robin, least-in-flight or two-choices-reported. All but cost are for comparison."`
	Loans           bool                `json:"loans" doc:"Whether boxes lend each other slots of limited targets."`
	Disable         []routing.Mechanism `json:"disable" validate:"unique,dive,oneof=probing waiting hedging retrying slow-targets failing-targets ejection ramping own-domain concurrency subsetting early-calls outlook first-tries shared-link unanswered-calls crash-suspects canaries relaying token-lending" doc:"Parts of the routing that aren't used, to find out what they are worth or to rule them out while a fault is looked for: probing, waiting, hedging, retrying, slow-targets, failing-targets, ejection, ramping, own-domain, concurrency, subsetting, early-calls, outlook, first-tries, shared-link, unanswered-calls, crash-suspects, canaries, relaying, token-lending."`
	ServeStale      bool                `json:"serveStale" doc:"Whether to serve on when the lease on the table has run out. Then a target marked as leaving may get new work from a box that is cut off."`
	ShareDelay      Duration            `json:"shareDelay" validate:"min=100ms,max=120s" doc:"How long a risen share of a limit waits until it counts; above lease plus electionTimeout of the control replicas."`
	ColdDoubt       Duration            `json:"coldDoubt" validate:"min=0s,max=120s" doc:"How long after its failure domain was restored a target counts as cold unless a probe shows it warm; above the time between two reports of a target."`
	MaxCalls        int                 `json:"maxCalls" validate:"min=1,max=1000000" doc:"How many sends may be under way at once in this process; one more is refused as not run."`
	MaxConnections  int                 `json:"maxConnections" validate:"min=1,max=1000000" doc:"How many callers' connections may be open at once."`
	MaxBody         int                 `json:"maxBody" validate:"min=1,max=1073741824" doc:"The largest request body, in bytes."`
	BufferBody      int                 `json:"bufferBody" validate:"min=0,max=67108864" doc:"Answers up to this many bytes are passed on only once they are whole; longer ones are passed on as they come."`
	LinkMbps        float64             `json:"linkMbps" validate:"min=0,max=1000000" doc:"How fast this box's link is, in megabits a second. Answers of more than two pieces (8 KB on links of up to 8 Mbit/s, at most 128 KB) are then written piece by piece at three quarters of it, taking turns, and small ones at once. New connections are refused while calls would use more than the link can carry. 0 means that the link isn't a limit."`
	Cores           float64             `json:"cores" validate:"min=0,max=1024" doc:"How many processor cores this process may use, fractions allowed. 0 means that the processor isn't a limit. A box that gets more calls than its link (linkMbps) or these cores can carry refuses connections until it can serve more, so that callers reach another box."`
	HeaderBytes     int                 `json:"headerBytes" validate:"min=1024,max=1048576" doc:"The most that the head of a request, or of a target's response, may take, in bytes."`
	ReadTimeout     Duration            `json:"readTimeout" validate:"min=10ms,max=10m" doc:"How long a caller may take to send a request."`
	IdleTimeout     Duration            `json:"idleTimeout" validate:"min=10ms,max=1h" doc:"How long a caller's connection may be idle."`
	WriteTimeout    Duration            `json:"writeTimeout" validate:"min=10ms,max=1h" doc:"How long a caller may take to read an answer."`
	ConnectTimeout  Duration            `json:"connectTimeout" validate:"min=1ms,max=1m" doc:"How long a connection to a target may take to open."`
	TargetSource    string              `json:"targetSource" validate:"omitempty,ip" doc:"The IP number of this box that connections to targets come from; empty leaves it to the system."`
	OnceIdle        Duration            `json:"onceIdle" validate:"min=10ms,max=1h" doc:"How long a connection to a target may have rested to carry work that must not run twice. A target may have forgotten the connection and reset what is sent; then nobody knows whether it ran."`
	IdleTarget      Duration            `json:"idleTarget" validate:"min=10ms,max=1h" doc:"How long an unused connection to a target is kept."`
	MaxDeadline     Duration            `json:"maxDeadline" validate:"min=10ms,max=1h" doc:"The longest deadline that a caller may ask for."`
	ProbePath       string              `json:"probePath" validate:"startswith=/" doc:"The path that probes ask for."`
	ProbeCost       Duration            `json:"probeCost" validate:"min=1us,max=10s" doc:"How long a probe keeps a slot of a target busy."`
	ShedStatus      int                 `json:"shedStatus" validate:"min=0,max=599" doc:"The status by which a target says that it shed a call unrun; it counts only together with shedHeader. 0 takes any status."`
	ShedHeader      string              `json:"shedHeader" validate:"required" doc:"The header, with any value, that a target must add to say so."`
	LoadHeader      string              `json:"loadHeader" validate:"required" doc:"The header in which a target reports how many calls it has."`
	DeadlineHeader  string              `json:"deadlineHeader" validate:"required" doc:"The header that carries the time left, in milliseconds, from callers and to targets."`
	CallerHeader    string              `json:"callerHeader" doc:"The header that names the caller of a call, where a proxy in front of the box or the caller itself sets one. Together with method, host, path and body it tells whether two calls are the same one, sent again. Empty goes by the caller's IP number."`
	KeyHeader       string              `json:"keyHeader" validate:"required" doc:"The header by which callers present the key of a workspace. Targets never get it."`
	BoxHeader       string              `json:"boxHeader" doc:"The header that tells a target which box sends a call; empty for none."`
	WorkspaceHeader string              `json:"workspaceHeader" validate:"required,nefield=KeyHeader" doc:"The header that tells a target which workspace calls. A caller's own is taken out."`
	KeyDoubt        Duration            `json:"keyDoubt" validate:"min=0s,max=24h" doc:"How long a box that is out of touch with the control replicas lets calls in by their keys, some of which may have been taken away meanwhile. After it, calls that need a key are refused. 0s lets them in for as long as the box serves."`
	MaxRelayed      int                 `json:"maxRelayed" validate:"min=0,max=1000000" doc:"How many calls may be under way here at once that other boxes relay because they can't reach targets; one more is declined, and the other box asks another."`
	QuotaSlack      int                 `json:"quotaSlack" validate:"min=16,max=1000000" doc:"How many calls beyond its rate and burst a workspace may run at a time, all boxes together. What boxes hand out ahead comes out of it. It must be the same on all boxes."`
	CallIDHeader    string              `json:"callIdHeader" doc:"The header by which callers name a call, and that targets give back; an answer with another name isn't the call's. Empty compares nothing."`
	IdentityHeader  string              `json:"identityHeader" doc:"The header that tells a registered target which one is meant; another one at its address answers 421 and doesn't run the call. Empty sends none."`
	TargetHeader    string              `json:"targetHeader" doc:"The header in which a registered target names itself in the answer to a probe. Empty compares nothing."`
	ColdHeader      string              `json:"coldHeader" doc:"The header in which a target says, in milliseconds, how long it stays cold. Empty reads none."`
	LeavingHeader   string              `json:"leavingHeader" doc:"The header in which a target says, by the value 1, that it is about to end. Empty reads none."`
	LimitHeader     string              `json:"limitHeader" doc:"The header in which a target names how many calls a second it takes from all boxes together, for as long as its answers say so. Empty reads none."`
	PromiseStatus   bool                `json:"promiseStatus" doc:"Whether callers take 408, 421, 429 and 503 as a promise that a call hasn't run. Then a target's answer of that status without shedHeader isn't passed on."`
	Unframed        bool                `json:"unframed" doc:"Whether an answer with neither a length nor chunks counts as whole when its connection ends cleanly. Otherwise it counts as broken."`
	Fractions       bool                `json:"retryAfterFractions" doc:"Whether Retry-After carries fractions of a second; otherwise whole seconds, as RFC 9110 has it."`
	HangUpCheck     Duration            `json:"hangUpCheck" validate:"min=5ms,max=10s" doc:"How often the callers of waiting calls are looked for, so that a call is canceled when its caller hangs up."`
}

// Admin holds the settings of the administration API.
type Admin struct {
	Listen    string `json:"listen" validate:"ipport" doc:"IP number and port of the administration API; port 0 takes a free one."`
	TokenFile string `json:"tokenFile" doc:"The file that holds the bearer token. Without one the API may listen on a loopback address only."`
	MaxBody   int    `json:"maxBody" validate:"min=1024,max=67108864" doc:"The largest request body, in bytes."`
}

// Metrics holds the settings of the port that serves metrics only.
type Metrics struct {
	Listen string `json:"listen" validate:"omitempty,ipport" doc:"IP number and port where the metrics are read at /debug/vars, without a token; empty means only on the administration API."`
}

// Platform holds the settings for reading the platform's list of boxes.
type Platform struct {
	List  string   `json:"list" validate:"omitempty,listsource" doc:"A file, or a http URL with an IP number, that holds the platform's list as JSON; empty means none."`
	Every Duration `json:"every" validate:"min=50ms,max=10m" doc:"How often the list is read."`
}

// StopTiming holds the timing of a planned stop.
type StopTiming struct {
	Leave Duration `json:"leave" validate:"min=0s,max=10m" doc:"How long a leaving box still takes new connections, since the platform's balancer learns of it late."`
	Limit Duration `json:"limit" validate:"min=1s,max=24h" doc:"How long calls under way may take to end. Only after it are they cut."`
}
