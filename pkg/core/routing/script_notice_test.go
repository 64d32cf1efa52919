package routing

import (
	"strings"
	"time"

	"github.com/cockroachdb/datadriven"
)

// setNotice sets what an answer says of its target by "rest=D" and "leaving".
func (s *script) setNotice(d *datadriven.TestData, x *Reading) {
	x.Rest = s.duration(d, "rest")
	x.Leaving = d.HasArg("leaving")
}

// describeNotice tells of what a target wants as the shell is told.
func (s *script) describeNotice(x Effect) string {
	words := []string{"keep calls from", string(x.Endpoint.Target)}
	if left := x.Notice.RestUntil.Sub(s.now); x.Notice.RestUntil > 0 && left > 0 {
		words = append(words, "for", left.Round(time.Millisecond).String())
	}
	if x.Notice.Leaving {
		words = append(words, "for good")
	}
	if *x.Notice == (Notice{}) {
		words[0] = "let calls go to"
	}
	return strings.Join(words, " ")
}
