package control

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/madderpond/madderpond/pkg/core/replication"
	"github.com/madderpond/madderpond/pkg/units"
)

var (
	replacementSeeds = flag.Uint64("replacement-seeds", 3, "number of schedules of each kind in testdata/replaced")
	replacementFirst = flag.Uint64("replacement-first", 0, "seed of the first of these schedules")
)

// recoveryTime is how long after the last fault the cluster must serve again.
const recoveryTime = 15 * time.Second

// replacement is a kind of schedule: replicas are gone for good and replaced, leaders have trouble, and then as many
// replicas lose their disks as the cluster bears at once.
type replacement struct {
	// voters is the number of voters, spare that of further replicas, replaced how many are replaced.
	voters, spare, replaced int
	// troubles are the names of the troubles that may happen meanwhile.
	troubles []string
	// starts is how long after its loss each replica's successor starts; random if it is zero.
	starts time.Duration
	// crashAll is how long after the first loss all replicas crash at once, to start again a second later.
	crashAll []time.Duration
	// diskDelay is how long after the last successor's catch-up time the disks are lost, at most.
	diskDelay time.Duration
	// sync and snapshot are added to each sync of a disk, and to the transfer of each snapshot.
	sync, snapshot time.Duration
}

// replacementSchedule is one schedule of a kind.
type replacementSchedule struct {
	*world
	kind replacement
	// lostUntil is when a replica last stops counting as lost.
	lostUntil map[*fakeReplica]units.Instant
	// fresh are the successors.
	fresh []*fakeReplica
	// crashes is how often all replicas have crashed at once.
	crashes int
}

// TestReplacedReplicas runs schedules of the kinds in testdata/replaced. It guards against a replica that is gone
// and keeps its vote, so that disks that the cluster bears losing leave no quorum.
func TestReplacedReplicas(t *testing.T) {
	datadriven.Walk(t, "testdata/replaced", func(t *testing.T, path string) {
		t.Parallel()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			k := parseReplacement(t, d)
			failed := uint64(0)
			for seed := *replacementFirst; seed < *replacementFirst+*replacementSeeds; seed++ {
				if problem := runReplacement(k, seed); problem != "" {
					failed++
					t.Logf("%s: seed %d: %s", d.Pos, seed, problem)
				}
			}
			if failed > 0 {
				return fmt.Sprintf("%d of %d schedules failed\n", failed, *replacementSeeds)
			}
			return "held\n"
		})
	})
}

func parseReplacement(t *testing.T, d *datadriven.TestData) replacement {
	var k replacement
	numbers := map[string]*int{"voters": &k.voters, "spare": &k.spare, "replaced": &k.replaced}
	durations := map[string]*time.Duration{"starts": &k.starts, "disk-delay": &k.diskDelay, "sync": &k.sync, "snapshot": &k.snapshot}
	for _, a := range d.CmdArgs {
		switch {
		case numbers[a.Key] != nil:
			d.ScanArgs(t, a.Key, numbers[a.Key])
		case durations[a.Key] != nil:
			*durations[a.Key] = parseDurations(t, d, a)[0]
		case a.Key == "crash-all":
			k.crashAll = parseDurations(t, d, a)
		case a.Key == "troubles":
			k.troubles = a.Vals
		default:
			d.Fatalf(t, "unknown argument %q", a.Key)
		}
	}
	return k
}

func parseDurations(t *testing.T, d *datadriven.TestData, a datadriven.CmdArg) []time.Duration {
	var list []time.Duration
	for _, text := range a.Vals {
		v, err := time.ParseDuration(text)
		if err != nil {
			d.Fatalf(t, "%q isn't a duration", text)
		}
		list = append(list, v)
	}
	return list
}

// violation stops a schedule; its text says what went wrong.
type violation struct{ text string }

func (v *violation) Fatalf(format string, args ...any) {
	v.text = fmt.Sprintf(format, args...)
	panic(v)
}

func (v *violation) Logf(string, ...any) {}

// runReplacement runs one schedule and returns what went wrong, or nothing.
func runReplacement(k replacement, seed uint64) (problem string) {
	v := &violation{}
	defer func() {
		cause := recover()
		if cause != nil && cause != any(v) {
			panic(cause)
		}
		problem = v.text
	}()
	newReplacementSchedule(v, k, seed).run()
	return ""
}

func newReplacementSchedule(t fataler, k replacement, seed uint64) *replacementSchedule {
	w := emptyWorld(t, seed, k.voters+k.spare+k.replaced, 0)
	w.electionTimeout = replication.DefaultElectionTimeout
	w.snapshotTime = k.snapshot
	for _, r := range w.replicas {
		r.extraSync = k.sync
	}
	return &replacementSchedule{world: w, kind: k, lostUntil: map[*fakeReplica]units.Instant{}, fresh: w.replicas[k.voters+k.spare:]}
}

// tolerance is how many replicas may count as lost at once.
func (s *replacementSchedule) tolerance() int { return s.kind.voters / 2 }

func (s *replacementSchedule) run() {
	first := s.replicas[:s.kind.voters+s.kind.spare]
	s.grow(first, replication.Growth{Voters: s.kind.voters, ReplaceAfter: replication.ReplaceAfter(catchUpTime)}, 5*time.Second)
	s.acknowledge()
	s.replace(first)
	s.trouble()
	s.loseDisks()
	s.checkServes()
}

func (s *replacementSchedule) randomDuration(least, most time.Duration) time.Duration {
	return least + time.Duration(s.random.Int64N(int64(most-least)+1))
}

// replace loses replicas for good; a successor of each starts later.
func (s *replacementSchedule) replace(first []*fakeReplica) {
	for i, n := range s.random.Perm(len(first))[:s.kind.replaced] {
		gone, successor := first[n], s.fresh[i]
		delay := s.randomDuration(0, time.Second)
		starts := delay + s.randomDuration(300*time.Millisecond, 1500*time.Millisecond)
		if s.kind.starts > 0 {
			delay, starts = 0, s.kind.starts
		}
		s.gone = append(s.gone, gone)
		s.after(delay, func() { s.crash(gone) })
		s.after(starts, func() { s.startReplica(successor) })
		s.lostUntil[gone] = s.now.Add(starts + catchUpTime)
	}
	for _, at := range s.kind.crashAll {
		s.after(at, func() { s.crashReplicas(time.Second, time.Second) })
	}
}

// lost counts the replicas that count as lost.
func (s *replacementSchedule) lost() int {
	n := 0
	for _, until := range s.lostUntil {
		if until > s.now {
			n++
		}
	}
	return n
}

// trouble brings about troubles of the kind until the replaced replicas don't count as lost any more, and for a
// random time after that.
func (s *replacementSchedule) trouble() {
	end := s.now
	for _, until := range s.lostUntil {
		end = max(end, until)
	}
	end = end.Add(s.randomDuration(0, s.kind.diskDelay))
	for s.now < end {
		s.world.run(min(s.randomDuration(0, time.Second), end.Sub(s.now)))
		if len(s.kind.troubles) > 0 && s.now < end {
			replacementTroubles[s.kind.troubles[s.random.IntN(len(s.kind.troubles))]](s, end)
		}
	}
	for s.lost() > 0 {
		s.world.run(10 * time.Millisecond)
	}
}

// replacementTroubles are the troubles by name. All have ended by the given time.
var replacementTroubles = map[string]func(s *replacementSchedule, end units.Instant){
	"freeze": func(s *replacementSchedule, end units.Instant) {
		s.troubleLeader(end, func(r *fakeReplica) { r.frozen = true }, s.unfreeze)
	},
	"restart": func(s *replacementSchedule, end units.Instant) { s.troubleLeader(end, s.crash, s.startReplica) },
	"cut": func(s *replacementSchedule, end units.Instant) {
		s.troubleLeader(end, func(r *fakeReplica) { r.partition = 1 }, func(r *fakeReplica) { r.partition = 0 })
	},
	"slow-disk": func(s *replacementSchedule, end units.Instant) {
		slow := s.randomDuration(50*time.Millisecond, 300*time.Millisecond)
		s.troubleLeader(end, func(r *fakeReplica) { r.extraSync += slow }, func(r *fakeReplica) { r.extraSync = s.kind.sync })
	},
	"hand-over": func(s *replacementSchedule, end units.Instant) {
		s.troubleLeader(end, func(r *fakeReplica) { s.deliver(r, StopRequested{}); s.crash(r) }, s.startReplica)
	},
	"crash-all": func(s *replacementSchedule, _ units.Instant) {
		if s.crashes < maxCrashes {
			s.crashes++
			s.crashReplicas(0, time.Second)
		}
	},
	"change-leader": func(s *replacementSchedule, _ units.Instant) { s.transferLeadership() },
	"change": func(s *replacementSchedule, _ units.Instant) {
		if r := s.leader(); r != nil {
			s.putDocument(r, false)
		}
	},
}

// troubleLeader makes the leader unavailable for a time, if the cluster bears that.
func (s *replacementSchedule) troubleLeader(end units.Instant, begin, finish func(*fakeReplica)) {
	r := s.leader()
	lasts := s.randomDuration(50*time.Millisecond, 3*time.Second)
	if r == nil || s.lost() >= s.tolerance() || s.now.Add(lasts+catchUpTime) > end.Add(s.kind.diskDelay) {
		return
	}
	s.lostUntil[r] = s.now.Add(lasts + catchUpTime)
	begin(r)
	s.after(lasts, func() { finish(r) })
}

// maxCrashes is how often all replicas crash at once while some are being replaced.
const maxCrashes = 2

// crashReplicas crashes all replicas at once; each starts again after a time within limits. They don't count as lost.
func (s *replacementSchedule) crashReplicas(least, most time.Duration) {
	for _, r := range s.replicas {
		if !r.up || r.frozen || r.partition != 0 {
			continue
		}
		s.crash(r)
		s.after(s.randomDuration(least, most), func() {
			if !slices.Contains(s.gone, r) {
				s.startReplica(r)
			}
		})
	}
}

func (s *replacementSchedule) transferLeadership() {
	if r := s.leader(); r != nil {
		s.deliver(r, StopRequested{})
	}
}

// loseDisks has as many replicas lose their disks as the cluster bears, shortly after an acknowledgement; in half of the
// schedules all others crash with them.
func (s *replacementSchedule) loseDisks() {
	s.acknowledge()
	s.world.run(s.randomDuration(0, 400*time.Millisecond))
	candidates := s.live()
	if s.random.IntN(2) == 0 {
		// Successors may hold fewer of the votes.
		candidates = slices.DeleteFunc(candidates, func(r *fakeReplica) bool { return slices.Contains(s.fresh, r) })
	}
	s.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	wiped := candidates[:s.tolerance()]
	all := s.random.IntN(2) == 0
	for _, r := range s.live() {
		switch {
		case slices.Contains(wiped, r):
			s.loseDisk(r)
		case all:
			s.crash(r)
		default:
			continue
		}
		s.after(s.randomDuration(500*time.Millisecond, 1500*time.Millisecond), func() { s.startReplica(r) })
	}
}

// live returns the replicas that aren't gone for good.
func (s *replacementSchedule) live() []*fakeReplica {
	var live []*fakeReplica
	for _, r := range s.replicas {
		if !slices.Contains(s.gone, r) {
			live = append(live, r)
		}
	}
	return live
}

func (s *replacementSchedule) acknowledge() {
	if !s.acknowledgeDocument(recoveryTime) {
		s.t.Fatalf("no document is acknowledged any more; %s", s.describe())
	}
}

// checkServes checks that the cluster acknowledges changes again, and that every replica holds what was acknowledged.
func (s *replacementSchedule) checkServes() {
	s.world.run(2 * time.Second)
	s.acknowledge()
	s.world.run(3 * time.Second)
	for _, r := range s.live() {
		if r.halted != nil {
			s.t.Fatalf("%s has halted: %v", r.id, r.halted)
		}
		if have := r.core.Table().Document; have < s.orders.highestDocument {
			s.t.Fatalf("%s holds document %d, %d was acknowledged; %s", r.id, have, s.orders.highestDocument, s.describe())
		}
	}
}

// describe returns the voters as the replicas know them, and which replicas were replaced.
func (s *replacementSchedule) describe() string {
	var b strings.Builder
	for _, r := range s.gone {
		fmt.Fprintf(&b, "%s is gone; ", r.id)
	}
	for _, r := range s.live() {
		if r.core != nil && r.up {
			l := r.core.Status(s.now).Log
			fmt.Fprintf(&b, "%s.%d %s term %d commit %d voters %v; ", r.id, r.incarnation, l.Role, l.Term, l.Commit, r.core.node.Voters())
		}
	}
	return strings.TrimSuffix(b.String(), "; ")
}
