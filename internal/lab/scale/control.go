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
	// startWithin bounds the start of a process, endWithin its end on SIGTERM. They
	// end a run that hangs, and are no verdict on speed.
	startWithin = 60 * time.Second
	endWithin   = 20 * time.Second
	askEvery    = 20 * time.Millisecond
	askWithin   = time.Second
)

// control are the council and the relays of a run.
type control struct {
	programs  Programs
	reaper    *rig.Reaper
	directory string
	snapshots int // that a relay may have under way

	council     group
	relays      group
	members     []*member
	zones       []*zoneRelay
	councilFile string
	http        http.Client
	mu          sync.Mutex // guards the following
	outages     []Outage
	peak        int // snapshots under way at a time, over all relays
}

// member is one of the council.
type member struct {
	number  int
	address string

	mu      sync.Mutex // held while it is started or ended
	process *Process
}

// zoneRelay is a zone's relay, with a link to each member that can be cut.
type zoneRelay struct {
	zone    int
	address string
	file    string
	links   []*relay.Relay

	mu      sync.Mutex // held while it is started or ended
	process *Process
}

// freeAddress takes an address of its own in 127/8, so that no outgoing connection
// takes its port while its process restarts.
func freeAddress(block, number int) (string, error) {
	pid := os.Getpid()
	listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", block+pid%50, 1+pid/50%250, 1+number))
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// Blocks of 127/8 from which addresses are taken.
const (
	memberBlock = 100
	relayBlock  = 160
)

// newControl writes the files of a council and its relays and opens the links.
func newControl(o *Options, directory string, reaper *rig.Reaper) (*control, error) {
	c := &control{programs: o.Programs, reaper: reaper, directory: directory, snapshots: o.SnapshotsAtOnce}
	c.http = http.Client{Timeout: askWithin, Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 5 * time.Second}}
	c.councilFile = filepath.Join(directory, "council.toml")
	text := fmt.Sprintf("name = %q\ndirectory = %q\n", Region, filepath.Join(directory, "council"))
	for i := range members {
		address, err := freeAddress(memberBlock, i)
		if err != nil {
			return nil, err
		}
		c.members = append(c.members, &member{number: i + 1, address: address})
		text += fmt.Sprintf("[[member]]\nnumber = %d\naddress = %q\n", i+1, address)
	}
	if err := os.WriteFile(c.councilFile, []byte(text), 0o600); err != nil {
		return nil, err
	}
	for zone := range o.Zones {
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
	var through []string
	for _, m := range c.members {
		link, err := relay.Start(func() string { return m.address })
		if err != nil {
			return one, err
		}
		one.links = append(one.links, link)
		through = append(through, strconv.Quote(link.Addr()))
	}
	text := fmt.Sprintf("region = %q\nmembers = [%s]\nzone = %q\nname = %q\nlisten = %q\nsnapshots_at_once = %d\n",
		Region, strings.Join(through, ", "), zoneName(zone), relayName(zone), one.address, c.snapshots)
	return one, os.WriteFile(one.file, []byte(text), 0o600)
}

// close ends all processes and links.
func (c *control) close() {
	c.relays.kill()
	c.council.kill()
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

// start starts the council, then the relays, and waits until all are ready.
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
			errs <- c.awaitRelay(ctx, one, startWithin)
		}()
	}
	var all []error
	for range c.zones {
		all = append(all, <-errs)
	}
	return firstError(all...)
}

// startMember starts a member's process. The caller holds its mutex.
func (c *control) startMember(m *member, flags ...string) error {
	argv := append(append([]string{}, c.programs.Operator...), "council", "run", "-member", strconv.Itoa(m.number))
	process, err := startProcess(c.reaper, fmt.Sprintf("member-%d", m.number), append(append(argv, flags...), c.councilFile), nil, nil)
	if err != nil {
		return err
	}
	m.process = process
	c.council.add(process)
	return nil
}

// startRelay starts a relay's process. The caller holds its mutex.
func (c *control) startRelay(one *zoneRelay) error {
	argv := append(append([]string{}, c.programs.Operator...), "relay", "run", one.file)
	process, err := startProcess(c.reaper, relayName(one.zone), argv, nil, nil)
	if err != nil {
		return err
	}
	one.process = process
	c.relays.add(process)
	return nil
}

// awaitLeader waits until a member leads, and returns it.
func (c *control) awaitLeader(ctx context.Context) (*member, error) {
	for began := time.Now(); time.Since(began) < startWithin; {
		for _, m := range c.members {
			asking, cancel := context.WithTimeout(ctx, askWithin)
			answer, err := client.Call(asking, &c.http, m.address, Region, client.Request{Kind: client.WatchLeases})
			cancel()
			if err == nil && answer.IsLeader {
				return m, nil
			}
		}
		if err := firstError(append(c.council.crashes(), ctx.Err())...); err != nil {
			return nil, err
		}
		time.Sleep(askEvery)
	}
	return nil, fmt.Errorf("council: found no leader within %v, wanted one", startWithin)
}

// relayInfo is what of a relay's own account is used.
type relayInfo struct {
	Ready         bool `json:"ready"`
	SnapshotsPeak int  `json:"snapshots_peak"`
}

// relayInfoPath is where a relay says how it is.
const relayInfoPath = "/v1/relay"

// info asks a relay how it is.
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

// awaitRelay waits until a relay answers and has heard of the council. The caller
// holds its mutex.
func (c *control) awaitRelay(ctx context.Context, one *zoneRelay, within time.Duration) error {
	for began := time.Now(); time.Since(began) < within; {
		if info, err := c.info(ctx, one); err == nil && info.Ready {
			return nil
		}
		if one.process == nil || !one.process.running() || ctx.Err() != nil {
			break
		}
		time.Sleep(askEvery)
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	last := ""
	if one.process != nil {
		last = ": " + one.process.tail.line()
	}
	return fmt.Errorf("%s: found it not ready within %v%s, wanted an answer", relayName(one.zone), within, last)
}

// look asks all relays how they are, and notes the peak of snapshots under way.
func (c *control) look(ctx context.Context) {
	var wg sync.WaitGroup
	for _, one := range c.zones {
		wg.Go(func() {
			info, err := c.info(ctx, one)
			if err != nil {
				return
			}
			c.mu.Lock()
			defer c.mu.Unlock()
			c.peak = max(c.peak, info.SnapshotsPeak)
		})
	}
	wg.Wait()
}

// snapshotsPeak is the most snapshots that any relay had under way.
func (c *control) snapshotsPeak() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peak
}

// atFault notes that a relay was at fault since a moment, until now.
func (c *control) atFault(zone int, since time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outages = append(c.outages, Outage{Relay: zone, From: since, To: Now()})
}

func (c *control) allOutages() []Outage {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Outage(nil), c.outages...)
}
