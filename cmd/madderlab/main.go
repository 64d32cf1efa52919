// Command madderlab runs stand-in targets, fault proxies, trace replays, the demo and the benchmarks.
package main

import (
	"os"

	"github.com/madderpond/madderpond/pkg/lab/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:]))
}
