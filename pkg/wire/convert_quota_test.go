package wire

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/madderpond/madderpond/pkg/core/crash"
	"github.com/madderpond/madderpond/pkg/core/routing"
	"github.com/madderpond/madderpond/pkg/units"
)

func TestQuotaMessagesComeAsTheyWereSent(t *testing.T) {
	m := routing.QuotaMessage{Kind: routing.GrantCredits, Workspace: "w", Nonce: 7, Count: 3, RetryAfter: time.Second}
	if d := cmp.Diff(m, ToQuota(FromQuota(&m))); d != "" {
		t.Error(d)
	}
}

func TestCanaryMessagesComeAsTheyWereSent(t *testing.T) {
	m := routing.CanaryMessage{Kind: routing.SuspectCalls, Calls: []crash.Fingerprint{{Head: 1, Body: 2, Caller: 3}}, Origin: "b", Call: 7}
	if d := cmp.Diff(m, ToCanary(FromCanary(&m))); d != "" {
		t.Error(d)
	}
}

func TestTokenMessagesComeAsTheyWereSent(t *testing.T) {
	m := routing.TokenMessage{Kind: routing.GrantTokens, Service: "s", Nonce: 7, Probes: 3, Calls: []units.TargetID{"t1", "t2"}, MaxCalls: 2, Cold: true}
	if d := cmp.Diff(m, ToTokens(FromTokens(&m))); d != "" {
		t.Error(d)
	}
}

// A peer's message can't make a count or a delay negative.
func TestQuotaMessagesThatMakeNoSense(t *testing.T) {
	if m := ToQuota(&Quota{Count: -5, Again: -1}); m.Count != 0 || m.RetryAfter != 0 {
		t.Errorf("converted to %+v", m)
	}
	if m := ToTokens(&Tokens{Probes: -5, MaxCalls: -1}); m.Probes != 0 || m.MaxCalls != 0 {
		t.Errorf("converted to %+v", m)
	}
}

func TestReachMessagesComeAsTheyWereSent(t *testing.T) {
	m := routing.ReachMessage{
		Kind: routing.ReachAnswer, HeardAge: -1, HearsNothing: true, Relayed: 3, Full: true, Helpers: []units.BoxID{"b"},
		Scopes: []routing.ReachScope{{Service: "s", Regions: []units.Region{"r"}, CutOff: true, CutAge: time.Second, HeardAge: time.Minute}},
	}
	if d := cmp.Diff(m, ToReach(FromReach(&m))); d != "" {
		t.Error(d)
	}
	for _, kind := range []int32{-1, 3, 257} {
		if x := ToReach(&Reach{Kind: kind, Relayed: -1}); x.Kind != 0 || x.Relayed != 0 {
			t.Errorf("kind %d was read as %+v", kind, x)
		}
	}
}
