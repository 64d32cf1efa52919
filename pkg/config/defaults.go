package config

import (
	"time"

	"github.com/madderpond/madderpond/pkg/core/control"
	"github.com/madderpond/madderpond/pkg/core/replication"
	"github.com/madderpond/madderpond/pkg/core/routing"
	"github.com/madderpond/madderpond/pkg/units"
)

// Defaults returns the settings that apply where the file gives no value.
func Defaults() *Settings {
	return &Settings{
		LogLevel: "info",
		Regions:  map[units.Domain]units.Region{},
		Roles:    []Role{RoleEntry},
		Replicas: []Replica{},
		Seeds:    []string{},
		Peer:     Peer{Listen: "127.0.0.1:0"},
		Control: Control{
			DataFolder:      "data",
			ElectionTimeout: Duration(replication.DefaultElectionTimeout),
			Heartbeat:       Duration(replication.DefaultHeartbeat),
			Lease:           Duration(control.DefaultLease),
			Growth:          Growth{Voters: 3, ReplaceAfter: Duration(replication.DefaultReplaceAfter)},
			SilentAfter:     Duration(control.DefaultSilentAfter),
			Rollout:         Rollout{Share: control.DefaultRolloutShare, Slack: control.DefaultRolloutSlack},
			ReadTimeout:     Duration(control.DefaultReadTimeout),
			EditTimeout:     Duration(control.DefaultEditTimeout),
			SnapshotEvery:   control.DefaultSnapshotEvery,
			KeepEntries:     control.DefaultKeepEntries,
		},
		Entry: Entry{
			Listen:          "127.0.0.1:0",
			Policy:          string(routing.PolicyCost),
			Loans:           true,
			Disable:         []routing.Mechanism{},
			ShareDelay:      Duration(routing.DefaultShareDelay),
			ColdDoubt:       Duration(routing.DefaultAssumedColdPeriod),
			MaxCalls:        4096,
			MaxRelayed:      routing.DefaultMaxRelayed,
			MaxConnections:  20_000,
			MaxBody:         1 << 20,
			BufferBody:      256 << 10,
			HeaderBytes:     16 << 10,
			ReadTimeout:     Duration(10 * time.Second),
			IdleTimeout:     Duration(60 * time.Second),
			WriteTimeout:    Duration(2 * time.Minute),
			ConnectTimeout:  Duration(time.Second),
			OnceIdle:        Duration(time.Second),
			IdleTarget:      Duration(30 * time.Second),
			MaxDeadline:     Duration(routing.DefaultMaxDeadline),
			ProbePath:       "/healthz",
			ProbeCost:       Duration(routing.DefaultProbeCost),
			ShedStatus:      503,
			ShedHeader:      "X-Shed",
			LoadHeader:      "X-In-Flight",
			DeadlineHeader:  "X-Deadline-Ms",
			IdentityHeader:  "X-Expected-Target",
			KeyHeader:       "X-Api-Key",
			QuotaSlack:      routing.DefaultQuotaSlack,
			WorkspaceHeader: "X-Workspace",
			HangUpCheck:     Duration(20 * time.Millisecond),
		},
		Admin:    Admin{Listen: "127.0.0.1:0", MaxBody: 8 << 20},
		Platform: Platform{Every: Duration(time.Second)},
		Stop:     StopTiming{Leave: Duration(5 * time.Second), Limit: Duration(10 * time.Minute)},
	}
}
