package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"otterspring/internal/fleet/coordination/client"
	"otterspring/internal/lab/rig"
	"otterspring/internal/lab/standin/relay"
)

const (
	// startTimeout is the maximum time until a started process is ready. stopTimeout is the maximum
	// time until a process exits after SIGTERM. Both serve to end a run that hangs, not to limit
	// how slow a run may be.
	startTimeout   = 60 * time.Second
	stopTimeout    = 20 * time.Second
	pollInterval   = 20 * time.Millisecond
	requestTimeout = time.Second
)

// control manages the processes of the cluster and of the relays of a run.
type control struct {
	programs     Programs
	reaper       *rig.Reaper
	directory    string
	maxSnapshots int // maximum number of snapshots in flight at each relay

	clusterProcesses processSet
	relayProcesses   processSet
	members          []*member
	zoneRelays       []*zoneRelay
	clusterFile      string
	http             http.Client
	mu               sync.Mutex // guards the following fields
	outages          []Outage
	peakSnapshots    int // highest number of snapshots in flight at any relay
}

// member is a member of the coordination cluster.
type member struct {
	number  int
	address string

	mu      sync.Mutex // held while the process is started or stopped
	process *Process
}

// zoneRelay is the relay of a zone. It connects to each member through a link that can be
// blocked.
type zoneRelay struct {
	zone    int
	address string
	file    string
	links   []*relay.Relay

	mu      sync.Mutex // held while the process is started or stopped
	process *Process
}

// allocateAddress returns an address with a free port in 127.0.0.0/8. Only one process uses the IP
// address, so that no outgoing connection takes the port while the process restarts.
func allocateAddress(block, number int) (string, error) {
	pid := os.Getpid()
	listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", block+pid%50, 1+pid/50%250, 1+number))
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// Lowest values of the second octet of the addresses of members and of relays. The addresses are in
// 127.0.0.0/8.
const (
	memberBlock = 100
	relayBlock  = 160
)

// newControl writes the settings files of the cluster and its relays and opens the links.
func newControl(options *Options, directory string, reaper *rig.Reaper) (*control, error) {
	c := &control{programs: options.Programs, reaper: reaper, directory: directory, maxSnapshots: options.MaxSnapshots}
	c.http = http.Client{Timeout: requestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 5 * time.Second}}
	c.clusterFile = filepath.Join(directory, "council.toml")
	var text strings.Builder
	fmt.Fprintf(&text, "name = %q\ndirectory = %q\n", Region, filepath.Join(directory, "council"))
	for i := range memberCount {
		address, err := allocateAddress(memberBlock, i)
		if err != nil {
			return nil, err
		}
		c.members = append(c.members, &member{number: i + 1, address: address})
		fmt.Fprintf(&text, "[[member]]\nnumber = %d\naddress = %q\n", i+1, address)
	}
	if err := os.WriteFile(c.clusterFile, []byte(text.String()), 0o600); err != nil {
		return nil, err
	}
	for zone := range options.Zones {
		zr, err := c.newRelay(zone)
		if zr != nil {
			c.zoneRelays = append(c.zoneRelays, zr)
		}
		if err != nil {
			c.close()
			return nil, err
		}
	}
	return c, nil
}

func (c *control) newRelay(zone int) (*zoneRelay, error) {
	zr := &zoneRelay{zone: zone, file: filepath.Join(c.directory, relayName(zone)+".toml")}
	var err error
	if zr.address, err = allocateAddress(relayBlock, zone); err != nil {
		return nil, err
	}
	var addresses []string
	for _, m := range c.members {
		link, err := relay.Start(func() string { return m.address })
		if err != nil {
			return zr, err
		}
		zr.links = append(zr.links, link)
		addresses = append(addresses, strconv.Quote(link.Addr()))
	}
	text := fmt.Sprintf("region = %q\nmembers = [%s]\nzone = %q\nname = %q\nlisten = %q\nsnapshots_at_once = %d\n",
		Region, strings.Join(addresses, ", "), zoneName(zone), relayName(zone), zr.address, c.maxSnapshots)
	return zr, os.WriteFile(zr.file, []byte(text), 0o600)
}

// close kills all processes and closes all links.
func (c *control) close() {
	c.relayProcesses.kill()
	c.clusterProcesses.kill()
	for _, zr := range c.zoneRelays {
		for _, link := range zr.links {
			link.Close()
		}
	}
	c.http.CloseIdleConnections()
}

func (c *control) memberAddresses() []string {
	var all []string
	for _, m := range c.members {
		all = append(all, m.address)
	}
	return all
}

func (c *control) relayAddresses() []string {
	var all []string
	for _, zr := range c.zoneRelays {
		all = append(all, zr.address)
	}
	return all
}

// start starts the cluster and then the relays, and waits until all of them are ready.
func (c *control) start(ctx context.Context) error {
	for _, m := range c.members {
		m.mu.Lock()
		err := c.startMember(m, "-new")
		m.mu.Unlock()
		if err != nil {
			return err
		}
	}
	if _, err := c.awaitLeader(ctx); err != nil {
		return err
	}
	errs := make(chan error, len(c.zoneRelays))
	for _, zr := range c.zoneRelays {
		go func() {
			zr.mu.Lock()
			defer zr.mu.Unlock()
			if err := c.startRelay(zr); err != nil {
				errs <- err
				return
			}
			errs <- c.awaitRelay(ctx, zr, startTimeout)
		}()
	}
	var all []error
	for range c.zoneRelays {
		all = append(all, <-errs)
	}
	return firstError(all...)
}

// startMember starts the process of a member. The caller holds m.mu.
func (c *control) startMember(m *member, flags ...string) error {
	argv := append(append([]string{}, c.programs.Operator...), "council", "run", "-member", strconv.Itoa(m.number))
	process, err := startProcess(c.reaper, fmt.Sprintf("member-%d", m.number), append(append(argv, flags...), c.clusterFile), nil, nil)
	if err != nil {
		return err
	}
	m.process = process
	c.clusterProcesses.add(process)
	return nil
}

// startRelay starts the process of a relay. The caller holds zr.mu.
func (c *control) startRelay(zr *zoneRelay) error {
	argv := append(append([]string{}, c.programs.Operator...), "relay", "run", zr.file)
	process, err := startProcess(c.reaper, relayName(zr.zone), argv, nil, nil)
	if err != nil {
		return err
	}
	zr.process = process
	c.relayProcesses.add(process)
	return nil
}

// awaitLeader waits until the cluster has a leader, and returns the leader.
func (c *control) awaitLeader(ctx context.Context) (*member, error) {
	for started := time.Now(); time.Since(started) < startTimeout; {
		for _, m := range c.members {
			attempt, cancel := context.WithTimeout(ctx, requestTimeout)
			response, err := client.Call(attempt, &c.http, m.address, Region, client.Request{Kind: client.WatchLeases})
			cancel()
			if err == nil && response.IsLeader {
				return m, nil
			}
		}
		if err := firstError(append(c.clusterProcesses.crashes(), ctx.Err())...); err != nil {
			return nil, err
		}
		time.Sleep(pollInterval)
	}
	return nil, fmt.Errorf("cluster: found no leader within %v, wanted one", startTimeout)
}

// relayInfo is the part of a relay's state that a run reads.
type relayInfo struct {
	Ready         bool `json:"ready"`
	SnapshotsPeak int  `json:"snapshots_peak"`
}

// relayInfoPath is the HTTP path at which a relay serves its state.
const relayInfoPath = "/v1/relay"

// info returns the state of a relay.
func (c *control) info(ctx context.Context, zr *zoneRelay) (*relayInfo, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+zr.address+relayInfoPath, nil)
	if err != nil {
		return nil, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	info := &relayInfo{}
	return info, json.NewDecoder(response.Body).Decode(info)
}

// awaitRelay waits until a relay reports that it is ready. The caller holds zr.mu.
func (c *control) awaitRelay(ctx context.Context, zr *zoneRelay, timeout time.Duration) error {
	for started := time.Now(); time.Since(started) < timeout; {
		if info, err := c.info(ctx, zr); err == nil && info.Ready {
			return nil
		}
		if zr.process == nil || !zr.process.running() || ctx.Err() != nil {
			break
		}
		time.Sleep(pollInterval)
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	output := ""
	if zr.process != nil {
		output = ": " + zr.process.tail.lastLine()
	}
	return fmt.Errorf("%s: found it not ready within %v%s, wanted a response", relayName(zr.zone), timeout, output)
}

// pollRelays reads the state of each relay and records the peak number of snapshots in flight.
func (c *control) pollRelays(ctx context.Context) {
	var wg sync.WaitGroup
	for _, zr := range c.zoneRelays {
		wg.Go(func() {
			info, err := c.info(ctx, zr)
			if err != nil {
				return
			}
			c.mu.Lock()
			defer c.mu.Unlock()
			c.peakSnapshots = max(c.peakSnapshots, info.SnapshotsPeak)
		})
	}
	wg.Wait()
}

// snapshotsPeak returns the highest number of snapshots in flight at any relay.
func (c *control) snapshotsPeak() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peakSnapshots
}

// recordOutage records a fault of a relay that lasted from the time since until now.
func (c *control) recordOutage(zone int, since time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outages = append(c.outages, Outage{Relay: zone, From: since, To: Now()})
}

func (c *control) allOutages() []Outage {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Outage(nil), c.outages...)
}
