package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"otterspring/internal/lab/rig"
	"otterspring/internal/lab/standin/lossylink"
)

// protocolMixes are the values of the flag -mix. A value names the protocol of the clients and then
// the protocol of the call servers. The value "all" runs all four combinations at once.
var protocolMixes = []string{"all", "coap-coap", "coap-http", "http-coap", "http-http"}

// newCoAPRunner returns the runner of `rig coap`. It runs clients and call servers that use CoAP
// and HTTP at the same time, on links that lose, duplicate and delay datagrams.
func newCoAPRunner(f *flag.FlagSet) runner {
	seed := f.Uint64("seed", 1, "seed of the random number generators")
	duration := f.Duration("for", 30*time.Second, "duration of the load, 2s to 30m")
	mix := f.String("mix", "all", "protocols of clients and call servers: "+strings.Join(protocolMixes, ", "))
	drop := f.Int("drop", 3, "lose one datagram in this many, 0 for none, else 2 or more")
	duplicate := f.Float64("double", 0.02, "probability that a datagram is duplicated, 0 to 0.5")
	delay := f.Duration("delay", 5*time.Millisecond, "maximum delay of a datagram, 0 to 1s")
	rate := f.Float64("rate", 0, "requests a second over all clients, half of them over CoAP if both protocols are used; 0 for half of the servers' capacity")
	instances := f.Int("instances", 4, "sidecars, 1 to 50")
	servers := f.Int("servers", 8, "call servers, 2 to 50; every other one uses CoAP if both protocols are used")
	echo := f.Bool("echo", true, "CoAP call servers require the Echo option")
	deviceEcho := f.Bool("device-echo", true, "CoAP clients support the Echo option")
	restart := f.String("restart", "none", "restart each sidecar once: none, kill, term or handover")
	crash := f.Bool("crash", false, "kill each CoAP call server twice; it restarts at once")
	sidecarPath := f.String("program", "", "path of the sidecar program; empty for the one in this program's folder")
	return func(ctx context.Context, _ []string, out io.Writer) error {
		if !slices.Contains(protocolMixes, *mix) {
			return fmt.Errorf("%w: -mix: found %q, wanted one of %s", errUsage, *mix, strings.Join(protocolMixes, ", "))
		}
		if !slices.Contains([]string{"none", "kill", "term", "handover"}, *restart) {
			return fmt.Errorf("%w: -restart: found %q, wanted none, kill, term or handover", errUsage, *restart)
		}
		if *drop == 1 {
			return fmt.Errorf("%w: -drop: found 1, wanted 0, or 2 and more", errUsage)
		}
		for _, err := range []error{
			checkRange("for", *duration, 2*time.Second, 30*time.Minute), checkRange("drop", *drop, 0, 1_000_000), checkRange("double", *duplicate, 0, 0.5),
			checkRange("delay", *delay, 0, time.Second), checkRange("rate", *rate, 0, 20000), checkRange("instances", *instances, 1, 50), checkRange("servers", *servers, 2, 50),
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
		coapOptions := rig.CoAPOptions{RequireEcho: *echo, LinkFaults: lossylink.Faults{DropEvery: *drop, Duplicate: *duplicate, Delay: *delay}}
		switch {
		case *mix == "all":
			coapOptions.UsesCoAP = func(i int) bool { return i%2 == 1 }
		case strings.HasSuffix(*mix, "-coap"):
			coapOptions.UsesCoAP = func(int) bool { return true }
		}
		world, err := rig.New(rig.Options{Seed: *seed, Instances: *instances, Servers: *servers, SidecarCommand: argv, Dir: dir, CoAP: &coapOptions})
		if err != nil {
			return err
		}
		defer world.Close()
		if err := world.StartAll(ctx, 8); err != nil {
			return err
		}
		if *rate == 0 {
			*rate = rig.Capacity(*servers) / 2
		}
		run := rig.CoAPRun{Duration: *duration, NoEcho: !*deviceEcho, CrashServers: *crash, Seed: *seed}
		if *restart != "none" {
			run.RestartMode = rig.RestartMode(*restart)
		}
		switch {
		case *mix == "all":
			run.HTTPRate, run.CoAPRate = *rate/2, *rate/2
		case strings.HasPrefix(*mix, "coap-"):
			run.CoAPRate = *rate
		default:
			run.HTTPRate = *rate
		}
		result, err := run.Run(ctx, world)
		if err != nil {
			return err
		}
		return reportCoAP(out, world, result, *mix)
	}
}

// reportCoAP prints the results of a run of `rig coap`. It returns errViolated if a rule was
// violated or the run reported errors.
func reportCoAP(out io.Writer, world *rig.World, result *rig.CoAPResult, mix string) error {
	report := world.Checker.Report()
	if len(result.HTTP.Classes) > 0 && result.HTTP.Asked > 0 {
		fmt.Fprint(out, "over HTTP:")
		printService(out, &result.HTTP)
	}
	if result.CoAP.Asked > 0 {
		fmt.Fprint(out, "over CoAP:")
		printService(out, &result.CoAP)
	}
	printRules(out, &report)
	for _, err := range result.Errors {
		fmt.Fprintln(out, "  ", err)
	}
	cpuMicros := 1e6 * result.CPUTime.Seconds() / float64(max(1, report.Requests))
	fmt.Fprintf(out, "mix=%s %s overflow=%d service_http=%.3f service_coap=%.3f jain=%.4f retransmits=%d dedup_hits=%d dropped=%d cpu_us_request=%.0f mb_most=%.1f errors=%d\n",
		mix, report.Summary(), result.ConnOverflows, result.HTTP.Share(), result.CoAP.Share(), result.JainIndex, result.Retransmits, result.DedupHits, result.DroppedDatagrams, cpuMicros, float64(result.PeakRSSBytes)/(1<<20), len(result.Errors))
	if report.Violated() || len(result.Errors) > 0 {
		return errViolated
	}
	return nil
}
