package server

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	bolt "go.etcd.io/bbolt"

	"otterspring/internal/fleet/coordination"
	"otterspring/internal/fleet/coordination/client"
)

const patience = 60 * time.Second

// TestMain is a member where a test asks for one: TEST_MEMBER is "FILE NUMBER BEGIN".
func TestMain(m *testing.M) {
	if words := strings.Fields(os.Getenv("TEST_MEMBER")); len(words) == 3 {
		number, _ := strconv.ParseUint(words[1], 10, 64)
		begin, _ := strconv.Atoi(words[2])
		f, err := LoadConfig(words[0])
		if err == nil {
			var n *Server
			if n, err = Open(f, number, StartMode(begin), slog.New(slog.NewTextHandler(os.Stderr, nil))); err == nil {
				ctx, _ := signal.NotifyContext(context.Background(), syscall.SIGTERM)
				err = n.Run(ctx)
			}
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

var ips atomic.Int32

// world is a council of processes.
type world struct {
	t     testing.TB
	path  string
	file  *Config
	procs map[int]*exec.Cmd
}

// build writes the file of a council of n members, and of more that may join.
func build(t testing.TB, dir string, n int) *world {
	t.Helper()
	w := &world{t: t, path: filepath.Join(dir, "council.toml"), procs: map[int]*exec.Cmd{}}
	var b strings.Builder
	b.WriteString("name = \"test\"\ndirectory = \"state\"\ntick = \"20ms\"\nlease = \"1s\"\nmargin = \"100ms\"\n")
	ip := fmt.Sprintf("127.%d.%d.%d", 60+os.Getpid()%40, 1+os.Getpid()/40%250, 1+ips.Add(1))
	var listeners []net.Listener // all open until each has an address of its own
	for i := 1; i <= n; i++ {
		ln, err := net.Listen("tcp", ip+":0")
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, ln)
		fmt.Fprintf(&b, "[[member]]\nnumber = %d\naddress = %q\n", i, ln.Addr())
	}
	for _, ln := range listeners {
		ln.Close()
	}
	os.WriteFile(w.path, []byte(b.String()), 0o600)
	var err error
	if w.file, err = LoadConfig(w.path); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		for i := range w.procs {
			w.kill(i)
			if text, _ := os.ReadFile(w.log(i)); t.Failed() {
				t.Logf("member %d: %s", i, text)
			}
		}
	})
	return w
}

func (w *world) start(i int, begin StartMode) {
	w.t.Helper()
	w.startOf(i, begin, w.path)
}

func (w *world) startOf(i int, begin StartMode, path string) {
	w.t.Helper()
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), fmt.Sprintf("TEST_MEMBER=%s %d %d", path, i, begin))
	out, err := os.OpenFile(w.log(i), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		w.t.Fatal(err)
	}
	defer out.Close()
	c.Stdout, c.Stderr = out, out
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // a test that is ended leaves nobody
	if err := c.Start(); err != nil {
		w.t.Fatal(err)
	}
	w.procs[i] = c
}

func (w *world) log(i int) string { return fmt.Sprintf("%s.%d.log", w.path, i) }

func (w *world) kill(i int) {
	if c := w.procs[i]; c != nil {
		c.Process.Kill()
		c.Wait()
		delete(w.procs, i)
	}
}

// refused awaits that a member ends by itself with a line that has want.
func (w *world) refused(i int, want string) {
	w.t.Helper()
	c := w.procs[i]
	delete(w.procs, i)
	timer := time.AfterFunc(patience, func() { c.Process.Kill() })
	err := c.Wait()
	timer.Stop()
	text, _ := os.ReadFile(w.log(i))
	var exit *exec.ExitError
	if !errors.As(err, &exit) || exit.ExitCode() != 1 || !strings.Contains(string(text), want) {
		w.t.Errorf("member %d: %v, wanted an end by itself with %q: %s", i, err, want, text)
	}
}

// asks asks until there is an answer.
func (w *world) asks(q client.Request) *client.Response {
	w.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	c := client.NewClient("test", w.file.Addresses())
	defer c.Close()
	for {
		a, err := c.Do(ctx, q)
		if err == nil {
			return a
		}
		if !errors.Is(err, client.ErrUnknownOutcome) || ctx.Err() != nil {
			w.t.Fatalf("%+v: %v", q, err)
		}
	}
}

// one asks one member.
func (w *world) one(i int, q client.Request) (*client.Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	return client.Call(ctx, http.DefaultClient, w.file.members()[uint64(i)], "test", q)
}

// leader awaits a leader and returns its number.
func (w *world) leader(but int) int {
	w.t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for i := range w.procs {
			if i == but {
				continue
			}
			if a, err := w.one(i, client.Request{Kind: client.ReadState}); err == nil && a.Unavailable == "" {
				return i
			}
		}
	}
	w.t.Fatal("no leader")
	return 0
}

// take takes a duty as soon as it is free, and returns the epoch.
func (w *world) take(who string) coordination.FencingToken {
	w.t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if a := w.asks(client.Request{Kind: client.AcquireLease, Subject: who, Lease: "roll"}); a.Lease != nil && a.Lease.Holder == who {
			return a.Lease.Token
		}
	}
	w.t.Fatalf("%s does not get the duty", who)
	return 0
}

// All members killed at once and started in any order; the leader stopped, followed
// and woken: an epoch is never given twice, and who is alone says no.
func TestKilledStoppedAndWoken(t *testing.T) {
	t.Parallel()
	w := build(t, t.TempDir(), 3)
	for i := 1; i <= 3; i++ {
		w.start(i, Bootstrap)
	}
	first := w.take("h1")
	// What a host says of itself is kept by the leader, and members say what they can.
	for end := time.Now().Add(patience); ; time.Sleep(10 * time.Millisecond) {
		w.asks(client.Request{Kind: client.ReportHost, Subject: "h1", Data: []byte(`{"up":3}`)})
		a := w.asks(client.Request{Kind: client.ReadState})
		if a.State.SupportedVersions[1] == coordination.StateVersion && string(a.Reports["h1"].Data) == `{"up":3}` {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("able %v, reports %v", a.State.SupportedVersions, a.Reports)
		}
	}
	for i := 1; i <= 3; i++ {
		w.kill(i)
	}
	w.start(3, Resume)
	w.start(1, Resume)
	if got := w.asks(client.Request{Kind: client.ReadState}).State.Leases["roll"]; got.Token != first || got.Holder != "h1" {
		t.Errorf("after the kill: %+v, wanted h1's %v", got, first)
	}
	w.start(2, Resume)
	if a := w.asks(client.Request{Kind: client.RenewLease, Lease: "roll", Token: first}); a.Rejection != "" {
		t.Errorf("renewed: %s", a.Rejection)
	}
	// Nobody renews: the lease runs out, and the next epoch is newer.
	second := w.take("h2")
	if second <= first {
		t.Errorf("epoch %v after %v", second, first)
	}
	old := w.leader(0)
	w.procs[old].Process.Signal(syscall.SIGSTOP)
	w.leader(old)
	if a := w.asks(client.Request{Kind: client.WriteCheckpoint, Lease: "roll", Subject: "h1", Token: first, Data: []byte(`"late"`)}); a.Rejection == "" {
		t.Error("the note of a late owner was taken")
	}
	third := w.take("h3")
	w.procs[old].Process.Signal(syscall.SIGCONT)
	// The old leader has h2's renewal in its memory, and must not confirm it.
	if a, err := w.one(old, client.Request{Kind: client.RenewLease, Lease: "roll", Token: second}); err == nil && a.Unavailable == "" && a.Rejection == "" {
		t.Errorf("the old leader renewed epoch %v after %v was given: %+v", second, third, a)
	}
	// A member alone says no at once.
	for i := 1; i <= 3; i++ {
		if i != old {
			w.kill(i)
		}
	}
	for end := time.Now().Add(patience); ; time.Sleep(10 * time.Millisecond) {
		a, err := w.one(old, client.Request{Kind: client.AcquireLease, Subject: "h4", Lease: "roll"})
		if err == nil && a.Unavailable != "" && a.Leader == "" && !a.OutcomeUnknown {
			break
		}
		if err == nil && a.Unavailable == "" && a.Rejection == "" {
			t.Fatalf("a member alone gave the duty away: %+v", a)
		}
		if time.Now().After(end) {
			t.Fatalf("a member alone: %+v %v, wanted a no", a, err)
		}
	}
}

// Disks that are not the member's own of now.
func TestDisksOfOthers(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	w := build(t, dir, 3)
	w.start(1, Resume)
	w.refused(1, "found no state, wanted member 1's")
	for i := 1; i <= 3; i++ {
		w.start(i, Bootstrap)
	}
	w.take("h1")
	// Yesterday's disk.
	w.kill(2)
	own := storePath(w.file.directory(2))
	yesterday, err := os.ReadFile(own)
	if err != nil {
		t.Fatal(err)
	}
	w.start(2, Resume)
	second := w.take("h2")
	for end := time.Now().Add(patience); ; time.Sleep(10 * time.Millisecond) {
		if a, err := w.one(2, client.Request{Kind: client.WatchLeases}); err == nil && a.Holders["roll"].Token == second {
			break
		}
		if time.Now().After(end) {
			t.Fatal("member 2 does not hear of the second epoch")
		}
	}
	w.kill(2)
	today, _ := os.ReadFile(own)
	os.WriteFile(own, yesterday, 0o600)
	w.start(2, Resume)
	w.refused(2, "this disk is an older one")
	// Another member's, and a second process on one's own.
	text, _ := os.ReadFile(storePath(w.file.directory(3)))
	w.kill(3)
	os.WriteFile(own, text, 0o600)
	w.start(2, Resume)
	w.refused(2, "found the state of member 3, wanted member 2's")
	os.WriteFile(own, today, 0o600)
	w.start(2, Resume)
	w.leader(0)
	c := w.procs[2]
	w.start(2, Resume)
	w.refused(2, "another member has this directory")
	w.procs[2] = c
	// A newer program's, and another council's.
	w.kill(2)
	db, err := bolt.Open(own, 0o600, nil)
	if err != nil {
		t.Fatal(err)
	}
	db.Update(func(tx *bolt.Tx) error { return tx.Bucket(bucketMeta).Put(keyForm, number(form+1)) })
	db.Close()
	w.start(2, Resume)
	w.refused(2, "a newer program wrote it")
	w.start(1, Bootstrap)
	w.refused(1, "found a state, wanted none")
}

// Two councils that were given one name: neither takes the other's words.
func TestTwoCouncilsOfOneName(t *testing.T) {
	t.Parallel()
	a, b := build(t, t.TempDir(), 3), build(t, t.TempDir(), 3)
	// The second's file names a member of the first as its third.
	text, _ := os.ReadFile(b.path)
	os.WriteFile(b.path, []byte(strings.Replace(string(text), b.file.Members[2].Address, a.file.Members[0].Address, 1)), 0o600)
	var err error
	if b.file, err = LoadConfig(b.path); err != nil {
		t.Fatal(err)
	}
	for i := 1; i <= 3; i++ {
		a.start(i, Bootstrap)
	}
	b.start(1, Bootstrap)
	b.start(2, Bootstrap)
	first := a.take("h1")
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	// A client of the first that is sent to the second does not believe it.
	c := client.NewClient("test", a.file.Addresses())
	defer c.Close()
	if _, err := c.Do(ctx, client.Request{Kind: client.ReadState}); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(patience); ; time.Sleep(10 * time.Millisecond) {
		got, err := a.one(1, client.Request{Kind: client.WatchLeases})
		if err == nil && got.WrongClusterCalls > 0 && got.Holders["roll"].Token == first {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("the first council has refused nothing of the second: %+v %v", got, err)
		}
	}
	if got, err := b.one(1, client.Request{Kind: client.WatchLeases}); err != nil || len(got.Holders) != 0 {
		t.Errorf("the second council knows of %+v (%v)", got, err)
	}
}

// Five grown from three, a member replaced, numbers given once.
func TestMembersChange(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	w := build(t, dir, 5)
	all := w.file.Members
	text, _ := os.ReadFile(w.path)
	at := strings.Index(string(text), "[[member]]\nnumber = 4")
	three := filepath.Join(dir, "three.toml")
	os.WriteFile(three, text[:at], 0o600)
	for i := 1; i <= 3; i++ {
		w.startOf(i, Bootstrap, three)
	}
	first := w.take("h1")
	change := func(q client.Request) string {
		t.Helper()
		return w.asks(q).Rejection
	}
	voters := func(want string) {
		t.Helper()
		got := ""
		for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			a := w.asks(client.Request{Kind: client.ReadState})
			if got = fmt.Sprint(a.Voters, a.Learners); got == want {
				return
			}
		}
		t.Fatalf("members %s, wanted %s", got, want)
	}
	for i := 4; i <= 5; i++ {
		for end := time.Now().Add(patience); ; time.Sleep(20 * time.Millisecond) {
			a, err := w.client(client.Request{Kind: client.AddMember, Member: uint64(i), Address: all[i-1].Address})
			if err == nil && a.Rejection == "" || a != nil && strings.Contains(a.Rejection, "given out before") {
				break
			}
			if time.Now().After(end) {
				t.Fatalf("member %d is not added: %+v %v", i, a, err)
			}
		}
		w.start(i, Join)
		want := []string{"[1 2 3 4] []", "[1 2 3 4 5] []"}[i-4]
		voters(want)
	}
	if a, err := w.client(client.Request{Kind: client.AddMember, Member: 4, Address: all[3].Address}); err == nil || !strings.Contains(err.Error(), "given out before") {
		t.Errorf("number 4 a second time: %+v %v", a, err)
	}
	// Two of five die, and three go on; the first is replaced by nobody.
	w.kill(1)
	w.kill(2)
	second := w.take("h2")
	if second <= first {
		t.Errorf("epoch %v after %v", second, first)
	}
	_ = change
	if a, err := w.client(client.Request{Kind: client.RemoveMember, Member: 1}); err != nil || a.Rejection != "" {
		t.Errorf("remove: %+v %v", a, err)
	}
	voters("[2 3 4 5] []")
}

// client asks with a bound, and returns what went wrong.
func (w *world) client(q client.Request) (*client.Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	c := client.NewClient("test", w.file.Addresses())
	defer c.Close()
	return c.Do(ctx, q)
}

// The majority is lost for good: the council is brought back from a snapshot in a
// new epoch space, and what comes of before is older than all it gives out.
func TestRestored(t *testing.T) {
	t.Parallel()
	w := build(t, t.TempDir(), 3)
	for i := 1; i <= 3; i++ {
		w.start(i, Bootstrap)
	}
	w.take("h1")
	snap, err := FetchSnapshot(w.file)
	if err != nil {
		t.Fatal(err)
	}
	// After the snapshot epochs go on.
	last := w.take("h2")
	for i := 1; i <= 3; i++ {
		w.kill(i)
	}
	if _, err := Restore(w.file, 2, snap, 2, false); err == nil || !strings.Contains(err.Error(), "or the word -older") {
		t.Errorf("restored an older snapshot: %v", err)
	}
	if _, err := Restore(w.file, 2, snap, 1, true); err == nil || !strings.Contains(err.Error(), "wanted more than the snapshot's 1") {
		t.Errorf("restored into its own space: %v", err)
	}
	if _, err := Restore(w.file, 2, snap[:len(snap)-1], 2, true); err == nil {
		t.Error("restored a torn snapshot")
	}
	if _, err := Restore(w.file, 2, snap, 2, true); err != nil {
		t.Fatal(err)
	}
	w.start(2, Resume)
	w.start(1, Resume) // a member of before: it is not of this council
	next := w.take("h3")
	if next <= last || next.Space() != 2 {
		t.Errorf("epoch %v after %v", next, last)
	}
	if a, err := w.one(1, client.Request{Kind: client.AcquireLease, Subject: "h4", Lease: "roll"}); err == nil && a.Unavailable == "" {
		t.Errorf("a member of before gives the duty away: %+v", a)
	}
}

func TestBadFiles(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	member := func(n int, address string) string {
		return fmt.Sprintf("[[member]]\nnumber = %d\naddress = %q\n", n, address)
	}
	head := "name = \"a\"\ndirectory = \"d\"\n"
	one := member(1, "127.0.0.1:1")
	for text, want := range map[string]string{
		head + one + member(2, "127.0.0.1:2"): "found 2 members, wanted an odd number",
		head:                                  "found 0 members, wanted an odd number",
		head + one + member(2, "127.0.0.1:1") + member(3, "127.0.0.1:3"): "127.0.0.1:1 for members 1 and 2, wanted each member its own",
		head + one + member(1, "127.0.0.1:2") + member(3, "127.0.0.1:3"): "member.number: found 1 for 127.0.0.1:2",
		head + member(1, "here"):                         "found \"here\", wanted an IP address and a port",
		head + "lease = \"2s\"\nmargin = \"3s\"\n" + one: "lease: found 2s, wanted more than the margin (3s)",
		head + "lease = \"1s\"\n" + one:                  "lease: found 1s, wanted 2s (two elections) at least",
		"name = \"a b\"\ndirectory = \"d\"\n" + one:      "name: found \"a b\"",
		head + "leese = \"1s\"\n" + one:                  "leese",
	} {
		path := filepath.Join(dir, "c.toml")
		os.WriteFile(path, []byte(text), 0o600)
		if _, err := LoadConfig(path); err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v, wanted %q in one line", text, err, want)
		}
	}
}
