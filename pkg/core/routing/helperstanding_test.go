package routing

import (
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestStandingCountsAreReadAsTheyWereWritten(t *testing.T) {
	counts := StandingCounts{HelperReaches: 2, HelperCutOff: 21}
	data, err := json.Marshal(counts)
	if err != nil {
		t.Fatal(err)
	}
	if want := `{"cut-off":21,"reaches":2}`; string(data) != want {
		t.Errorf("written as %s, want %s", data, want)
	}
	var read StandingCounts
	if err := json.Unmarshal(data, &read); err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(counts, read); d != "" {
		t.Error(d)
	}
}
