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

// councilLoad is `rig council`: what a council costs and carries, with its members
// as processes on loopback.
type councilLoad struct {
	members, hosts, writers int
	length                  time.Duration
	program                 string
}

func setCouncil(f *flag.FlagSet) runner {
	o := &councilLoad{}
	f.IntVar(&o.members, "members", 3, "of the council: 1, 3, 5 or 7")
	f.IntVar(&o.hosts, "hosts", 100, "that hear of what is agreed on, 1 to 1000")
	f.IntVar(&o.writers, "writers", 32, "that ask for commands at a time, 1 to 256")
	f.DurationVar(&o.length, "for", 5*time.Second, "how long each part takes")
	f.StringVar(&o.program, "operator-program", "", "the operators' command; empty to build it")
	return func(ctx context.Context, args []string, out io.Writer) error {
		if len(args) > 0 {
			return fmt.Errorf("%w: found %q, wanted nothing behind the flags", errUsage, args[0])
		}
		for _, err := range []error{within("members", o.members, 1, 7), within("hosts", o.hosts, 1, 1000), within("writers", o.writers, 1, 256)} {
			if err != nil {
				return err
			}
		}
		return o.run(ctx, out)
	}
}

func (o *councilLoad) run(ctx context.Context, out io.Writer) error {
	dir, clean, err := scratch()
	if err != nil {
		return err
	}
	defer clean()
	if o.program == "" {
		o.program = filepath.Join(dir, "otterspring")
		if text, err := exec.CommandContext(ctx, "go", "build", "-o", o.program, "./cmd/otterspring").CombinedOutput(); err != nil {
			return fmt.Errorf("go build: %v: %s", err, text)
		}
	}
	addresses, file, err := o.file(dir)
	if err != nil {
		return err
	}
	var pids []int
	for n := range addresses {
		cmd := exec.Command(o.program, "council", "run", "-member", strconv.Itoa(n+1), "-new", file)
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := cmd.Start(); err != nil {
			return err
		}
		defer func() { cmd.Process.Kill(); cmd.Wait() }()
		pids = append(pids, cmd.Process.Pid)
	}
	c := client.NewClient("load", addresses)
	defer c.Close()
	do := func(q client.Request) (*client.Response, error) {
		ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
		defer cancel()
		return c.Do(ctx, q)
	}
	a, err := do(client.Request{Kind: client.AcquireLease, Subject: "w", Lease: "load"})
	if err != nil {
		return err
	}
	epoch := a.Lease.Token
	note := func() error {
		a, err := do(client.Request{Kind: client.WriteCheckpoint, Subject: "w", Lease: "load", Token: epoch, Data: []byte(`{"at":1}`)})
		if err == nil && a.Rejection != "" {
			err = errors.New(a.Rejection)
		}
		return err
	}
	alone, syncs, _, err := o.write(ctx, addresses, 1, note)
	if err != nil {
		return err
	}
	used := cpu(pids)
	many, _, rate, err := o.write(ctx, addresses, o.writers, note)
	if err != nil {
		return err
	}
	busy := cpu(pids) - used
	heard, calls, hearing, err := o.hear(ctx, addresses, pids, note)
	if err != nil {
		return err
	}
	at := func(all []time.Duration, q float64) float64 {
		slices.Sort(all)
		return float64(all[min(len(all)-1, int(q*float64(len(all))))].Microseconds()) / 1000
	}
	fmt.Fprintf(out, "members=%d commit_p50_ms=%.2f commit_p99_ms=%.2f fsyncs_a_commit_each=%.2f writers=%d commits_s=%.0f busy_p50_ms=%.2f busy_p99_ms=%.2f commits_a_core_s=%.0f hosts=%d heard_p50_ms=%.2f heard_p99_ms=%.2f calls_s=%.0f hearing_cores=%.4f\n",
		o.members, at(alone, .5), at(alone, .99), syncs, o.writers, rate, at(many, .5), at(many, .99), rate*o.length.Seconds()/busy.Seconds(), o.hosts, at(heard, .5), at(heard, .99), calls, hearing)
	return nil
}

// file writes the council's file and returns where its members will listen.
func (o *councilLoad) file(dir string) (addresses []string, path string, err error) {
	var b strings.Builder
	b.WriteString("name = \"load\"\ndirectory = \"state\"\nlease = \"5m\"\n")
	var held []net.Listener
	defer func() {
		for _, ln := range held {
			ln.Close()
		}
	}()
	for n := range o.members {
		ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.201:0", 1+os.Getpid()%250, 1+os.Getpid()/250%250))
		if err != nil {
			return nil, "", err
		}
		held = append(held, ln)
		addresses = append(addresses, ln.Addr().String())
		fmt.Fprintf(&b, "[[member]]\nnumber = %d\naddress = %q\n", n+1, ln.Addr())
	}
	path = filepath.Join(dir, "council.toml")
	return addresses, path, os.WriteFile(path, []byte(b.String()), 0o600)
}

// write has commands agreed on for a while. It returns how long each took, the
// fsyncs of the first member for each, and commands a second.
func (o *councilLoad) write(ctx context.Context, addresses []string, writers int, note func() error) (took []time.Duration, syncs, rate float64, err error) {
	syncsOf := func() int {
		c := client.NewClient("load", addresses[:1])
		defer c.Close()
		a, err := c.Do(ctx, client.Request{Kind: client.WatchLeases})
		if err != nil {
			return 0
		}
		return a.Syncs
	}
	before := syncsOf()
	var mu sync.Mutex
	var wg sync.WaitGroup
	end := time.Now().Add(o.length)
	for range writers {
		wg.Go(func() {
			for time.Now().Before(end) && ctx.Err() == nil {
				at := time.Now()
				e := note()
				mu.Lock()
				took = append(took, time.Since(at))
				if e != nil {
					err = e
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return took, float64(syncsOf()-before) / float64(len(took)), float64(len(took)) / o.length.Seconds(), err
}

// hear has hosts wait for what is agreed on, with one change a second. It returns
// how long after each change each host heard of it, their calls a second and what
// cores the members took.
func (o *councilLoad) hear(ctx context.Context, addresses []string, pids []int, note func() error) (heard []time.Duration, calls, cores float64, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	changed, n := time.Now(), 0
	for h := range o.hosts {
		wg.Go(func() {
			c := client.NewClient("load", slices.Concat(addresses[h%len(addresses):], addresses[:h%len(addresses)]))
			defer c.Close()
			for seen := uint64(0); ctx.Err() == nil; {
				a, err := c.Do(ctx, client.Request{Kind: client.WatchLeases, SeenIndex: seen, WaitMS: 2000})
				if err != nil {
					continue
				}
				mu.Lock()
				if n++; seen > 0 && a.Index > seen {
					heard = append(heard, time.Since(changed))
				}
				mu.Unlock()
				seen = a.Index
			}
		})
	}
	time.Sleep(time.Second)
	mu.Lock()
	n, heard = 0, nil
	mu.Unlock()
	used, began := cpu(pids), time.Now()
	for time.Since(began) < o.length && err == nil {
		mu.Lock()
		changed = time.Now()
		mu.Unlock()
		err = note()
		time.Sleep(time.Second)
	}
	span := time.Since(began).Seconds()
	cores = (cpu(pids) - used).Seconds() / span
	mu.Lock()
	calls = float64(n) / span
	mu.Unlock()
	cancel()
	wg.Wait()
	if err == nil && len(heard) == 0 {
		err = errors.New("no host heard of anything")
	}
	return heard, calls, cores, err
}

// cpu is the processor time of processes.
func cpu(pids []int) (sum time.Duration) {
	for _, pid := range pids {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
		if err != nil {
			continue
		}
		f := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
		for _, k := range []int{11, 12} { // utime, stime in ticks of 10 ms
			ticks, _ := strconv.Atoi(f[k])
			sum += time.Duration(ticks) * 10 * time.Millisecond
		}
	}
	return sum
}
