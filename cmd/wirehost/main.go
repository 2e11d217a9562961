// Command wirehost hosts balancers for the simulator: it reads events on
// standard input and writes actions to standard output.
package main

import (
	"fmt"
	"os"

	"otterspring/internal/wire"
)

func main() {
	if err := wire.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}
