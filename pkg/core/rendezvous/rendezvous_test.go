package rendezvous

import (
	"testing"

	"github.com/cespare/xxhash/v2"

	"github.com/madderpond/madderpond/pkg/units"
)

// Processes of other versions must compute the same ranking, so the hashed bytes can't change.
func TestHashIsOfBothNamesInOrder(t *testing.T) {
	box, target := units.BoxID("b1"), units.TargetID("t1")
	if got, want := Hash(box, target), xxhash.Sum64String("b1\x00t1"); got != want {
		t.Errorf("the hash of %q and %q is %x, want %x", box, target, got, want)
	}
	if Hash(box, target) == Hash(target, box) {
		t.Error("the hash doesn't depend on the order of the names")
	}
	if Hash(units.BoxID("b"), "1t") == Hash(units.BoxID("b1"), "t") {
		t.Error("the hash doesn't depend on where the first name ends")
	}
}
