package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"path/filepath"
	"strconv"
	"time"

	"otterspring/internal/lab/rig"
	"otterspring/internal/lab/standin/registry"
)

// newFleetRunner returns the runner of `rig fleet`: it restarts the instances of a fleet at random
// times under load.
func newFleetRunner(f *flag.FlagSet) runner {
	seed := f.Uint64("seed", 1, "seed of the random number generators")
	duration := f.Duration("for", 60*time.Second, "duration of the load, 3s to 30m")
	instances := f.Int("instances", 50, "sidecars, 1 to 400")
	servers := f.Int("servers", 12, "call servers, 2 to 100")
	rate := f.Float64("rate", 0, "requests a second over all clients; 0 for half of the servers' capacity")
	surge := f.Float64("surge", 1.6, "factor on the request rate in the middle fifth of the run, 1 to 5")
	restarts := f.String("restarts", "all", "number of instances that are restarted once: all, none or a number")
	mode := f.String("mode", "term", "how instances are restarted: kill, term or handover")
	lines := f.Float64("lines", 400, "lines of endpoint lists that discovery can send a second, 0 for no limit")
	hangServer := f.Bool("hang", false, "a call server accepts requests for a while without answering them")
	sidecarPath := f.String("program", "", "path of the sidecar program; empty for the one in this program's folder")
	memory := f.Int("memory", 64, "memory limit in the configuration of each sidecar in MB, 32 to 1024")
	return func(ctx context.Context, _ []string, out io.Writer) error {
		count, err := restartCount(*restarts, *instances)
		if err != nil {
			return err
		}
		if *mode != "kill" && *mode != "term" && *mode != "handover" {
			return fmt.Errorf("%w: -mode: found %q, wanted kill, term or handover", errUsage, *mode)
		}
		for _, err := range []error{
			checkRange("for", *duration, 3*time.Second, 30*time.Minute), checkRange("instances", *instances, 1, 400), checkRange("servers", *servers, 2, 100),
			checkRange("rate", *rate, 0, 20000), checkRange("surge", *surge, 1, 5), checkRange("lines", *lines, 0, 1e9), checkRange("memory", *memory, 32, 1024),
		} {
			if err != nil {
				return err
			}
		}
		argv, dir, cleanup, err := prepareRun(*sidecarPath)
		if err != nil {
			return err
		}
		defer cleanup()
		options := rig.Options{
			Seed: *seed, Instances: *instances, Servers: *servers, SidecarCommand: argv, Dir: dir, MemoryMB: *memory,
			// The discovery service of the reference site is sized for more than a hundred
			// sidecars. Above 50 sidecars its capacity therefore grows with the fleet here.
			Registry: registry.Config{LinesPerSecond: *lines * max(1, float64(*instances)/50), CallCostLines: 23, Delay: 500 * time.Millisecond},
		}
		if *mode == "handover" {
			options.OperatorFile = func(i int, dir string) string {
				return fmt.Sprintf("[handover]\nsocket = %q\n", filepath.Join(dir, fmt.Sprintf("n%d.sock", i+1)))
			}
		}
		if *rate == 0 {
			*rate = rig.Capacity(*servers) / 2
		}
		world, err := rig.New(options)
		if err != nil {
			return err
		}
		defer world.Close()
		startedAt := time.Now()
		if err := world.StartAll(ctx, 8); err != nil {
			return err
		}
		fmt.Fprintf(out, "%d sidecars up in %.1f s, %d call servers (about %.0f requests a second), load %.0f requests a second, %d restarts by %s\n",
			*instances, time.Since(startedAt).Seconds(), *servers, rig.Capacity(*servers), *rate, count, *mode)
		run := rig.FleetRun{RequestRate: *rate, Duration: *duration, SurgeFactor: *surge, Restarts: count, Mode: rig.RestartMode(*mode), DrainServer: true, HangServer: *hangServer, Seed: *seed, ProgressWriter: out}
		result, err := run.Run(ctx, world)
		if err != nil {
			return err
		}
		return reportFleet(out, world, result, *duration, *mode)
	}
}

// restartCount parses the value of -restarts.
func restartCount(text string, instances int) (int, error) {
	switch text {
	case "all":
		return instances, nil
	case "none":
		return 0, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 || n > instances {
		return 0, fmt.Errorf("%w: -restarts: found %q, wanted all, none or 0 to %d", errUsage, text, instances)
	}
	return n, nil
}

// reportFleet prints the results of a run of `rig fleet`. It returns errViolated if a rule or a
// requirement on handover was violated, or if the run reported errors.
func reportFleet(out io.Writer, world *rig.World, result *rig.FleetResult, duration time.Duration, mode string) error {
	report := world.Checker.Report()
	printService(out, &result.Service)
	printRules(out, &report)
	instances := len(world.Instances)
	for _, err := range result.Errors {
		fmt.Fprintln(out, "  restart:", err)
	}
	fmt.Fprintf(out, "%d restarted; %.1f MB and %.1f ms of CPU a second each; requests within 1 s of their instance's restart: %d, %.2f%% served, p99 %.1f ms; others %.2f%% served, p99 %.1f ms\n",
		result.Restarted, float64(result.PeakRSSBytes)/(1<<20), 1000*result.CPUTime.Seconds()/duration.Seconds()/float64(instances),
		result.RestartRequests, 100*result.RestartServedShare, milliseconds(result.RestartP99), 100*result.SteadyServedShare, milliseconds(result.SteadyP99))
	fmt.Fprintf(out, "instances=%d servers=%d mode=%s restarted=%d %s refused_conns=%d overflow=%d gap_p99_ms=%.1f quiet_p99_ms=%.1f service=%.3f mb_each=%.1f cpu_ms_s_each=%.1f errors=%d\n",
		instances, len(world.Servers), mode, result.Restarted, report.Summary(), result.RefusedConns, result.ConnOverflows, milliseconds(result.RestartP99), milliseconds(result.SteadyP99), result.Service.Score(),
		float64(result.PeakRSSBytes)/(1<<20), 1000*result.CPUTime.Seconds()/duration.Seconds()/float64(instances), len(result.Errors))
	// A run with handovers must have no refused connection. The p99 of requests near a restart must
	// be at most 1.5 times the p99 of the other requests. With fewer than 500 requests near a
	// restart the two are not compared, since these are too few for a p99.
	p99Exceeded := result.RestartRequests >= 500 && float64(result.RestartP99) > 1.5*float64(result.SteadyP99)
	if report.Violated() || len(result.Errors) > 0 || mode == "handover" && (result.RefusedConns > 0 || p99Exceeded) {
		return errViolated
	}
	return nil
}
