package routing

import (
	"net/http"
	"testing"
)

// Callers rely on status 503 as a promise that the call hasn't run.
func TestOnlyCallsThatHaveNotRunGet503(t *testing.T) {
	for _, reason := range Reasons() {
		unknown := Refusal{Reason: reason, Outcome: Unknown}
		if unknown.Status() == http.StatusServiceUnavailable {
			t.Errorf("%s: a call that may have run gets 503", reason)
		}
		notRun := Refusal{Reason: reason, Outcome: NotRun}
		if s := notRun.Status(); s == http.StatusBadGateway || s == http.StatusGatewayTimeout {
			t.Errorf("%s: a call that hasn't run gets %d", reason, s)
		}
	}
}
