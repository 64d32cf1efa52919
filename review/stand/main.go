package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	held       = 0
	brokenRule = 1
	couldntRun = 2
)

// cases are the cases by the names that the scripts give.
var cases = map[string]func(r *record, trouble bool) (broken bool, err error){
	"replaced": replacedCase,
	"uploads":  uploadsCase,
	"forms":    formsCase,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD")
		os.Exit(couldntRun)
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldntRun)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r.printf("case     %s, with the trouble: %t", os.Args[1], trouble)
	// All processes end with this one, whatever ends it.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		os.Exit(couldntRun)
	}()
	time.AfterFunc(110*time.Second, func() {
		r.printf("result   the case took too long")
		os.Exit(couldntRun)
	})
	broken, err := cases[os.Args[1]](r, trouble)
	switch {
	case err != nil:
		r.printf("result   the case couldn't run: %v", err)
		os.Exit(couldntRun)
	case broken:
		r.printf("result   the rule was broken")
		os.Exit(brokenRule)
	}
	r.printf("result   the rule held")
	os.Exit(held)
}
