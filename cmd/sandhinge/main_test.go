package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

const patience = 20 * time.Second

// TestMain runs the program itself where a test asks for it.
func TestMain(m *testing.M) {
	if os.Getenv("TEST_RUNS_PROGRAM") == "1" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// text is a configuration without upstreams.
func text(listen, discovery string) string {
	return fmt.Sprintf(`{"name":"n1","listen":%q,"discovery":%q,"seed":"7",
		"limits":{"cores":1,"memory_mb":64,"sockets":64},
		"settings":{"discovery":"subscribe","limits":{"try-limit":1,"conn-idle-us":5000000,"dial-timeout-us":100000},
		"rules":{"cold-from":0.5},"classes":[{"name":"read","deadline-us":1000000,"effect":"free"}]}}`, listen, discovery)
}

// program is the sidecar under test and what it says.
type program struct {
	cmd   *exec.Cmd
	path  string
	addr  string
	lines chan string
	ended chan error
}

func start(t *testing.T) *program {
	t.Helper()
	return startWith(t, func(s string) string { return s })
}

// startWith starts it with a configuration that was changed.
func startWith(t *testing.T, change func(string) string) *program {
	t.Helper()
	// The address of a listener that has gone is free for the program.
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &program{path: filepath.Join(t.TempDir(), "config.json"), addr: ln.Addr().String(), lines: make(chan string, 100), ended: make(chan error, 1)}
	ln.Close()
	p.write(t, change(text(p.addr, "127.0.0.1:1")))
	p.cmd = exec.Command(os.Args[0])
	p.cmd.Env = append(os.Environ(), "TEST_RUNS_PROGRAM=1", "RELAY_CONFIG="+p.path)
	out, err := p.cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.cmd.Process.Kill() })
	go func() {
		for sc := bufio.NewScanner(out); sc.Scan(); {
			if strings.Contains(sc.Text(), "reload") {
				p.lines <- sc.Text()
			}
		}
		p.ended <- p.cmd.Wait()
	}()
	p.wantUp(t)
	return p
}

func (p *program) write(t *testing.T, s string) {
	t.Helper()
	if err := os.WriteFile(p.path, []byte(s), 0o600); err != nil {
		t.Fatal(err)
	}
}

func (p *program) wantUp(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(patience); ; time.Sleep(10 * time.Millisecond) {
		if r, err := http.Get("http://" + p.addr + "/up"); err == nil {
			r.Body.Close()
			if r.StatusCode == 200 {
				return
			}
		}
		if time.Now().After(end) {
			t.Fatal("the program is not up")
		}
	}
}

// hangUp sends SIGHUP and returns the line that it leads to.
func (p *program) hangUp(t *testing.T) string {
	t.Helper()
	p.cmd.Process.Signal(syscall.SIGHUP)
	select {
	case line := <-p.lines:
		return line
	case <-p.ended:
		t.Fatal("the program ended on SIGHUP")
	case <-time.After(patience):
		t.Fatal("nothing was said of the reload")
	}
	return ""
}

func TestReloadKeepsTheOldOnABadFile(t *testing.T) {
	p := start(t)
	for _, bad := range []string{"", "{", text("nowhere", "127.0.0.1:2"), text(p.addr, "x")} {
		p.write(t, bad)
		if line := p.hangUp(t); !strings.Contains(line, "reload failed; configuration is unchanged") {
			t.Errorf("on %.20q: said %q", bad, line)
		}
	}
	p.write(t, text(p.addr, "127.0.0.1:3"))
	if line := p.hangUp(t); !strings.Contains(line, "discovery=127.0.0.1:3") {
		t.Errorf("said %q", line)
	}
	p.wantUp(t)
}

// A second SIGHUP within a reload, one within the drain, and SIGTERM in any
// order end in an orderly end.
func TestSignalsInTheDrain(t *testing.T) {
	p := start(t)
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM} {
		p.cmd.Process.Signal(s)
	}
	select {
	case err := <-p.ended:
		if err != nil {
			t.Errorf("ended with %v", err)
		}
	case <-time.After(patience):
		t.Error("did not end")
	}
}
