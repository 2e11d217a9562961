// Command wirehost runs balancers for the simulator. It reads events from
// standard input and writes actions to standard output.
package main

import (
	"os"

	"otterspring/internal/logging"
	"otterspring/internal/simprotocol"
)

func main() {
	if err := simprotocol.Serve(os.Stdin, os.Stdout); err != nil {
		logging.New(os.Stderr, logging.Options{}).Error("wirehost ends", "why", err)
		os.Exit(1)
	}
}
