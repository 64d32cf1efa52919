package limit

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/madderpond/madderpond/pkg/units"
)

// Whatever is asked for and given back, no account permits more within a time than its highest limit comes
// to in it, and what it may have saved up; and nothing before it may begin.
func TestAnAccountKeepsItsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := units.Instant(time.Second)
		notBefore := now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "from")) * time.Millisecond)
		highest := units.CallRate(rapid.Float64Range(0, 50).Draw(t, "rate"))
		b := NewTokenBucket(highest, now, notBefore)
		begin, given, out := now, 0, 0
		t.Repeat(map[string]func(*rapid.T){
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"permit": func(t *rapid.T) {
				n := b.Permit(now, rapid.IntRange(0, 5).Draw(t, "n"))
				given += n
				out += n
				if n > 0 && now < notBefore {
					t.Fatalf("%d calls were permitted %s too early", n, notBefore.Sub(now))
				}
			},
			"return": func(t *rapid.T) {
				n := rapid.IntRange(0, out).Draw(t, "n")
				b.Return(now, n)
				given -= n
				out -= n
			},
			"rate": func(t *rapid.T) {
				rate := units.CallRate(rapid.Float64Range(0, 50).Draw(t, "rate"))
				highest = max(highest, rate)
				b.SetRate(now, rate)
			},
		})
		rate := max(float64(highest), float64(MinRate))
		if most := rate*now.Sub(begin).Seconds() + 1 + 0.5*rate; float64(given) > most+1e-6 {
			t.Fatalf("%d calls were permitted, the limit comes to %.2f", given, most)
		}
	})
}

func TestAnAccountSaysWhenItPermits(t *testing.T) {
	scenarios := []struct {
		testName string
		rate     units.CallRate
		from     time.Duration
		expected time.Duration
	}{
		{"two a second", 2, 0, 500 * time.Millisecond},
		{"none at all", 0, 0, 5 * time.Second},
		{"two a second, later", 2, time.Second, 1500 * time.Millisecond},
		{"many", 200, 0, 5 * time.Millisecond},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			now := units.Instant(time.Second)
			b := NewTokenBucket(s.rate, now, now.Add(s.from))
			if wait := b.WaitTime(now); math.Abs(float64(wait-s.expected)) > float64(time.Microsecond) {
				t.Fatalf("it permits a call after %s, not %s", wait, s.expected)
			}
			if n := b.Permit(now.Add(s.expected-time.Millisecond), 1); n != 0 {
				t.Error("it permits a call before")
			}
			if n := b.Permit(now.Add(s.expected+time.Millisecond), 9); n != 1 {
				t.Errorf("it permits %d calls then, not one", n)
			}
		})
	}
}

func TestWords(t *testing.T) {
	known := State{Version: 3, Limited: true, Rate: 2}
	scenarios := []struct {
		testName string
		state    State
		// replaces tells whether the word takes heard's place.
		replaces bool
	}{
		{"an absurd limit is none", known.WithRate(1e300), true},
		{"none at all is a limit", known.WithRate(0), true},
		{"it ends", known.Cleared(), true},
		{"an older word says nothing", State{Version: 2, Limited: true, Rate: 1}, false},
		{"a change of the same word that is tighter", State{Version: 3, Limited: true, Rate: 1}, true},
		{"a change of the same word that is looser", State{Version: 3, Limited: true, Rate: 3}, false},
		{"a change of the same word that ends it", State{Version: 3}, false},
		{"nothing was heard", State{}, false},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			if s.state.Supersedes(known) != s.replaces {
				t.Errorf("%+v replaces %+v: %t", s.state, known, !s.replaces)
			}
		})
	}
	if w := known.WithRate(1e300); w.Limited {
		t.Errorf("%+v", w)
	}
	if w := known.WithRate(0); !w.Limited {
		t.Errorf("%+v", w)
	}
}
