// Command stand-2 plays one case of the review: it starts the project's own processes, and stand-ins for clients,
// endpoints and the platform. It exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"time"
)

var cases = map[string]func(*record, bool) (bool, error){"departure": departure, "late-beat": lateBeat, "moved-route": movedRoute, "left-out": leftOut}

// limit is how long a case may run.
const limit = 115 * time.Second

func main() {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand-2 departure | late-beat | moved-route | left-out")
		os.Exit(2)
	}
	play := cases[os.Args[1]]
	r, err := newRecord()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	time.AfterFunc(limit, func() {
		r.say("the case couldn't run: it took too long")
		// The processes that were started end with this one.
		os.Exit(2)
	})
	held, err := play(r, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.say("the case couldn't run: %v", err)
		os.Exit(2)
	case !held:
		r.say("the rule was broken")
		os.Exit(1)
	}
	r.say("the rule held")
}
