package server

import (
	"context"
	"encoding/json"
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

const testTimeout = 60 * time.Second

// memberEnv is the environment variable that makes the test binary run as a member. Its
// value is "FILE NUMBER MODE".
const memberEnv = "TEST_MEMBER"

func TestMain(m *testing.M) {
	if args := strings.Fields(os.Getenv(memberEnv)); len(args) == 3 {
		if err := runTestMember(args[0], args[1], args[2]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// runTestMember runs a member until SIGTERM.
func runTestMember(path, numberText, modeText string) error {
	number, err := strconv.ParseUint(numberText, 10, 64)
	if err != nil {
		return err
	}
	mode, err := strconv.Atoi(modeText)
	if err != nil {
		return err
	}
	config, err := LoadConfig(path)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	member, err := Open(ctx, config, number, StartMode(mode), slog.New(slog.NewTextHandler(os.Stderr, nil)))
	if err != nil {
		return err
	}
	return member.Run(ctx)
}

// usedIPs counts the loopback addresses in use. Each cluster has its own loopback address.
var usedIPs atomic.Int32

// testCluster is a cluster whose members are processes of the test binary.
type testCluster struct {
	t         testing.TB
	path      string
	config    *Config
	processes map[int]*exec.Cmd // running, by member number
}

// newTestCluster writes the configuration file of a cluster of n members. It starts no member,
// so that a test can let some of the members join later.
func newTestCluster(tb testing.TB, dir string, n int) *testCluster {
	tb.Helper()
	tc := &testCluster{t: tb, path: filepath.Join(dir, "council.toml"), processes: map[int]*exec.Cmd{}}
	var text strings.Builder
	text.WriteString("name = \"test\"\ndirectory = \"state\"\ntick = \"20ms\"\nlease = \"1s\"\nmargin = \"100ms\"\n")
	ip := fmt.Sprintf("127.%d.%d.%d", 60+os.Getpid()%40, 1+os.Getpid()/40%250, 1+usedIPs.Add(1))
	var listeners []net.Listener // kept open until every member has a port, so that the ports differ
	for i := 1; i <= n; i++ {
		listener, err := net.Listen("tcp", ip+":0")
		if err != nil {
			tb.Fatal(err)
		}
		listeners = append(listeners, listener)
		fmt.Fprintf(&text, "[[member]]\nnumber = %d\naddress = %q\n", i, listener.Addr())
	}
	for _, listener := range listeners {
		listener.Close()
	}
	writeFile(tb, tc.path, []byte(text.String()))
	var err error
	if tc.config, err = LoadConfig(tc.path); err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() {
		for i := range tc.processes {
			tc.kill(i)
			if text, err := os.ReadFile(tc.log(i)); tb.Failed() {
				tb.Logf("member %d (%v): %s", i, err, text)
			}
		}
	})
	return tc
}

func writeFile(tb testing.TB, path string, data []byte) {
	tb.Helper()
	if err := os.WriteFile(path, data, 0o600); err != nil {
		tb.Fatal(err)
	}
}

func readFile(tb testing.TB, path string) []byte {
	tb.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		tb.Fatal(err)
	}
	return data
}

func (tc *testCluster) start(i int, mode StartMode) {
	tc.t.Helper()
	tc.startWithConfig(i, mode, tc.path)
}

func (tc *testCluster) startWithConfig(i int, mode StartMode, path string) {
	tc.t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), fmt.Sprintf("%s=%s %d %d", memberEnv, path, i, mode))
	out, err := os.OpenFile(tc.log(i), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		tc.t.Fatal(err)
	}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // the member must not outlive the test binary
	if err := errors.Join(cmd.Start(), out.Close()); err != nil {
		tc.t.Fatal(err)
	}
	tc.processes[i] = cmd
}

func (tc *testCluster) log(i int) string { return fmt.Sprintf("%s.%d.log", tc.path, i) }

// kill kills a member's process. It reports a test failure if the process has already ended
// with exit code 0.
func (tc *testCluster) kill(i int) {
	tc.t.Helper()
	cmd := tc.processes[i]
	if cmd == nil {
		return
	}
	delete(tc.processes, i)
	if err := cmd.Process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
		tc.t.Errorf("member %d: %v", i, err)
	}
	if err := cmd.Wait(); err == nil {
		tc.t.Errorf("member %d ended without a failure before it was killed", i)
	}
}

// signal sends a signal to a member's process.
func (tc *testCluster) signal(i int, s os.Signal) {
	tc.t.Helper()
	if err := tc.processes[i].Process.Signal(s); err != nil {
		tc.t.Fatal(err)
	}
}

// expectExit waits until a member's process ends. It checks that the exit code is 1 and that
// the process has printed the text want.
func (tc *testCluster) expectExit(i int, want string) {
	tc.t.Helper()
	cmd := tc.processes[i]
	delete(tc.processes, i)
	timer := time.AfterFunc(testTimeout, func() {
		if err := cmd.Process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
			tc.t.Errorf("member %d: %v", i, err)
		}
	})
	err := cmd.Wait()
	timer.Stop()
	text := readFile(tc.t, tc.log(i))
	var exit *exec.ExitError
	if !errors.As(err, &exit) || exit.ExitCode() != 1 || !strings.Contains(string(text), want) {
		tc.t.Errorf("member %d: %v, wanted exit code 1 with %q: %s", i, err, want, text)
	}
}

// do sends a request until a member handles it. It also retries a request whose outcome is
// unknown.
func (tc *testCluster) do(req client.Request) *client.Response {
	tc.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	c := client.NewClient("test", tc.config.Addresses())
	defer c.Close()
	for {
		resp, err := c.Do(ctx, req)
		if err == nil {
			return resp
		}
		if !errors.Is(err, client.ErrUnknownOutcome) || ctx.Err() != nil {
			tc.t.Fatalf("%+v: %v", req, err)
		}
	}
}

// call sends a request to one member.
func (tc *testCluster) call(i int, req client.Request) (*client.Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	return client.Call(ctx, http.DefaultClient, tc.config.memberAddresses()[uint64(i)], "test", req)
}

// leader waits until a member is the leader, and returns the number of that member. It ignores
// the member whose number is the parameter except.
func (tc *testCluster) leader(except int) int {
	tc.t.Helper()
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		for i := range tc.processes {
			if i == except {
				continue
			}
			if resp, err := tc.call(i, client.Request{Kind: client.ReadState}); err == nil && resp.Unavailable == "" {
				return i
			}
		}
	}
	tc.t.Fatal("no leader")
	return 0
}

// makeLeader makes each leader step down until the given member is the leader.
func (tc *testCluster) makeLeader(member int) {
	tc.t.Helper()
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		leader := tc.leader(0)
		if leader == member {
			return
		}
		if _, err := tc.call(leader, client.Request{Kind: client.StepDown}); err != nil {
			tc.t.Logf("member %d does not step down: %v", leader, err)
		}
	}
	tc.t.Fatalf("member %d does not become the leader", member)
}

// acknowledged returns the newest position that a member has sent to another member. The
// parameter to is the number of the receiving member.
func (tc *testCluster) acknowledged(to, member int) logPosition {
	tc.t.Helper()
	cluster, err := tc.call(to, client.Request{Kind: client.ReadState})
	if err != nil {
		tc.t.Fatal(err)
	}
	address := tc.config.memberAddresses()[uint64(to)]
	request, err := http.NewRequestWithContext(tc.t.Context(), http.MethodGet, fmt.Sprintf("http://%s%s?member=%d", address, acknowledgedPath, member), nil)
	if err != nil {
		tc.t.Fatal(err)
	}
	request.Header.Set(client.ClusterHeader, cluster.Cluster)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		tc.t.Fatal(err)
	}
	defer response.Body.Close()
	var position logPosition
	if err := json.NewDecoder(response.Body).Decode(&position); err != nil {
		tc.t.Fatalf("status %d: %v", response.StatusCode, err)
	}
	return position
}

// acquire acquires the lease as soon as it is free and returns the fencing token.
func (tc *testCluster) acquire(holder string) coordination.FencingToken {
	tc.t.Helper()
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if resp := tc.do(client.Request{Kind: client.AcquireLease, Subject: holder, Lease: "roll"}); resp.Lease != nil && resp.Lease.Holder == holder {
			return resp.Lease.Token
		}
	}
	tc.t.Fatalf("%s does not get the lease", holder)
	return 0
}

// Guards against a fencing token that is issued twice. The test kills and restarts all members,
// and later suspends the leader until it is replaced. It also checks that a member without a
// majority is unavailable.
func TestTokensAfterKillAndSuspension(t *testing.T) {
	t.Parallel()
	tc := newTestCluster(t, t.TempDir(), 3)
	for i := 1; i <= 3; i++ {
		tc.start(i, Bootstrap)
	}
	// Wait until the leader has the report of a host and the state has the version that member
	// 1 supports.
	for deadline := time.Now().Add(testTimeout); ; time.Sleep(10 * time.Millisecond) {
		tc.do(client.Request{Kind: client.ReportHost, Subject: "h1", Data: []byte(`{"up":3}`)})
		resp := tc.do(client.Request{Kind: client.ReadState})
		if resp.State.SupportedVersions[1] == coordination.StateVersion && string(resp.Reports["h1"].Data) == `{"up":3}` {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("supported versions %v, reports %v", resp.State.SupportedVersions, resp.Reports)
		}
	}
	// The lease is acquired right before the kill, since it expires after 1 s while there is a
	// leader.
	first := tc.acquire("h1")
	for i := 1; i <= 3; i++ {
		tc.kill(i)
	}
	tc.start(3, Resume)
	tc.start(1, Resume)
	if got := tc.do(client.Request{Kind: client.ReadState}).State.Leases["roll"]; got.Token != first || got.Holder != "h1" {
		t.Errorf("after the kill: %+v, wanted h1's %v", got, first)
	}
	tc.start(2, Resume)
	if resp := tc.do(client.Request{Kind: client.RenewLease, Lease: "roll", Token: first}); resp.Rejection != "" {
		t.Errorf("renewed: %s", resp.Rejection)
	}
	// The lease expires because it is not renewed. The next token must be greater.
	second := tc.acquire("h2")
	if second <= first {
		t.Errorf("token %v after %v", second, first)
	}
	old := tc.leader(0)
	tc.signal(old, syscall.SIGSTOP)
	tc.leader(old)
	if resp := tc.do(client.Request{Kind: client.WriteCheckpoint, Lease: "roll", Subject: "h1", Token: first, Data: []byte(`"late"`)}); resp.Rejection == "" {
		t.Error("the checkpoint of a former holder was accepted")
	}
	third := tc.acquire("h3")
	tc.signal(old, syscall.SIGCONT)
	// In the state of the old leader, h2 still holds the lease. The old leader must not confirm
	// a renewal by h2.
	if resp, err := tc.call(old, client.Request{Kind: client.RenewLease, Lease: "roll", Token: second}); err == nil && resp.Unavailable == "" && resp.Rejection == "" {
		t.Errorf("the old leader renewed token %v after %v was issued: %+v", second, third, resp)
	}
	// A member without a majority must become unavailable, and must not grant the lease.
	for i := 1; i <= 3; i++ {
		if i != old {
			tc.kill(i)
		}
	}
	for deadline := time.Now().Add(testTimeout); ; time.Sleep(10 * time.Millisecond) {
		resp, err := tc.call(old, client.Request{Kind: client.AcquireLease, Subject: "h4", Lease: "roll"})
		if err == nil && resp.Unavailable != "" && resp.Leader == "" && !resp.OutcomeUnknown {
			break
		}
		if err == nil && resp.Unavailable == "" && resp.Rejection == "" {
			t.Fatalf("a member without a majority granted the lease: %+v", resp)
		}
		if time.Now().After(deadline) {
			t.Fatalf("member without a majority: %+v %v, wanted it unavailable", resp, err)
		}
	}
}

// Checks that a member does not start if its file is missing, is an older copy, belongs to
// another member, is in use, or was written by a newer program. Bootstrap must not replace an
// existing file.
func TestRejectsWrongFile(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	tc := newTestCluster(t, dir, 3)
	tc.start(1, Resume)
	tc.expectExit(1, "found no state, wanted member 1's")
	for i := 1; i <= 3; i++ {
		tc.start(i, Bootstrap)
	}
	tc.acquire("h1")
	// Member 2 must not start with an older copy of its file.
	tc.kill(2)
	own := storagePath(tc.config.memberDirectory(2))
	older := readFile(t, own)
	tc.start(2, Resume)
	tc.makeLeader(1) // TestOlderFileOfLeader covers an older file of the leader
	before := tc.acknowledged(1, 2)
	second := tc.acquire("h2")
	for deadline := time.Now().Add(testTimeout); ; time.Sleep(10 * time.Millisecond) {
		resp, err := tc.call(2, client.Request{Kind: client.WatchLeases})
		if err == nil && resp.Holders["roll"].Token == second && tc.acknowledged(1, 2).after(before) {
			break
		}
		tc.makeLeader(1) // member 2 may have become the leader in the meantime
		if time.Now().After(deadline) {
			t.Fatal("member 2 did not apply and acknowledge the second token")
		}
	}
	tc.kill(2)
	current := readFile(t, own)
	writeFile(t, own, older)
	tc.start(2, Resume)
	tc.expectExit(2, ErrStaleDisk.Error())
	// Member 2 must not start with the file of member 3, or with a file that another process
	// has open.
	text := readFile(t, storagePath(tc.config.memberDirectory(3)))
	tc.kill(3)
	writeFile(t, own, text)
	tc.start(2, Resume)
	tc.expectExit(2, "found the state of member 3, wanted member 2's")
	writeFile(t, own, current)
	tc.start(2, Resume)
	tc.leader(0)
	cmd := tc.processes[2]
	tc.start(2, Resume)
	tc.expectExit(2, errDirectoryInUse.Error())
	tc.processes[2] = cmd
	// Member 2 must not start with a file of a newer format. Bootstrap must not replace the
	// existing file of member 1.
	tc.kill(2)
	db, err := bolt.Open(own, 0o600, nil)
	if err != nil {
		t.Fatal(err)
	}
	err = db.Update(func(tx *bolt.Tx) error { return tx.Bucket(bucketMeta).Put(keyFormat, encodeUint64(formatVersion+1)) })
	if err := errors.Join(err, db.Close()); err != nil {
		t.Fatal(err)
	}
	tc.start(2, Resume)
	tc.expectExit(2, "a newer program wrote it")
	tc.start(1, Bootstrap)
	tc.expectExit(1, errStateExists.Error())
}

// Guards against a former leader that starts with an older copy of its file. As the leader, it
// has sent no acknowledgements to other members. An entry may nevertheless be committed after
// only the leader and one other member have stored it. If the leader lost this entry, a
// majority could elect a leader that lacks the entry.
func TestOlderFileOfLeader(t *testing.T) {
	t.Parallel()
	tc := newTestCluster(t, t.TempDir(), 3)
	for i := 1; i <= 3; i++ {
		tc.start(i, Bootstrap)
	}
	tc.acquire("h1")
	tc.makeLeader(2)
	own := storagePath(tc.config.memberDirectory(2))
	tc.signal(2, syscall.SIGSTOP) // suspended, so that the copy is consistent
	older := readFile(t, own)
	tc.signal(2, syscall.SIGCONT)
	tc.acquire("h2")
	tc.kill(2)
	writeFile(t, own, older)
	tc.start(2, Resume)
	tc.expectExit(2, ErrStaleDisk.Error())
}

// awaitPosition waits until one member has received a position of another member that is newer
// than the position before. The parameter to is the number of the receiving member.
func (tc *testCluster) awaitPosition(to, member int, before logPosition) {
	tc.t.Helper()
	for deadline := time.Now().Add(testTimeout); !tc.acknowledged(to, member).after(before); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			tc.t.Fatalf("member %d has position %+v of member %d, wanted one after %+v", to, tc.acknowledged(to, member), member, before)
		}
	}
}

// copyStateFile returns a consistent copy of a member's file and the position of that copy.
func (tc *testCluster) copyStateFile(member int) ([]byte, logPosition) {
	tc.t.Helper()
	tc.signal(member, syscall.SIGSTOP) // suspended, so that the copy is consistent
	defer tc.signal(member, syscall.SIGCONT)
	older := readFile(tc.t, storagePath(tc.config.memberDirectory(uint64(member))))
	directory := tc.config.memberDirectory(uint64(member)) + "-copy"
	if err := os.MkdirAll(directory, 0o700); err != nil {
		tc.t.Fatal(err)
	}
	writeFile(tc.t, storagePath(directory), older)
	file, stored, err := openStorage(directory, "test", uint64(member))
	if err != nil {
		tc.t.Fatal(err)
	}
	if err := file.db.Close(); err != nil {
		tc.t.Fatal(err)
	}
	return older, storedPosition(stored)
}

// Guards against a member that starts with an older file while the leader is down. Only member
// 3 responds to the starting member 2. Member 3 has never been the leader, so member 2 has sent
// it no acknowledgements, and it can know the position of member 2 only from announcements.
// Since member 3 is restarted too, it must have stored this position in its file.
func TestOlderFileWithoutLeader(t *testing.T) {
	t.Parallel()
	tc := newTestCluster(t, t.TempDir(), 3)
	for i := 1; i <= 3; i++ {
		tc.start(i, Bootstrap)
	}
	tc.acquire("h1")
	tc.makeLeader(1)
	older, position := tc.copyStateFile(2)
	tc.acquire("h2")
	tc.makeLeader(1)
	tc.awaitPosition(3, 2, position)
	// This acquisition causes a write by member 3, which also stores the position of member 2.
	tc.acquire("h3")
	time.Sleep(2 * positionSaveTicks * tc.config.Tick)
	tc.kill(1)
	tc.kill(2)
	tc.kill(3)
	tc.start(3, Resume)
	writeFile(t, storagePath(tc.config.memberDirectory(2)), older)
	tc.start(2, Resume)
	tc.expectExit(2, ErrStaleDisk.Error())
}

// Checks that two clusters with the same name reject each other's calls.
func TestClustersWithSameName(t *testing.T) {
	t.Parallel()
	clusterA, clusterB := newTestCluster(t, t.TempDir(), 3), newTestCluster(t, t.TempDir(), 3)
	// In the file of the second cluster, the third member gets the address of a member of the
	// first cluster.
	text := readFile(t, clusterB.path)
	writeFile(t, clusterB.path, []byte(strings.Replace(string(text), clusterB.config.Members[2].Address, clusterA.config.Members[0].Address, 1)))
	var err error
	if clusterB.config, err = LoadConfig(clusterB.path); err != nil {
		t.Fatal(err)
	}
	for i := 1; i <= 3; i++ {
		clusterA.start(i, Bootstrap)
	}
	clusterB.start(1, Bootstrap)
	clusterB.start(2, Bootstrap)
	first := clusterA.acquire("h1")
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	// The first cluster must respond to a client that sends only the cluster's name.
	c := client.NewClient("test", clusterA.config.Addresses())
	defer c.Close()
	if _, err := c.Do(ctx, client.Request{Kind: client.ReadState}); err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(testTimeout); ; time.Sleep(10 * time.Millisecond) {
		resp, err := clusterA.call(1, client.Request{Kind: client.WatchLeases})
		if err == nil && resp.WrongClusterCalls > 0 && resp.Holders["roll"].Token == first {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("the first cluster has not rejected a call of the second: %+v %v", resp, err)
		}
	}
	if resp, err := clusterB.call(1, client.Request{Kind: client.WatchLeases}); err != nil || len(resp.Holders) != 0 {
		t.Errorf("second cluster: %+v (%v), wanted no lease holders", resp, err)
	}
}

// Checks a cluster of three members that grows to five members, continues after two members
// have failed, and removes one of the failed members. A member number must not be used twice.
func TestMembershipChanges(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	tc := newTestCluster(t, dir, 5)
	all := tc.config.Members
	text := readFile(t, tc.path)
	fourth := strings.Index(string(text), "[[member]]\nnumber = 4")
	three := filepath.Join(dir, "three.toml")
	writeFile(t, three, text[:fourth])
	for i := 1; i <= 3; i++ {
		tc.startWithConfig(i, Bootstrap, three)
	}
	first := tc.acquire("h1")
	voters := func(want string) {
		t.Helper()
		got := ""
		for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
			resp := tc.do(client.Request{Kind: client.ReadState})
			if got = fmt.Sprint(resp.Voters, resp.Learners); got == want {
				return
			}
		}
		t.Fatalf("members %s, wanted %s", got, want)
	}
	for i := 4; i <= 5; i++ {
		for deadline := time.Now().Add(testTimeout); ; time.Sleep(20 * time.Millisecond) {
			resp, err := tc.tryDo(client.Request{Kind: client.AddMember, Member: uint64(i), Address: all[i-1].Address})
			if err == nil && resp.Rejection == "" || resp != nil && strings.Contains(resp.Rejection, "used before") {
				break
			}
			if time.Now().After(deadline) {
				t.Fatalf("member %d is not added: %+v %v", i, resp, err)
			}
		}
		tc.start(i, Join)
		want := []string{"[1 2 3 4] []", "[1 2 3 4 5] []"}[i-4]
		voters(want)
	}
	if resp, err := tc.tryDo(client.Request{Kind: client.AddMember, Member: 4, Address: all[3].Address}); err != nil || !strings.Contains(resp.Rejection, "used before") {
		t.Errorf("added number 4 a second time: %+v %v", resp, err)
	}
	// Two of the five members fail. The other three must continue.
	tc.kill(1)
	tc.kill(2)
	second := tc.acquire("h2")
	if second <= first {
		t.Errorf("token %v after %v", second, first)
	}
	if resp, err := tc.tryDo(client.Request{Kind: client.RemoveMember, Member: 1}); err != nil || resp.Rejection != "" {
		t.Errorf("remove: %+v %v", resp, err)
	}
	voters("[2 3 4 5] []")
}

// tryDo sends a request with a timeout of 5 s.
func (tc *testCluster) tryDo(req client.Request) (*client.Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	c := client.NewClient("test", tc.config.Addresses())
	defer c.Close()
	return c.Do(ctx, req)
}

// Checks a cluster that has lost its majority and is restored from a snapshot in a new token
// space. The restored cluster must only issue tokens that are greater than all tokens issued
// before the restore.
func TestRestore(t *testing.T) {
	t.Parallel()
	tc := newTestCluster(t, t.TempDir(), 3)
	for i := 1; i <= 3; i++ {
		tc.start(i, Bootstrap)
	}
	tc.acquire("h1")
	snapshot, err := FetchSnapshot(t.Context(), tc.config)
	if err != nil {
		t.Fatal(err)
	}
	// This token is issued after the snapshot was taken.
	last := tc.acquire("h2")
	for i := 1; i <= 3; i++ {
		tc.kill(i)
	}
	if _, err := Restore(tc.config, 2, snapshot, 2, false); !errors.Is(err, ErrOlderSnapshot) {
		t.Errorf("restored an older snapshot: %v", err)
	}
	if _, err := Restore(tc.config, 2, snapshot, 1, true); err == nil || !strings.Contains(err.Error(), "wanted more than the snapshot's 1") {
		t.Errorf("restored into the snapshot's own token space: %v", err)
	}
	if _, err := Restore(tc.config, 2, snapshot[:len(snapshot)-1], 2, true); err == nil {
		t.Error("restored a truncated snapshot")
	}
	if _, err := Restore(tc.config, 2, snapshot, 2, true); err != nil {
		t.Fatal(err)
	}
	tc.start(2, Resume)
	tc.start(1, Resume) // member 1 still has the cluster ID from before the restore
	next := tc.acquire("h3")
	if next <= last || next.Space() != 2 {
		t.Errorf("token %v after %v", next, last)
	}
	if resp, err := tc.call(1, client.Request{Kind: client.AcquireLease, Subject: "h4", Lease: "roll"}); err == nil && resp.Unavailable == "" {
		t.Errorf("a member from before the restore granted the lease: %+v", resp)
	}
}

func TestInvalidConfigs(t *testing.T) {
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
		head + one + member(2, "127.0.0.1:1") + member(3, "127.0.0.1:3"): "127.0.0.1:1 for members 1 and 2, wanted a different address for each member",
		head + one + member(1, "127.0.0.1:2") + member(3, "127.0.0.1:3"): "member.number: found 1 for 127.0.0.1:2",
		head + member(1, "here"):                         "found \"here\", wanted an IP address and a port",
		head + "lease = \"2s\"\nmargin = \"3s\"\n" + one: "lease: found 2s, wanted more than the margin (3s)",
		head + "lease = \"1s\"\n" + one:                  "lease: found 1s, wanted at least 2s (two election timeouts)",
		"name = \"a b\"\ndirectory = \"d\"\n" + one:      "name: found \"a b\"",
		head + "leese = \"1s\"\n" + one:                  "leese",
	} {
		path := filepath.Join(dir, "c.toml")
		writeFile(t, path, []byte(text))
		if _, err := LoadConfig(path); err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v, wanted %q in one line", text, err, want)
		}
	}
}
