package boxlist

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/madderpond/madderpond/pkg/common"
	"github.com/madderpond/madderpond/pkg/config"
	"github.com/madderpond/madderpond/pkg/fault"
	"github.com/madderpond/madderpond/pkg/units"
)

func TestABoxHearsThatItIsLeaving(t *testing.T) {
	path := filepath.Join(t.TempDir(), "boxes.json")
	write := func(text string) {
		t.Helper()
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(`{"live": ["b1", "b2"]}`)
	s := config.Defaults()
	s.Box, s.Platform.List, s.Platform.Every = "b1", path, config.Duration(5*time.Millisecond)
	w := NewWatcher(&common.Common{Settings: s})
	changes := make(chan bool, 10)
	w.Start(func(leaving bool) { changes <- leaving })
	defer w.Stop()
	write(`{"live": ["b2"], "leaving": ["b1"]}`)
	if !<-changes {
		t.Fatal("the first change reported the box as staying")
	}
	// A list that can't be read changes nothing.
	write(`{"live": nonsense`)
	write(`{"live": ["b1", "b2"], "leaving": []}`)
	if <-changes {
		t.Fatal("the second change reported the box as leaving")
	}
}

func TestAListThatCanNotBeReadIsAFault(t *testing.T) {
	path := filepath.Join(t.TempDir(), "boxes.json")
	if _, err := NewSource(path).Read(); fault.KindOf(err) != fault.Unavailable {
		t.Fatalf("unexpected error: %v", err)
	}
	if err := os.WriteFile(path, []byte("junk"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := NewSource(path).Read(); fault.KindOf(err) != fault.Invalid {
		t.Fatalf("unexpected error: %v", err)
	}
	if _, err := NewSource("http://127.0.0.1:1/boxes").Read(); fault.KindOf(err) != fault.Unavailable {
		t.Fatalf("unexpected error: %v", err)
	}
}

// Entries that aren't names are ignored, and the remaining ones are used.
func TestEntriesOfOtherWritersNameNoBox(t *testing.T) {
	l, err := parseList([]byte(`{"live": ["b1", 5, null, {"name": "b2"}, "b3"], "leaving": [["b4"], "b5"], "resting": 7}`))
	if err != nil {
		t.Fatal(err)
	}
	want := &List{Live: []units.BoxID{"b1", "b3"}, Leaving: []units.BoxID{"b5"}}
	if diff := cmp.Diff(want, l); diff != "" {
		t.Error(diff)
	}
}
