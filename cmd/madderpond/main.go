// Command madderpond is the daemon: an entry box, a control replica, or both.
package main

import (
	"os"

	"github.com/madderpond/madderpond/pkg/app"
)

func main() {
	os.Exit(app.Main(os.Args[1:]))
}
