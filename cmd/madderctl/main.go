// Command madderctl is the operators' command-line tool.
package main

import "github.com/madderpond/madderpond/pkg/ctl"

func main() {
	ctl.Run()
}
