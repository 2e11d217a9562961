package relay

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"otterspring/internal/bootclock"
	"otterspring/internal/fleet/configuration"
	protocol "otterspring/internal/fleet/council"
	"otterspring/internal/fleet/council/ask"
	"otterspring/internal/fleet/council/node"
	proxy "otterspring/internal/lab/standin/relay"
)

// memberVariable names the file and the number of the council's member that this
// program is to be, in place of the tests.
const memberVariable = "TEST_RELAY_MEMBER"

func memberMain(words string) int {
	path, text, _ := strings.Cut(words, " ")
	number, err := strconv.ParseUint(text, 10, 64)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	var file *node.File
	if err == nil {
		file, err = node.LoadFile(path)
	}
	var member *node.Node
	if err == nil {
		member, err = node.Open(file, number, node.New, slog.New(slog.NewTextHandler(os.Stderr, nil)))
	}
	if err == nil {
		err = member.Run(ctx)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

// council is what relays follow in a test: a stand-in, or a real one.
type council interface {
	// members are the addresses that a relay is given.
	members() []string
	// put changes the settings of services and returns the version of the last.
	put(t testing.TB, settings string, services ...string) configuration.Version
}

// eachCouncil plays a test with a stand-in and with a council of three processes.
func eachCouncil(t *testing.T, play func(t *testing.T, c council)) {
	t.Parallel()
	t.Run("stand-in", func(t *testing.T) { t.Parallel(); play(t, newStandIn(t, "west#1")) })
	t.Run("members", func(t *testing.T) { t.Parallel(); play(t, startCouncil(t)) })
}

const councilMembers = 3

// realCouncil is one of processes.
type realCouncil struct {
	t         testing.TB
	addresses []string
	processes []*exec.Cmd
	client    *ask.Client
	created   map[string]bool
	lastID    int
}

// startCouncil starts the council west.
func startCouncil(t testing.TB) *realCouncil {
	t.Helper()
	c := &realCouncil{t: t, created: map[string]bool{}}
	path := filepath.Join(t.TempDir(), "council.toml")
	text := "name = \"west\"\ndirectory = \"state\"\ntick = \"50ms\"\nlease = \"2s\"\nmargin = \"100ms\"\n"
	for i := range councilMembers {
		c.addresses = append(c.addresses, freePort(t))
		text += fmt.Sprintf("[[member]]\nnumber = %d\naddress = %q\n", i+1, c.addresses[i])
	}
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	for i := range councilMembers {
		c.processes = append(c.processes, startChild(t, fmt.Sprintf("%s.%d.log", path, i+1), fmt.Sprintf("%s=%s %d", memberVariable, path, i+1)))
	}
	c.client = ask.NewClient("west", c.addresses)
	t.Cleanup(c.client.Close)
	await(t, "members that say what they can apply", func() bool {
		able := c.ask(ask.Question{Kind: ask.State}).State.Able
		for i := range councilMembers {
			if able[uint64(i+1)] < protocol.StateVersion {
				return false
			}
		}
		return true
	})
	return c
}

func (c *realCouncil) members() []string { return c.addresses }

// ask asks until there is an answer. A question of the same id is applied once.
func (c *realCouncil) ask(question ask.Question) *ask.Answer {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	for {
		answer, err := c.client.Do(ctx, question)
		if err == nil {
			return answer
		}
		if !errors.Is(err, ask.ErrUnknown) || ctx.Err() != nil {
			c.t.Fatalf("%s: %v", question.Kind, err)
		}
	}
}

func (c *realCouncil) put(t testing.TB, settings string, services ...string) configuration.Version {
	t.Helper()
	var version configuration.Version
	for _, service := range services {
		c.lastID++
		change := &configuration.Change{ID: fmt.Sprint("change-", c.lastID), Service: service, Settings: json.RawMessage(settings)}
		if !c.created[service] {
			change.IfVersion, c.created[service] = new(configuration.Version), true
		}
		answer := c.ask(ask.Question{Kind: ask.Configure, Change: change})
		if answer.Refused != "" || answer.Resource == nil {
			t.Fatalf("change of %s: %+v", service, answer)
		}
		version = answer.Resource.Version
	}
	return version
}

// leader is the index of the member that leads.
func (c *realCouncil) leader() int {
	c.t.Helper()
	answer := c.ask(ask.Question{Kind: ask.State})
	return int(answer.Member) - 1
}

// startChild starts this program as something else, which variable says.
func startChild(t testing.TB, log, variable string) *exec.Cmd {
	t.Helper()
	out, err := os.Create(log)
	if err != nil {
		t.Fatal(err)
	}
	defer out.Close()
	child := exec.Command(os.Args[0])
	child.Env = append(os.Environ(), variable)
	child.Stdout, child.Stderr = out, out
	child.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // a test that is ended leaves nobody
	if err := child.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		child.Process.Kill()
		child.Wait()
		if text, _ := os.ReadFile(log); t.Failed() {
			t.Logf("%s: %s", variable, text)
		}
	})
	return child
}

// ways are proxies between a relay and the members of a council.
type ways []*proxy.Relay

func startWays(t testing.TB, addresses []string) ways {
	t.Helper()
	var all ways
	for _, address := range addresses {
		way, err := proxy.Start(func() string { return address })
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(way.Close)
		all = append(all, way)
	}
	return all
}

func (w ways) addresses() (all []string) {
	for _, way := range w {
		all = append(all, way.Addr())
	}
	return all
}

// cut holds all that passes, or lets it pass again.
func (w ways) cut(t testing.TB, on bool) {
	t.Helper()
	for _, way := range w {
		if err := way.Cut(on, on); err != nil {
			t.Fatal(err)
		}
	}
}

// A relay that is cut from the council says how old it is, its subscribers move, and
// once the way is whole it catches up.
func TestCutFromCouncil(t *testing.T) {
	eachCouncil(t, func(t *testing.T, c council) {
		first := c.put(t, settingsA, "a")
		ways := startWays(t, c.members())
		near, far := startProcess(t, "", ways.addresses()...), startProcess(t, "", c.members()...)
		near.holds(first)
		far.holds(first)
		subscribers := startFleet(t, 8, near.address, far.address)
		subscribers.hold(t, first)
		ways.cut(t, true)
		cut := bootclock.Now()
		second := c.put(t, settingsB, "a")
		subscribers.hold(t, second)
		stale := configuration.DefaultSubscriberSettings(2).StaleAfter
		await(t, "an age at which subscribers move", func() bool {
			asked := bootclock.Now()
			info, _ := near.info()
			if least := (asked - cut).Milliseconds(); info.Version != first || info.AgeMS < least {
				t.Fatalf("the relay that is cut off holds %v, %d ms old, wanted %v and %d at least", info.Version, info.AgeMS, first, least)
			}
			return info.AgeMS > stale.Milliseconds()
		})
		ways.cut(t, false)
		near.holds(second)
		await(t, "an age that is small again", func() bool { info, _ := near.info(); return info.AgeMS < time.Second.Milliseconds() })
		third := c.put(t, settingsA, "a")
		subscribers.hold(t, third)
		subscribers.back(t)
		subscribers.neverBack(t)
	})
}

// The council's leader is killed: relays go on at the members that are left, and
// changes reach all subscribers.
func TestLeaderKilled(t *testing.T) {
	t.Parallel()
	c := startCouncil(t)
	first := c.put(t, settingsA, "a")
	near, far := startProcess(t, "", c.members()...), startProcess(t, "", c.members()...)
	near.holds(first)
	far.holds(first)
	subscribers := startFleet(t, 8, near.address, far.address)
	subscribers.hold(t, first)
	c.processes[c.leader()].Process.Kill()
	second := c.put(t, settingsB, "a")
	subscribers.hold(t, second)
	for _, r := range []*process{near, far} {
		await(t, "an age that is small again", func() bool { info, _ := r.info(); return info.AgeMS < time.Second.Milliseconds() })
	}
	subscribers.neverBack(t)
}
