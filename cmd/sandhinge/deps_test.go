package main

import (
	"os/exec"
	"strings"
	"testing"
)

// The sidecar stays lean: what a council, its stores or the operators' command need is
// not linked, nor anything of the lab.
func TestSidecarLinksNothingHeavy(t *testing.T) {
	out, err := exec.Command("go", "list", "-deps", ".").Output()
	if err != nil {
		t.Fatal(err)
	}
	found := map[string]bool{}
	for name := range strings.Lines(string(out)) {
		name = strings.TrimSpace(name)
		found[name] = true
		for _, heavy := range []string{"/raft", "/bbolt", "/cobra", "gonum.org/", "otterspring/internal/lab", "otterspring/internal/fleet/coordination", "otterspring/internal/fleet/supervisor"} {
			if strings.Contains(name, heavy) {
				t.Errorf("the sidecar links %s, wanted nothing of %s", name, heavy)
			}
		}
	}
	if !found["otterspring/internal/sidecar/configclient"] {
		t.Errorf("found %d packages without internal/sidecar/configclient: the list is not the sidecar's", len(found))
	}
}
