// Command sandhinge is the sidecar: it takes the application's requests and
// sends them on to the upstreams that package balance picks.
package main

import (
	"fmt"
	"log"
	"os"
	"os/signal"
	"syscall"

	"otterspring/internal/sidecar"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "sandhinge:", err)
		os.Exit(1)
	}
}

// run serves until SIGTERM or SIGINT and the drain that follows. SIGHUP reloads
// the configuration; it is caught first of all, since by default it would end
// the process. Those that come during a reload make one more, and those that
// come during the drain none.
func run() error {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	path := os.Getenv("RELAY_CONFIG")
	cfg, err := sidecar.Load(path)
	if err != nil {
		return err
	}
	s, err := sidecar.Start(cfg)
	if err != nil {
		return err
	}
	for {
		select {
		case <-stop:
			s.Drain()
			return nil
		case <-reload:
			cfg, err := sidecar.Load(path)
			if err != nil {
				log.Printf("reload: the old configuration stays: %v", err)
				continue
			}
			s.Reload(cfg)
		}
	}
}
