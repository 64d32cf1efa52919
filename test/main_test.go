// Package test holds the integration tests. They run real processes on the loopback
// address, kill and freeze them, cut their connections and delete their data. The
// steps that tests share are in steps_test.go.
package test

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// programs are the paths of the binaries that the tests start.
var programs struct {
	daemon string
	lab    string
	tool   string
}

// racePrograms builds the programs with the race detector: go test ./test
// -race-programs. A program that detects a race logs it and exits with code 66.
var racePrograms = flag.Bool("race-programs", false, "build the programs with the race detector")

func TestMain(m *testing.M) {
	flag.Parse()
	folder, err := os.MkdirTemp("", "madderpond-test-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := buildAndRun(m, folder)
	os.RemoveAll(folder)
	os.Exit(code)
}

func buildAndRun(m *testing.M, folder string) int {
	arguments := []string{"build", "-o", folder + string(filepath.Separator)}
	if *racePrograms {
		arguments = append(arguments, "-race")
	}
	build := exec.Command("go", append(arguments, "../cmd/...")...)
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "can't build the programs: %v\n%s", err, out)
		return 1
	}
	programs.daemon = filepath.Join(folder, "madderpond")
	programs.lab = filepath.Join(folder, "madderlab")
	programs.tool = filepath.Join(folder, "madderctl")
	return m.Run()
}
