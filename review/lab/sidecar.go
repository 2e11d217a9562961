package lab

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"syscall"
	"time"
)

// Class is one class of the settings.
type Class struct {
	Name, Effect, Group      string
	AimUS, DeadlineUS, WinUS int
	LateWorth, Worth         float64
}

// CallClasses are the classes of the site page.
func CallClasses() []Class {
	return []Class{
		{"roster", "free", "all", 200_000, 500_000, 5_000_000, 0, 3},
		{"join", "guarded", "cell", 500_000, 2_000_000, 4_000_000, 0, 8},
		{"start-rec", "single_shot", "all", 500_000, 1_200_000, 5_000_000, 0, 5},
	}
}

// Settings returns the settings object of one sidecar, as in the example of the wire page.
// discovery is "automatic" (pushed) or "subscribe" (asked).
func Settings(discovery string, classes []Class) map[string]any {
	var list []any
	for _, c := range classes {
		list = append(list, map[string]any{
			"aim-us": c.AimUS, "deadline-us": c.DeadlineUS, "effect": c.Effect, "group": c.Group, "late-worth": c.LateWorth,
			"name": c.Name, "stream": false, "window-us": c.WinUS, "worth": c.Worth,
		})
	}
	return map[string]any{
		"balancers": 1,
		"charges":   map[string]any{"connection": 0.03, "cross-zone": 0.0, "discovery": 0.0, "handshake": 0.03, "late-fail": 0.03, "moves": 0.0, "origin": 0.0, "peer": 0.0, "probe": 0.0, "waste": 0.02},
		"classes":   list,
		"clients":   map[string]any{"marks-retry": true},
		"dcs":       []string{"delft-dc"}, "discovery": discovery, "extra": map[string]any{}, "family": "mesh", "kinds": []string{"fast-2c"},
		"limits": map[string]any{
			"cancel": true, "conn-idle-us": 5_000_000, "cpu-us-per-request": 0.0, "cpu-us-per-s": 2_594_958, "dial-timeout-us": 100_000,
			"max-open": 648_739, "max-retry-after-us": 1_000_000, "multiplex": 1, "peers": false, "probes": false, "retry-after": true,
			"second-copies": true, "try-limit": 3,
		},
		"objective-mix":    map[string]any{"whole": 0.55, "worst-class": 0.1, "worst-tenant": 0.0, "worst-window": 0.35},
		"over-share-worth": 0.1, "round-us": 2000,
		"rules": map[string]any{
			"ask-within-us": 10_000_000, "cold-from": 0.12, "cold-us": 23_000_000, "grace-to-answer-us": 8000, "overload-for-us": 3_000_000,
			"stop-sending-within-us": 500_000, "tip-multiple": 3.0,
		},
		"self-index": 0, "stats": map[string]any{"fields": []string{}, "source": "silent"}, "tenants": []any{}, "tier": 0,
		"tiers": []string{"call-state"}, "value-by": "request", "weights": "silent", "zone": "delft-dc",
	}
}

// Descriptors is the limit on open file descriptors that NewSidecar writes. The pages have 256 to
// 1,024.
var Descriptors = 1024

// Sidecar is one process of the project's program.
type Sidecar struct {
	Listen string
	Env    []string
	record *Record
	root   string
	run    string
	log    *os.File
	cmd    *exec.Cmd
	exited chan struct{}
}

// FreeAddress returns a loopback address with a port that is free now.
func FreeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

var runLine = regexp.MustCompile(`(?m)^run *= *"([^"]*)"`)

// NewSidecar writes the configuration into dir. Start starts the process.
func NewSidecar(record *Record, dir, name, discovery string, known List, settings map[string]any) (*Sidecar, error) {
	root, err := findRoot()
	if err != nil {
		return nil, err
	}
	deploy, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return nil, err
	}
	run := runLine.FindSubmatch(deploy)
	if run == nil {
		return nil, errors.New("deploy/balancer.toml: no run")
	}
	listen, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	config := map[string]any{
		"name": name, "listen": listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": Descriptors},
		"known":  known, "settings": settings,
	}
	text, err := json.Marshal(config)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(dir, name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	logFile, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return nil, err
	}
	s := &Sidecar{Listen: listen, record: record, root: root, run: string(run[1]), log: logFile}
	s.Env = append(os.Environ(), "RELAY_NAME="+name, "RELAY_LISTEN="+listen, "RELAY_DISCOVERY="+discovery, "RELAY_CONFIG="+path, "TMPDIR="+dir)
	return s, nil
}

// findRoot returns the folder above the working directory that has deploy/balancer.toml.
func findRoot() (string, error) {
	dir, err := os.Getwd()
	if err != nil {
		return "", err
	}
	for ; dir != "/"; dir = filepath.Dir(dir) {
		if _, err := os.Stat(filepath.Join(dir, "deploy", "balancer.toml")); err == nil {
			return dir, nil
		}
	}
	return "", errors.New("no deploy/balancer.toml above the working directory")
}

// Start starts the process by run of the deploy file and waits until /up answers 200.
func (s *Sidecar) Start() error {
	s.cmd = exec.Command("/bin/sh", "-c", s.run)
	s.cmd.Dir, s.cmd.Env, s.cmd.Stdout, s.cmd.Stderr = s.root, s.Env, s.log, s.log
	s.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := s.cmd.Start(); err != nil {
		return err
	}
	s.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		err := cmd.Wait()
		s.record.Add("sidecar process %d ended: %v", cmd.Process.Pid, err)
		close(exited)
	}(s.cmd, s.exited)
	s.record.Add("sidecar process %d started: %s", s.cmd.Process.Pid, s.run)
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		select {
		case <-s.exited:
			return errors.New("the sidecar ended at its start")
		default:
		}
		if response, err := client.Get("http://" + s.Listen + "/up"); err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				client.CloseIdleConnections()
				s.record.Add("/up answered 200")
				return nil
			}
		}
	}
	return errors.New("/up did not answer 200 within 20 s")
}

// Signal sends a signal to the process.
func (s *Sidecar) Signal(signal syscall.Signal) {
	s.record.Add("signal %v to sidecar process %d", signal, s.cmd.Process.Pid)
	_ = s.cmd.Process.Signal(signal)
}

// Alive reports whether the process runs.
func (s *Sidecar) Alive() bool {
	select {
	case <-s.exited:
		return false
	default:
		return true
	}
}

// Exited is closed when the process has ended.
func (s *Sidecar) Exited() <-chan struct{} { return s.exited }

// Kill ends the process and waits for it.
func (s *Sidecar) Kill() {
	if s.cmd == nil {
		return
	}
	_ = s.cmd.Process.Kill()
	<-s.exited
}

// Log returns the lines that the process wrote and that contain text.
func (s *Sidecar) Log(text string) (lines []string) {
	all, _ := os.ReadFile(s.log.Name())
	for line := range bytes.Lines(all) {
		if bytes.Contains(line, []byte(text)) {
			lines = append(lines, fmt.Sprintf("%s", bytes.TrimSpace(line)))
		}
	}
	return lines
}
