package rig

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"otterspring/internal/lab/standin/callserver"
	"otterspring/internal/lab/standin/clients"
)

// RestartMode is the way in which an instance is restarted.
type RestartMode string

// The restart modes.
const (
	RestartByKill     RestartMode = "kill"     // SIGKILL, then a start
	RestartByTerm     RestartMode = "term"     // SIGTERM, then a start once the process has ended
	RestartByHandover RestartMode = "handover" // a new process takes over the listener
)

// FleetRun describes a run of many instances. Some of the instances are restarted under load.
type FleetRun struct {
	RequestRate    float64 // requests a second to all instances together, outside the surge
	Duration       time.Duration
	SurgeFactor    float64 // factor on the rate during the middle fifth of the run
	Restarts       int     // number of instances that are restarted, once each
	Mode           RestartMode
	DrainServer    bool // one server drains in the middle of the run
	HangServer     bool // another server accepts requests without answering for a tenth of the run
	Seed           uint64
	ProgressWriter io.Writer // receives a line a second; nil for no progress lines
}

// FleetResult is the result of a FleetRun.
type FleetResult struct {
	Service       clients.Service
	RefusedConns  int
	ConnOverflows int
	Restarted     int
	// RestartP99 is the p99 latency of the served requests that were due during the restart of their instance,
	// or within 1 s after the beginning of this restart.
	RestartP99 time.Duration
	// SteadyP99 is the p99 latency of the served requests that were due between the beginning of the first restart and
	// the end of the last restart, but more than 1 s before or after the restart of their own instance.
	SteadyP99          time.Duration
	RestartServedShare float64 // served share of the requests near a restart, as defined for RestartP99
	SteadyServedShare  float64 // served share of the other requests, as defined for SteadyP99
	RestartRequests    int
	PeakRSSBytes       int64 // mean peak resident size of the instances
	CPUTime            time.Duration
	Errors             []error
}

// instanceRestart is one restart of an instance.
type instanceRestart struct {
	instance   int
	begin, end time.Duration
}

// Run generates the load and makes the restarts in w. The instances of w must be up. Run returns when all requests
// have finished. The result contains the errors of single restarts.
func (f *FleetRun) Run(ctx context.Context, w *World) (*FleetResult, error) {
	rng := rand.New(rand.NewPCG(f.Seed, 0x666c656574))
	allClients := make([]*clients.Clients, len(w.Instances))
	arrivals := make([][]clients.Arrival, len(w.Instances))
	weights, weightSum := make([]float64, len(w.Instances)), 0.0
	for i := range weights {
		weights[i] = math.Pow(float64(i+1), -0.7)
		weightSum += weights[i]
	}
	var surges []clients.Surge
	if f.SurgeFactor > 1 {
		surges = []clients.Surge{{At: f.Duration * 2 / 5, Duration: f.Duration / 5, Factor: f.SurgeFactor}}
	}
	for i, in := range w.Instances {
		var err error
		allClients[i] = w.NewClients(in, rng.Uint64())
		workload := clients.Workload{Rate: f.RequestRate * weights[i] / weightSum, Duration: f.Duration, Surges: surges, Keys: 3000, Skew: 0.7}
		if arrivals[i], err = clients.Draw(workload, w.Classes, rng.Uint64()); err != nil {
			return nil, err
		}
	}
	result := &FleetResult{}
	start := w.Checker.Now()
	var wg sync.WaitGroup
	for i := range allClients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			allClients[i].Run(ctx, arrivals[i])
		}()
	}
	stopReport := f.reportProgress(w, start, allClients)
	restarts := f.restartInstances(ctx, w, rng, &wg, result)
	f.injectServerFaults(ctx, w, &wg)
	wg.Wait()
	stopReport()
	result.Errors = append(result.Errors, w.Crashes()...)
	f.summarize(w, result, allClients, *restarts)
	return result, ctx.Err()
}

// restartInstances restarts instances concurrently with the caller, at random times between 20% and 90% of the run.
func (f *FleetRun) restartInstances(ctx context.Context, w *World, rng *rand.Rand, wg *sync.WaitGroup, result *FleetResult) *[]instanceRestart {
	var mu sync.Mutex
	completed := &[]instanceRestart{}
	for order, i := range rng.Perm(len(w.Instances)) {
		if order >= f.Restarts {
			break
		}
		delay := time.Duration((0.2 + 0.7*rng.Float64()) * float64(f.Duration))
		wg.Add(1)
		go func() {
			defer wg.Done()
			if !waitFor(ctx, delay) {
				return
			}
			in := w.Instances[i]
			restart := instanceRestart{instance: i, begin: w.Checker.Now()}
			var err error
			if f.Mode == RestartByHandover {
				err = in.HandOver(ctx)
			} else {
				err = in.Restart(ctx, f.Mode == RestartByKill)
			}
			restart.end = w.Checker.Now()
			mu.Lock()
			defer mu.Unlock()
			*completed = append(*completed, restart)
			if err != nil {
				result.Errors = append(result.Errors, err)
			} else {
				result.Restarted++
			}
		}()
	}
	return completed
}

// injectServerFaults drains one server at half of the run. It hangs another server from 30% to 40% of the run.
func (f *FleetRun) injectServerFaults(ctx context.Context, w *World, wg *sync.WaitGroup) {
	serverCount := len(w.Servers)
	if f.DrainServer && serverCount > 1 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if waitFor(ctx, f.Duration/2) {
				w.DrainServer(w.Servers[serverCount/2])
			}
		}()
	}
	if f.HangServer && serverCount > 2 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			server := w.Servers[serverCount/3]
			if waitFor(ctx, f.Duration*3/10) {
				server.SetFault(callserver.Fault{Hang: true})
				waitFor(ctx, f.Duration/10)
				server.SetFault(callserver.Fault{})
			}
		}()
	}
}

// waitFor waits for a duration. It returns false if ctx ended first.
func waitFor(ctx context.Context, duration time.Duration) bool {
	select {
	case <-time.After(duration):
		return true
	case <-ctx.Done():
		return false
	}
}

// reportProgress writes a line a second until the function that it returns is called.
func (f *FleetRun) reportProgress(w *World, start time.Duration, allClients []*clients.Clients) func() {
	if f.ProgressWriter == nil {
		return func() {}
	}
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		ticker := time.NewTicker(time.Second)
		defer ticker.Stop()
		lastRequests, lastServed := 0, 0
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			report := w.Checker.Report()
			refusedConns := 0
			for _, client := range allClients {
				refusedConns += client.RefusedConns()
			}
			fmt.Fprintf(f.ProgressWriter, "%4.0f s  requests %5d/s  served %5d/s  rejected %d  failed %d  unanswered %d  in flight %d  connections refused %d\n",
				(w.Checker.Now() - start).Seconds(), report.Requests-lastRequests, report.Served-lastServed, report.Rejected, report.Failed, report.Unanswered, w.Checker.InFlight(), refusedConns)
			lastRequests, lastServed = report.Requests, report.Served
		}
	}()
	return func() { close(stop); <-stopped }
}

// summarize adds the results of the requests and the resource usage of the instances to the result.
func (f *FleetRun) summarize(w *World, result *FleetResult, allClients []*clients.Clients, restarts []instanceRestart) {
	var samples []clients.Sample
	var restartLatencies, steadyLatencies []time.Duration
	restartServed, steadyServed, steadyRequests := 0, 0, 0
	firstBegin, lastEnd := time.Duration(math.MaxInt64), time.Duration(0)
	for _, restart := range restarts {
		firstBegin, lastEnd = min(firstBegin, restart.begin), max(lastEnd, restart.end)
	}
	for i, client := range allClients {
		result.RefusedConns += client.RefusedConns()
		result.ConnOverflows += client.Overflow()
		for _, sample := range client.Samples() {
			samples = append(samples, sample)
			nearRestart := slices.ContainsFunc(restarts, func(restart instanceRestart) bool {
				return restart.instance == i && sample.At >= restart.begin-time.Second && sample.At <= restart.end+time.Second
			})
			duringRestart := slices.ContainsFunc(restarts, func(restart instanceRestart) bool {
				return restart.instance == i && sample.At >= restart.begin && sample.At < max(restart.begin+time.Second, restart.end)
			})
			switch {
			case duringRestart:
				result.RestartRequests++
				if sample.OK {
					restartServed++
					restartLatencies = append(restartLatencies, sample.Latency)
				}
			case !nearRestart && sample.At >= firstBegin && sample.At <= lastEnd:
				steadyRequests++
				if sample.OK {
					steadyServed++
					steadyLatencies = append(steadyLatencies, sample.Latency)
				}
			}
		}
		peakRSS, cpuTime := w.Instances[i].ResourceUsage()
		result.PeakRSSBytes += peakRSS / int64(len(allClients))
		result.CPUTime += cpuTime
	}
	result.Service = clients.Summarize(w.Classes, samples)
	result.RestartP99, result.SteadyP99 = clients.Quantile(restartLatencies, 0.99), clients.Quantile(steadyLatencies, 0.99)
	result.RestartServedShare, result.SteadyServedShare = servedShare(restartServed, result.RestartRequests), servedShare(steadyServed, steadyRequests)
}

func servedShare(served, requests int) float64 {
	if requests == 0 {
		return 1
	}
	return float64(served) / float64(requests)
}
