// Command sandhinge is the sidecar: it takes the application's requests and
// sends them on to the upstreams that package balance picks.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"pipittrestle/internal/sidecar"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "sandhinge:", err)
		os.Exit(1)
	}
}

// run serves until SIGTERM or SIGINT and the drain that follows.
func run() error {
	cfg, err := sidecar.Load(os.Getenv("RELAY_CONFIG"))
	if err != nil {
		return err
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	s, err := sidecar.Start(cfg)
	if err != nil {
		return err
	}
	<-stop
	s.Drain()
	return nil
}
