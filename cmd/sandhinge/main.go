// Command sandhinge is the sidecar. It accepts the application's requests and
// forwards them to the upstreams that package balance picks.
package main

import (
	"os"

	"otterspring/internal/sidecar/entrypoint"
)

func main() { os.Exit(entrypoint.Main(os.Args[1:], os.Stderr)) }
