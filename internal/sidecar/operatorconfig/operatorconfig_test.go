package operatorconfig

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

func write(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "operator.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestNoFileMeansOff(t *testing.T) {
	f, err := Load("")
	if err != nil || len(f.EnabledSections()) != 0 {
		t.Errorf("enabled: %v, %v", f.EnabledSections(), err)
	}
	if f, err = Load(write(t, "")); err != nil || len(f.EnabledSections()) != 0 {
		t.Errorf("an empty file: enabled: %v, %v", f.EnabledSections(), err)
	}
}

func TestSections(t *testing.T) {
	f, err := Load(write(t, "[drain]\nfinish = \"4s\"\n[handover]\nsocket = \"/run/n1.sock\"\n[notify]\nsystemd = true\n"))
	if err != nil {
		t.Fatal(err)
	}
	if got := strings.Join(f.EnabledSections(), " "); got != "drain handover notify" {
		t.Errorf("enabled: %s", got)
	}
	if f.Drain.Timeout != 4*time.Second || f.Handover.StepTimeout != 10*time.Second {
		t.Errorf("read %+v", f)
	}
	newer := f
	newer.Drain.Timeout = time.Second
	if sections := f.RestartRequired(&newer); len(sections) != 0 {
		t.Errorf("the drain requires a restart: %v", sections)
	}
	newer.Handover.Socket, newer.Notify.Systemd = "/run/other.sock", false
	if sections := strings.Join(f.RestartRequired(&newer), " "); sections != "handover notify" {
		t.Errorf("require a restart: %s", sections)
	}
}

func TestBadFilesAreNamed(t *testing.T) {
	for text, want := range map[string]string{
		"[drain]\nfinish = \"10\"":                                      "operator.toml:2: drain.finish: found \"10\", wanted a duration",
		"[drain]\nfinish = \"11m\"":                                     "wanted 1s to 10m",
		"[handover]\nsocket = \"run/x\"":                                "wanted an absolute path",
		"[handover]\nsocket = \"/" + strings.Repeat("x", 120) + "\"":    "wanted 100 at most",
		"[handoff]\nsocket = \"/run/x\"":                                "operator.toml:1: handoff: found a key that is not known, wanted one of drain, handover, notify",
		"[coap]\nlisten = \"0.0.0.0:5683\"":                             "operator.toml:2: coap.listen: found \"0.0.0.0:5683\", wanted one machine's IP address and a port",
		"[coap]\nlisten = \"224.0.1.187:5683\"":                         "wanted one machine's IP address and a port",
		"[coap]\nlisten = \"127.0.0.1:5683\"\nopen = 200\nkept = 100":   "operator.toml:4: coap.kept: found 100, wanted 200 (coap.open) or more",
		"[coap]\nlisten = \"127.0.0.1:5683\"\ntrusted = [\"10.1.0.0\"]": "wanted a network like",
		"[coap]\nobserve_every = \"1ms\"":                               "wanted 100ms to 10m",
		"[notify]\nsystemd = \"yes\"":                                   "wanted true or false",
	} {
		if _, err := Load(write(t, text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", text, err)
		}
	}
}
