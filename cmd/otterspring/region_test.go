package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"otterspring/internal/fleet/coordination"
	"otterspring/internal/fleet/coordination/client"
	"otterspring/internal/fleet/coordination/server"
	"otterspring/internal/inject"
	"otterspring/internal/testkit"
)

var testIPs atomic.Int32

// testRegion is a coordination cluster of three processes.
type testRegion struct {
	t        *testing.T
	folder   string
	ip       string
	path     string // of the cluster's file
	file     *server.Config
	members  map[int]*exec.Cmd
	assigned map[string]bool // addresses that freeAddress has returned
}

func newRegion(t *testing.T) *testRegion {
	t.Helper()
	r := &testRegion{t: t, folder: t.TempDir(), members: map[int]*exec.Cmd{}, assigned: map[string]bool{}}
	r.ip = fmt.Sprintf("127.%d.%d.%d", 110+os.Getpid()%40, 1+os.Getpid()/40%250, 1+testIPs.Add(1))
	r.path = filepath.Join(r.folder, "council.toml")
	text := "name = \"west\"\ndirectory = \"state\"\ntick = \"20ms\"\nlease = \"1s\"\nmargin = \"100ms\"\n"
	for i := 1; i <= 3; i++ {
		text += fmt.Sprintf("[[member]]\nnumber = %d\naddress = %q\n", i, r.freeAddress())
	}
	r.write(r.path, text)
	var err error
	if r.file, err = server.LoadConfig(r.path); err != nil {
		t.Fatal(err)
	}
	for i := 1; i <= 3; i++ {
		r.members[i] = r.start(fmt.Sprintf("member-%d", i), "council", "run", "-member", fmt.Sprint(i), "-new", r.path)
	}
	r.awaitSupport()
	return r
}

// freeAddress returns an address at which nobody listens, a different one each time.
func (r *testRegion) freeAddress() string {
	r.t.Helper()
	for {
		address := testkit.FreePort(r.t, r.ip)
		if !r.assigned[address] {
			r.assigned[address] = true
			return address
		}
	}
}

func (r *testRegion) write(path, text string) {
	r.t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		r.t.Fatal(err)
	}
}

// start runs otterspring as a process, whose faults are in the file of its role.
func (r *testRegion) start(role string, args ...string) *exec.Cmd {
	r.t.Helper()
	program, err := faultyProgram()
	if err != nil {
		r.t.Fatal(err)
	}
	log, err := os.Create(filepath.Join(r.folder, role+".log"))
	if err != nil {
		r.t.Fatal(err)
	}
	defer func() {
		if err := log.Close(); err != nil {
			r.t.Error(err)
		}
	}()
	process := exec.Command(program, args...)
	process.Env = append(os.Environ(), inject.Env+"="+r.folder, inject.Role+"="+role)
	process.Stdout, process.Stderr = log, log
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // a test that is killed leaves no process
	if err := process.Start(); err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() {
		killProcess(r.t, process)
		if r.t.Failed() {
			text, err := os.ReadFile(log.Name())
			r.t.Logf("%s: %s, %v", role, text, err)
		}
	})
	return process
}

// request sends a request to the cluster until there is a response.
func (r *testRegion) request(request client.Request) *client.Response {
	r.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), hangTimeout)
	defer cancel()
	response, err := requestConfiguration(ctx, r.file, request)
	if err != nil {
		r.t.Fatalf("%+v: %v", request, err)
	}
	return response
}

// awaitSupport waits until all members support changes of the configuration.
func (r *testRegion) awaitSupport() {
	r.t.Helper()
	for deadline := time.Now().Add(hangTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if r.request(client.Request{Kind: client.ReadState}).State.AllSupport(coordination.StateVersion, []uint64{1, 2, 3}) {
			return
		}
	}
	r.t.Fatal("not all members support changes")
}

// config runs a verb of `otterspring config` and returns its exit code and output.
func (r *testRegion) config(args ...string) (code int, out, errw string) {
	var stdout, stderr bytes.Buffer
	code = run(append([]string{"config", "-council", r.path}, args...), &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

// put changes a service and returns the new version.
func (r *testRegion) put(args ...string) string {
	r.t.Helper()
	code, out, errw := r.config(append([]string{"put", "-json"}, args...)...)
	var result putResult
	if err := json.Unmarshal([]byte(out), &result); code != exitDone || err != nil {
		r.t.Fatalf("put %v: exit code %d: %s%s", args, code, out, errw)
	}
	return result.Version
}

// settingsFile writes the settings of a service with one tenant.
func (r *testRegion) settingsFile(name, service, tenant string) string {
	path := filepath.Join(r.folder, name)
	r.write(path, fmt.Sprintf("service = %q\n[[tenant]]\nname = %q\nquota_per_s = 5\n", service, tenant))
	return path
}
