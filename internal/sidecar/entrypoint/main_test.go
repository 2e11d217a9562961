package entrypoint_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"otterspring/internal/lab/rig"
	"otterspring/internal/lab/standin/callserver"
	"otterspring/internal/lab/standin/clients"
	"otterspring/internal/sidecar/entrypoint"
	"otterspring/internal/sidecar/handover"
)

// patience bounds every wait; the tests wait on conditions.
const patience = 60 * time.Second

// TestMain runs the very program where a test asks for it.
func TestMain(m *testing.M) {
	switch os.Getenv("TEST_RUNS_PROGRAM") {
	case "sidecar":
		os.Exit(entrypoint.Main(os.Args[1:], os.Stderr))
	case "hangs": // a new version that never becomes ready
		t, err := handover.Request(os.Getenv("TEST_SOCKET"), os.Getenv("RELAY_LISTEN"), patience)
		fmt.Println(t != nil, err)
		time.Sleep(patience)
		os.Exit(1)
	case "dies": // one that ends when it may accept
		t, err := handover.Request(os.Getenv("TEST_SOCKET"), os.Getenv("RELAY_LISTEN"), patience)
		if err == nil {
			err = t.AnnounceReady()
		}
		fmt.Println(err)
		os.Exit(3)
	}
	os.Exit(m.Run())
}

// world is one instance with the hand-over on, three call servers, and times
// that are wide enough for any machine.
func world(t *testing.T, change func(*rig.Options)) *rig.World {
	t.Helper()
	dir := t.TempDir()
	o := rig.Options{
		Seed: 1, Instances: 1, Servers: 3, Stretch: 10, Dir: dir, MemoryMB: 128,
		Program: []string{os.Args[0]}, Env: []string{"TEST_RUNS_PROGRAM=sidecar"},
		Operator: func(i int, dir string) string {
			return fmt.Sprintf("[handover]\nsocket = %q\nready_within = \"20s\"\n", filepath.Join(dir, "h.sock"))
		},
	}
	if change != nil {
		change(&o)
	}
	w, err := rig.New(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Close)
	if err := w.StartAll(context.Background(), 1); err != nil {
		t.Fatal(err)
	}
	return w
}

// during plays rate requests a second, while play does something to the
// instance; then the verdict must be clean.
func during(t *testing.T, w *rig.World, rate float64, length time.Duration, play func(*rig.Instance)) {
	t.Helper()
	in := w.Instances[0]
	cl := w.Clients(in, 5)
	plan, err := clients.Draw(clients.Shape{Rate: rate, For: length}, w.Classes, 5)
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan bool)
	go func() { defer close(done); cl.Run(context.Background(), plan) }()
	time.Sleep(length / 5)
	play(in)
	<-done
	rep := w.Log.Report()
	if rep.Violated() || rep.Requests < len(plan) {
		t.Errorf("%s: %v", rep.Summary(), rep.Violations)
	}
	if n := cl.RefusedConns(); n > 0 {
		t.Errorf("%d connections refused", n)
	}
}

func ctx(t *testing.T) context.Context {
	t.Helper()
	c, cancel := context.WithTimeout(context.Background(), patience)
	t.Cleanup(cancel)
	return c
}

// Hand-overs in the middle of a surge, the second before the first has ended.
func TestHandOverInASurge(t *testing.T) {
	t.Parallel()
	w := world(t, nil)
	during(t, w, 60, 4*time.Second, func(in *rig.Instance) {
		first := in.Pids()
		errs := make(chan error, 2)
		go func() { errs <- in.HandOver(ctx(t)) }()
		// As soon as the second runs and has taken over, the third begins.
		for len(in.Pids()) < 2 {
			time.Sleep(time.Millisecond)
		}
		for up(in.Addr) == fmt.Sprint(first[0]) {
			time.Sleep(time.Millisecond)
		}
		go func() { errs <- in.HandOver(ctx(t)) }()
		for range 2 {
			if err := <-errs; err != nil {
				t.Error(err)
			}
		}
		if now := in.Pids(); len(now) != 1 || now[0] == first[0] {
			t.Errorf("processes %v, at first %v", now, first)
		}
	})
}

// write writes a file that a test's program reads.
func write(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// hangUp sends SIGHUP to an instance.
func hangUp(t *testing.T, in *rig.Instance) {
	t.Helper()
	if err := in.Signal(syscall.SIGHUP); err != nil {
		t.Error(err)
	}
}

var noKeep = http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: patience}

// up returns which process says that it is up.
func up(addr string) string {
	r, err := noKeep.Get("http://" + addr + "/up")
	if err != nil {
		return ""
	}
	r.Body.Close()
	return r.Header.Get("X-Pid")
}

// What goes wrong with the new version leaves the old one serving.
func TestNewVersionFails(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name, mode string
		spoil      func(*rig.Options) // of the new one's files
	}{
		{"it dies when it may accept", "dies", nil},
		{"it hangs before it is ready", "hangs", nil},
		{"its operator's file is bad", "sidecar", nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			w := world(t, func(o *rig.Options) {
				o.Dir = dir
				o.Operator = func(int, string) string {
					return fmt.Sprintf("[handover]\nsocket = %q\nready_within = \"500ms\"\n", filepath.Join(dir, "h.sock"))
				}
			})
			during(t, w, 40, 2*time.Second, func(in *rig.Instance) {
				old := in.Pids()
				args := []string{"-operator", filepath.Join(dir, "n1.toml")}
				if c.mode == "sidecar" {
					bad := filepath.Join(dir, "bad.toml")
					write(t, bad, "[handover]\nsock = 1\n")
					args[1] = bad
				}
				p, err := in.Spawn([]string{"TEST_RUNS_PROGRAM=" + c.mode, "TEST_SOCKET=" + filepath.Join(dir, "h.sock")}, args...)
				if err != nil {
					t.Fatal(err)
				}
				if c.mode == "hangs" {
					// The old one gives up on it, and the next can have it.
					for {
						tk, err := handover.Request(filepath.Join(dir, "h.sock"), in.Addr, patience)
						if err == nil {
							tk.Close()
							break
						}
						time.Sleep(20 * time.Millisecond)
					}
					p.Kill()
				}
				if err := p.Wait(ctx(t)); err == nil {
					t.Error("the new version ended well")
				}
				if got := up(in.Addr); got != fmt.Sprint(old[0]) {
					t.Errorf("process %s serves, want %d", got, old[0])
				}
			})
			// And a good one takes over.
			if err := w.Instances[0].HandOver(ctx(t)); err != nil {
				t.Error(err)
			}
		})
	}
}

// The new process is killed while the old one still drains: that one serves on.
func TestNewProcessKilledMidway(t *testing.T) {
	t.Parallel()
	w := world(t, nil)
	in := w.Instances[0]
	// A request that takes long keeps the old one draining.
	for _, s := range w.Servers {
		s.Set(callserver.Fault{Slow: 100})
	}
	slow := w.Clients(in, 9)
	done := make(chan bool)
	go func() {
		defer close(done)
		slow.Run(context.Background(), []clients.Arrival{{Class: 1}, {Class: 1}, {Class: 1}})
	}()
	for running(w) == 0 {
		time.Sleep(time.Millisecond)
	}
	old := in.Pids()[0]
	p, err := in.Spawn(nil, "-operator", filepath.Join(w.Dir(), "n1.toml"))
	if err != nil {
		t.Fatal(err)
	}
	for up(in.Addr) != fmt.Sprint(p.Pid()) {
		time.Sleep(time.Millisecond)
	}
	// It has the socket when the old one says that it drains.
	for !strings.Contains(in.Tail(), "listener handed over") {
		time.Sleep(time.Millisecond)
	}
	p.Kill()
	for end := time.Now().Add(patience); up(in.Addr) != fmt.Sprint(old); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the old process does not come back")
		}
	}
	for _, s := range w.Servers {
		s.Set(callserver.Fault{})
	}
	<-done
	during(t, w, 40, time.Second, func(*rig.Instance) {})
	if err := in.HandOver(ctx(t)); err != nil {
		t.Error(err)
	}
}

func running(w *rig.World) int {
	n := 0
	for _, s := range w.Servers {
		n += s.Counts().Ran
	}
	return n
}

// With nearly all descriptors in use by clients that say nothing, the hand-over
// still goes through.
func TestHandOverWithFewDescriptors(t *testing.T) {
	t.Parallel()
	w := world(t, func(o *rig.Options) { o.Sockets = 96; o.Limit = 96 })
	during(t, w, 20, 3*time.Second, func(in *rig.Instance) {
		var held []net.Conn
		for range 120 {
			if c, err := net.DialTimeout("tcp", in.Addr, time.Second); err == nil {
				held = append(held, c)
			}
		}
		if err := in.HandOver(ctx(t)); err != nil {
			t.Error(err)
		}
		for _, c := range held {
			c.Close()
		}
	})
}

// SIGTERM in the middle of a surge: what was taken is answered.
func TestStopInASurge(t *testing.T) {
	t.Parallel()
	w := world(t, nil)
	in := w.Instances[0]
	cl := w.Clients(in, 5)
	plan, _ := clients.Draw(clients.Shape{Rate: 60, For: 3 * time.Second, Surges: []clients.Surge{{At: time.Second, For: time.Second, Times: 2}}}, w.Classes, 5)
	done := make(chan bool)
	go func() { defer close(done); cl.Run(context.Background(), plan) }()
	time.Sleep(1300 * time.Millisecond)
	if err := in.Stop(ctx(t)); err != nil {
		t.Error(err)
	}
	<-done
	if rep := w.Log.Report(); rep.Violated() || rep.Served == 0 {
		t.Errorf("%s: %v", rep.Summary(), rep.Violations)
	}
}

// A server that answers nothing must not hold the end up: at the bound what is
// open is handed back, and truthfully so.
func TestDrainAnswersPendingRequests(t *testing.T) {
	t.Parallel()
	w := world(t, func(o *rig.Options) {
		o.Stretch = 100 // deadlines of minutes
		o.Operator = func(int, string) string { return "[drain]\nfinish = \"1s\"\n" }
	})
	in := w.Instances[0]
	for _, s := range w.Servers {
		s.Set(callserver.Fault{Hang: true})
	}
	cl := w.Clients(in, 5)
	done := make(chan bool)
	go func() {
		defer close(done)
		cl.Run(context.Background(), []clients.Arrival{{Class: 0}, {Class: 1}, {Class: 2}})
	}()
	for {
		n := 0
		for _, s := range w.Servers {
			n += s.Counts().Requests
		}
		if n >= 3 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	began := w.Log.Report()
	if err := in.Stop(ctx(t)); err != nil {
		t.Error(err)
	}
	rep := w.Log.Report()
	if rep.Violated() || rep.Rejected-began.Rejected < 1 || rep.Failed < 2 {
		t.Errorf("%s: %v", rep.Summary(), rep.Violations)
	}
	w.Close()
	<-done
}

// A reload that moves discovery while a server drains: the new address lags
// behind and still lists it as active.
func TestReloadDuringADrain(t *testing.T) {
	t.Parallel()
	// The grace is not stretched: what breaks the rule here would go on for
	// seconds.
	w := world(t, func(o *rig.Options) { o.Grace = time.Second })
	lag := w.Registry.Fork(1) // before the drain, with an older index
	t.Cleanup(lag.Close)
	during(t, w, 50, 5*time.Second, func(in *rig.Instance) {
		w.Drain(w.Servers[0])
		for w.Log.RemovalNotifiedAt(in.Name, w.Servers[0].Name(), 1) == 0 {
			time.Sleep(time.Millisecond)
		}
		// Two reloads, the second within the first.
		if err := in.Move(lag); err != nil {
			t.Fatal(err)
		}
		hangUp(t, in)
		hangUp(t, in)
	})
	if n := w.Servers[0].Counts().Requests; n == 0 {
		t.Error("the server was never used")
	}
	if calls, _, _ := lag.Load(); calls == 0 {
		t.Error("the new address was never asked")
	}
}

// Bad input ends the start with one line.
func TestBadStarts(t *testing.T) {
	t.Parallel()
	w := world(t, nil)
	in := w.Instances[0]
	dir := w.Dir()
	foreign := filepath.Join(dir, "foreign.sock")
	ln, err := net.Listen("unix", foreign)
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			_, _ = c.Write([]byte("HTTP/1.1 400 Bad Request\r\n\r\n")) // the sidecar may have closed it
			c.Close()
		}
	}()
	file := filepath.Join(dir, "file")
	write(t, file, "x")
	for name, c := range map[string]struct {
		text, want string
		args       []string
	}{
		"a foreign program":          {"[handover]\nsocket = \"" + foreign + "\"\n", "wanted a sidecar that hands its listener over", nil},
		"the address is in use":      {"", "address already in use", nil},
		"an unknown key":             {"[drain]\nend = \"1s\"\n", "drain.end: found a key that is not known", nil},
		"no such operator's file":    {"", "no such file", []string{"-operator", filepath.Join(dir, "none")}},
		"an argument too many":       {"", "wanted no arguments", []string{"now"}},
		"a flag that does not exist": {"", "flag provided but not defined", []string{"-x"}},
	} {
		path := filepath.Join(dir, strings.ReplaceAll(name, " ", "-")+".toml")
		write(t, path, c.text)
		args := c.args
		if args == nil {
			args = []string{"-operator", path}
		}
		p, err := in.Spawn(nil, args...)
		if err != nil {
			t.Fatal(err)
		}
		if err := p.Wait(ctx(t)); err == nil || errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("%s: ended with %v", name, err)
		}
		said := strings.TrimSpace(p.Tail())
		if !strings.Contains(said, c.want) || strings.Contains(said, "\n") {
			t.Errorf("%s: said %q", name, said)
		}
	}
}
