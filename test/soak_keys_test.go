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
	// firstKeySeed is the first seed whose calls need API keys.
	firstKeySeed = 70_000
	// soakOwnKey is the key of all ordinary callers, which is always valid.
	soakOwnKey = "the-soak's-own-key"
	// soakGuestKeyVersions is for how many document versions a guest key is valid.
	soakGuestKeyVersions = 16
	// soakGuestRate, in calls a second, and soakGuestBurst are the guests' quota; they call more often.
	soakGuestRate  = 15
	soakGuestBurst = 5
	// soakQuotaWindow is the window in which the quota is checked, soakQuotaOvershoot the fraction by which it
	// may be exceeded in addition to the setting quotaSlack.
	soakQuotaWindow    = 5 * time.Second
	soakQuotaOvershoot = 0.1
	// soakMaxRevokeDelay is how long a revoked key may still admit calls: a lease and an
	// election.
	soakMaxRevokeDelay = soakMaxLeaveDelay
)

func (x *soak) hasKeys() bool { return x.seed >= firstKeySeed }

// guestGeneration is the generation of the guest key in a document version.
func guestGeneration(v units.DocumentVersion) int { return int(v / soakGuestKeyVersions) }

func guestKey(generation int) string { return fmt.Sprintf("guest-key-%d", generation) }

// document returns the document of a version, with workspaces if the seed uses keys.
func (x *soak) document(v units.DocumentVersion) json.RawMessage {
	if !x.hasKeys() {
		return documentOf(v)
	}
	return withWorkspaces(soakDocument(v))
}

// withWorkspaces encodes a document with the workspaces of the ordinary callers and of the guests,
// whose key changes with the version.
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

// recordKeyGeneration records the time when a generation of keys was first acknowledged to be in
// force. The caller holds the lock.
func (x *soak) recordKeyGeneration(v units.DocumentVersion) {
	if x.guestSince == nil {
		x.guestSince = map[int]time.Time{}
	}
	if g := guestGeneration(v); x.guestSince[g].IsZero() {
		x.guestSince[g] = time.Now()
	}
}

// revoked reports whether the key of a generation had been revoked by a time, for longer than
// a box may still accept it.
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

// callAsGuest calls with a current, past or future guest key.
func (x *soak) callAsGuest() {
	x.lock.Lock()
	newest := guestGeneration(x.acknowledged)
	x.lock.Unlock()
	generation := max(0, newest-2+x.draw(4))
	at := time.Now()
	revoked := x.revoked(generation, at)
	c := x.callWithKey(guestKey(generation))
	if revoked && c.Verdict == lab.Complete {
		x.Errorf("a call was admitted with a key revoked more than %s before", soakMaxRevokeDelay)
	}
	if x.callWithKey("in-no-document").Verdict == lab.Complete {
		x.Error("a call was admitted with a key that was never in a document")
	}
	time.Sleep(soakCallPause)
}

// callWithKey calls with a key that may be invalid.
func (x *soak) callWithKey(key string) lab.Call {
	c := x.caller.Do(lab.CallSpec{Host: "shop.test", Key: key})
	switch {
	case c.Reason == routing.UnknownKey.String(), c.Reason == routing.QuotaExceeded.String():
		x.refusedGuestCalls.Add(1)
	case c.Verdict != lab.NotRun:
		x.lock.Lock()
		x.guestCalls = append(x.guestCalls, guestCall{request: c.RequestID, at: time.Now()})
		x.lock.Unlock()
	}
	return c
}

// guestCall is a guest's call that may have run, and when its caller got the result.
type guestCall struct {
	request string
	at      time.Time
}

// checkQuota checks against the targets' journals that guests never ran more calls than their quota allows. Guests
// call one at a time, so a call is counted at the time its caller got the result.
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

// checkKeys checks, after all faults have ended, that every box accepts the current guest key and refuses
// all earlier ones.
func (x *soak) checkKeys() {
	x.lock.Lock()
	newest := guestGeneration(x.version)
	x.lock.Unlock()
	for g := range newest + 1 {
		x.must(lab.Eventually(soakMaxRevokeDelay, func() error { return x.checkGuestKey(g, g == newest) }))
	}
}

// checkGuestKey checks that every box accepts or refuses a guest key as expected.
func (x *soak) checkGuestKey(generation int, valid bool) error {
	for range x.cluster.Boxes {
		c := x.callWithKey(guestKey(generation))
		if refused := c.Reason == routing.UnknownKey.String(); refused == valid {
			return fmt.Errorf("a call with the key of generation %d got status %d, reason %s", generation, c.Status, c.Reason)
		}
	}
	return nil
}
