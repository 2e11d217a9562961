package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"time"

	"otterspring/internal/lab/invariant"
	"otterspring/internal/lab/rig"
	"otterspring/internal/lab/standin/clients"
)

// newTryRunner returns the runner of `rig try`: a short demonstration of the sidecar with a call
// server that hangs and one that drains.
func newTryRunner(f *flag.FlagSet) runner {
	seed := f.Uint64("seed", 1, "seed of the random number generators")
	duration := f.Duration("for", 10*time.Second, "duration of the load, 2s to 10m")
	rate := f.Float64("rate", 150, "requests a second, 1 to 2000")
	sidecarPath := f.String("program", "", "path of the sidecar program; empty for the one in this program's folder")
	return func(ctx context.Context, _ []string, out io.Writer) error {
		if err := checkRange("for", *duration, 2*time.Second, 10*time.Minute); err != nil {
			return err
		}
		if err := checkRange("rate", *rate, 1, 2000); err != nil {
			return err
		}
		argv, dir, cleanup, err := prepareRun(*sidecarPath)
		if err != nil {
			return err
		}
		defer cleanup()
		world, err := rig.New(rig.Options{Seed: *seed, Instances: 1, Servers: 6, PodSize: 3, SidecarCommand: argv, Dir: dir})
		if err != nil {
			return err
		}
		defer world.Close()
		if err := world.StartAll(ctx, 1); err != nil {
			return err
		}
		fmt.Fprintf(out, "discovery, 6 call servers (about %.0f requests a second in total), 1 sidecar on %s, clients at %.0f requests a second\n",
			rig.Capacity(6), world.Instances[0].Addr, *rate)
		fmt.Fprintf(out, "%s hangs from %v to %v, %s drains from %v\n", world.Servers[2].Name(), *duration*3/10, *duration*4/10, world.Servers[3].Name(), *duration/2)
		run := rig.FleetRun{RequestRate: *rate, Duration: *duration, DrainServer: true, HangServer: true, Seed: *seed, ProgressWriter: out}
		result, err := run.Run(ctx, world)
		if err != nil {
			return err
		}
		report := world.Checker.Report()
		printService(out, &result.Service)
		printRules(out, &report)
		fmt.Fprintf(out, "%s refused_conns=%d service=%.3f\n", report.Summary(), result.RefusedConns, result.Service.Score())
		if report.Violated() {
			return errViolated
		}
		return nil
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// printService prints the share of requests served in time and the latency, by class.
func printService(out io.Writer, service *clients.Service) {
	fmt.Fprintf(out, "\n%-10s %8s %8s %9s %9s\n", "class", "requests", "in time", "p50 ms", "p99 ms")
	for _, c := range service.Classes {
		inTime := 100.0
		if c.Asked > 0 {
			inTime = 100 * float64(c.InTime) / float64(c.Asked)
		}
		fmt.Fprintf(out, "%-10s %8d %7.2f%% %9.1f %9.1f\n", c.Name, c.Asked, inTime, milliseconds(c.P50), milliseconds(c.P99))
	}
	fmt.Fprintf(out, "service: whole run %.3f, worst 10 s %.3f, weighted score %.3f\n", service.Share(), service.WorstWindowShare, service.Score())
}

// printRules prints for each of the four rules whether the run kept it, and the violations.
func printRules(out io.Writer, report *invariant.Report) {
	line := func(rule string, violations int, detail string) {
		outcome := "kept"
		if violations > 0 {
			outcome = fmt.Sprintf("VIOLATED %d times", violations)
		}
		fmt.Fprintf(out, "%-32s %s%s\n", rule, outcome, detail)
	}
	line("no request lost", report.Dropped+report.Late+report.Forged+report.SentAfterAnswer, "")
	line("no effect executed twice", report.ExecutedTwice+report.RejectedAfterExecution, fmt.Sprintf(" (%d effects executed)", report.Effects))
	line("no request to a draining server", report.SentToDraining, "")
	line("no overload during warm-up", report.Overloaded, "")
	for _, violation := range report.Violations {
		fmt.Fprintln(out, "  "+violation)
	}
}
