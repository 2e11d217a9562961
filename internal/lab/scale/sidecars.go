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

// Load of the real sidecars: modest, so that the control part is what is seen.
const (
	sidecarServers = 6
	sidecarRate    = 4.0 // requests a second of each sidecar
	sidecarLanes   = 8   // that start at a time
	sidecarStretch = 2   // of the classes' times, on a machine with thousands of neighbours
)

// sidecars are real ones with stand-in call servers and clients, under the usual
// audit.
type sidecars struct {
	world       *rig.World // nil for none
	subscribers []Subscriber
	seed        uint64
	result      *rig.FleetResult
	err         error
}

// startSidecars starts them; each follows the configuration as its topology says.
func startSidecars(ctx context.Context, o *Options, in string, t *Topology, relays []string) (*sidecars, error) {
	s := &sidecars{seed: o.Seed, subscribers: t.Subscribers[t.Hollow:]}
	if o.Real == 0 {
		return s, nil
	}
	directory := filepath.Join(in, "sidecars")
	if err := os.Mkdir(directory, 0o700); err != nil {
		return nil, err
	}
	world, err := rig.New(rig.Options{
		Seed: o.Seed, Instances: o.Real, Servers: sidecarServers, Stretch: sidecarStretch, Program: o.Programs.Sidecar, Dir: directory,
		Operator: func(i int, _ string) string { return operatorText(t, &s.subscribers[i], relays) },
	})
	if err != nil {
		return nil, err
	}
	s.world = world
	if err := world.StartAll(ctx, sidecarLanes); err != nil {
		world.Close()
		return nil, err
	}
	return s, nil
}

// operatorText is what an operator's file says of the configuration.
func operatorText(t *Topology, s *Subscriber, relays []string) string {
	var addresses, services []string
	for _, relay := range s.Relays {
		addresses = append(addresses, fmt.Sprintf("%q", relays[relay]))
	}
	for _, service := range t.Subscription(s) {
		services = append(services, fmt.Sprintf("%q", service))
	}
	return fmt.Sprintf("[configuration]\nregion = %q\nrelays = [%s]\nservices = [%s]\n", Region, strings.Join(addresses, ", "), strings.Join(services, ", "))
}

func (s *sidecars) close() {
	if s.world != nil {
		s.world.Close()
	}
}

// run has clients ask for a while.
func (s *sidecars) run(ctx context.Context, length time.Duration) {
	if s.world == nil {
		return
	}
	load := rig.FleetRun{Rate: sidecarRate * float64(len(s.world.Instances)), For: length, Seed: s.seed}
	s.result, s.err = load.Run(ctx, s.world)
}

// measure is what the sidecars use, and how many run.
func (s *sidecars) measure() (sum Usage, running int) {
	if s.world == nil {
		return sum, 0
	}
	for _, instance := range s.world.Instances {
		for _, pid := range instance.Pids() {
			used, err := readUsage(pid)
			if err == nil {
				sum = sum.plus(used)
				running++
			}
		}
	}
	return sum, running
}

// finish takes down what became of the requests, and which sidecars lack the newest
// version of a service that they follow.
func (s *sidecars) finish(f *Figures, newest []configuration.Version) {
	if s.world == nil {
		return
	}
	if s.err != nil {
		f.Failures = append(f.Failures, s.err)
		return
	}
	f.Failures = append(f.Failures, s.result.Errors...)
	report := s.world.Log.Report()
	f.RequestsAll = report.Asked
	f.RequestsLost = report.Lost + report.Late + report.Forged + report.After
	f.RequestsTwice = report.Twice + report.Untrue
	for _, problem := range report.Problems {
		f.Failures = append(f.Failures, fmt.Errorf("request: %s", problem))
	}
	for i, instance := range s.world.Instances {
		held, err := configuredVersion(instance.Addr)
		if err != nil {
			f.Failures = append(f.Failures, fmt.Errorf("%s: %w", instance.Name, err))
		}
		for _, service := range s.subscribers[i].Services {
			if held < newest[service] {
				f.Stale++
				break
			}
		}
	}
}

// configuredVersion asks a sidecar which version of the configuration it has taken.
func configuredVersion(address string) (configuration.Version, error) {
	client := http.Client{Timeout: askWithin}
	defer client.CloseIdleConnections()
	response, err := client.Get("http://" + address + "/up")
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	return configuration.ParseVersion(response.Header.Get("X-Configuration"))
}
