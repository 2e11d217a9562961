package scale

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"otterspring/internal/fleet/configuration"
	"otterspring/internal/lab/rig"
)

// Load of the real sidecars. It is low, since a run measures the distribution of configuration.
const (
	sidecarServers          = 6
	sidecarRate             = 4.0 // requests per second that each sidecar receives
	sidecarStartConcurrency = 8   // sidecars started concurrently
	sidecarTimeFactor       = 2   // factor by which the time limits of the classes are multiplied, for a busy machine
)

// sidecars are the real sidecars of a run, with fake upstreams and with clients whose requests
// are audited.
type sidecars struct {
	world       *rig.World // nil if there are no real sidecars
	subscribers []Subscriber
	seed        uint64
	result      *rig.FleetResult
	err         error
}

// startSidecars starts the sidecars with the services and relays of the topology.
func startSidecars(ctx context.Context, options *Options, folder string, topology *Topology, relays []string) (*sidecars, error) {
	s := &sidecars{seed: options.Seed, subscribers: topology.Subscribers[topology.Simulated:]}
	if options.RealSidecars == 0 {
		return s, nil
	}
	directory := filepath.Join(folder, "sidecars")
	if err := os.Mkdir(directory, 0o700); err != nil {
		return nil, err
	}
	world, err := rig.New(rig.Options{
		Seed: options.Seed, Instances: options.RealSidecars, Servers: sidecarServers, TimeScale: sidecarTimeFactor, SidecarCommand: options.Programs.Sidecar, Dir: directory,
		OperatorFile: func(i int, _ string) string { return operatorText(topology, &s.subscribers[i], relays) },
	})
	if err != nil {
		return nil, err
	}
	s.world = world
	if err := world.StartAll(ctx, sidecarStartConcurrency); err != nil {
		world.Close()
		return nil, err
	}
	return s, nil
}

// operatorText returns the configuration section of a sidecar's operator file.
func operatorText(topology *Topology, subscriber *Subscriber, relays []string) string {
	var addresses, services []string
	for _, relay := range subscriber.Relays {
		addresses = append(addresses, fmt.Sprintf("%q", relays[relay]))
	}
	for _, service := range topology.Subscription(subscriber) {
		services = append(services, fmt.Sprintf("%q", service))
	}
	return fmt.Sprintf("[configuration]\nregion = %q\nrelays = [%s]\nservices = [%s]\n", Region, strings.Join(addresses, ", "), strings.Join(services, ", "))
}

func (s *sidecars) close() {
	if s.world != nil {
		s.world.Close()
	}
}

// run sends requests through the sidecars for a duration.
func (s *sidecars) run(ctx context.Context, length time.Duration) {
	if s.world == nil {
		return
	}
	load := rig.FleetRun{RequestRate: sidecarRate * float64(len(s.world.Instances)), Duration: length, Seed: s.seed}
	s.result, s.err = load.Run(ctx, s.world)
}

// measure returns the total resource usage of the sidecars and the number of running processes.
func (s *sidecars) measure() (sum Usage, running int) {
	if s.world == nil {
		return sum, 0
	}
	for _, instance := range s.world.Instances {
		for _, pid := range instance.PIDs() {
			usage, err := readUsage(pid)
			if err == nil {
				sum = sum.add(usage)
				running++
			}
		}
	}
	return sum, running
}

// finish adds the audit of the requests to the figures, and counts the sidecars without the
// newest version of a service as stale.
func (s *sidecars) finish(figures *Figures, newest []configuration.Version) {
	if s.world == nil {
		return
	}
	if s.err != nil {
		figures.Failures = append(figures.Failures, s.err)
		return
	}
	figures.Failures = append(figures.Failures, s.result.Errors...)
	report := s.world.Checker.Report()
	figures.Requests = report.Requests
	figures.LostRequests = report.Dropped + report.Late + report.Forged + report.SentAfterAnswer
	figures.DuplicateRequests = report.ExecutedTwice + report.RejectedAfterExecution
	for _, problem := range report.Violations {
		figures.Failures = append(figures.Failures, fmt.Errorf("request: %s", problem))
	}
	for i, instance := range s.world.Instances {
		version, err := configuredVersion(instance.Addr)
		if err != nil {
			figures.Failures = append(figures.Failures, fmt.Errorf("%s: %w", instance.Name, err))
		}
		for _, service := range s.subscribers[i].Services {
			if version < newest[service] {
				figures.Stale++
				break
			}
		}
	}
}

// configuredVersion returns the version of the configuration that a sidecar has applied.
func configuredVersion(address string) (configuration.Version, error) {
	client := http.Client{Timeout: requestTimeout}
	defer client.CloseIdleConnections()
	response, err := client.Get("http://" + address + "/up")
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	return configuration.ParseVersion(response.Header.Get("X-Configuration"))
}
