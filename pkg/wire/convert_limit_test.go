package wire

import (
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/madderpond/madderpond/pkg/core/limit"
	"github.com/madderpond/madderpond/pkg/core/routing"
)

func TestLimitMessagesComeAsTheyWereSent(t *testing.T) {
	sent := routing.LimitMessage{
		Kind: routing.GrantPermits, Service: "s", Target: "t", Born: 7, Nonce: 8, Count: 2, RetryAfter: 30 * time.Millisecond,
		LimitState: limit.State{Version: 5, Limited: true, Rate: 2.5},
	}
	if diff := cmp.Diff(sent, ToLimit(FromLimit(&sent))); diff != "" {
		t.Error(diff)
	}
}

// Invalid values from a faulty peer must not permit more calls or give a negative delay.
func TestLimitMessagesThatMakeNoSense(t *testing.T) {
	scenarios := []struct {
		testName string
		message  *Limit
		expected routing.LimitMessage
	}{
		{"less than none", &Limit{Limited: true, Rate: -2}, routing.LimitMessage{LimitState: limit.State{Limited: true}}},
		{"no number", &Limit{Limited: true, Rate: math.NaN()}, routing.LimitMessage{LimitState: limit.State{Limited: true}}},
		{"fewer permits than none", &Limit{Count: -3}, routing.LimitMessage{}},
		{"a pause of less than nothing", &Limit{Again: -5}, routing.LimitMessage{}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			if diff := cmp.Diff(s.expected, ToLimit(s.message)); diff != "" {
				t.Error(diff)
			}
		})
	}
}
