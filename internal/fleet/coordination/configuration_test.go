package coordination

import (
	"encoding/json"
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.etcd.io/raft/v3/raftpb"

	"otterspring/internal/fleet/configuration"
)

// settingsOf returns settings of about a number of bytes.
func settingsOf(bytes int) json.RawMessage {
	var b strings.Builder
	b.WriteString(`{"tenants":[`)
	for i := 0; b.Len() < bytes-80; i++ {
		if i > 0 {
			b.WriteString(",")
		}
		fmt.Fprintf(&b, `{"name":"tenant-%04d-%s","quota-per-s":%d}`, i, strings.Repeat("x", 30), 100+i)
	}
	b.WriteString(`]}`)
	return json.RawMessage(b.String())
}

func create(id, service string, settings json.RawMessage) configuration.Change {
	var none configuration.Version
	return configuration.Change{ID: id, Service: service, IfVersion: &none, Settings: settings}
}

// configured applies a change, which has to be one that a council may agree on.
func configured(t testing.TB, s *State, change configuration.Change) Result {
	t.Helper()
	command, err := NewConfigurationChange(change)
	if err != nil {
		t.Fatal(err)
	}
	return s.Apply(command)
}

// A change gets a version; one that is sent again gets the same; what is refused
// changes nothing, and says whether it was for its version.
func TestConfigure(t *testing.T) {
	s := NewState("x")
	first := configured(t, s, create("a", "mail", json.RawMessage(`{}`)))
	if first.Rejection != "" || first.Version != configuration.NewVersion(1, 1) {
		t.Fatalf("first change: %+v, wanted version 1.1", first)
	}
	if s.Version != configureVersion {
		t.Errorf("state of version %d, wanted %d: an older program would lose the configuration", s.Version, configureVersion)
	}
	change := configuration.Change{ID: "b", Service: "mail", IfVersion: &first.Version, Settings: json.RawMessage(`{"tenants":[]}`)}
	second := configured(t, s, change)
	if second.Rejection != "" || second.Version <= first.Version {
		t.Fatalf("second change: %+v", second)
	}
	if again := configured(t, s, change); again.Version != second.Version || again.Rejection != "" {
		t.Errorf("the same change again: %+v, wanted version %v", again, second.Version)
	}
	before, _ := json.Marshal(s)
	conflicting := change
	conflicting.ID = "c"
	for _, test := range []struct {
		change   configuration.Change
		conflict bool
	}{
		{conflicting, true},
		{create("d", "mail", json.RawMessage(`{}`)), true},
		{configuration.Change{ID: "e", Service: "post", Settings: json.RawMessage(`{}`)}, false},
	} {
		command, err := NewConfigurationChange(test.change)
		if err != nil {
			t.Fatal(err)
		}
		if tried := s.DryRunConfigurationChange(command); tried.Rejection == "" || tried.Conflict != test.conflict {
			t.Errorf("%s tried: %+v, wanted a refusal with conflict %v", test.change.ID, tried, test.conflict)
		}
		if r := s.Apply(command); r.Rejection == "" || r.Conflict != test.conflict || strings.Contains(r.Rejection, "\n") {
			t.Errorf("%s: %+v, wanted a refusal with conflict %v", test.change.ID, r, test.conflict)
		}
	}
	good, _ := NewConfigurationChange(configuration.Change{ID: "f", Service: "mail", Settings: json.RawMessage(`{}`)})
	if tried := s.DryRunConfigurationChange(good); tried.Rejection != "" {
		t.Errorf("tried: %+v", tried)
	}
	good.Version = 1
	if r := s.Apply(good); r.Rejection == "" {
		t.Error("a command of version 1 was taken, which members of version 1 refuse")
	}
	if after, _ := json.Marshal(s); string(after) != string(before) {
		t.Errorf("what was refused or tried changed the state:\n%s\n%s", before, after)
	}
}

// What no council may agree on is not proposed. Bounds hold for the encoded form.
func TestNewConfigureRefuses(t *testing.T) {
	var wide strings.Builder
	for i := range 100 { // 3.9 KB as it stands, and five times that encoded
		if i > 0 {
			wide.WriteString(",")
		}
		fmt.Fprintf(&wide, `{"name":"%02d%s"}`, i, strings.Repeat("<", 25))
	}
	for name, settings := range map[string]string{
		"unknown key":          `{"tennants":[]}`,
		"share below zero":     `{"tenants":[{"name":"a","quota-per-s":-1}]}`,
		"wants a roll":         `{"limits":{}}`,
		"over the bound":       string(settingsOf(configuration.MaxSettingsBytes + 200)),
		"over it when encoded": `{"tenants":[` + wide.String() + `]}`,
		"blanks over it":       `{"tenants":[]` + strings.Repeat(" ", configuration.MaxSettingsBytes) + `}`,
		"no object":            `[]`,
		"no JSON":              `{`,
	} {
		if c, err := NewConfigurationChange(create("a", "mail", json.RawMessage(settings))); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: command %+v, error %v, wanted one line", name, c, err)
		}
	}
	if _, err := NewConfigurationChange(create("", "mail", json.RawMessage(`{}`))); err == nil {
		t.Error("a change without an id was taken")
	}
}

// A council of one member of version 1 beside others of version 2: a change is held
// back, and nothing is agreed on, until that one can apply it.
func TestConfigureIsHeldBack(t *testing.T) {
	disk, err := BootstrapState("x", map[uint64]string{1: "a"})
	if err != nil {
		t.Fatal(err)
	}
	m, err := NewMember(1, disk, 30)
	if err != nil {
		t.Fatal(err)
	}
	command, err := NewConfigurationChange(create("a", "mail", json.RawMessage(`{}`)))
	if err != nil {
		t.Fatal(err)
	}
	var early Result
	var earlyErr error
	m.Propose(command, func(r Result, err error) { early, earlyErr = r, err })
	if _, is := earlyErr.(NotLeaderError); !is {
		t.Errorf("before it leads: %+v, %v, wanted that another is asked", early, earlyErr)
	}
	until(t, m, m.IsLeader)
	for _, version := range []FencingToken{1, 2} {
		told := false
		m.Propose(Command{Kind: AdvertiseVersion, Member: 1, Token: version}, func(Result, error) { told = true })
		until(t, m, func() bool { return told })
		_, _, before := m.Status()
		var result *Result
		m.Propose(command, func(r Result, err error) {
			if err != nil {
				t.Errorf("version %d: %v", version, err)
			}
			result = &r
		})
		until(t, m, func() bool { return result != nil })
		_, _, after := m.Status()
		if held := strings.Contains(result.Rejection, "held back"); held != (version == 1) || held != (after == before) {
			t.Errorf("members of version %d: %+v, entries %d after %d", version, *result, after, before)
		}
	}
	if m.State().ConfigurationStore().Resources["mail"] == nil {
		t.Error("nothing was agreed on")
	}
}

// validUntil runs a member alone.
func until(t testing.TB, m *Member, done func() bool) {
	t.Helper()
	for range 200 {
		for _, ok := m.Ready(); ok; _, ok = m.Ready() {
			if err := m.Advance(); err != nil {
				t.Fatal(err)
			}
		}
		if done() {
			return
		}
		m.Tick()
	}
	t.Fatal("nothing came of it within 200 ticks")
}

// A snapshot of version 1 is read and has no configuration; one with a
// configuration comes back whole, and is of version 2.
func TestConfigurationInSnapshots(t *testing.T) {
	old := []byte(`{"version":1,"council":"x","count":7,"space":1,"duties":{},"orders":null,"facts":{},"able":{},"members":{"1":"a"}}`)
	s, err := DecodeSnapshot(seal(old))
	if err != nil {
		t.Fatal(err)
	}
	if s.Configuration != nil || s.ConfigurationStore().Version != 0 || s.LogicalClock != 7 {
		t.Errorf("from version 1: %+v", s)
	}
	configured(t, s, create("a", "mail", json.RawMessage(`{"classes":[{"name":"<fast>","worth":2}]}`)))
	data, err := EncodeSnapshot(s)
	if err != nil {
		t.Fatal(err)
	}
	back, err := DecodeSnapshot(data)
	if err != nil {
		t.Fatal(err)
	}
	again, err := EncodeSnapshot(back)
	if err != nil || string(again) != string(data) || back.ConfigurationStore().Resources["mail"] == nil || back.Version != 2 {
		t.Errorf("back: %+v, %v", back, err)
	}
	if c := s.WithoutConfiguration(); c.Configuration != nil || c.LogicalClock != 7 {
		t.Errorf("without the configuration: %+v", c)
	}
	if s.Configuration == nil {
		t.Error("the copy took the configuration out of the state")
	}
}

// A council that was restored from an older snapshot: every version that it gives
// out is newer than all of before, also where the snapshot holds no configuration.
func TestConfigurationAfterRestore(t *testing.T) {
	for _, services := range []int{0, 3} {
		s := NewState("x")
		for i := range services {
			configured(t, s, create(fmt.Sprint("id", i), fmt.Sprint("service", i), json.RawMessage(`{}`)))
		}
		data, err := EncodeSnapshot(s)
		if err != nil {
			t.Fatal(err)
		}
		var lost configuration.Version // given out after the snapshot
		for i := range 5 {
			lost = configured(t, s, create(fmt.Sprint("late", i), fmt.Sprint("late", i), json.RawMessage(`{}`))).Version
		}
		disk, err := RestoredState(&raftpb.Snapshot{Data: data}, 1, "a", 2)
		if err != nil {
			t.Fatal(err)
		}
		restored, err := DecodeSnapshot(disk.Snapshot.GetData())
		if err != nil {
			t.Fatal(err)
		}
		store := restored.ConfigurationStore()
		if store.Version <= lost || len(store.Resources) != services {
			t.Errorf("%d services: version %v after %v, %d services", services, store.Version, lost, len(store.Resources))
		}
		for name, resource := range store.Resources {
			if resource.Version <= lost {
				t.Errorf("%s: version %v, wanted one newer than %v", name, resource.Version, lost)
			}
		}
		if update := store.UpdateSince(lost); !update.IsSnapshot() || len(update.Resources) != services {
			t.Errorf("since %v: %+v, wanted a snapshot", lost, update)
		}
	}
}

// A receiver that has heard of a newer epoch space raises the versions with it. One
// that raises an epoch within the space does not, and a state that has no
// configuration gets none: members of version 1 come to the same.
func TestRaiseBeginsASpace(t *testing.T) {
	s := NewState("x")
	s.Apply(Command{Kind: AdvanceToken, Lease: duty, Token: 2<<32 + 1})
	if s.Configuration != nil || s.Version != 1 || s.TokenSpace != 2 {
		t.Errorf("without a configuration: %+v", s)
	}
	first := configured(t, s, create("a", "mail", json.RawMessage(`{}`))).Version
	s.Apply(Command{Kind: AdvanceToken, Lease: duty, Token: 2<<32 + 9})
	if got := s.ConfigurationStore().Version; got != first || first.TokenSpace() != 2 {
		t.Errorf("after a raise within the space: version %v, wanted %v", got, first)
	}
	s.Apply(Command{Kind: AdvanceToken, Lease: duty, Token: 7<<32 + 9})
	if got := s.ConfigurationStore().Resources["mail"].Version; got.TokenSpace() != 7 {
		t.Errorf("after a raise of the space: version %v, wanted one of space 7", got)
	}
}

// A state in which every bound is reached at once, with names that take most bytes
// when encoded, fits into a snapshot: a member that can't seal its state ends.
func TestLargestSnapshot(t *testing.T) {
	s := NewState("x")
	wide := func(i int) string { return fmt.Sprintf("%04d%s", i, strings.Repeat("<", MaxNameBytes-4)) }
	blob := func(size int) json.RawMessage {
		return json.RawMessage(`"` + strings.Repeat("x", size-2) + `"`)
	}
	taken := func(r Result) {
		t.Helper()
		if r.Rejection != "" {
			t.Fatal(r.Rejection)
		}
	}
	for i := range MaxHosts {
		taken(s.Apply(Command{Kind: SetHostStatus, Subject: wide(i), Data: blob(MaxHostStatusBytes)}))
	}
	for i := range MaxLeases {
		r := s.Apply(Command{Kind: AcquireLease, Subject: wide(i), Lease: wide(i)})
		taken(r)
		taken(s.Apply(Command{Kind: WriteCheckpoint, Subject: wide(i), Lease: wide(i), Token: r.Lease.Token, Data: blob(MaxCheckpointBytes)}))
		for k := range MaxOperations / MaxLeases {
			id := wide(i*100 + k)
			taken(s.Apply(Command{Kind: RequestOperation, OperationID: id, Lease: wide(i), Data: blob(MaxCheckpointBytes)}))
			taken(s.Apply(Command{Kind: CompleteOperation, OperationID: id, Subject: wide(i), Lease: wide(i), Token: r.Lease.Token, Data: blob(MaxCheckpointBytes)}))
		}
	}
	for i := range configuration.MaxServices {
		taken(configured(t, s, create(wide(i), wide(i), json.RawMessage(`{}`))))
	}
	const remembered = 4096
	settings := settingsOf(configuration.MaxTotalSettingsBytes / configuration.MaxServices)
	for i := range remembered {
		change := configuration.Change{ID: wide(1000 + i), Service: wide(i % configuration.MaxServices), Settings: json.RawMessage(`{}`)}
		if i >= remembered-configuration.MaxServices { // large ones take their time
			change.Settings = settings
		}
		if _, err := s.Configuration.Apply(s.TokenSpace, change); err != nil {
			t.Fatal(err)
		}
	}
	if n := len(s.Configuration.RecentChanges); n != remembered {
		t.Errorf("%d changes are remembered, wanted %d", n, remembered)
	}
	total := 0
	for _, resource := range s.Configuration.Resources {
		total += len(resource.Settings)
	}
	if total < configuration.MaxTotalSettingsBytes*95/100 {
		t.Errorf("%d bytes of settings, wanted about %d", total, configuration.MaxTotalSettingsBytes)
	}
	data, err := EncodeSnapshot(s)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("snapshot: %d bytes of %d", len(data), MaxSnapshotBytes)
}

// BenchmarkConfigure is the processor time of one agreed change of one of 360
// services, BenchmarkTryConfigure that of the leader's look before it proposes it,
// BenchmarkSeal that of a snapshot.
func BenchmarkConfigure(b *testing.B) {
	for _, size := range sizes {
		s := stateOf(b, 360, size)
		b.Run(fmt.Sprint("bytes=", size), func(b *testing.B) {
			commands := make([]Command, 360)
			for i := range commands {
				commands[i], _ = NewConfigurationChange(configuration.Change{ID: "x", Service: service(i), Settings: settingsOf(size)})
			}
			defer reportCPU(b)()
			for i := range b.N {
				command := commands[i%len(commands)]
				command.Data = []byte(strings.Replace(string(command.Data), `"id":"x"`, fmt.Sprintf(`"id":"%d"`, i), 1))
				if r := s.Apply(command); r.Rejection != "" {
					b.Fatal(r.Rejection)
				}
			}
		})
	}
}

func BenchmarkTryConfigure(b *testing.B) {
	s := stateOf(b, 360, 2<<10)
	command, _ := NewConfigurationChange(configuration.Change{ID: "new", Service: service(7), Settings: settingsOf(2 << 10)})
	defer reportCPU(b)()
	for b.Loop() {
		if r := s.DryRunConfigurationChange(command); r.Rejection != "" {
			b.Fatal(r.Rejection)
		}
	}
}

func BenchmarkSeal(b *testing.B) {
	for _, size := range sizes {
		s := stateOf(b, 360, size)
		b.Run(fmt.Sprint("bytes=", size), func(b *testing.B) {
			sealed := 0
			defer reportCPU(b)()
			for b.Loop() {
				data, err := EncodeSnapshot(s)
				if err != nil {
					b.Fatal(err)
				}
				sealed = len(data)
			}
			b.ReportMetric(float64(sealed), "bytes/snapshot")
		})
	}
}

// BenchmarkSince is the time of an answer to one that lacks one change, and to one
// that lacks all.
func BenchmarkSince(b *testing.B) {
	s := stateOf(b, 360, 2<<10)
	for name, from := range map[string]configuration.Version{"one": s.ConfigurationStore().Version - 1, "all": 0} {
		b.Run(name, func(b *testing.B) {
			defer reportCPU(b)()
			for b.Loop() {
				if update := s.ConfigurationStore().UpdateSince(from); len(update.Resources) == 0 {
					b.Fatal("found no news")
				}
			}
		})
	}
}

// reportCPU adds the processor time of an operation, which other processes on the
// machine lengthen less than the wall time.
func reportCPU(b *testing.B) func() {
	b.ResetTimer()
	start := processorTime()
	return func() { b.ReportMetric(float64(processorTime()-start)/float64(b.N), "cpu-ns/op") }
}

// processorTime is what the process has used so far.
func processorTime() time.Duration {
	var usage syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

var sizes = []int{1 << 10, 2 << 10, 4 << 10}

func service(i int) string { return fmt.Sprintf("service-%03d", i) }

// stateOf is a state with services that have settings of a size, and as many
// remembered changes as there may be.
func stateOf(b *testing.B, services, size int) *State {
	s := NewState("x")
	settings := settingsOf(size)
	for i := range services {
		configured(b, s, create(service(i), service(i), settings))
	}
	for i := range 4096 {
		configured(b, s, configuration.Change{ID: fmt.Sprintf("change-%016x", i), Service: service(i % services), Settings: settings})
	}
	return s
}
