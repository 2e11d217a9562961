package main

import (
	"bytes"
	"context"
	"errors"
	"io"
	"os"
	"strings"
	"testing"
	"time"
)

// TestMain is the rig itself where it runs itself as a sidecar or a proxy.
func TestMain(m *testing.M) {
	if len(os.Args) > 1 && (os.Args[1] == sidecarWord || os.Args[1] == proxyWord) {
		os.Exit(run(os.Args[1:]))
	}
	os.Exit(m.Run())
}

func ctx(t *testing.T) context.Context {
	c, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	t.Cleanup(cancel)
	return c
}

// The newcomer's command does its job from a clean state, and its last line has
// the figures.
func TestTry(t *testing.T) {
	var out bytes.Buffer
	err := runTry(ctx(t), []string{"-for", "3s", "-rate", "40"}, &out)
	if err != nil && !errors.Is(err, errRules) {
		t.Fatal(err)
	}
	text := out.String()
	lines := strings.Split(strings.TrimSpace(text), "\n")
	last := lines[len(lines)-1]
	for _, want := range []string{"asked=", "served=", "lost=0", "twice=0", "tipped=0", "refused_conns="} {
		if !strings.Contains(last, want) {
			t.Errorf("no %s in %q", want, last)
		}
	}
	for _, want := range []string{"s3 hangs", "roster", "no effect twice", "   1 s  asked"} {
		if !strings.Contains(text, want) {
			t.Errorf("no %q in:\n%s", want, text)
		}
	}
}

func TestFleetByHandOver(t *testing.T) {
	var out bytes.Buffer
	err := runFleet(ctx(t), []string{"-instances", "3", "-servers", "3", "-for", "3s", "-mode", "handover", "-rate", "30"}, &out)
	if err != nil && !errors.Is(err, errRules) {
		t.Fatal(err)
	}
	for _, want := range []string{"restarted=3", "lost=0", "twice=0", "late_sends=", "refused_conns=0", "gap_p99_ms=", "errors=0"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("no %s in:\n%s", want, out.String())
		}
	}
}

func TestSpeed(t *testing.T) {
	var out bytes.Buffer
	if err := runSpeed(ctx(t), []string{"-rounds", "1", "-for", "1s", "-conns", "2"}, &out); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"limit_ratio=", "cpu2400_ratio=", "memory_ratio=", "ReverseProxy"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("no %s in:\n%s", want, out.String())
		}
	}
}

// Wrong words are a usage error in one line, before anything starts.
func TestUsage(t *testing.T) {
	for _, c := range []struct {
		run  func(context.Context, []string, *bytes.Buffer) error
		args []string
		want string
	}{
		{wrap(runTry), []string{"-for", "1h"}, "-for: found 1h0m0s, wanted 2s to 10m0s"},
		{wrap(runTry), []string{"-rate", "0"}, "-rate: found 0, wanted 1 to 2000"},
		{wrap(runTry), []string{"-program", "/none"}, "found no program"},
		{wrap(runTry), []string{"now"}, "wanted flags only"},
		{wrap(runTry), []string{"-colour"}, "flag provided but not defined"},
		{wrap(runFleet), []string{"-mode", "gently"}, "wanted kill, term or handover"},
		{wrap(runFleet), []string{"-restarts", "51"}, "wanted all, none or 0 to 50"},
		{wrap(runFleet), []string{"-instances", "4000"}, "-instances: found 4000, wanted 1 to 400"},
		{wrap(runSpeed), []string{"-rounds", "0"}, "-rounds: found 0"},
		{wrap(runSpeed), []string{"-against", "/none"}, "found no program"},
	} {
		var out bytes.Buffer
		err := c.run(ctx(t), c.args, &out)
		if !errors.Is(err, errUsage) || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%v: %v, want %s", c.args, err, c.want)
		}
	}
	if code := run([]string{"dance"}); code != 2 {
		t.Errorf("an unknown command: exit code %d", code)
	}
	if code := run([]string{"help"}); code != 0 {
		t.Errorf("help: exit code %d", code)
	}
}

func wrap(f func(context.Context, []string, io.Writer) error) func(context.Context, []string, *bytes.Buffer) error {
	return func(c context.Context, a []string, b *bytes.Buffer) error { return f(c, a, b) }
}
