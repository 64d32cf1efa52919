// Package fixedseed gives random tests the same seed in every run, so that CI has the same result
// every time. For a longer manual run, override the flags:
//
//	go test ./pkg/core/control -run Random -rapid.checks=20000 -rapid.seed=0
//
// uses a new seed each time; a failing test prints the seed that reproduces the failure.
package fixedseed

import (
	"flag"
	"os"
	"testing"
)

const (
	seed = "20261202"
	// checks is the default number of cases for each property.
	checks = "150"
)

// Main runs a package's tests with the fixed seed and exits; call it from TestMain.
func Main(m *testing.M) {
	defaults := []struct{ name, value string }{
		{"rapid.seed", seed},
		{"rapid.checks", checks},
		{"rapid.nofailfile", "true"},
	}
	for _, d := range defaults {
		if err := flag.Set(d.name, d.value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}
