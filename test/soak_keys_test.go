package test

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/madderpond/madderpond/pkg/core/apikey"
	"github.com/madderpond/madderpond/pkg/core/routing"
	"github.com/madderpond/madderpond/pkg/core/table"
	"github.com/madderpond/madderpond/pkg/lab"
	"github.com/madderpond/madderpond/pkg/units"
)

const (
	// keysFrom is the first seed whose calls need keys.
	firstKeySeed = 70_000
	// soakOwnKey is the key of all ordinary callers, which always holds.
	soakOwnKey = "the-soak's-own-key"
	// soakGuestVersions is for how many versions a key of the guests holds.
	soakGuestKeyVersions = 16
	// soakGuestRate and soakGuestBurst are what guests may run; they ask for more.
	soakGuestRate  = 15
	soakGuestBurst = 5
	// soakQuotaWindow is the window of the promise on quotas, soakQuotaOvershoot what it may be exceeded by
	// beside the setting quotaSlack.
	soakQuotaWindow    = 5 * time.Second
	soakQuotaOvershoot = 0.1
	// soakRevokeBound is how long a key that was taken away may let calls in: a lease and an
	// election.
	soakMaxRevokeDelay = soakMaxLeaveDelay
)

func (x *soak) hasKeys() bool { return x.seed >= firstKeySeed }

// guestGeneration is the generation of the guests' key that a version has.
func guestGeneration(v units.DocumentVersion) int { return int(v / soakGuestKeyVersions) }

func guestKey(generation int) string { return fmt.Sprintf("guest-key-%d", generation) }

// document is the document of a version as this seed has it.
func (x *soak) document(v units.DocumentVersion) json.RawMessage {
	if !x.hasKeys() {
		return documentOf(v)
	}
	return withWorkspaces(soakDocument(v))
}

// withWorkspaces writes a document with the callers' workspace and the guests', whose key changes
// with the version.
func withWorkspaces(d *table.Document) json.RawMessage {
	plain, _ := json.Marshal(d)
	fields := map[string]any{}
	json.Unmarshal(plain, &fields)
	fields["workspaces"] = []any{
		map[string]any{"name": "own", "keys": []string{apikey.DigestOf([]byte(soakOwnKey)).Text()}},
		map[string]any{
			"name": "guests", "keys": []string{apikey.DigestOf([]byte(guestKey(guestGeneration(d.Version)))).Text()},
			"rate": soakGuestRate, "burst": soakGuestBurst,
		},
	}
	data, _ := json.Marshal(fields)
	return data
}

// noteAcknowledged notes when a generation of keys began to hold at the latest. It is called under
// the lock.
func (x *soak) recordKeyGeneration(v units.DocumentVersion) {
	if x.guestSince == nil {
		x.guestSince = map[int]time.Time{}
	}
	if g := guestGeneration(v); x.guestSince[g].IsZero() {
		x.guestSince[g] = time.Now()
	}
}

// revoked tells whether the key of a generation was taken away at a time, for longer than a box
// may go on with it.
func (x *soak) revoked(generation int, at time.Time) bool {
	x.lock.Lock()
	defer x.lock.Unlock()
	for g, since := range x.guestSince {
		if g > generation && at.Sub(since) > soakMaxRevokeDelay {
			return true
		}
	}
	return false
}

// callAsGuest calls with a key of the guests that holds, or did once, or will.
func (x *soak) callAsGuest() {
	x.lock.Lock()
	newest := guestGeneration(x.acknowledged)
	x.lock.Unlock()
	generation := max(0, newest-2+x.draw(4))
	at := time.Now()
	revoked := x.revoked(generation, at)
	c := x.callWithKey(guestKey(generation))
	if revoked && c.Verdict == lab.Whole {
		x.Errorf("a call was let in by a key that had been taken away %s before", soakMaxRevokeDelay)
	}
	if x.callWithKey("in-no-document").Verdict == lab.Whole {
		x.Error("a call was let in by a key that no document has had")
	}
	time.Sleep(soakCallPause)
}

// callWith calls with a key that may not hold.
func (x *soak) callWithKey(key string) lab.Call {
	c := x.caller.Do(lab.Plan{Host: "shop.test", Key: key})
	switch {
	case c.Reason == routing.UnknownKey.String(), c.Reason == routing.QuotaExceeded.String():
		x.refusedGuestCalls.Add(1)
	case c.Verdict != lab.NotRun:
		x.lock.Lock()
		x.guestCalls = append(x.guestCalls, guestCall{request: c.Request, at: time.Now()})
		x.lock.Unlock()
	}
	return c
}

// guestCall is a call of guests that may have run, and when its caller heard of it.
type guestCall struct {
	request string
	at      time.Time
}

// checkQuota makes sure that guests ran no more than they may at any time, by the targets' journals. Guests call
// one after the other, so that a call is counted when its caller heard of it.
func (x *soak) checkQuota() {
	runs := x.runs()
	ran := slices.DeleteFunc(slices.Clone(x.guestCalls), func(c guestCall) bool { return runs[c.request] == 0 })
	allowed := int((soakGuestRate*soakQuotaWindow.Seconds()+soakGuestBurst)*(1+soakQuotaOvershoot)) + routing.DefaultQuotaSlack
	first, worst := 0, 0
	for last, c := range ran {
		for c.at.Sub(ran[first].at) > soakQuotaWindow {
			first++
		}
		worst = max(worst, last-first+1)
	}
	if worst > allowed {
		x.Errorf("%d calls of guests ran within %s, %d are allowed", worst, soakQuotaWindow, allowed)
	}
	x.Logf("%d of %d calls of guests without a refusal ran, %d at most within %s", len(ran), len(x.guestCalls), worst, soakQuotaWindow)
}

// checkKeys makes sure that no box refuses the key in force once all faults have ended, and that none
// lets in the ones before it.
func (x *soak) checkKeys() {
	x.lock.Lock()
	newest := guestGeneration(x.version)
	x.lock.Unlock()
	for g := range newest + 1 {
		x.must(lab.Eventually(soakMaxRevokeDelay, func() error { return x.checkGuestKey(g, g == newest) }))
	}
}

// judgeGuests checks that every box takes a key of the guests for one that holds, or doesn't.
func (x *soak) checkGuestKey(generation int, valid bool) error {
	for range x.cluster.Boxes {
		c := x.callWithKey(guestKey(generation))
		if refused := c.Reason == routing.UnknownKey.String(); refused == valid {
			return fmt.Errorf("a call with key %d is answered %d, %s", generation, c.Status, c.Reason)
		}
	}
	return nil
}
