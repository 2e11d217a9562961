package scale

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"time"

	"otterspring/internal/fleet/configuration"
	"otterspring/internal/lab/rig"
)

// hollows are the processes of hollow subscribers, and what they have reported.
type hollows struct {
	processes group
	all       []*hollowProcess
	per       int // subscribers of a process
	base      int64
}

// hollowProcess is the rig's side of one of them.
type hollowProcess struct {
	process *Process
	first   int // number of its first subscriber among all

	orders  sync.Mutex // guards the following
	input   *os.File
	encoder *json.Encoder

	mu        sync.Mutex // guards the following
	changed   *sync.Cond // of mu: a record came
	ready     int        // records that say so
	done      bool
	err       error // why there are no more records
	histories []History
	held      [][]configuration.Version // by subscriber and slot of its services
	unasked   int                       // applications of services that were not subscribed to
	seconds   []byteSecond
}

// byteSecond is what went over the connections of a process within a second.
type byteSecond struct {
	at         time.Duration
	sum, worst int64
}

// startHollows starts the processes and tells them their subscribers, which are not
// started yet.
func startHollows(o *Options, t *Topology, relays []string, per int, reaper *rig.Reaper) (*hollows, error) {
	h := &hollows{per: per}
	rng := rand.New(rand.NewPCG(o.Seed, 0x68))
	for first := 0; first < t.Hollow; first += per {
		p, err := newHollowProcess(o.Programs.Self, reaper, first)
		if err != nil {
			h.close()
			return nil, err
		}
		h.all = append(h.all, p)
		h.processes.add(p.process)
		spec := &HollowSpec{Region: Region, Seed: rng.Uint64(), Relays: relays, Services: t.Services}
		for i := first; i < min(first+per, t.Hollow); i++ {
			s := &t.Subscribers[i]
			spec.Subscribers = append(spec.Subscribers, HollowSubscriber{Name: s.Name, Relays: s.Relays, Services: s.Services})
			p.histories = append(p.histories, History{Services: s.Services, Relays: s.Relays})
			p.held = append(p.held, make([]configuration.Version, len(s.Services)))
		}
		if err := h.prepare(p, spec); err != nil {
			h.close()
			return nil, err
		}
	}
	return h, nil
}

// prepare measures a process without subscribers, then tells it those that it has.
func (h *hollows) prepare(p *hollowProcess, spec *HollowSpec) error {
	if err := p.awaitReady(1); err != nil {
		return err
	}
	h.base += p.process.measure().Memory
	if err := p.order(&Order{Spec: spec}); err != nil {
		return err
	}
	return p.awaitReady(2)
}

func newHollowProcess(self []string, reaper *rig.Reaper, first int) (*hollowProcess, error) {
	input, ordersEnd, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	defer input.Close()
	reports, output, err := os.Pipe()
	if err != nil {
		ordersEnd.Close()
		return nil, err
	}
	defer output.Close()
	p := &hollowProcess{first: first, input: ordersEnd, encoder: json.NewEncoder(ordersEnd)}
	p.changed = sync.NewCond(&p.mu)
	argv := append(append([]string{}, self...), HollowWord)
	if p.process, err = startProcess(reaper, fmt.Sprintf("hollow-%d", first), argv, input, output); err != nil {
		ordersEnd.Close()
		reports.Close()
		return nil, err
	}
	go p.read(reports)
	return p, nil
}

// order tells a process something.
func (p *hollowProcess) order(order *Order) error {
	p.orders.Lock()
	defer p.orders.Unlock()
	return p.encoder.Encode(order)
}

// read takes the records of a process until they end.
func (p *hollowProcess) read(in *os.File) {
	defer in.Close()
	records := bufio.NewReaderSize(in, 1<<16)
	for {
		report, err := ReadReport(records)
		p.mu.Lock()
		if err != nil {
			p.err = err
		} else {
			p.take(&report)
		}
		p.changed.Broadcast()
		p.mu.Unlock()
		if err != nil {
			return
		}
	}
}

// take takes a record. The caller holds the mutex.
func (p *hollowProcess) take(r *Report) {
	switch r.Kind {
	case ReportReady:
		p.ready++
		return
	case ReportDone:
		p.done = true
		return
	case ReportBytes:
		p.seconds = append(p.seconds, byteSecond{at: r.At, sum: int64(r.Value)})
		return
	case ReportWorst:
		if n := len(p.seconds); n > 0 {
			p.seconds[n-1].worst = int64(r.Value)
		}
		return
	}
	if int(r.Subscriber) >= len(p.histories) {
		p.unasked++
		return
	}
	p.takeOf(&p.histories[r.Subscriber], p.held[r.Subscriber], r)
}

// takeOf takes a record of one subscriber.
func (p *hollowProcess) takeOf(h *History, held []configuration.Version, r *Report) {
	if r.Kind == ReportStart {
		h.Incarnations = append(h.Incarnations, Incarnation{Start: r.At})
		clear(held)
		return
	}
	if len(h.Incarnations) == 0 {
		p.unasked++
		return
	}
	incarnation := &h.Incarnations[len(h.Incarnations)-1]
	if r.Kind == ReportEnd {
		incarnation.End = r.At
		return
	}
	slot, subscribed := slices.BinarySearch(h.Services, int(r.Service))
	if !subscribed {
		p.unasked++
		return
	}
	held[slot] = r.Version()
	incarnation.Applied = append(incarnation.Applied, Application{At: r.At, Service: int(r.Service), Version: r.Version()})
}

func (p *hollowProcess) awaitReady(times int) error {
	return p.await(func() bool { return p.ready >= times }, "ready")
}

// await waits until a condition holds, which is looked at under the mutex.
func (p *hollowProcess) await(holds func() bool, what string) error {
	timeout := false
	timer := time.AfterFunc(startWithin, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		timeout = true
		p.changed.Broadcast()
	})
	defer timer.Stop()
	p.mu.Lock()
	defer p.mu.Unlock()
	for !holds() {
		if p.err != nil {
			return fmt.Errorf("%s: found the end of its records (%v): %s, wanted it %s", p.process.Name, p.err, p.process.tail.line(), what)
		}
		if timeout {
			return fmt.Errorf("%s: found nothing within %v, wanted it %s", p.process.Name, startWithin, what)
		}
		p.changed.Wait()
	}
	return nil
}

// startAll starts all subscribers, spread over a time.
func (h *hollows) startAll(within time.Duration) error {
	for _, p := range h.all {
		all := make([]int, len(p.histories))
		for i := range all {
			all[i] = i
		}
		if err := p.order(&Order{Start: all, WithinMS: int(within.Milliseconds())}); err != nil {
			return err
		}
	}
	return nil
}

// restart restarts subscribers, each at a moment of its own within a time.
func (h *hollows) restart(subscribers []int, within time.Duration) error {
	byProcess := map[*hollowProcess][]int{}
	for _, number := range subscribers {
		p := h.all[number/h.per]
		byProcess[p] = append(byProcess[p], number-p.first)
	}
	for p, numbers := range byProcess {
		if err := p.order(&Order{Restart: numbers, WithinMS: int(within.Milliseconds())}); err != nil {
			return fmt.Errorf("%s: %w", p.process.Name, err)
		}
	}
	return nil
}

// lacking counts the subscribers that do not hold the newest versions, by service.
func (h *hollows) lacking(newest []configuration.Version) int {
	n := 0
	for _, p := range h.all {
		p.mu.Lock()
		for i := range p.histories {
			if lacks(&p.histories[i], p.held[i], newest) {
				n++
			}
		}
		p.mu.Unlock()
	}
	return n
}

func lacks(h *History, held, newest []configuration.Version) bool {
	for slot, service := range h.Services {
		if held[slot] < newest[service] {
			return true
		}
	}
	return len(h.Incarnations) == 0
}

// end has all subscribers end and waits for their last records.
func (h *hollows) end() error {
	for _, p := range h.all {
		p.process.expectEnd()
		if err := p.order(&Order{End: true}); err != nil {
			return fmt.Errorf("%s: %w", p.process.Name, err)
		}
	}
	for _, p := range h.all {
		if err := p.await(func() bool { return p.done }, "done"); err != nil {
			return err
		}
	}
	return nil
}

// close ends the processes.
func (h *hollows) close() {
	for _, p := range h.all {
		p.process.expectEnd()
		p.orders.Lock()
		p.input.Close()
		p.orders.Unlock()
	}
	h.processes.kill()
}

// allHistories is what the subscribers have reported, and how many records were of
// something that nobody asked for.
func (h *hollows) allHistories() (all []History, unasked int) {
	for _, p := range h.all {
		p.mu.Lock()
		all = append(all, p.histories...)
		unasked += p.unasked
		p.mu.Unlock()
	}
	return all, unasked
}

// bytes adds up what went over the subscribers' connections within a span: in all,
// and the most of any subscriber within a second.
func (h *hollows) bytes(span Span) (sum, worst int64) {
	for _, p := range h.all {
		p.mu.Lock()
		for _, second := range p.seconds {
			if second.at > span.From && second.at <= span.To {
				sum += second.sum
				worst = max(worst, second.worst)
			}
		}
		p.mu.Unlock()
	}
	return sum, worst
}
