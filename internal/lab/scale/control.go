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
	// startTimeout limits the start of a process, stopTimeout its end on SIGTERM. They end
	// a run that does not progress, and are no limits of speed.
	startTimeout   = 60 * time.Second
	stopTimeout    = 20 * time.Second
	pollInterval   = 20 * time.Millisecond
	requestTimeout = time.Second
)

// control is the cluster and the relays of a run.
type control struct {
	programs     Programs
	reaper       *rig.Reaper
	directory    string
	maxSnapshots int // in flight at a relay

	clusterProcesses group
	relayProcesses   group
	members          []*member
	zones            []*zoneRelay
	clusterFile      string
	http             http.Client
	mu               sync.Mutex // guards the following
	outages          []Outage
	peakSnapshots    int // highest number of snapshots in flight at a relay
}

// member is a member of the cluster.
type member struct {
	number  int
	address string

	mu      sync.Mutex // locked while it is started or ended
	process *Process
}

// zoneRelay is a zone's relay, with a link to each member that can be blocked.
type zoneRelay struct {
	zone    int
	address string
	file    string
	links   []*relay.Relay

	mu      sync.Mutex // locked while it is started or ended
	process *Process
}

// freeAddress returns a unique address in 127/8, whose port no outgoing connection takes
// while its process restarts.
func freeAddress(block, number int) (string, error) {
	pid := os.Getpid()
	listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", block+pid%50, 1+pid/50%250, 1+number))
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// Networks of 127/8 of the addresses.
const (
	memberBlock = 100
	relayBlock  = 160
)

// newControl writes the files of a cluster and its relays and opens the links.
func newControl(options *Options, directory string, reaper *rig.Reaper) (*control, error) {
	c := &control{programs: options.Programs, reaper: reaper, directory: directory, maxSnapshots: options.MaxSnapshots}
	c.http = http.Client{Timeout: requestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 5 * time.Second}}
	c.clusterFile = filepath.Join(directory, "council.toml")
	var text strings.Builder
	fmt.Fprintf(&text, "name = %q\ndirectory = %q\n", Region, filepath.Join(directory, "council"))
	for i := range members {
		address, err := freeAddress(memberBlock, i)
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
		one, err := c.newRelay(zone)
		if one != nil {
			c.zones = append(c.zones, one)
		}
		if err != nil {
			c.close()
			return nil, err
		}
	}
	return c, nil
}

func (c *control) newRelay(zone int) (*zoneRelay, error) {
	one := &zoneRelay{zone: zone, file: filepath.Join(c.directory, relayName(zone)+".toml")}
	var err error
	if one.address, err = freeAddress(relayBlock, zone); err != nil {
		return nil, err
	}
	var addresses []string
	for _, m := range c.members {
		link, err := relay.Start(func() string { return m.address })
		if err != nil {
			return one, err
		}
		one.links = append(one.links, link)
		addresses = append(addresses, strconv.Quote(link.Addr()))
	}
	text := fmt.Sprintf("region = %q\nmembers = [%s]\nzone = %q\nname = %q\nlisten = %q\nsnapshots_at_once = %d\n",
		Region, strings.Join(addresses, ", "), zoneName(zone), relayName(zone), one.address, c.maxSnapshots)
	return one, os.WriteFile(one.file, []byte(text), 0o600)
}

// close ends all processes and links.
func (c *control) close() {
	c.relayProcesses.kill()
	c.clusterProcesses.kill()
	for _, one := range c.zones {
		for _, link := range one.links {
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
	for _, one := range c.zones {
		all = append(all, one.address)
	}
	return all
}

// start starts the cluster, then the relays, and waits until all are ready.
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
	errs := make(chan error, len(c.zones))
	for _, one := range c.zones {
		go func() {
			one.mu.Lock()
			defer one.mu.Unlock()
			if err := c.startRelay(one); err != nil {
				errs <- err
				return
			}
			errs <- c.awaitRelay(ctx, one, startTimeout)
		}()
	}
	var all []error
	for range c.zones {
		all = append(all, <-errs)
	}
	return firstError(all...)
}

// startMember starts a member's process. The caller has locked its mu.
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

// startRelay starts a relay's process. The caller has locked its mu.
func (c *control) startRelay(one *zoneRelay) error {
	argv := append(append([]string{}, c.programs.Operator...), "relay", "run", one.file)
	process, err := startProcess(c.reaper, relayName(one.zone), argv, nil, nil)
	if err != nil {
		return err
	}
	one.process = process
	c.relayProcesses.add(process)
	return nil
}

// awaitLeader waits until the cluster has a leader, and returns it.
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

// relayInfo is the part of a relay's state that is used.
type relayInfo struct {
	Ready         bool `json:"ready"`
	SnapshotsPeak int  `json:"snapshots_peak"`
}

// relayInfoPath is where a relay serves its state.
const relayInfoPath = "/v1/relay"

// info returns the state of a relay.
func (c *control) info(ctx context.Context, one *zoneRelay) (*relayInfo, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+one.address+relayInfoPath, nil)
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

// awaitRelay waits until a relay has contacted the cluster. The caller has locked its mu.
func (c *control) awaitRelay(ctx context.Context, one *zoneRelay, timeout time.Duration) error {
	for started := time.Now(); time.Since(started) < timeout; {
		if info, err := c.info(ctx, one); err == nil && info.Ready {
			return nil
		}
		if one.process == nil || !one.process.running() || ctx.Err() != nil {
			break
		}
		time.Sleep(pollInterval)
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	output := ""
	if one.process != nil {
		output = ": " + one.process.tail.line()
	}
	return fmt.Errorf("%s: found it not ready within %v%s, wanted a response", relayName(one.zone), timeout, output)
}

// pollRelays polls the states of all relays, and records the peak of snapshots in flight.
func (c *control) pollRelays(ctx context.Context) {
	var wg sync.WaitGroup
	for _, one := range c.zones {
		wg.Go(func() {
			info, err := c.info(ctx, one)
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

// recordOutage records that a relay had a fault from a time until now.
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
