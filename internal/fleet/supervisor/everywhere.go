package supervisor

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"otterspring/internal/faultinjection"
	"otterspring/internal/fleet/coordination"
	"otterspring/internal/fleet/coordination/client"
	"otterspring/internal/fleet/lifecycle"
	"otterspring/internal/fleet/rollout"
	"otterspring/internal/logging"
)

// What a supervisor does where its hosts have a council. It may be the owner of the
// duty roll, one process at a time in the whole fleet, and it is always a receiver:
// it refuses what an owner of before wants. Without an answer of the council it
// supervises as ever.

// Lease is the one whose owner rolls through all hosts.
const Duty = "roll"

const (
	effectPath  = "/v1/effect"
	mostEffect  = 2 << 20
	mostEffects = 64                     // connections of owners at a time
	hearFor     = 2 * time.Second        // a way that is cut in both directions is noticed after twice this
	ownEvery    = 100 * time.Millisecond // an owner looks at all hosts
	noteEvery   = time.Second
	vacantLook  = 250 * time.Millisecond
)

// effect is what an owner wants of a supervisor.
type effect struct {
	Duty     string                    `json:"duty"`
	Owner    string                    `json:"owner"`
	Epoch    coordination.FencingToken `json:"epoch"`
	Do       string                    `json:"do"` // look, restart, reload or list
	Instance string                    `json:"instance,omitempty"`
	Order    string                    `json:"order,omitempty"`
	Program  string                    `json:"program,omitempty"`
	List     *listPush                 `json:"list,omitempty"`
}

// told is its answer.
type told struct {
	Refused string             `json:"refused,omitempty"`
	Host    rollout.HostStatus `json:"host"`
	Index   int64              `json:"index,omitempty"` // version of the list that it has cached
	Late    int                `json:"late"`            // effects that were refused since the start
}

// fact is what the council keeps of a host.
type fact struct {
	Zone      string `json:"zone"`
	Address   string `json:"address"`
	Instances int    `json:"instances"`
	Program   string `json:"program"`
}

// joinCouncil begins to listen to owners and to the council.
func (s *Supervisor) joinCouncil(ctx context.Context) error {
	c := s.file.Council
	if c.Name == "" {
		return nil
	}
	ln, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return fmt.Errorf("council.listen: %w", err)
	}
	s.client = client.NewClient(c.Name, c.Members)
	server := &http.Server{Handler: http.HandlerFunc(s.takeEffect), ReadTimeout: effectFor, WriteTimeout: effectFor + time.Second, IdleTimeout: time.Minute, MaxHeaderBytes: 4 << 10}
	s.wg.Go(func() { server.Serve(client.LimitListener(ln, mostEffects)) })
	s.wg.Go(func() { <-ctx.Done(); server.Close(); s.client.Close() })
	if err := s.startListProxy(ctx); err != nil {
		return err
	}
	s.wg.Go(func() { s.hear(ctx) })
	return nil
}

// hear asks the council which epochs there are, first a majority and then whoever
// answers, and becomes the owner of the roll when an order waits for one.
func (s *Supervisor) hear(ctx context.Context) {
	known, seen := false, uint64(0)
	me := fmt.Sprintf("%s.%04x", s.file.Council.Host, rand.Uint32()&0xffff)
	for ctx.Err() == nil {
		q := client.Request{Kind: client.WatchLeases, WaitMS: int(hearFor.Milliseconds()), SeenIndex: seen}
		if !known {
			q = client.Request{Kind: client.ReadState}
		}
		a, err := s.asks(ctx, q, hearFor+effectFor)
		if err != nil {
			s.log.Warn(fmt.Sprintf("council: not heard of, going on by itself: %v", err), logging.Cause("council"))
			pause(ctx, time.Second/2)
			continue
		}
		if seen = a.Index; !known {
			seen = 0
		}
		first := !known // read by the goroutine of Run, while this one goes on
		s.send(ctx, func(time.Duration) []lifecycle.Action {
			for duty, t := range a.Holders {
				before := s.fence.Newest(duty)
				s.fence.Observe(duty, t)
				s.heardOf(duty, before)
			}
			if first {
				// A majority knows of no owner: any is newer than nobody.
				s.fence.Observe(Duty, coordination.Holder{})
				if s.listProxy != nil {
					s.fence.Observe(s.listProxy.duty, coordination.Holder{})
				}
			}
			return nil
		})
		if !known {
			known = s.tellFacts(ctx)
			continue
		}
		vacant := false
		if s.listProxy != nil && a.Holders[s.listProxy.duty].Name == "" {
			vacant = true
			s.listProxy.tryToOwn(ctx, me)
		}
		if a.PendingOperations[Duty] && a.Holders[Duty].Name == "" {
			vacant = true
			if s.owning.CompareAndSwap(false, true) {
				s.wg.Go(func() { defer s.owning.Store(false); s.tryToOwn(ctx, me) })
			}
		}
		if vacant {
			pause(ctx, vacantLook) // until somebody has it, or wants it again
			seen = 0
		}
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (s *Supervisor) asks(ctx context.Context, q client.Request, within time.Duration) (*client.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	return s.client.Do(ctx, q)
}

// tellFacts tells the council of this host.
func (s *Supervisor) tellFacts(ctx context.Context) bool {
	text, _ := json.Marshal(fact{s.file.Council.Zone, s.file.Council.Listen, len(s.specs), s.file.Program})
	a, err := s.asks(ctx, client.Request{Kind: client.SetHostStatus, Subject: s.file.Council.Host, Data: text}, effectFor)
	if err == nil && a.Rejection != "" {
		err = errors.New(a.Rejection)
	}
	if err != nil {
		s.log.Warn(fmt.Sprintf("council: facts of %s: %v", s.file.Council.Host, err), logging.Cause("facts"))
		pause(ctx, time.Second/2)
	}
	return err == nil
}

// tryToOwn asks for the duty, and does it where it is given.
func (s *Supervisor) tryToOwn(ctx context.Context, me string) {
	r := s.reign(ctx, Duty, me)
	if r == nil {
		return
	}
	o := &owner{reign: r}
	r.during(ctx, o.roll)
}

// owner is this process while it owns the roll.
type owner struct {
	*reign
	note  rollout.Checkpoint
	noted time.Time
}

// roll goes through the hosts until the order has ended or the tenure has. It
// returns why it ended.
func (o *owner) roll(ctx context.Context) string {
	first := true
	for ; ; pause(ctx, ownEvery) {
		if ctx.Err() != nil || !o.held() {
			return "the tenure is over"
		}
		a, err := o.s.asks(ctx, client.Request{Kind: client.ReadState}, effectFor)
		if err != nil {
			continue // the tenure ends by itself where that lasts
		}
		open := a.State.PendingOperation(Duty)
		if open == nil {
			return "no order is left"
		}
		var order rollout.Request
		if err := json.Unmarshal(open.Request, &order); err != nil {
			o.end(ctx, open.ID, fmt.Sprintf("found no order in %.100s: %v", open.Request, err))
			continue
		}
		if d := a.State.Leases[Duty]; first && d != nil && d.Checkpoint != nil {
			json.Unmarshal(d.Checkpoint, &o.note)
		}
		hosts := o.look(a.State.HostStatus)
		if o.note.RolloutID != open.ID {
			// What runs now is what to go back to: it is written down before anything begins,
			// for each order anew, and of every host.
			if slices.ContainsFunc(hosts, func(h rollout.HostStatus) bool { return !h.Contacted }) {
				continue
			}
			o.note = rollout.Checkpoint{RolloutID: open.ID, PreviousPrograms: map[string]string{}}
			for _, h := range hosts {
				o.note.PreviousPrograms[h.Name] = h.Program
			}
			if !o.tell(ctx, true) {
				o.note = rollout.Checkpoint{} // not known to stand: once more
				continue
			}
		}
		first = false
		d := rollout.Decide(open.ID, order, o.note, hosts)
		if d.RollBack && !o.note.RollingBack {
			o.note.RollingBack = true
			if !o.tell(ctx, true) {
				o.note.RollingBack = false
			}
			continue
		}
		changed := o.note.Completed != d.Completed || o.note.Total != d.Total || o.note.Waiting != d.Waiting
		o.note.Completed, o.note.Total, o.note.Waiting = d.Completed, d.Total, d.Waiting
		if changed {
			o.tell(ctx, false)
		}
		if d.Result != "" {
			o.tell(ctx, true)
			o.end(ctx, open.ID, d.Result)
			continue
		}
		o.act(ctx, d.Steps, a.State.HostStatus)
	}
}

// tell writes down what stands; not more often than once in noteEvery, unless it
// must be.
func (o *owner) tell(ctx context.Context, must bool) bool {
	if !must && time.Since(o.noted) < noteEvery {
		return true
	}
	text, _ := json.Marshal(o.note)
	a, err := o.s.asks(ctx, client.Request{Kind: client.WriteCheckpoint, Lease: Duty, Subject: o.me, Token: o.epoch, Data: text}, effectFor)
	o.noted = time.Now()
	return err == nil && a.Rejection == ""
}

func (o *owner) end(ctx context.Context, id, how string) {
	text, _ := json.Marshal(how)
	o.s.asks(ctx, client.Request{Kind: client.CompleteOperation, Lease: Duty, Subject: o.me, Token: o.epoch, OperationID: id, Data: text}, effectFor)
}

// look asks all hosts how they are. By it each hears of this epoch.
func (o *owner) look(facts map[string]json.RawMessage) []rollout.HostStatus {
	hosts := make([]rollout.HostStatus, 0, len(facts))
	var mu sync.Mutex
	var wg sync.WaitGroup
	slots := make(chan bool, mostAsking)
	for name, text := range facts {
		var f fact
		json.Unmarshal(text, &f)
		slots <- true
		wg.Go(func() {
			defer func() { <-slots }()
			t, err := o.effect(f.Address, effect{Do: "look"})
			h := rollout.HostStatus{Name: name, Zone: f.Zone}
			if err == nil && t.Refused == "" {
				h = t.Host
				h.Contacted = true
			}
			mu.Lock()
			hosts = append(hosts, h)
			mu.Unlock()
		})
	}
	wg.Wait()
	return hosts
}

// act carries the steps out, each behind its own look at the tenure.
func (o *owner) act(ctx context.Context, steps []rollout.Step, facts map[string]json.RawMessage) {
	var wg sync.WaitGroup
	for _, step := range steps {
		if ctx.Err() != nil || !o.held() {
			break
		}
		var f fact
		json.Unmarshal(facts[step.Host], &f)
		wg.Go(func() {
			faultinjection.At("owner-acts") // a stop here is longer than any lease: the fence is there for it
			do := "restart"
			if step.Reload {
				do = "reload"
			}
			t, err := o.effect(f.Address, effect{Do: do, Instance: step.Instance, Order: step.RolloutID, Program: step.Program})
			switch {
			case err != nil:
				o.s.log.Warn(fmt.Sprintf("council: %s of %s: %v", step.Instance, step.Host, err), logging.Cause("effect"))
			case t.Refused != "":
				o.s.log.Warn(fmt.Sprintf("council: %s of %s: refused: %s", step.Instance, step.Host, t.Refused), logging.Cause("refused"))
			}
		})
	}
	wg.Wait()
}

// takeEffect is the receiver: the fence is asked and the effect begun in one step
// of the goroutine of Run, so that an owner who was answered knows of all that an
// earlier one has begun here.
func (s *Supervisor) takeEffect(w http.ResponseWriter, r *http.Request) {
	var e effect
	if r.Method != http.MethodPost || r.URL.Path != effectPath {
		http.NotFound(w, r)
		return
	}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, mostEffect)).Decode(&e); err != nil {
		http.Error(w, "found no effect, wanted one: "+err.Error(), http.StatusBadRequest)
		return
	}
	answer := make(chan told, 1)
	s.send(r.Context(), func(now time.Duration) []lifecycle.Action {
		t, acts := s.effect(now, e)
		answer <- t
		return acts
	})
	select {
	case t := <-answer:
		json.NewEncoder(w).Encode(t)
	case <-r.Context().Done():
	case <-s.ctx.Done():
	}
}

func (s *Supervisor) effect(now time.Duration, e effect) (told, []lifecycle.Action) {
	refused := func(err error) (told, []lifecycle.Action) {
		s.say("refused: %s of epoch %v of %s: %v", e.Do, e.Epoch, e.Owner, err)
		return told{Refused: err.Error(), Late: s.fence.Rejected}, nil
	}
	before := s.fence.Newest(e.Duty)
	if err := s.fence.Check(e.Duty, coordination.Holder{Name: e.Owner, Token: e.Epoch}); err != nil {
		return refused(err)
	}
	s.heardOf(e.Duty, before)
	var acts []lifecycle.Action
	switch e.Do {
	case "look":
	case "list":
		index, err := s.listProxy.receive(e)
		if err != nil {
			return refused(err)
		}
		return told{Index: index, Late: s.fence.Rejected}, nil
	case "restart", "reload":
		which, err := s.named([]string{e.Instance})
		if err != nil {
			return refused(err)
		}
		if s.orders[which[0]] == e.Order || s.next != nil && s.next.order == e.Order && s.next.which == which[0] && s.plan.UpdateInProgress() {
			break // it was done, or is under way: the owner asks again what it has no answer to
		}
		if phase, n := s.plan.Phase(which[0]); phase != lifecycle.Ready || n != 1 {
			return refused(fmt.Errorf("%s: found it %v, wanted it up", e.Instance, phase))
		}
		args := []string{e.Instance}
		if e.Program != "" && e.Do == "restart" {
			args = []string{"-program", e.Program, e.Instance}
		}
		if acts, err = s.roll(now, e.Do == "reload", args); err != nil {
			return refused(err)
		}
		s.next.order, s.next.which = e.Order, which[0]
		s.say("takes %s of %s for order %s of %s, epoch %v", e.Do, e.Instance, e.Order, e.Owner, e.Epoch)
		faultinjection.At("fleet-takes-order")
	default:
		return refused(fmt.Errorf("found %q, wanted look, restart, reload or list", e.Do))
	}
	return told{Host: s.host(), Late: s.fence.Rejected}, acts
}

// heardOf says that a newer owner than before is known, in whatever way: from here on
// nothing of an older one is taken.
func (s *Supervisor) heardOf(duty string, before coordination.Holder) {
	if duty != Duty && (s.listProxy == nil || duty != s.listProxy.duty) {
		return // no effect of it comes here
	}
	if now := s.fence.Newest(duty); now.Token > before.Token && now.Name != "" {
		s.say("hears of %s: %s owns it, epoch %v", duty, now.Name, now.Token)
	}
}

// host is this host as an owner needs it.
func (s *Supervisor) host() rollout.HostStatus {
	h := rollout.HostStatus{Name: s.file.Council.Host, Zone: s.file.Council.Zone, Program: s.program}
	if s.plan.UpdateInProgress() {
		h.LocalUpdate = s.plan.UpdateStatus()
	}
	for i, spec := range s.specs {
		phase, n := s.plan.Phase(i)
		h.Instances = append(h.Instances, rollout.InstanceStatus{Name: spec.Name, Ready: phase == lifecycle.Ready && n == 1, RolloutID: s.orders[i], FailedRolloutID: s.failed[i]})
	}
	return h
}

// orderOver takes that the turn of one instance for an order has ended, well or not.
func (s *Supervisor) orderOver(well bool) {
	switch {
	case s.next == nil || s.next.order == "" || !well && s.plan.UpdateInProgress():
		return
	case well:
		s.orders[s.next.which] = s.next.order
		for _, p := range s.procs[s.next.which] {
			p.order = s.next.order // one that was reloaded was started for another
		}
		delete(s.failed, s.next.which)
		defer s.save()
	default:
		s.failed[s.next.which] = s.next.order
	}
	s.next = nil
}

// leaveCouncil tells the council that this host has nothing any more.
func (s *Supervisor) leaveCouncil() {
	if s.client == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	c := client.NewClient(s.file.Council.Name, s.file.Council.Members)
	defer c.Close()
	if _, err := c.Do(ctx, client.Request{Kind: client.SetHostStatus, Subject: s.file.Council.Host}); err != nil {
		s.log.Warn(fmt.Sprintf("council: it does not know that %s has ended (%v): otterspring council forget", s.file.Council.Host, err))
	}
}
