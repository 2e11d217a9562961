package scale

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"time"

	"otterspring/internal/fleet/configuration"
	"otterspring/internal/lab/rig"
)

// simulators are the processes of the simulated subscribers and the reports of these processes.
type simulators struct {
	processes             processSet
	all                   []*simulatorProcess
	subscribersPerProcess int
	baseMemory            int64 // memory of all processes before they have subscribers, in bytes
}

// simulatorProcess controls a simulator from the rig. A goroutine reads its reports until its
// output ends.
type simulatorProcess struct {
	process *Process
	first   int // index of the first subscriber of this process among all subscribers

	commandMu sync.Mutex // guards the following fields
	input     *os.File
	encoder   *json.Encoder

	mu             sync.Mutex // guards the following fields
	changed        *sync.Cond // uses mu; signals each report and the end of the reports
	readyCount     int        // reports of kind ReportReady
	done           bool
	err            error // reason for the end of the reports
	histories      []History
	versions       [][]configuration.Version // applied versions, by subscriber and by index into its services
	unsubscribed   int                       // number of reports that match no subscription
	trafficSamples []trafficSample
}

// trafficSample is the traffic of the subscribers of a process within a second, in bytes.
type trafficSample struct {
	at         time.Duration
	sum, worst int64
}

// startSimulators starts the processes and creates their subscribers, but does not start the
// subscribers.
func startSimulators(o *Options, t *Topology, relays []string, subscribersPerProcess int, reaper *rig.Reaper) (*simulators, error) {
	s := &simulators{subscribersPerProcess: subscribersPerProcess}
	rng := rand.New(rand.NewPCG(o.Seed, 0x68))
	for first := 0; first < t.Simulated; first += subscribersPerProcess {
		p, err := newSimulatorProcess(o.Programs.Self, reaper, first)
		if err != nil {
			s.close()
			return nil, err
		}
		s.all = append(s.all, p)
		s.processes.add(p.process)
		spec := &SimulatorSpec{Region: Region, Seed: rng.Uint64(), Relays: relays, Services: t.Services}
		for i := first; i < min(first+subscribersPerProcess, t.Simulated); i++ {
			subscriber := &t.Subscribers[i]
			spec.Subscribers = append(spec.Subscribers, SubscriberSpec{Name: subscriber.Name, Relays: subscriber.Relays, Services: subscriber.Services})
			p.histories = append(p.histories, History{Services: subscriber.Services, Relays: subscriber.Relays})
			p.versions = append(p.versions, make([]configuration.Version, len(subscriber.Services)))
		}
		if err := s.prepare(p, spec); err != nil {
			s.close()
			return nil, err
		}
	}
	return s, nil
}

// prepare measures the memory of a process without subscribers and then creates its subscribers.
func (s *simulators) prepare(p *simulatorProcess, spec *SimulatorSpec) error {
	if err := p.awaitReady(1); err != nil {
		return err
	}
	s.baseMemory += p.process.measure().Memory
	if err := p.send(&Command{Spec: spec}); err != nil {
		return err
	}
	return p.awaitReady(2)
}

func newSimulatorProcess(self []string, reaper *rig.Reaper, first int) (*simulatorProcess, error) {
	input, commands, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	defer closePipeEnd(input)
	reports, output, err := os.Pipe()
	if err != nil {
		return nil, errors.Join(err, commands.Close())
	}
	defer closePipeEnd(output)
	p := &simulatorProcess{first: first, input: commands, encoder: json.NewEncoder(commands)}
	p.changed = sync.NewCond(&p.mu)
	argv := append(append([]string{}, self...), SimulatorCommand)
	if p.process, err = startProcess(reaper, fmt.Sprintf("simulator-%d", first), argv, input, output); err != nil {
		return nil, errors.Join(err, commands.Close(), reports.Close())
	}
	go p.read(reports)
	return p, nil
}

// send sends a command.
func (p *simulatorProcess) send(command *Command) error {
	p.commandMu.Lock()
	defer p.commandMu.Unlock()
	return p.encoder.Encode(command)
}

// read reads the reports of a process until they end.
func (p *simulatorProcess) read(in *os.File) {
	defer closePipeEnd(in)
	reports := bufio.NewReaderSize(in, 1<<16)
	for {
		report, err := ReadReport(reports)
		p.mu.Lock()
		if err != nil {
			p.err = err
		} else {
			p.handleReport(&report)
		}
		p.changed.Broadcast()
		p.mu.Unlock()
		if err != nil {
			return
		}
	}
}

// handleReport processes a report. The caller holds mu.
func (p *simulatorProcess) handleReport(r *Report) {
	switch r.Kind {
	case ReportReady:
		p.readyCount++
		return
	case ReportDone:
		p.done = true
		return
	case ReportBytes:
		p.trafficSamples = append(p.trafficSamples, trafficSample{at: r.At, sum: int64(r.Value)})
		return
	case ReportMaxBytes:
		if n := len(p.trafficSamples); n > 0 {
			p.trafficSamples[n-1].worst = int64(r.Value)
		}
		return
	}
	if int(r.Subscriber) >= len(p.histories) {
		p.unsubscribed++
		return
	}
	p.handleSubscriberReport(&p.histories[r.Subscriber], p.versions[r.Subscriber], r)
}

// handleSubscriberReport processes a report of one subscriber.
func (p *simulatorProcess) handleSubscriberReport(history *History, versions []configuration.Version, report *Report) {
	if report.Kind == ReportStarted {
		history.Incarnations = append(history.Incarnations, Incarnation{Start: report.At})
		clear(versions)
		return
	}
	if len(history.Incarnations) == 0 {
		p.unsubscribed++
		return
	}
	incarnation := &history.Incarnations[len(history.Incarnations)-1]
	if report.Kind == ReportStopped {
		incarnation.End = report.At
		return
	}
	slot, subscribed := slices.BinarySearch(history.Services, int(report.Service))
	if !subscribed {
		p.unsubscribed++
		return
	}
	versions[slot] = report.Version()
	incarnation.Applied = append(incarnation.Applied, AppliedVersion{At: report.At, Service: int(report.Service), Version: report.Version()})
}

func (p *simulatorProcess) awaitReady(times int) error {
	return p.await(func() bool { return p.readyCount >= times }, "ready")
}

// await waits until a condition is met. It calls isMet with mu held.
func (p *simulatorProcess) await(isMet func() bool, condition string) error {
	timeout := false
	timer := time.AfterFunc(startTimeout, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		timeout = true
		p.changed.Broadcast()
	})
	defer timer.Stop()
	p.mu.Lock()
	defer p.mu.Unlock()
	for !isMet() {
		if p.err != nil {
			return fmt.Errorf("%s: found the end of its reports (%w): %s, wanted it %s", p.process.Name, p.err, p.process.tail.lastLine(), condition)
		}
		if timeout {
			return fmt.Errorf("%s: found no report within %v, wanted it %s", p.process.Name, startTimeout, condition)
		}
		p.changed.Wait()
	}
	return nil
}

// startAll starts all subscribers at random times within a duration.
func (s *simulators) startAll(spread time.Duration) error {
	for _, p := range s.all {
		all := make([]int, len(p.histories))
		for i := range all {
			all[i] = i
		}
		if err := p.send(&Command{Start: all, WithinMS: int(spread.Milliseconds())}); err != nil {
			return err
		}
	}
	return nil
}

// restart restarts subscribers at random times within a duration.
func (s *simulators) restart(subscribers []int, spread time.Duration) error {
	byProcess := map[*simulatorProcess][]int{}
	for _, number := range subscribers {
		p := s.all[number/s.subscribersPerProcess]
		byProcess[p] = append(byProcess[p], number-p.first)
	}
	for p, numbers := range byProcess {
		if err := p.send(&Command{Restart: numbers, WithinMS: int(spread.Milliseconds())}); err != nil {
			return fmt.Errorf("%s: %w", p.process.Name, err)
		}
	}
	return nil
}

// countBehind returns the number of subscribers that lack the newest version of at least one of
// their services. newest has the newest version of each service.
func (s *simulators) countBehind(newest []configuration.Version) int {
	n := 0
	for _, p := range s.all {
		p.mu.Lock()
		for i := range p.histories {
			if isBehind(&p.histories[i], p.versions[i], newest) {
				n++
			}
		}
		p.mu.Unlock()
	}
	return n
}

func isBehind(history *History, versions, newest []configuration.Version) bool {
	for slot, service := range history.Services {
		if versions[slot] < newest[service] {
			return true
		}
	}
	return len(history.Incarnations) == 0
}

// stop stops all subscribers and waits for their last reports.
func (s *simulators) stop() error {
	for _, p := range s.all {
		p.process.expectExit()
		if err := p.send(&Command{Stop: true}); err != nil {
			return fmt.Errorf("%s: %w", p.process.Name, err)
		}
	}
	for _, p := range s.all {
		if err := p.await(func() bool { return p.done }, "done"); err != nil {
			return err
		}
	}
	return nil
}

// closeInput closes the pipe of the commands, so that the process ends.
func (p *simulatorProcess) closeInput() {
	p.commandMu.Lock()
	defer p.commandMu.Unlock()
	closePipeEnd(p.input)
}

// closePipeEnd closes an end of a pipe. An error means that the end was already closed.
func closePipeEnd(end *os.File) {
	if err := end.Close(); err != nil {
		slog.Debug("end of a pipe not closed", "error", err)
	}
}

// close ends all processes.
func (s *simulators) close() {
	for _, p := range s.all {
		p.process.expectExit()
		p.closeInput()
	}
	s.processes.kill()
}

// allHistories returns the histories of all subscribers, and the number of reports that match no
// subscription.
func (s *simulators) allHistories() (all []History, unsubscribed int) {
	for _, p := range s.all {
		p.mu.Lock()
		all = append(all, p.histories...)
		unsubscribed += p.unsubscribed
		p.mu.Unlock()
	}
	return all, unsubscribed
}

// traffic returns the traffic of the subscribers' connections within a span, in bytes. sum is the
// total, and worst is the highest traffic of one subscriber within one second.
func (s *simulators) traffic(span Span) (sum, worst int64) {
	for _, p := range s.all {
		p.mu.Lock()
		for _, second := range p.trafficSamples {
			if second.at > span.From && second.at <= span.To {
				sum += second.sum
				worst = max(worst, second.worst)
			}
		}
		p.mu.Unlock()
	}
	return sum, worst
}
