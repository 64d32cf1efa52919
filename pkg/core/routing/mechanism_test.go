package routing

import (
	"testing"
	"time"

	"github.com/madderpond/madderpond/pkg/fault"
	"github.com/madderpond/madderpond/pkg/units"
)

func TestUnknownMechanismsAreRefused(t *testing.T) {
	now := units.Instant(time.Second)
	if _, err := NewRouter(Settings{Box: "me", Disable: Mechanisms}, now); err != nil {
		t.Errorf("all known mechanisms: %v", err)
	}
	if _, err := NewRouter(Settings{Box: "me", Disable: []Mechanism{"hedgin"}}, now); fault.KindOf(err) != fault.Invalid {
		t.Errorf("an unknown one: %v", err)
	}
}
