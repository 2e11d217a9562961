package entrypoint_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"otterspring/internal/fleet/configuration"
	"otterspring/internal/lab/rig"
)

// relay is a stand-in that holds one version and counts the snapshots it is asked for.
type relay struct {
	*httptest.Server
	mu        sync.Mutex
	snapshots int
}

var relayVersion = configuration.NewVersion(3, 14)

func startRelay(t *testing.T) *relay {
	t.Helper()
	r := &relay{}
	r.Server = httptest.NewServer(http.HandlerFunc(r.serve))
	t.Cleanup(func() {
		r.CloseClientConnections()
		r.Close()
	})
	return r
}

func (r *relay) serve(w http.ResponseWriter, request *http.Request) {
	var poll configuration.Poll
	if err := json.NewDecoder(request.Body).Decode(&poll); err != nil || poll.Validate() != nil || poll.Subscriber == "" {
		http.Error(w, "bad poll", http.StatusBadRequest)
		return
	}
	update := configuration.Update{From: poll.Version, Version: relayVersion}
	if poll.Version == 0 {
		r.mu.Lock()
		r.snapshots++
		r.mu.Unlock()
		update.Resources = []configuration.Resource{{Service: "orders", Version: relayVersion, Settings: json.RawMessage(`{"tenants":[]}`)}}
	} else {
		time.Sleep(time.Duration(poll.WaitMS) * time.Millisecond)
	}
	_ = json.NewEncoder(w).Encode(configuration.PollResponse{Region: "north", Update: &update}) // fails where the subscriber has disconnected
}

func (r *relay) asked() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.snapshots
}

// upNow returns which process says that it is up, and its configuration's version.
func upNow(addr string) (pid, version string) {
	r, err := noKeep.Get("http://" + addr + "/up")
	if err != nil {
		return "", ""
	}
	r.Body.Close()
	return r.Header.Get("X-Pid"), r.Header.Get("X-Configuration")
}

func wait(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not so after %v", what, patience)
		}
	}
}

// The section takes force at a start and stays as it is over a reload; the process
// that takes over asks for a snapshot of its own.
func TestConfigurationOverReloadAndHandOver(t *testing.T) {
	t.Parallel()
	r, other := startRelay(t), startRelay(t)
	dir := t.TempDir()
	section := fmt.Sprintf("[handover]\nsocket = %q\nready_within = \"20s\"\n[configuration]\nregion = \"north\"\nrelays = [%q, %q]\nservices = [\"orders\"]\n",
		filepath.Join(dir, "h.sock"), r.Listener.Addr().String(), other.Listener.Addr().String())
	w := world(t, func(o *rig.Options) {
		o.Dir = dir
		o.Operator = func(int, string) string { return section }
	})
	during(t, w, 40, 3*time.Second, func(in *rig.Instance) {
		holds := func() bool { _, version := upNow(in.Addr); return version == relayVersion.String() }
		wait(t, "the relay's version at /up", holds)
		if n := r.asked(); n != 1 {
			t.Errorf("snapshots: found %d asked for, wanted 1", n)
		}
		file := filepath.Join(dir, "n1.toml")
		if err := os.WriteFile(file, []byte(strings.Replace(section, "orders", "stock", 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		old := in.Pids()[0]
		if err := syscall.Kill(old, syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		wait(t, "the reload says what waits", func() bool {
			said := in.Tail()
			return strings.Contains(said, "operator file changed; keys take effect at the next start") && strings.Contains(said, "keys=configuration")
		})
		if n := r.asked(); n != 1 || !holds() {
			t.Errorf("after a reload: found %d snapshots asked for, wanted 1 and the version as it was", n)
		}
		if err := in.HandOver(ctx(t)); err != nil {
			t.Error(err)
		}
		wait(t, "the new process has the relay's version", func() bool {
			pid, version := upNow(in.Addr)
			return pid != fmt.Sprint(old) && version == relayVersion.String()
		})
		if n := r.asked(); n != 2 {
			t.Errorf("snapshots: found %d asked for after the hand-over, wanted 2", n)
		}
	})
}
