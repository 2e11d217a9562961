package main

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"otterspring/internal/fleet/coordination/client"
)

// councilBenchmark is `rig council`: it measures the throughput and the cost of a coordination
// cluster whose members run as processes on loopback.
type councilBenchmark struct {
	members, hosts, writers int
	phaseDuration           time.Duration
	operatorPath            string // program that runs the members
}

// newCouncilRunner returns the runner of `rig council`.
func newCouncilRunner(f *flag.FlagSet) runner {
	o := &councilBenchmark{}
	f.IntVar(&o.members, "members", 3, "members of the cluster: 1, 3, 5 or 7")
	f.IntVar(&o.hosts, "hosts", 100, "hosts that watch for committed changes, 1 to 1000")
	f.IntVar(&o.writers, "writers", 32, "concurrent writers, 1 to 256")
	f.DurationVar(&o.phaseDuration, "for", 5*time.Second, "duration of each phase")
	f.StringVar(&o.operatorPath, "operator-program", "", "path of the otterspring program; empty to build it")
	return func(ctx context.Context, args []string, out io.Writer) error {
		if len(args) > 0 {
			return fmt.Errorf("%w: found %q, wanted no argument after the flags", errUsage, args[0])
		}
		for _, err := range []error{checkRange("members", o.members, 1, 7), checkRange("hosts", o.hosts, 1, 1000), checkRange("writers", o.writers, 1, 256)} {
			if err != nil {
				return err
			}
		}
		return o.run(ctx, out)
	}
}

// run measures writes by one writer, then writes by concurrent writers, then watch events. It
// prints the figures.
func (o *councilBenchmark) run(ctx context.Context, out io.Writer) error {
	dir, cleanup, err := makeRunDir()
	if err != nil {
		return err
	}
	defer cleanup()
	if o.operatorPath == "" {
		o.operatorPath = filepath.Join(dir, "otterspring")
		if text, err := exec.CommandContext(ctx, "go", "build", "-o", o.operatorPath, "./cmd/otterspring").CombinedOutput(); err != nil {
			return fmt.Errorf("go build: %v: %s", err, text)
		}
	}
	addresses, configPath, err := o.writeConfig(dir)
	if err != nil {
		return err
	}
	var pids []int
	for n := range addresses {
		cmd := exec.Command(o.operatorPath, "council", "run", "-member", strconv.Itoa(n+1), "-new", configPath)
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := cmd.Start(); err != nil {
			return err
		}
		defer func() { cmd.Process.Kill(); cmd.Wait() }()
		pids = append(pids, cmd.Process.Pid)
	}
	coordination := client.NewClient("load", addresses)
	defer coordination.Close()
	do := func(req client.Request) (*client.Response, error) {
		ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
		defer cancel()
		return coordination.Do(ctx, req)
	}
	resp, err := do(client.Request{Kind: client.AcquireLease, Subject: "w", Lease: "load"})
	if err != nil {
		return err
	}
	token := resp.Lease.Token
	writeCheckpoint := func() error {
		resp, err := do(client.Request{Kind: client.WriteCheckpoint, Subject: "w", Lease: "load", Token: token, Data: []byte(`{"at":1}`)})
		if err == nil && resp.Rejection != "" {
			err = errors.New(resp.Rejection)
		}
		return err
	}
	singleLatencies, syncsPerWrite, _, err := o.measureWrites(ctx, addresses, 1, writeCheckpoint)
	if err != nil {
		return err
	}
	cpuBefore := statCPUTime(pids)
	concurrentLatencies, _, rate, err := o.measureWrites(ctx, addresses, o.writers, writeCheckpoint)
	if err != nil {
		return err
	}
	cpuUsed := statCPUTime(pids) - cpuBefore
	watchDelays, callRate, watchCores, err := o.measureWatches(ctx, addresses, pids, writeCheckpoint)
	if err != nil {
		return err
	}
	quantileMS := func(durations []time.Duration, q float64) float64 {
		slices.Sort(durations)
		return float64(durations[min(len(durations)-1, int(q*float64(len(durations))))].Microseconds()) / 1000
	}
	fmt.Fprintf(out, "members=%d commit_p50_ms=%.2f commit_p99_ms=%.2f fsyncs_a_commit_each=%.2f writers=%d commits_s=%.0f busy_p50_ms=%.2f busy_p99_ms=%.2f commits_a_core_s=%.0f hosts=%d heard_p50_ms=%.2f heard_p99_ms=%.2f calls_s=%.0f hearing_cores=%.4f\n",
		o.members, quantileMS(singleLatencies, .5), quantileMS(singleLatencies, .99), syncsPerWrite, o.writers, rate, quantileMS(concurrentLatencies, .5), quantileMS(concurrentLatencies, .99), rate*o.phaseDuration.Seconds()/cpuUsed.Seconds(), o.hosts, quantileMS(watchDelays, .5), quantileMS(watchDelays, .99), callRate, watchCores)
	return nil
}

// writeConfig writes the cluster's configuration file and returns the addresses of its members
// and the path of the file.
func (o *councilBenchmark) writeConfig(dir string) (addresses []string, path string, err error) {
	var b strings.Builder
	b.WriteString("name = \"load\"\ndirectory = \"state\"\nlease = \"5m\"\n")
	var listeners []net.Listener
	defer func() {
		for _, ln := range listeners {
			ln.Close()
		}
	}()
	for n := range o.members {
		ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.201:0", 1+os.Getpid()%250, 1+os.Getpid()/250%250))
		if err != nil {
			return nil, "", err
		}
		listeners = append(listeners, ln)
		addresses = append(addresses, ln.Addr().String())
		fmt.Fprintf(&b, "[[member]]\nnumber = %d\naddress = %q\n", n+1, ln.Addr())
	}
	path = filepath.Join(dir, "council.toml")
	return addresses, path, os.WriteFile(path, []byte(b.String()), 0o600)
}

// measureWrites writes checkpoints from concurrent writers for one phase. It returns the latency of
// each write, the number of fsyncs that the first member made per write, and the number of writes a
// second.
func (o *councilBenchmark) measureWrites(ctx context.Context, addresses []string, writers int, writeCheckpoint func() error) (latencies []time.Duration, syncsPerWrite, rate float64, err error) {
	syncCount := func() int {
		c := client.NewClient("load", addresses[:1])
		defer c.Close()
		resp, err := c.Do(ctx, client.Request{Kind: client.WatchLeases})
		if err != nil {
			return 0
		}
		return resp.Syncs
	}
	before := syncCount()
	var mu sync.Mutex
	var wg sync.WaitGroup
	end := time.Now().Add(o.phaseDuration)
	for range writers {
		wg.Go(func() {
			for time.Now().Before(end) && ctx.Err() == nil {
				startedAt := time.Now()
				writeErr := writeCheckpoint()
				mu.Lock()
				latencies = append(latencies, time.Since(startedAt))
				if writeErr != nil {
					err = writeErr
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return latencies, float64(syncCount()-before) / float64(len(latencies)), float64(len(latencies)) / o.phaseDuration.Seconds(), err
}

// measureWatches makes all hosts watch the leases while one change is committed each second. It
// returns the delay from each change to the watch event at each host, the number of calls that the
// hosts made a second, and the number of processor cores that the members used.
func (o *councilBenchmark) measureWatches(ctx context.Context, addresses []string, pids []int, writeCheckpoint func() error) (delays []time.Duration, callRate, cores float64, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	changedAt, answered := time.Now(), 0
	for host := range o.hosts {
		wg.Go(func() {
			c := client.NewClient("load", slices.Concat(addresses[host%len(addresses):], addresses[:host%len(addresses)]))
			defer c.Close()
			for seenIndex := uint64(0); ctx.Err() == nil; {
				resp, err := c.Do(ctx, client.Request{Kind: client.WatchLeases, SeenIndex: seenIndex, WaitMS: 2000})
				if err != nil {
					continue
				}
				mu.Lock()
				if answered++; seenIndex > 0 && resp.Index > seenIndex {
					delays = append(delays, time.Since(changedAt))
				}
				mu.Unlock()
				seenIndex = resp.Index
			}
		})
	}
	time.Sleep(time.Second)
	mu.Lock()
	answered, delays = 0, nil
	mu.Unlock()
	cpuBefore, startedAt := statCPUTime(pids), time.Now()
	for time.Since(startedAt) < o.phaseDuration && err == nil {
		mu.Lock()
		changedAt = time.Now()
		mu.Unlock()
		err = writeCheckpoint()
		time.Sleep(time.Second)
	}
	elapsed := time.Since(startedAt).Seconds()
	cores = (statCPUTime(pids) - cpuBefore).Seconds() / elapsed
	mu.Lock()
	callRate = float64(answered) / elapsed
	mu.Unlock()
	cancel()
	wg.Wait()
	if err == nil && len(delays) == 0 {
		err = errors.New("no host received a watch event")
	}
	return delays, callRate, cores, err
}

// statCPUTime returns the sum of the user and system time of processes.
func statCPUTime(pids []int) (sum time.Duration) {
	for _, pid := range pids {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
		if err != nil {
			continue
		}
		fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
		for _, index := range []int{11, 12} { // utime and stime, in ticks of 10 ms
			ticks, _ := strconv.Atoi(fields[index])
			sum += time.Duration(ticks) * 10 * time.Millisecond
		}
	}
	return sum
}
