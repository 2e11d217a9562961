package supervisor

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"otterspring/internal/logging"
	"otterspring/internal/sidecar/entrypoint"
)

const patience = 60 * time.Second

// TestMain runs the very programs where a test asks for them: the sidecar, one
// that ignores SIGTERM, one that ends at once, and a supervisor.
func TestMain(m *testing.M) {
	switch os.Getenv("TEST_RUNS_PROGRAM") {
	case "sidecar":
		os.Exit(entrypoint.Main(os.Args[1:], os.Stderr))
	case "stubborn":
		ln, err := net.Listen("tcp", os.Getenv("RELAY_LISTEN"))
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		ignore()
		http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Pid", strconv.Itoa(os.Getpid()))
		}))
	case "broken":
		fmt.Fprintln(os.Stderr, "broken: it ends at once")
		os.Exit(3)
	case "supervisor":
		f, err := LoadFile(os.Args[1])
		if err == nil {
			var s *Supervisor
			if s, err = New(f, logging.New(os.Stderr, logging.Options{})); err == nil {
				err = s.Run(context.Background())
			}
		}
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(m.Run())
}

// program writes a script that runs this test's binary as one of the programs:
// a fleet file names a path, and its environment is the supervisor's.
func program(t *testing.T, dir, kind string) string {
	t.Helper()
	path := filepath.Join(dir, kind)
	text := fmt.Sprintf("#!/bin/sh\nTEST_RUNS_PROGRAM=%s exec %s \"$@\"\n", kind, os.Args[0])
	if err := os.WriteFile(path, []byte(text), 0o700); err != nil {
		t.Fatal(err)
	}
	return path
}

const template = `{"name":"{name}","listen":"{listen}","discovery":"127.0.0.1:1","seed":"{seed}",
"limits":{"cores":1,"memory_mb":64,"sockets":64},
"settings":{"discovery":"subscribe","limits":{"try-limit":1,"conn-idle-us":5000000,"dial-timeout-us":100000},
"rules":{"cold-from":0.5},"classes":[{"name":"read","deadline-us":1000000,"effect":"free"}]}}`

// ports returns a first port of n that are free on an address of the test's
// own, which no outgoing connection takes.
func ports(t *testing.T, n int) (ip string, first int) {
	t.Helper()
	ip = fmt.Sprintf("127.%d.%d.%d", 100+os.Getpid()%100, 1+int(time.Now().UnixNano()/1000)%250, 1+int(time.Now().UnixNano()/250000)%250)
	for first = 21000; first < 60000; first += n {
		free := true
		for p := first; p < first+n && free; p++ {
			ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, p))
			if free = err == nil; free {
				ln.Close()
			}
		}
		if free {
			return ip, first
		}
	}
	t.Fatal("no free ports")
	return "", 0
}

// setup writes a fleet file of n instances and returns its path.
func setup(t *testing.T, n int, kind, more string) string {
	t.Helper()
	dir := t.TempDir()
	ip, first := ports(t, n)
	os.WriteFile(filepath.Join(dir, "base.json"), []byte(template), 0o600)
	os.WriteFile(filepath.Join(dir, "n.toml"), nil, 0o600)
	path := filepath.Join(dir, "fleet.toml")
	text := fmt.Sprintf("program = %q\ndirectory = \"run\"\nconfig = \"base.json\"\ncount = %d\nlisten = \"%s:{port}\"\nfirst_port = %d\n", program(t, dir, kind), n, ip, first)
	if !strings.Contains(more, "[start]") {
		more += "\n[start]\ndiscovery_lines = 100000\nready_within = \"1m\"\n"
	}
	if err := os.WriteFile(path, []byte(text+more), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// running is a supervisor within the test.
type running struct {
	file *File
	out  *lockedBuffer
	stop context.CancelFunc
	done chan error
}

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

func supervise(t *testing.T, path string) *running {
	t.Helper()
	f, err := LoadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	r := &running{file: f, out: &lockedBuffer{}, done: make(chan error, 1)}
	s, err := New(f, logging.New(r.out, logging.Options{}))
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	r.stop = stop
	go func() { r.done <- s.Run(ctx) }()
	t.Cleanup(func() { r.end(t) })
	return r
}

func (r *running) end(t *testing.T) {
	r.stop()
	select {
	case <-r.done:
		r.done <- nil
	case <-time.After(patience):
		t.Errorf("the supervisor does not end: %s", r.out)
	}
}

func (r *running) ask(t *testing.T, words ...string) string {
	t.Helper()
	text, err := Ask(r.file.Control, words...)
	if err != nil {
		t.Fatalf("%v: %v", words, err)
	}
	return text
}

// until waits for a status that says text.
func (r *running) until(t *testing.T, text string) string {
	t.Helper()
	status := ""
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if status = r.ask(t, "status"); strings.Contains(status, text) {
			return status
		}
	}
	t.Fatalf("never %q: %s\n%s", text, status, r.out)
	return ""
}

// rolls waits until n rolls are over, and none is under way.
func (r *running) rolls(t *testing.T, n int) string {
	t.Helper()
	for end := time.Now().Add(patience); ; time.Sleep(10 * time.Millisecond) {
		over := strings.Count(r.out.String(), "went well,")
		status := r.ask(t, "status")
		if over == n && !strings.Contains(status, "roll: ") {
			return status
		}
		if time.Now().After(end) {
			t.Fatalf("%d rolls are over, want %d: %s\n%s", over, n, status, r.out)
		}
	}
}

// pids are the processes that a status names, by instance.
func pids(status string) map[string][]int {
	m := map[string][]int{}
	for _, line := range strings.Split(status, "\n") {
		f := strings.Fields(line)
		if len(f) < 3 || !strings.HasPrefix(f[0], "n") || !strings.Contains(f[1], ":") {
			continue
		}
		for _, word := range f[2:] {
			if pid, err := strconv.Atoi(word); err == nil {
				m[f[0]] = append(m[f[0]], pid)
			}
		}
	}
	return m
}

func TestRunRestartReloadStop(t *testing.T) {
	t.Parallel()
	r := supervise(t, setup(t, 4, "sidecar", "[restart]\nat_once = 2\n"))
	before := pids(r.until(t, "4 instances, 4 up"))
	if info, err := os.Stat(r.file.Control); err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("the control socket's mode: %v %v", info, err)
	}
	r.ask(t, "restart")
	after := pids(r.rolls(t, 1))
	for name, p := range after {
		if len(p) != 1 || p[0] == before[name][0] {
			t.Errorf("%s: %v, before %v", name, p, before[name])
		}
	}
	// A reload keeps the processes and brings the new configuration.
	base := filepath.Join(filepath.Dir(r.file.Path), "base.json")
	os.WriteFile(base, []byte(strings.Replace(template, "127.0.0.1:1", "127.0.0.1:2", 1)), 0o600)
	r.ask(t, "reload")
	if got := pids(r.rolls(t, 2)); fmt.Sprint(got) != fmt.Sprint(after) {
		t.Errorf("a reload changed processes: %v, %v", got, after)
	}
	for end := time.Now().Add(patience); ; time.Sleep(10 * time.Millisecond) {
		text, _ := os.ReadFile(filepath.Join(r.file.Directory, "n1.log"))
		if strings.Contains(string(text), "discovery=127.0.0.1:2") {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("n1 did not reload: %s", text)
		}
	}
	// One that the program does not take goes back. The file itself is checked
	// before anything is sent.
	os.WriteFile(base, []byte("{"), 0o600)
	if _, err := Ask(r.file.Control, "reload"); err == nil || !strings.Contains(err.Error(), "no JSON") {
		t.Errorf("a template that is no JSON: %v", err)
	}
	os.WriteFile(base, []byte(strings.Replace(template, `"cores":1`, `"cores":0`, 1)), 0o600)
	r.ask(t, "reload")
	r.rolls(t, 3)
	if n := strings.Count(r.out.String(), "roll done: 4 went well, 0 did not"); n != 2 || !strings.Contains(r.out.String(), "fleet: rolled back") {
		t.Errorf("%d rolls went well, want 2: %s", n, r.out)
	}
	for _, words := range [][]string{{"restart", "n9"}, {"dance"}, {"resume"}, {"cancel"}, {"restart", "-program", "/none"}} {
		if _, err := Ask(r.file.Control, words...); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%v: %v", words, err)
		}
	}
	r.ask(t, "stop")
	select {
	case err := <-r.done:
		r.done <- err
		if err != nil {
			t.Error(err)
		}
	case <-time.After(patience):
		t.Fatalf("not stopped: %s", r.out)
	}
	for name, p := range after {
		if startTime(p[0]) != "" {
			t.Errorf("%s: process %d still runs", name, p[0])
		}
	}
	if _, err := Ask(r.file.Control, "status"); err == nil || !strings.Contains(err.Error(), "control socket") {
		t.Errorf("a dead control socket: %v", err)
	}
}

// A roll by hand-over: /up is answered all the while, by the old process or the
// new one.
func TestRollByHandOver(t *testing.T) {
	t.Parallel()
	path := setup(t, 3, "sidecar", "args = [\"-operator\", \"{dir}/../{name}.toml\"]\n[restart]\nmode = \"handover\"\n")
	dir := filepath.Dir(path)
	for i := 1; i <= 3; i++ {
		text := fmt.Sprintf("[handover]\nsocket = %q\n", filepath.Join(dir, fmt.Sprintf("n%d.sock", i)))
		os.WriteFile(filepath.Join(dir, fmt.Sprintf("n%d.toml", i)), []byte(text), 0o600)
	}
	r := supervise(t, path)
	before := pids(r.until(t, "3 instances, 3 up"))
	specs, _ := r.file.Specs()
	end := make(chan bool)
	refused := make(chan int)
	go func() {
		n := 0
		for {
			select {
			case <-end:
				refused <- n
				return
			default:
			}
			c, err := net.DialTimeout("tcp", specs[0].Listen, 5*time.Second)
			if err != nil {
				n++
				continue
			}
			c.Close()
		}
	}()
	r.ask(t, "restart")
	after := pids(r.until(t, "roll done: 3 went well, 0 did not"))
	close(end)
	if n := <-refused; n > 0 {
		t.Errorf("%d connections refused", n)
	}
	for name, p := range after {
		if len(p) != 1 || p[0] == before[name][0] {
			t.Errorf("%s: %v, before %v", name, p, before[name])
		}
	}
}

// A new program that ends at once: two in a row, and the roll goes back to the
// old one, which is there.
func TestBadProgramIsRolledBack(t *testing.T) {
	t.Parallel()
	path := setup(t, 3, "sidecar", "[crash]\nfirst = \"50ms\"\n")
	broken := program(t, filepath.Dir(path), "broken")
	r := supervise(t, path)
	r.until(t, "3 instances, 3 up")
	r.ask(t, "restart", "-program", broken)
	r.until(t, "rolled back")
	r.until(t, "3 instances, 3 up")
	if !strings.Contains(r.out.String(), "its last word: broken: it ends at once") {
		t.Errorf("the reason is not named: %s", r.out)
	}
}

// An instance that crashes starts again, later each time; a crash loop ends it.
func TestCrashLoop(t *testing.T) {
	t.Parallel()
	r := supervise(t, setup(t, 1, "broken", "[crash]\nfirst = \"10ms\"\nmost = \"40ms\"\nloop = 4\n"))
	r.until(t, "1 given up")
	if n := strings.Count(r.out.String(), "process exited; restart scheduled"); n != 3 {
		t.Errorf("%d restarts before it was given up, want 3: %s", n, r.out)
	}
}

func TestChildIgnoresSIGTERM(t *testing.T) {
	t.Parallel()
	r := supervise(t, setup(t, 1, "stubborn", "[restart]\nend_within = \"300ms\"\n"))
	before := pids(r.until(t, "1 instances, 1 up"))["n1"]
	r.ask(t, "restart")
	after := pids(r.until(t, "roll done: 1 went well"))["n1"]
	if len(after) != 1 || after[0] == before[0] || !strings.Contains(r.out.String(), "process killed: reason=not exited after SIGTERM, limit=300ms") {
		t.Errorf("%v, before %v: %s", after, before, r.out)
	}
}

// The supervisor is killed and started again: it adopts what runs.
func TestSupervisorKilled(t *testing.T) {
	t.Parallel()
	path := setup(t, 3, "sidecar", "")
	f, err := LoadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	first := exec.Command(os.Args[0], path)
	first.Env = append(os.Environ(), "TEST_RUNS_PROGRAM=supervisor")
	if err := first.Start(); err != nil {
		t.Fatal(err)
	}
	r := &running{file: f, out: &lockedBuffer{}}
	for end := time.Now().Add(patience); ; time.Sleep(10 * time.Millisecond) {
		if _, err := Ask(f.Control, "status"); err == nil {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the supervisor does not answer")
		}
	}
	before := pids(r.until(t, "3 instances, 3 up"))
	state := filepath.Join(f.Directory, "state.json")
	if _, err := New(f, logging.New(r.out, logging.Options{})); err == nil || !strings.Contains(err.Error(), "another supervisor") {
		t.Errorf("a second supervisor: %v", err)
	}
	first.Process.Kill()
	first.Wait()
	if _, err := Ask(f.Control, "status"); err == nil || !strings.Contains(err.Error(), "dead control socket") {
		t.Errorf("the dead control socket: %v", err)
	}
	// One of them dies meanwhile; its number is not taken for another's.
	syscall.Kill(before["n2"][0], syscall.SIGKILL)
	for startTime(before["n2"][0]) != "" {
		time.Sleep(time.Millisecond)
	}
	// It did not live to write n3 down: that is adopted all the same.
	text, _ := os.ReadFile(state)
	var list []saved
	if err := json.Unmarshal(text, &list); err != nil || len(list) != 3 {
		t.Fatalf("state %s: %v", text, err)
	}
	list = slices.DeleteFunc(list, func(v saved) bool { return v.Name == "n3" })
	text, _ = json.Marshal(list)
	os.WriteFile(state, text, 0o600)
	r2 := supervise(t, path)
	after := pids(r2.until(t, "3 instances, 3 up"))
	if !strings.Contains(r2.out.String(), fmt.Sprintf("n3: process %d was started and not written down", before["n3"][0])) {
		t.Errorf("not told of n3: %s", r2.out)
	}
	for _, name := range []string{"n1", "n3"} {
		if fmt.Sprint(after[name]) != fmt.Sprint(before[name]) {
			t.Errorf("%s: processes %v, before %v", name, after[name], before[name])
		}
	}
	if len(after["n2"]) != 1 || after["n2"][0] == before["n2"][0] {
		t.Errorf("n2: processes %v, before %v", after["n2"], before["n2"])
	}
	// What was adopted is watched, and stopped, like a child.
	syscall.Kill(after["n1"][0], syscall.SIGKILL)
	r2.until(t, "n1: process exited; restart scheduled: cause=crashed")
	r2.until(t, "3 instances, 3 up")
	r2.end(t)
	for name, p := range after {
		if startTime(p[0]) != "" {
			t.Errorf("%s: process %d still runs", name, p[0])
		}
	}
}

// The supervisor was killed in the middle of a hand-over: of the two processes
// of an instance the one that is up is adopted, the other left to its drain.
func TestAdoptsTheOneThatIsUp(t *testing.T) {
	t.Parallel()
	path := setup(t, 1, "sidecar", "")
	f, err := LoadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	specs, _ := f.Specs()
	os.MkdirAll(f.Directory, 0o700)
	config := filepath.Join(f.Directory, "n1.json")
	os.WriteFile(config, []byte(specs[0].Config), 0o600)
	draining, up := exec.Command("sleep", "60"), exec.Command(f.Program)
	up.Env = append(os.Environ(), "RELAY_CONFIG="+config)
	list := []string{}
	for _, c := range []*exec.Cmd{draining, up} {
		if err := c.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Process.Kill(); c.Wait() })
		list = append(list, fmt.Sprintf(`{"name":"n1","listen":%q,"pid":%d,"start":%q}`, specs[0].Listen, c.Process.Pid, startTime(c.Process.Pid)))
	}
	if !awaitUp(context.Background(), specs[0].Listen, func(u upState) bool { return u.pid == up.Process.Pid }) {
		t.Fatal("not up")
	}
	os.WriteFile(filepath.Join(f.Directory, "state.json"), []byte("["+strings.Join(list, ",")+"]"), 0o600)
	r := supervise(t, path)
	got := pids(r.until(t, "1 instances, 1 up"))["n1"]
	if len(got) != 1 || got[0] != up.Process.Pid || !strings.Contains(r.out.String(), "left to its drain") {
		t.Errorf("adopted %v, want %d: %s", got, up.Process.Pid, r.out)
	}
	// A torn state file is named, and nothing adopted of it.
	if startTime(draining.Process.Pid) == "" {
		t.Error("the draining one was ended")
	}
}

// A process that is not the fleet's on an instance's address.
func TestForeignProcessOnTheAddress(t *testing.T) {
	t.Parallel()
	path := setup(t, 1, "sidecar", "[crash]\nfirst = \"20ms\"\nmost = \"20ms\"\nloop = 100\n")
	f, err := LoadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	specs, _ := f.Specs()
	ln, err := net.Listen("tcp", specs[0].Listen)
	if err != nil {
		t.Fatal(err)
	}
	r := supervise(t, path)
	r.until(t, "in use by a process that is not of this fleet")
	ln.Close()
	r.until(t, "1 instances, 1 up")
}

func TestBadFiles(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	prog := program(t, dir, "sidecar")
	path := filepath.Join(dir, "f.toml")
	head := fmt.Sprintf("program = %q\ndirectory = %q\n", prog, filepath.Join(dir, "run"))
	for text, want := range map[string]string{
		"":   "found no program, wanted it given",
		head: "found no instance, wanted count or [[instance]]",
		head + "count = 2\nlisten = \"127.0.0.1:80\"\n":                                          "listen: found 127.0.0.1:80 for both n1 and n2, wanted each address once",
		head + "count = 2\nname = \"a\"\nlisten = \"127.0.0.1:{port}\"\n":                        "name: found \"a\" twice",
		head + "count = 1\nlisten = \"here\"\n":                                                  "wanted an IP address and a port",
		head + "count = 1\nlisten = \"127.0.0.1:0\"\n":                                           "wanted an IP address and a port",
		head + "count = 2000\nlisten = \"127.0.0.1:{port}\"\n":                                   "f.toml:3: count: found 2000, wanted 1 to 1000",
		head + "count = 1\nlisten = \"127.0.0.1:1\"\nconfig = \"none\"\n":                        "wanted a readable template",
		head + "[[instance]]\nname = \"a\"\n":                                                    "f.toml:3: instance[1]: found no listen",
		head + "[[instance]]\nname = \"a b\"\nlisten = \"127.0.0.1:1\"\n":                        "wanted a name without blanks",
		head + "count = 1\nlisten = \"127.0.0.1:1\"\n[restart]\nmode = \"kill\"\n":               "restart.mode: found \"kill\", wanted one of term, handover",
		head + "count = 1\nlisten = \"127.0.0.1:1\"\n[crash]\nfirst = \"1m\"\nmost = \"1s\"\n":   "crash.most: found 1s, wanted 1m0s",
		"program = \"none\"\ndirectory = \"x\"\ncount = 1\nlisten = \"127.0.0.1:1\"\n":           "program: found no program",
		head + "control = \"" + strings.Repeat("x", 120) + "\"\ncount=1\nlisten=\"127.0.0.1:1\"": "control: found a path of",
		"program = ": "f.toml:1",
	} {
		os.WriteFile(path, []byte(text), 0o600)
		if _, err := LoadFile(path); err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q:\n got  %v\n want %s", text, err, want)
		}
	}
	if _, err := LoadFile(filepath.Join(dir, "none")); err == nil || !strings.Contains(err.Error(), "no such file") {
		t.Errorf("no file: %v", err)
	}
	// A file in the place of the control socket is left alone.
	os.WriteFile(path, []byte(head+"control = \"c\"\ncount = 1\nlisten = \"127.0.0.1:1\"\n"), 0o600)
	os.WriteFile(filepath.Join(dir, "c"), []byte("text"), 0o600)
	f, err := LoadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := New(f, logging.New(&bytes.Buffer{}, logging.Options{})); err == nil || !strings.Contains(err.Error(), "no socket") {
		t.Errorf("a file at the control socket: %v", err)
	}
}
