package supervisor

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"otterspring/internal/disk"
	"otterspring/internal/faultinjection"
	"otterspring/internal/fleet/coordination"
	"otterspring/internal/fleet/coordination/client"
	"otterspring/internal/fleet/lifecycle"
	"otterspring/internal/logging"
	"otterspring/internal/unixsocket"
	"otterspring/internal/wallclock"
)

// Supervisor runs a fleet. All its state belongs to the goroutine of Run;
// others send it events.
type Supervisor struct {
	file      *File
	specs     []Spec
	plan      *lifecycle.Controller
	procs     []map[int]*process // of each instance, by the plan's number
	program   string             // that starts are of
	next      *release           // being rolled out; nil if nothing is
	events    chan func(now time.Duration) []lifecycle.Action
	origin    time.Time
	seen      time.Duration // of the latest look, or the end of the wait behind it
	lock      *os.File
	ln        net.Listener
	wg        sync.WaitGroup
	ctx       context.Context // ends with Run: what waits for a process does, too
	end       context.CancelFunc
	said      []string            // the latest words, for status
	client    *client.Client      // of the council; nil where there is none
	fence     *coordination.Fence // of owners
	listProxy *listProxy          // nil where the list is not relayed
	owning    atomic.Bool         // the roll, or asks for it
	orders    map[int]string      // the council's order that each instance was started for last
	failed    map[int]string      // and the one of which its new process did not become ready
	log       *slog.Logger
}

// release is what a roll brings.
type release struct {
	program string
	specs   []Spec
	order   string // the council's; empty for a roll of this host alone
	which   int    // the one instance of an order
}

const mostSaid = 50

// saved is what a supervisor that comes after needs to know of a process.
type saved struct {
	Name   string `json:"name"`
	Listen string `json:"listen"`
	PID    int    `json:"pid"` // 0: none runs
	Start  string `json:"start"`
	// RolloutID is the council's that the instance was restarted for last, under Program.
	// A process bears it too; this is for a host that lost all of them at once.
	Order   string `json:"order,omitempty"`
	Program string `json:"program,omitempty"`
}

// FromRelease prepares the fleet of a file. It takes hold of the directory: a second
// supervisor is turned away. What happens is said in log.
func New(f *File, log *slog.Logger) (*Supervisor, error) {
	specs, err := f.Specs()
	if err != nil {
		return nil, err
	}
	if err := disk.MkdirAll(f.Directory, 0o700); err != nil {
		return nil, err
	}
	s := &Supervisor{
		file: f, specs: specs, program: f.Program, origin: time.Now(),
		events: make(chan func(time.Duration) []lifecycle.Action), log: log,
		fence: coordination.NewFence(), orders: map[int]string{}, failed: map[int]string{},
	}
	s.ctx, s.end = context.WithCancel(context.Background())
	for range specs {
		s.procs = append(s.procs, map[int]*process{})
	}
	if s.plan, err = lifecycle.New(f.plan(), len(specs), rand.Uint64()); err != nil {
		return nil, err
	}
	if s.lock, err = disk.Open(filepath.Join(f.Directory, "fleet.lock"), os.O_CREATE|os.O_RDWR|syscall.O_CLOEXEC, 0o600); err != nil {
		return nil, err
	}
	if err := unix.Flock(int(s.lock.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		s.lock.Close()
		return nil, fmt.Errorf("%s: another supervisor has this directory", f.Directory)
	}
	if s.ln, err = listenControl(f.Control); err != nil {
		s.lock.Close()
		return nil, err
	}
	return s, nil
}

// listenControl opens the control socket with mode 0600. What a dead supervisor
// left there is replaced; a file that is no socket is not.
func listenControl(path string) (net.Listener, error) {
	if info, err := os.Lstat(path); err == nil {
		if info.Mode().Type() != os.ModeSocket {
			return nil, fmt.Errorf("%s: found a file that is no socket, wanted a free path", path)
		}
		os.Remove(path) // the lock is held: nobody else is there
	}
	return unixsocket.Listen(path)
}

func (s *Supervisor) now() time.Duration { return time.Since(s.origin) }

// Run supervises until ctx ends or the fleet was stopped. When ctx ends the
// instances are stopped.
func (s *Supervisor) Run(ctx context.Context) error {
	defer s.lock.Close()
	defer s.ln.Close()
	defer func() { s.end(); s.ln.Close(); s.wg.Wait() }()
	s.adoptAll()
	go s.control(s.ctx)
	if err := s.joinCouncil(s.ctx); err != nil {
		return err
	}
	if s.file.Alive.Within > 0 {
		s.wg.Go(s.listen)
	}
	s.seen = s.now() // adopting asks each instance whether it is up
	s.carry(s.plan.Tick(s.look()))
	timer := time.NewTimer(0)
	defer timer.Stop()
	stop := ctx.Done()
	for !s.plan.AllStopped() {
		s.seen = s.plan.NextTick(s.look())
		timer.Reset(s.seen - s.now())
		select {
		case <-stop:
			stop = nil
			s.say("stopping")
			s.carry(s.plan.StopAll(s.look()))
		case f := <-s.events:
			s.carry(f(s.look()))
		case <-timer.C:
		}
		s.carry(s.plan.Tick(s.look()))
		s.orderOver(false)
	}
	s.say("all instances have ended")
	s.leaveCouncil()
	return nil
}

// stoodAfter is by how much later than it should a supervisor may come to itself
// before it takes it that it stood still.
const stoodAfter = 500 * time.Millisecond

// look reads the clock for a decision. Where more time has gone by since the last
// look, or the end of the wait after it, than this goroutine can have worked, it
// stood still. A supervisor that was stopped in the middle of a roll and woken
// killed what it had started, for it had not become ready in its time as far as
// the supervisor knew; it had been serving for seconds. Every decision has its
// time from here: a stop may strike between any two instructions.
func (s *Supervisor) look() time.Duration {
	now := s.now()
	if d := now - s.seen; d > stoodAfter {
		s.say("stood still for %v: all time limits are that much longer", d.Round(10*time.Millisecond))
		s.plan.Suspended(d)
	}
	s.seen = now
	return now
}

// cause is what a line is said for: its form and the instance that it speaks of
// first, so that one instance which crashes without end does not fill the log.
func cause(format string, args []any) string {
	if len(args) == 0 {
		return format
	}
	return fmt.Sprintf("%s %v", format, args[0])
}

// send hands an event to Run; it is dropped once that has returned.
func (s *Supervisor) send(ctx context.Context, f func(time.Duration) []lifecycle.Action) {
	select {
	case s.events <- f:
	case <-ctx.Done():
	}
}

func (s *Supervisor) say(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	s.log.Info(line, logging.Cause(cause(format, args)))
	s.said = append(s.said, wallclock.Now().Format("15:04:05 ")+line)
	if n := len(s.said) - mostSaid; n > 0 {
		s.said = s.said[n:]
	}
}

// adoptAll takes over what the supervisor before left running: what it wrote down,
// and what bears its mark, since it may have been killed between a start and the
// note of it, or its disk been full.
func (s *Supervisor) adoptAll() {
	var list []saved
	text, err := disk.Read(s.statePath())
	if err == nil {
		err = json.Unmarshal(text, &list)
	}
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		s.say("state of the supervisor before: %v; what bears this fleet's mark is adopted", err)
		list = nil
	}
	for _, v := range marked(s.file.Directory) {
		if !slices.ContainsFunc(list, func(w saved) bool { return w.PID == v.PID && w.Start == v.Start }) {
			s.say("%s: process %d was started and not written down", v.Name, v.PID)
			list = append(list, v)
		}
	}
	at := map[string]int{}
	for i, spec := range s.specs {
		at[spec.Name] = i
	}
	// Those that are up first: after a hand-over that was under way there are two
	// of an instance, and the other one is draining.
	type found struct {
		i  int
		p  *process
		up bool
	}
	var alive []found
	for _, v := range list {
		if i, known := at[v.Name]; known && v.Order != "" && v.Program == s.program {
			s.orders[i] = v.Order
		}
		p := adopt(v.PID, v.Start)
		if p == nil {
			continue
		}
		// What was written down of this process is as new as its start or newer: it may
		// have been reloaded for an order since. What was not has only what it bears.
		p.order, p.program = cmp.Or(v.Order, environ(p.pid)[orderKey]), cmp.Or(v.Program, s.program)
		i, known := at[v.Name]
		if !known || s.specs[i].Listen != v.Listen {
			s.say("%s: process %d on %s runs, and the file names it no more: left alone", v.Name, v.PID, v.Listen)
			unix.Close(p.fd)
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		alive = append(alive, found{i, p, upBy(ctx, v.Listen).pid == p.pid})
		cancel()
	}
	for _, up := range []bool{true, false} {
		for _, f := range alive {
			if f.up == up {
				s.adoptOne(f.i, f.p, up)
			}
		}
	}
	s.save()
}

// adoptOne takes over one process. One that does not say that it is up is
// awaited, so that there are never two on an address.
func (s *Supervisor) adoptOne(i int, p *process, up bool) {
	if _, n := s.plan.Phase(i); n == 0 && up {
		p.id = s.plan.Adopt(i)
		s.orders[i] = p.order
		s.say("%s: process %d adopted", s.specs[i].Name, p.pid)
	} else if n == 0 {
		p.id = s.plan.AdoptTerminating(s.now(), i)
		s.say("%s: process %d runs and does not say that it is up; its end is awaited", s.specs[i].Name, p.pid)
	} else {
		s.say("%s: process %d is a second one, as after a hand-over; it is left to its drain", s.specs[i].Name, p.pid)
		unix.Close(p.fd)
		return
	}
	s.procs[i][p.id] = p
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		p.awaitEnd()
		s.ended(i, p, false, "adopted, so that its exit code is not known")
	}()
}

func (s *Supervisor) statePath() string { return filepath.Join(s.file.Directory, "state.json") }

// save writes down which processes run, for a supervisor that comes after.
func (s *Supervisor) save() {
	list := []saved{}
	for i, procs := range s.procs {
		for id := range procs {
			list = append(list, saved{s.specs[i].Name, s.specs[i].Listen, procs[id].pid, procs[id].start, procs[id].order, procs[id].program})
		}
		if len(procs) == 0 && s.orders[i] != "" {
			list = append(list, saved{Name: s.specs[i].Name, Listen: s.specs[i].Listen, Order: s.orders[i], Program: s.program})
		}
	}
	text, err := json.Marshal(list)
	if err == nil {
		err = disk.Replace(s.statePath(), text, false)
	}
	if err != nil {
		s.say("state: %v", err)
	}
}

// ended passes the end of a process on. It is called by the goroutine that
// waited for it; what it knows goes to Run.
func (s *Supervisor) ended(i int, p *process, clean bool, how string) {
	s.send(s.ctx, func(now time.Duration) []lifecycle.Action {
		unix.Close(p.fd)
		delete(s.procs[i], p.id)
		faultinjection.At("fleet-saw-the-end")
		s.save()
		if !clean {
			line := ""
			if word := lastLine(s.logPath(i), p.logAt); word != "" {
				line = "; its last word: " + word
			}
			s.say("%s: process %d ended: %s%s", s.specs[i].Name, p.pid, how, line)
		}
		return s.plan.ProcessExited(now, i, p.id, clean)
	})
}

// carry does what the plan says.
func (s *Supervisor) carry(acts []lifecycle.Action) {
	for len(acts) > 0 {
		a := acts[0]
		acts = acts[1:]
		switch a.Kind {
		case lifecycle.StartProcess:
			acts = append(acts, s.start(a)...)
		case lifecycle.TerminateProcess:
			s.signal(a, syscall.SIGTERM)
		case lifecycle.KillProcess:
			s.signal(a, syscall.SIGKILL)
		case lifecycle.ReloadProcess:
			s.reload(a)
		case lifecycle.CommitRelease:
			if s.next != nil {
				s.program, s.specs = s.next.program, s.next.specs
				s.orderOver(true)
				s.next = nil
			}
		case lifecycle.EmitEvent:
			name := "fleet"
			if a.Instance >= 0 {
				name = s.specs[a.Instance].Name
			}
			s.say("%s: %s", name, a.Event.Text())
		}
		s.look()
	}
}

func (s *Supervisor) logPath(i int) string {
	return filepath.Join(s.file.Directory, s.specs[i].Name+".log")
}

func (s *Supervisor) configPath(i int) string {
	return filepath.Join(s.file.Directory, s.specs[i].Name+".json")
}

// of returns the program and the instance's words that a start or a reload is
// of.
func (s *Supervisor) of(a lifecycle.Action) (string, Spec) {
	if a.FromRelease && s.next != nil {
		return s.next.program, s.next.specs[a.Instance]
	}
	return s.program, s.specs[a.Instance]
}

// start starts a process and watches it. It returns what follows of a start
// that failed.
func (s *Supervisor) start(a lifecycle.Action) []lifecycle.Action {
	program, spec := s.of(a)
	env := []string{"RELAY_NAME=" + spec.Name, "RELAY_LISTEN=" + spec.Listen, markKey + "=" + s.file.Directory}
	order := s.orders[a.Instance]
	if a.FromRelease && s.next != nil && s.next.order != "" {
		order = s.next.order
	}
	env = append(env, orderKey+"="+order)
	var err error
	if spec.Config != "" {
		err = disk.Replace(s.configPath(a.Instance), []byte(spec.Config), false)
		env = append(env, "RELAY_CONFIG="+s.configPath(a.Instance))
	}
	if err == nil {
		// A foreign process on the address is named before anything starts.
		err = s.addressFree(a.Instance, spec.Listen)
	}
	if err == nil {
		faultinjection.At("fleet-starts")
		cmd, p, e := spawn(program, spec.Args, env, s.logPath(a.Instance))
		if err = e; err == nil {
			p.id, p.order, p.program = a.Process, order, program
			s.procs[a.Instance][p.id] = p
			faultinjection.At("fleet-started")
			s.save()
			faultinjection.At("fleet-saved")
			s.watch(a.Instance, p, spec.Listen, cmd.Wait)
			return nil
		}
	}
	s.say("%s: start: %v", spec.Name, err)
	return s.plan.ProcessExited(s.now(), a.Instance, a.Process, false)
}

// addressFree tells whether an instance without a process can have its address.
func (s *Supervisor) addressFree(i int, addr string) error {
	if len(s.procs[i]) > 0 {
		return nil // the old one of a hand-over has it
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("address %s: found it in use by a process that is not of this fleet, or not to be had (%v)", addr, err)
	}
	return ln.Close()
}

// watch waits for a process to be ready, and for its end.
func (s *Supervisor) watch(i int, p *process, addr string, wait func() error) {
	ctx, cancel := context.WithCancel(s.ctx)
	s.wg.Add(2)
	go func() {
		defer s.wg.Done()
		if awaitUp(ctx, addr, func(u upState) bool { return u.pid == p.pid }) {
			faultinjection.At("fleet-saw-it-ready")
			s.send(ctx, func(now time.Duration) []lifecycle.Action { return s.plan.ProcessReady(now, i, p.id) })
		}
	}()
	go func() {
		defer s.wg.Done()
		err := wait()
		cancel()
		how := ""
		if err != nil {
			how = err.Error()
		}
		s.ended(i, p, err == nil, how)
	}()
}

// reload brings an instance its configuration and tells it.
func (s *Supervisor) reload(a lifecycle.Action) {
	_, spec := s.of(a)
	p := s.procs[a.Instance][a.Process]
	if p == nil {
		return
	}
	if spec.Config != "" {
		if err := disk.Replace(s.configPath(a.Instance), []byte(spec.Config), false); err != nil {
			s.say("%s: reload: %v", spec.Name, err)
		}
	}
	ctx, cancel := context.WithTimeout(s.ctx, s.file.Start.Ready)
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		defer cancel()
		before := upBy(ctx, spec.Listen)
		p.signal(syscall.SIGHUP)
		var after upState
		if !awaitUp(ctx, spec.Listen, func(u upState) bool {
			after = u
			return u.pid == p.pid && u.good+u.bad > before.good+before.bad
		}) {
			return // the plan's own time limit ends it
		}
		s.send(ctx, func(now time.Duration) []lifecycle.Action {
			if after.bad > before.bad {
				return s.plan.ReloadFailed(now, a.Instance, a.Process)
			}
			return s.plan.ProcessReady(now, a.Instance, a.Process)
		})
	}()
}

func (s *Supervisor) signal(a lifecycle.Action, sig syscall.Signal) {
	p := s.procs[a.Instance][a.Process]
	if p == nil {
		return
	}
	faultinjection.At("fleet-ends")
	defer faultinjection.At("fleet-ended")
	if err := p.signal(sig); err != nil {
		s.say("%s: %v to process %d: %v", s.specs[a.Instance].Name, sig, p.pid, err)
	}
}

// control answers on the control socket.
func (s *Supervisor) control(ctx context.Context) {
	for {
		c, err := s.ln.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(50 * time.Millisecond)
			continue
		}
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			defer c.Close()
			c.SetDeadline(time.Now().Add(5 * time.Second))
			line, err := bufio.NewReaderSize(c, 64<<10).ReadString('\n')
			if err != nil || len(line) > 64<<10 {
				fmt.Fprintln(c, "error: wanted one line")
				return
			}
			answer := make(chan string, 1)
			s.send(ctx, func(now time.Duration) []lifecycle.Action {
				text, acts, err := s.command(now, strings.Fields(line))
				if err != nil {
					text = "error: " + err.Error() + "\n"
				} else {
					text = "ok\n" + text
				}
				answer <- text
				return acts
			})
			select {
			case text := <-answer:
				io.WriteString(c, text)
			case <-ctx.Done():
			}
		}()
	}
}

// command carries out one command of an operator.
func (s *Supervisor) command(now time.Duration, words []string) (string, []lifecycle.Action, error) {
	if len(words) == 0 {
		return "", nil, errors.New("wanted a verb")
	}
	verb, args := words[0], words[1:]
	switch verb {
	case "status":
		return s.status(), nil, nil
	case "stop":
		return "stopping\n", s.plan.StopAll(now), nil
	case "resume":
		acts, err := s.plan.Resume(now)
		return "", acts, err
	case "cancel":
		acts, err := s.plan.Cancel()
		return "", acts, err
	case "restart", "reload":
		acts, err := s.roll(now, verb == "reload", args)
		if err != nil {
			return "", nil, err
		}
		return s.plan.UpdateStatus() + "\n", acts, nil
	}
	return "", nil, fmt.Errorf("found %q, wanted status, restart, reload, resume, cancel or stop", verb)
}

// roll begins a rolling restart or reload: [-program PATH] [NAME...]. The fleet
// file and its templates are read again.
func (s *Supervisor) roll(now time.Duration, reload bool, args []string) ([]lifecycle.Action, error) {
	f, err := LoadFile(s.file.Path)
	if err != nil {
		return nil, err
	}
	next := &release{program: s.program}
	if f.Program != s.file.Program {
		next.program = f.Program
	}
	if len(args) > 1 && args[0] == "-program" && !reload {
		next.program = args[1]
		args = args[2:]
		if info, err := os.Stat(next.program); err != nil || info.IsDir() || info.Mode()&0o111 == 0 {
			return nil, fmt.Errorf("program: found none at %q", next.program)
		}
	}
	if next.specs, err = f.Specs(); err != nil {
		return nil, err
	}
	if len(next.specs) != len(s.specs) {
		return nil, fmt.Errorf("%s: found %d instances, wanted the %d that run: a change of their number needs a new start of the supervisor", f.Path, len(next.specs), len(s.specs))
	}
	for i := range next.specs {
		if next.specs[i].Name != s.specs[i].Name || next.specs[i].Listen != s.specs[i].Listen {
			return nil, fmt.Errorf("%s: found %s on %s, wanted %s on %s: names and addresses stay", f.Path, next.specs[i].Name, next.specs[i].Listen, s.specs[i].Name, s.specs[i].Listen)
		}
	}
	which, err := s.named(args)
	if err != nil {
		return nil, err
	}
	var acts []lifecycle.Action
	if reload {
		acts, err = s.plan.RollingReload(now, which, true)
	} else {
		acts, err = s.plan.RollingRestart(now, which, true)
	}
	if err == nil {
		s.next = next
	}
	return acts, err
}

// named returns the instances of those names.
func (s *Supervisor) named(names []string) ([]int, error) {
	var which []int
	for _, name := range names {
		at := -1
		for i := range s.specs {
			if s.specs[i].Name == name {
				at = i
			}
		}
		if at < 0 {
			return nil, fmt.Errorf("found no instance %q", name)
		}
		which = append(which, at)
	}
	return which, nil
}

// status words the state of the fleet.
func (s *Supervisor) status() string {
	var b strings.Builder
	counts := map[lifecycle.Phase]int{}
	for i, spec := range s.specs {
		phase, _ := s.plan.Phase(i)
		counts[phase]++
		fmt.Fprintf(&b, "%-12s %-22s %-12s", spec.Name, spec.Listen, phase)
		for _, p := range s.procs[i] {
			fmt.Fprintf(&b, " %d", p.pid)
		}
		b.WriteByte('\n')
	}
	fmt.Fprintf(&b, "%d instances, %d up", len(s.specs), counts[lifecycle.Ready])
	if n := counts[lifecycle.CrashLooping]; n > 0 {
		fmt.Fprintf(&b, ", %d given up", n)
	}
	b.WriteByte('\n')
	if text := s.plan.UpdateStatus(); text != "" {
		fmt.Fprintf(&b, "roll: %s\n", text)
	}
	for _, line := range s.said[max(0, len(s.said)-5):] {
		fmt.Fprintf(&b, "%s\n", line)
	}
	return b.String()
}

// Ask sends one command to the supervisor at path and returns its answer.
func Ask(path string, words ...string) (string, error) {
	c, err := net.DialTimeout("unix", path, time.Second)
	switch {
	case errors.Is(err, os.ErrNotExist):
		return "", fmt.Errorf("%s: found no control socket, wanted that of a running supervisor", path)
	case errors.Is(err, syscall.ECONNREFUSED):
		return "", fmt.Errorf("%s: found a dead control socket: the supervisor has ended; its instances may still run, and a new supervisor adopts them", path)
	case err != nil:
		return "", fmt.Errorf("%s: %w", path, err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := fmt.Fprintln(c, strings.Join(words, " ")); err != nil {
		return "", fmt.Errorf("%s: %w", path, err)
	}
	text, err := io.ReadAll(io.LimitReader(c, 1<<20))
	if err != nil {
		return "", fmt.Errorf("%s: %w", path, err)
	}
	if why, bad := strings.CutPrefix(string(text), "error: "); bad {
		return "", errors.New(strings.TrimSpace(why))
	}
	rest, ok := strings.CutPrefix(string(text), "ok\n")
	if !ok {
		return "", fmt.Errorf("%s: found %.40q, wanted the answer of a supervisor", path, text)
	}
	return rest, nil
}
