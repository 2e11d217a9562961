package rig

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"

	"otterspring/internal/lab/standin/callserver"
	"otterspring/internal/lab/standin/clients"
	"otterspring/internal/lab/standin/lossylink"
)

// CoAPOptions adds CoAP to a world. Sidecars reach each call server with CoAP over a separate link, and CoAP clients
// reach each instance over a separate link. All these links apply LinkFaults.
type CoAPOptions struct {
	UsesCoAP    func(i int) bool // reports whether call server i uses CoAP; nil if no server does
	RequireEcho bool             // call servers with CoAP require the Echo option
	LinkFaults  lossylink.Faults // faults of every link
}

// coapAckTimeout is the sidecars' CoAP acknowledgment timeout. It is short since call servers are on loopback.
const coapAckTimeout = 100 * time.Millisecond

// coapOperatorConfig returns the text of an instance's operator file with CoAP enabled.
func (w *World) coapOperatorConfig(in *Instance) string {
	return fmt.Sprintf("[coap]\nlisten = %q\nservers = true\nstate = %q\nsettled = 1048576\nack_timeout = %q\n[handover]\nsocket = %q\nready_within = \"1m\"\n",
		in.Addr, w.filePath(in.Name+".coap"), coapAckTimeout, w.filePath(in.Name+".sock"))
}

// openLossyLink opens a link to the given address. The link applies the link faults of the world.
func (w *World) openLossyLink(addr string) (*lossylink.Link, error) {
	target, err := netip.ParseAddrPort(strings.TrimPrefix(addr, "coap://"))
	if err != nil {
		return nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	link, err := lossylink.Start(target, w.options.CoAP.LinkFaults, w.options.Seed+uint64(len(w.links)))
	if err == nil {
		w.links = append(w.links, link)
	}
	return link, err
}

// CoAPRun describes a run of concurrent clients over HTTP and CoAP.
type CoAPRun struct {
	HTTPRate, CoAPRate float64 // requests a second over all instances
	Duration           time.Duration
	NoEcho             bool // the CoAP clients do not support the Echo option
	// RestartMode selects how instances are restarted; empty for no restarts. Each instance restarts once, in the
	// middle half of the run.
	RestartMode  RestartMode
	CrashServers bool // each call server with CoAP is killed and restarted twice
	Seed         uint64
}

// CoAPResult is the result of a CoAPRun.
type CoAPResult struct {
	HTTP, CoAP clients.Service
	// JainIndex is Jain's fairness index of the share of requests served in time over HTTP and the share
	// over CoAP. It is the minimum over the classes.
	JainIndex        float64
	Retransmits      int // messages that CoAP clients and sidecars retransmitted
	DedupHits        int // duplicates that sidecars and call servers detected
	DroppedDatagrams int // datagrams that the links dropped
	CPUTime          time.Duration
	PeakRSSBytes     int64
	ConnOverflows    int
	Errors           []error
}

// Run generates the load and applies the faults in w. The instances of w must be up. Run stops them at the end.
func (r *CoAPRun) Run(ctx context.Context, w *World) (*CoAPResult, error) {
	rng := rand.New(rand.NewPCG(r.Seed, 0x636f6170))
	result := &CoAPResult{}
	var allClients [2][]*clients.Clients // HTTP, CoAP
	var wg sync.WaitGroup
	var mu sync.Mutex // guards result.Errors
	instanceCount := float64(len(w.Instances))
	for i, in := range w.Instances {
		for protocol, rate := range []float64{r.HTTPRate, r.CoAPRate} {
			if rate <= 0 {
				continue
			}
			client := w.NewClients(in, rng.Uint64())
			if protocol == 1 {
				var err error
				if client, err = w.newDevices(in, rng.Uint64(), r.NoEcho); err != nil {
					return nil, err
				}
			}
			arrivals, err := clients.Draw(clients.Workload{Rate: rate / instanceCount, Duration: r.Duration, Keys: 3000, Skew: 0.7}, w.Classes, rng.Uint64())
			if err != nil {
				return nil, err
			}
			allClients[protocol] = append(allClients[protocol], client)
			wg.Go(func() { client.Run(ctx, arrivals) })
		}
		if restartAt := time.Duration((0.25 + 0.5*float64(i)/instanceCount) * float64(r.Duration)); r.RestartMode != "" {
			wg.Go(func() {
				if waitFor(ctx, restartAt) {
					if err := r.restartInstance(ctx, in); err != nil {
						mu.Lock()
						result.Errors = append(result.Errors, err)
						mu.Unlock()
					}
				}
			})
		}
	}
	if r.CrashServers {
		r.crashServers(ctx, w, &wg)
	}
	wg.Wait()
	result.Errors = append(result.Errors, w.Crashes()...)
	r.summarize(w, result, allClients)
	return result, ctx.Err()
}

func (r *CoAPRun) restartInstance(ctx context.Context, in *Instance) error {
	if r.RestartMode == RestartByHandover {
		return in.HandOver(ctx)
	}
	return in.Restart(ctx, r.RestartMode == RestartByKill)
}

// crashServers crashes the call servers with CoAP one by one, each twice. A crashed server restarts at once, without
// the state of earlier requests.
func (r *CoAPRun) crashServers(ctx context.Context, w *World, wg *sync.WaitGroup) {
	var servers []*callserver.Server
	for i, server := range w.Servers {
		if w.options.CoAP.UsesCoAP != nil && w.options.CoAP.UsesCoAP(i) {
			servers = append(servers, server)
		}
	}
	wg.Go(func() {
		for crash := range 2 * len(servers) {
			if !waitFor(ctx, r.Duration/time.Duration(2*len(servers)+1)) {
				return
			}
			w.RestartServer(servers[crash%len(servers)])
		}
	})
}

// newDevices returns the CoAP clients of an instance, which are called devices.
func (w *World) newDevices(in *Instance, seed uint64, noEcho bool) (*clients.Clients, error) {
	link, err := w.openLossyLink(in.Addr)
	if err != nil {
		return nil, err
	}
	config := w.clientsConfig(in, seed)
	config.CoAP, config.NoEcho = link.Addr().String(), noEcho
	config.Devices = 32 // each device can use 265 message IDs a second without reusing an ID too early
	return clients.New(config, w.Checker), nil
}

var (
	retransmitsPattern = regexp.MustCompile(`retransmits=(\d+)`)
	dedupHitsPattern   = regexp.MustCompile(`dedup_hits=(\d+)`)
)

// summarize adds the results of the requests to the result. It stops the sidecars, which log their counts on exit.
func (r *CoAPRun) summarize(w *World, result *CoAPResult, allClients [2][]*clients.Clients) {
	var samples [2][]clients.Sample
	for protocol := range allClients {
		for _, client := range allClients[protocol] {
			samples[protocol] = append(samples[protocol], client.Samples()...)
			result.Retransmits += client.Retransmits()
			result.ConnOverflows += client.Overflow()
		}
	}
	result.HTTP, result.CoAP = clients.Summarize(w.Classes, samples[0]), clients.Summarize(w.Classes, samples[1])
	result.JainIndex = 1
	for i := range result.HTTP.Classes {
		httpShare, coapShare := inTimeShare(&result.HTTP.Classes[i]), inTimeShare(&result.CoAP.Classes[i])
		if httpShare+coapShare > 0 && len(samples[0]) > 0 && len(samples[1]) > 0 {
			result.JainIndex = min(result.JainIndex, (httpShare+coapShare)*(httpShare+coapShare)/(2*(httpShare*httpShare+coapShare*coapShare)))
		}
	}
	for _, in := range w.Instances {
		peakRSS, cpuTime := in.ResourceUsage()
		result.PeakRSSBytes = max(result.PeakRSSBytes, peakRSS)
		result.CPUTime += cpuTime
		processes := in.runningProcesses()
		ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
		if err := in.Stop(ctx); err != nil {
			result.Errors = append(result.Errors, err)
		}
		cancel()
		for _, process := range processes {
			for pattern, total := range map[*regexp.Regexp]*int{retransmitsPattern: &result.Retransmits, dedupHitsPattern: &result.DedupHits} {
				for _, match := range pattern.FindAllStringSubmatch(process.RecentOutput(), -1) {
					count, _ := strconv.Atoi(match[1])
					*total += count
				}
			}
		}
	}
	for _, server := range w.Servers {
		result.DedupHits += server.DedupHits()
	}
	for _, link := range w.links {
		_, dropped, _ := link.Counts()
		result.DroppedDatagrams += dropped
	}
}

func inTimeShare(class *clients.ClassService) float64 {
	if class.Asked == 0 {
		return 0
	}
	return float64(class.InTime) / float64(class.Asked)
}
