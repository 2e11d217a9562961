// Command sandhinge is the sidecar: it takes the application's requests and
// sends them on to the upstreams that package balance picks.
package main

import (
	"os"

	"otterspring/internal/daemon"
)

func main() { os.Exit(daemon.Main(os.Args[1:], os.Stderr)) }
